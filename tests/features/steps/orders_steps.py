"""Steps about orders to engines, the lease that they need, and the weight store."""

import sys
import time

from behave import given, then, when

from standins.fleet import call, wait_until
from tests.callers import start_plans
from tests.features.steps.fleet_steps import start_daemons
from tests.operators import set_text
from tests.steptext import names_in

LIMIT = 60.0  # seconds
READ_SPAN = 2.5  # seconds in which a reader reads again
DEPLOYMENT = "/teams/sound-trust/deployments/planner"
PLACE = ("lagos-1", "lagos")
OPTIONS = ("--step", "0.004")


def engine_options(context, kind: str) -> list[str]:
    """Return an engine's options."""
    checks = ["--checks-fencing"] if kind == "check" else []
    return [*OPTIONS, "--weightstore", context.fleet.processes["weights"].http, *checks]


@given("a weight store that allows {rate:d} fetches a second")
def start_weight_store(context, rate):
    context.fleet.standin("weightstore", "weights", "--per-window", str(rate), "--window", "1.0")
    context.fleet.platform_options = f"weight_rate = {rate}\n"


@given('{count:d} engines "{name}" that {kind} fencing numbers')
def start_fenced(context, count, name, kind):
    for number in range(count):
        context.fleet.engine(f"{name}-{number}", *PLACE, *engine_options(context, kind))


@given('{count:d} fenced engines "{name}" in domain "{domain}" of region "{region}"')
def start_in_domain(context, count, name, domain, region):
    for number in range(count):
        engine = f"{name}-{domain}-{number}"
        context.fleet.engine(engine, domain, region, *engine_options(context, "check"))


@given('stale readers of engines "{names}" in domain "{domain}" of region "{region}"')
def start_stale(context, names, domain, region):
    context.fleet.daemon_program = [sys.executable, "-m", "tests.stalereader"]
    start_daemons(context, names, domain, region)


@given('{count:d} engines "{name}" that {kind} fencing numbers behind a proxy')
def start_proxied(context, count, name, kind):
    for number in range(count):
        engine = f"{name}-{number}"
        process = context.fleet.engine(engine, *PLACE, *engine_options(context, kind))
        proxy = context.fleet.proxy(f"way-{number}", process.http)
        context.fleet.list_host(engine, "engine", proxy.ready["address"], *PLACE)


@when('the deployment wants version "{version}" with fencing "{fencing}"')
def want_version(context, version, fencing):
    text = (
        "[deployment]\nservice = planner\nbackends = planner-*\nmodel = plans\n"
        f"version = {version}\nchecks_fencing = {fencing}\n"
    )
    set_text(context.fleet, DEPLOYMENT, text)


def states(context, name: str) -> list[dict]:
    """Return what each engine says of itself, asked directly."""
    found = [key for key in context.fleet.processes if key.startswith(f"{name}-")]
    return [call(context.fleet.processes[key].http, "GET", "/orders").json for key in found]


@then('every engine "{name}" has loaded version "{version}"')
def all_loaded(context, name, version):
    def loaded() -> bool:
        return all(state["loaded"].get("version") == version for state in states(context, name))

    wait_until(f"version {version} on every engine", loaded, LIMIT)


@then('domain "{domain}" has version "{version}" on every engine "{name}"')
def loaded_in_domain(context, name, domain, version):
    all_loaded(context, f"{name}-{domain}", version)


def engine_reads(context, name: str) -> int:
    """Return how often a daemon has read engines for the orders holder."""
    return context.fleet.status(name)["engine_reads"]


def reads_on(context, name: str) -> bool:
    """Tell whether a daemon reads engines now."""
    before = engine_reads(context, name)
    time.sleep(READ_SPAN)
    return engine_reads(context, name) > before


@when('the daemon of "{names}" that reads engines is {done}')
def stop_reader(context, names, done):
    daemons = names_in(names)
    reader = wait_until(
        "a reader", lambda: next((n for n in daemons if reads_on(context, n)), None), LIMIT
    )
    context.other_reader = next(name for name in daemons if name != reader)
    process = context.fleet.processes[reader]
    if done == "killed":
        process.kill()
    else:
        process.freeze()


