"""Steps that set a fleet up and take parts of it down."""

from behave import given, then, when

from standins.fleet import wait_until
from tests.refunds import times_run
from tests.steptext import names_in

EXAMPLES = ("examples/sound-trust.ini", "examples/bottle-returns.ini")
SETTINGS_PATHS = 12
ENGINE_OPTIONS = ("--step", "0.004")


@given("a platform with both teams' settings")
def platform_with_settings(context):
    context.fleet.platform()
    context.fleet.apply(*(str(context.root / file) for file in EXAMPLES))


@given('{count:d} engines "{name}" in domain "{domain}" of region "{region}"')
def start_engines(context, count, name, domain, region):
    for number in range(count):
        context.fleet.engine(f"{name}-{domain}-{number}", domain, region, *ENGINE_OPTIONS)


@given('{count:d} plain service "{name}" in domain "{domain}" of region "{region}"')
def start_plain(context, count, name, domain, region):
    for number in range(count):
        context.fleet.plain(f"{name}-{domain}-{number}", domain, region)


@given('daemons "{names}" in domain "{domain}" of region "{region}"')
def start_daemons(context, names, domain, region):
    daemons = names_in(names)
    for name in daemons:
        context.fleet.daemon(name, domain, region)
    context.fleet.wait_settled(*daemons, paths=SETTINGS_PATHS)


@when('daemon "{name}" is asked to stop')
def ask_to_stop(context, name):
    context.fleet.processes[name].terminate()


@when('daemon "{name}" is killed')
def kill_daemon(context, name):
    context.fleet.processes[name].kill()


@when('daemon "{name}" is frozen')
def freeze(context, name):
    context.fleet.processes[name].freeze()


@when('daemon "{name}" is thawed')
def thaw(context, name):
    context.fleet.processes[name].thaw()


@then('daemon "{name}" exits with status {status:d}')
def exits_with(context, name, status):
    assert context.fleet.processes[name].wait() == status


@then('refund "{key}" ran {times:d} time')
def refund_ran(context, key, times):
    ran = times_run(context.fleet, key)
    assert ran == times, f"{key} ran {ran} times"


def condition(what, check):
    """Wait for a condition of the fleet."""
    return wait_until(what, check)
