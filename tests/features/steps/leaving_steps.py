"""Steps about backend servers that leave."""

import time

from behave import given, then, when

from standins.fleet import wait_until
from tests.callers import check_all_whole, check_whole, start_plans
from tests.refunds import pay
from tests.steptext import names_in

PLAN_LENGTH = 60  # tokens
LEAVING_DEPLOYMENT = """[/teams/sound-trust/deployments/planner]
service = planner
backends = planner-*
memory_tokens = 16384
max_batch = 32
memory_margin = 0.15
leaving = {name}
"""


def engines(context):
    """Return the names of the engines."""
    return [name for name, host in context.fleet.hosts.items() if host["kind"] == "engine"]


def list_as_leaving(context, name):
    """Put a host on the platform's list as leaving."""
    context.fleet.admin("hosts", {"put": [{"name": name, "state": "leaving"}]})


def leave(context, name, way):
    """Make an engine leave."""
    context.leaver = name
    match way:
        case "by the host list":
            list_as_leaving(context, name)
        case "by its own notice":
            # It still takes work, so that its count shows whether it is sent any.
            context.fleet.admin(name, {"leaving": True, "accepts_when_leaving": True})
        case "by an operator's word":
            file = context.fleet.path / "leaving.ini"
            file.write_text(LEAVING_DEPLOYMENT.format(name=name))
            context.fleet.apply(str(file))


@given(
    'daemon "{name}" in domain "{domain}" of region "{region}" reaches the platform through a proxy'
)
def daemon_behind_proxies(context, name, domain, region):
    kv = context.fleet.proxy(f"{name}-kv", context.fleet.processes["kv"].http)
    hosts = context.fleet.proxy(f"{name}-hosts", context.fleet.processes["hosts"].http)
    context.fleet.daemon(name, domain, region, kv=kv.ready["address"], hosts=hosts.ready["address"])
    context.fleet.wait_settled(name, paths=12)


@given('daemon "{name}" knows {count:d} engines')
def knows_engines(context, name, count):
    version = context.fleet.admin("hosts", {})["version"]
    wait_until(
        f"{name} has the newest host list",
        lambda: context.fleet.status(name)["hosts"]["version"] >= version,
    )
    assert len(engines(context)) == count


@given('domain "{here}" sees daemon "{name}" of domain "{there}" at "{daemon}"')
def sees_domain(context, here, name, there, daemon):
    wait_until(f"{daemon} sees {name}", lambda: name in live(context, daemon, there))


def live(context, daemon, domain):
    """Return the live daemons of a domain, as a daemon thinks."""
    rows = context.fleet.status(daemon)["domains"]
    return next((row["live"] for row in rows if row["name"] == domain), [])


@when('the platform is cut off from daemon "{name}"')
def cut_platform(context, name):
    for proxy in (f"{name}-kv", f"{name}-hosts"):
        context.fleet.admin(proxy, {"mode": "cut"})


@when('the platform is given back to daemon "{name}"')
def heal_platform(context, name):
    for proxy in (f"{name}-kv", f"{name}-hosts"):
        context.fleet.admin(proxy, {"mode": "pass"})


@when("the busy engine leaves {way}")
def busy_engine_leaves(context, way):
    busy = [name for name in engines(context) if context.fleet.counts(name)["running"]]
    leave(context, busy[0], way)


@when("the first engine leaves {way}")
def first_engine_leaves(context, way):
    leave(context, engines(context)[0], way)


@when("the busy engine is killed")
def kill_busy_engine(context):
    context.fleet.processes[context.leaver].kill()


@when('host "{name}" is put on the list as leaving')
def host_leaves(context, name):
    list_as_leaving(context, name)


@when("{count:d} seconds pass")
def pass_seconds(context, count):
    # The promise itself is a time: what happens within it is not judged.
    time.sleep(count)
    leaver = getattr(context, "leaver", None)
    context.started_before = context.fleet.counts(leaver)["started"] if leaver else 0


@when('{count:d} plans are streamed from "{model}" through "{names}"')
def stream_plans(context, count, model, names):
    context.plans = start_plans(context.fleet, names_in(names), count, PLAN_LENGTH, model)
    for plan in context.plans:
        plan.join()


@then("every one of those plans is whole")
def plans_whole(context):
    check_all_whole(context.plans, PLAN_LENGTH)


@then("the leaving engine has started nothing since those {count:d} seconds")
def started_nothing(context, count):
    now = context.fleet.counts(context.leaver)["started"]
    assert now == context.started_before, f"{now - context.started_before} started since"


@then('the answer ends with the error "{reason}" and its tokens are those of one generation')
def ends_with_error(context, reason):
    context.caller.join()
    caller = context.caller
    assert not caller.done and not caller.broken, caller.broken
    assert caller.error["type"].endswith(reason) or reason in str(caller.error), caller.error
    check_whole(caller.texts, len(caller.texts))


@when('{count:d} refunds are paid through "{daemon}"')
def pay_refunds(context, count, daemon):
    for number in range(count):
        answer = pay(context.fleet.processes[daemon].http, f"l-{number}", {"crates": 1})
        assert answer.status == 200, answer.body


@then('plain service "{name}" has run {count:d} refunds')
def plain_ran(context, name, count):
    ran = sum(context.fleet.counts(name)["ran"].values())
    assert ran == count, f"{ran} refunds ran"