@then('the other one of "{names}" reads engines')
def other_reads(context, names):
    other = context.other_reader
    wait_until(f"{other} reads engines", lambda: reads_on(context, other), LIMIT)


@then('the holder has asked every engine "{name}" {times:d} times more')
def asked_more(context, name, times):
    engines = [key for key in context.fleet.processes if key.startswith(f"{name}-")]
    before = {engine: context.fleet.counts(engine)["state_reads"] for engine in engines}

    def asked() -> bool:
        now = {engine: context.fleet.counts(engine)["state_reads"] for engine in engines}
        return all(now[engine] >= before[engine] + times for engine in engines)

    wait_until(f"{times} more readings", asked, LIMIT)


@then("no stream was cut by an order")
def none_cut(context):
    engines = [name for name in context.fleet.processes if name.startswith("planner-")]
    assert sum(context.fleet.counts(name)["cut_by_orders"] for name in engines) == 0


@then("the weight store was asked {times:d} times and its rate was never exceeded")
def weight_store_kept(context, times):
    counts = context.fleet.counts("weights")
    assert counts["exceeded"] == 0, counts
    assert len(counts["fetches"]) == times, counts


@when('the daemons "{old}" are killed and "{new}" take their place')
def replace_daemons(context, old, new):
    for name in old.split(", "):
        context.fleet.processes[name].kill()
    context.fleet.admin("hosts", {"remove": old.split(", ")})
    start_daemons(context, new, *PLACE)


def holder(context, names: list[str]) -> str | None:
    """Return which daemon holds the orders lease, by its own word."""
    for name in names:
        process = context.fleet.processes[name]
        alive = process.popen.poll() is None and not process.frozen
        if alive and context.fleet.status(name)["orders"] is not None:
            return name
    return None


@given('one of "{names}" holds the orders lease')
@then('one of "{names}" holds the orders lease')
def one_holds(context, names):
    wait_until("a holder", lambda: holder(context, names.split(", ")), LIMIT)


@then('every engine "{name}" was ordered {times:d} time')
def ordered_times(context, name, times):
    for state in states(context, name):
        assert len(state["orders"]) == times, state["orders"]


@when("the holder of the orders lease is frozen")
def freeze_holder(context):
    context.frozen = wait_until("a holder", lambda: holder(context, ["a", "b", "c"]), LIMIT)
    context.fleet.processes[context.frozen].freeze()


@when("the holder of the orders lease relays a plan of {count:d} tokens and is asked to stop")
def stop_holder(context, count):
    context.frozen = wait_until("a holder", lambda: holder(context, ["a", "b", "c"]), LIMIT)
    process = context.fleet.processes[context.frozen]
    [context.caller] = start_plans(context.fleet, [context.frozen], 1, count)
    context.caller.wait_tokens(5)
    process.terminate()


@then("the plan has not ended yet")
def plan_goes_on(context):
    assert not context.caller.done and not context.caller.broken, context.caller.broken


@then("another daemon holds the orders lease")
def another_holds(context):
    others = [name for name in ("a", "b", "c") if name != context.frozen]
    wait_until("another holder", lambda: holder(context, others), LIMIT)


@when("the frozen daemon goes on")
def thaw_holder(context):
    context.fleet.processes[context.frozen].thaw()
    wait_until(
        "it knows that it lost the lease",
        lambda: context.fleet.status(context.frozen)["orders"] is None,
    )


@then('the fencing numbers of each engine "{name}" never went down')
def fences_rise(context, name):
    for state in states(context, name):
        fences = [order["fence"] for order in state["orders"]]
        assert fences == sorted(fences), fences


@when('the next order, of version "{version}" with fencing "{fencing}", is held on its way')
def hold_back(context, version, fencing):
    """Let everything through but what carries an order, and wait until one is held."""
    context.fleet.admin("way-0", {"hold_marker": "POST /orders"})
    want_version(context, version, fencing)
    wait_until("an order is held back", lambda: context.fleet.counts("way-0")["held"] > 0, LIMIT)


@when("the way to the engine is free again")
def free_way(context):
    context.fleet.admin("way-0", {"hold_marker": ""})
