"""Steps about orders to stop a run that reach its engine late."""

import asyncio
import socket
import time
from types import SimpleNamespace

from behave import given, then, when
from routed_steps import SOON, fleet_of
from routedrunstop_steps import Fleet
from routedstranded_steps import SilentPort, set_cut
from routedstream_steps import run_of

from papayacourse.routed.enginereturns import EngineReturns
from papayacourse.routed.generation import Generation
from papayacourse.routed.latestop import LateStop
from papayacourse.routed.migration.failover import Failover
from papayacourse.routed.runstop import RunStop
from papayacourse.types import Host, HostKind
from standins.fleet import wait_until
from tests.routedfleet import ROOT
from tests.steptext import names_in

LATER = 60.0  # seconds

# Real daemons.


@given('a routed daemon "{name}" in "{domain}" that can be cut off from engines')
def start_separable(context, name, domain):
    routed = fleet_of(context)
    routed.wrapper = [str(ROOT / "tests" / "cutoff.py")]
    context.hole = SilentPort()
    context.hole_address = context.hole.open()
    context.add_cleanup(context.hole.close)
    set_cut(context, name, "")
    routed.daemon(name, domain)


@when('"{daemon}" is cut off from "{engine}", with new connections {how} and open ones silent')
def cut_from_one(context, daemon, engine, how):
    set_cut(context, daemon, how, [engine])
    context.fleet.admin(f"{engine}-proxy", {"sever": "silent"})


@when('"{daemon}" reaches "{engine}" again {seconds:g} s after its line "{line}"')
def reaches_again(context, daemon, engine, seconds, line):
    lines = lambda: fleet_of(context).lines(daemon, line)  # noqa: E731
    wait_until(f"the line {line}", lines, SOON)
    time.sleep(seconds)
    set_cut(context, daemon, "")
    context.healed_at = time.monotonic()


@then('"{engine}" stopped it within {seconds:g} s of being reached')
def stopped_in_time(context, engine, seconds):
    (run,) = run_of(context, engine)
    after = run["worked_at"] - context.healed_at
    assert run["end"] == "stopped" and after < seconds, (after, run)


# Without processes.


@when("it is ordered late to stop a run, {seconds:g} s before the caller's time is over")
def order_late(context, seconds):
    work_late(context, seconds, begins=True, wait=seconds + 1.0)


@when("it is to be ordered late, and the run has not gone on for {seconds:g} s")
def not_yet_ordered(context, seconds):
    work_late(context, LATER, begins=False, wait=seconds)


def work_late(context, time_left: float, begins: bool, wait: float) -> None:
    """Run a late stop until it ends, or for some seconds."""

    async def work() -> None:
        engine = context.engine
        fleet = Fleet(engine)
        fleet.returns = EngineReturns()
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = f"127.0.0.1:{listener.getsockname()[1]}"
            if context.has_ended:
                listener.close()
            hosts = [Host(n, HostKind.ENGINE, address, "lagos", "lagos") for n in ("e1", "e2")]
            context.hosts = hosts
            stop = RunStop(fleet, hosts[0], "run", hosts[1], asyncio.Lock())
            context.orders = stop.orders
            late_stop = LateStop(stop, time.monotonic() + time_left)
            context.was_unproven = set(stop.orders.unproven)
            if begins:
                late_stop.may_begin.set()
            if engine.is_sent_again:
                stop.orders.record_start("e1")
            task = asyncio.create_task(late_stop.run())
            await asyncio.wait([task], timeout=wait)
            context.outcome = late_stop.outcome if task.done() else "none yet"
            context.still_unproven = set(stop.orders.unproven)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    asyncio.run(work())


@then('it has been ordered {count:d} times, with the outcome "{outcome}"')
def ordered_times(context, count, outcome):
    assert context.was_unproven == {"e1"}, context.was_unproven
    assert (context.engine.ordered, context.outcome) == (count, outcome), (
        context.engine.ordered, context.outcome,
    )  # fmt: skip


@then("by what is known it {may} work on the run")
def may_work(context, may):
    assert context.still_unproven == ({"e1"} if may == "may" else set()), context.still_unproven


@then("the run may go to another engine, and not to that one")
def goes_elsewhere(context):
    anywhere = SimpleNamespace(may_go_to=lambda _host: True)
    run = Generation(anywhere, None, None, None, None, None)
    run.stop_orders.unproven |= context.still_unproven
    assert [run.may_go_to(host) for host in context.hosts] == [False, True]


@given('a lost run on "{engine}" of a service whose other engines are "{names}"')
def lost_run(context, engine, names):
    hosts = {
        name: Host(name, HostKind.ENGINE, "127.0.0.1:9", "lagos", "lagos")
        for name in [engine, *names_in(names)]
    }
    context.hosts, context.lost = hosts, hosts[engine]


@given('"{busy}" take no work now, "{leaving}" leave and "{unproven}" may still work on it')
def other_engines(context, busy, leaving, unproven):
    taking = [host for host in context.hosts.values() if host.name not in names_in(busy)]
    fleet = SimpleNamespace(
        best_move_target=lambda engine, *_: next((h for h in taking if h != engine), None),
        servers=lambda _service: iter(context.hosts.values()),
        is_live=lambda host: host.name not in names_in(leaving),
    )
    anywhere = SimpleNamespace(may_go_to=lambda _host: True, homes=lambda: None)
    request = SimpleNamespace(service="planner")
    context.run = Generation(anywhere, None, fleet, request, None, None, engine=context.lost)
    context.run.stop_orders.unproven |= set(names_in(unproven))


@then('it is ordered to stop with the target "{target}"')
def has_target(context, target):
    found = Failover(context.run)._copy_target()
    assert (found.name if found else "none") == target, found


# Returns of engines.


@given("no engine to connect to")
def unreachable_engine(context):
    context.tried = 0

    async def can_connect(_host) -> bool:
        context.tried += 1
        return False

    context.can_connect = can_connect


@given("one connection attempt that hangs, before an engine accepts others")
def engine_hangs_once(context):
    context.tried = 0

    async def can_connect(_host) -> bool:
        context.tried += 1
        if context.tried == 1:
            await asyncio.sleep(LATER)
        return True

    context.can_connect = can_connect


@when("{count:d} wait for an engine's return for {seconds:g} s")
@when("{count:d} waits for an engine's return for {seconds:g} s")
def wait_for_return(context, count, seconds):
    async def work() -> None:
        returns = EngineReturns(context.can_connect)
        host = Host("e1", HostKind.ENGINE, "127.0.0.1:9", "lagos", "lagos")
        waits = [asyncio.create_task(returns.wait_for(host)) for _ in range(count)]
        began = time.monotonic()
        await asyncio.wait(waits, timeout=seconds)
        context.took, context.reached = time.monotonic() - began, all(w.done() for w in waits)
        context.tried_first = context.tried
        for wait in waits:
            wait.cancel()
        await asyncio.gather(*waits, return_exceptions=True)
        await asyncio.sleep(0.2)
        context.tried_at_end = context.tried
        await asyncio.sleep(0.5)
        context.left = returns.absences

    asyncio.run(work())


@then("{least:d} to {most:d} connections were tried")
def tried_between(context, least, most):
    assert least <= context.tried_first <= most, context.tried_first


@when("nobody waits any more")
def nobody_waits(context):
    assert context.left == {}, context.left


@then("no connection is tried in {_:g} s")
def none_tried(context, _):
    assert context.tried == context.tried_at_end, (context.tried, context.tried_at_end)


@then("it has been reached within {seconds:g} s")
def reached_within(context, seconds):
    assert context.reached and context.took < seconds, context.took
