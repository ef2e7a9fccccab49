"""Steps about calls to the store that end early, and about outages."""

import threading
import time

from attrs import evolve
from behave import given, then, when
from routed_steps import fleet_of
from routedparts_steps import empty_directory, server, update

from papayacourse.types import HostState
from tests.steptext import names_in

NOTHING = "∅"
CALL_INTERVAL = 0.05  # seconds
AFTER_OUTAGE = 2.5  # seconds


def read_whole(context, names: str) -> None:
    """Let the directory read the whole store, as after any failed call."""
    hosts = () if names == NOTHING else tuple(server(name) for name in names_in(names))
    update(context, engines=hosts, members=(), drained=frozenset(), is_complete=True)


@given('a directory that has read the whole store with servers "{names}"')
def whole_directory(context, names):
    empty_directory(context)
    read_whole(context, names)


@when('a watch is cut, and {seconds:g} s later the store lists "{names}"')
def cut_then_listed(context, seconds, names):
    context.directory.contact.record_failure("cut")
    context.clock.now += seconds
    read_whole(context, names)


@when('the store lists "{leaver}" as leaving')
def listed_leaving(context, leaver):
    hosts = (
        evolve(host, state=HostState.LEAVING) if host.name == leaver else host
        for host in context.directory.engines
    )  # fmt: skip
    update(context, engines=tuple(hosts))


@when("a watch is cut, and {seconds:g} s pass for the directory")
def cut_then_time(context, seconds):
    context.directory.contact.record_failure("cut")
    context.clock.now += seconds
    context.directory.expire()


@when("the store is silent for {seconds:g} s, and comes back without servers")
def silent_store(context, seconds):
    context.clock.now += 2.0
    context.directory.contact.record_failure("no answer")
    context.clock.now += seconds - 2.0
    read_whole(context, NOTHING)


@when("the store is away again for {seconds:g} s")
def away_again(context, seconds):
    for _ in range(int(seconds * 2)):
        context.directory.contact.record_failure("away")
        context.clock.now += 0.5
        context.directory.expire()


@when("a watch is cut, and {seconds:g} s later the whole store is read without the drain")
def read_without_drain(context, seconds):
    context.directory.contact.record_failure("cut")
    context.clock.now += seconds
    engines = tuple(context.entries.values())
    update(context, engines=engines, members=(), drained=frozenset(), is_complete=True)


@when('the store comes back {seconds:g} s later from an older copy without "{name}"')
def older_copy_without(context, seconds, name):
    context.directory.contact.record_failure("away")
    context.clock.now += seconds
    context.era, context.revision = context.era + 1, context.revision + 5
    hosts = tuple(host for host in context.directory.engines if host.name != name)
    update(context, engines=hosts, members=(), is_complete=True)


@when('watches are cut each {seconds:g} s from now on, and "{engine}" is unlisted')
def cut_and_unlist(context, seconds, engine):
    stop = threading.Event()

    def cut() -> None:
        while not stop.wait(seconds):
            context.fleet.admin("store", {"cut_watches": 1})

    context.fleet.admin("store", {"cut_watches": 1})
    time.sleep(0.05)
    fleet_of(context).write({f"servers/{engine}": None})
    cutting = threading.Thread(target=cut, daemon=True)
    cutting.start()
    context.add_cleanup(cutting.join)
    context.add_cleanup(stop.set)


@when(
    "the store is silent for {silence:g} s, loses all servers, "
    "and has them again {later:g} s after its return"
)
def outage(context, silence, later):
    routed, context.statuses, stop = fleet_of(context), {"a": [], "b": []}, threading.Event()

    def ask(name: str) -> None:
        while not stop.wait(CALL_INTERVAL):
            context.statuses[name].append(routed.ask(name, "GET", "/view/1").status)

    callers = [threading.Thread(target=ask, args=(name,)) for name in context.statuses]
    for caller in callers:
        caller.start()
    context.fleet.admin("store", {"mode": "silent"})
    time.sleep(silence)
    routed.write(dict.fromkeys((f"servers/{name}" for name in routed.places), None))
    context.fleet.admin("store", {"mode": "up"})
    time.sleep(later)
    context.fleet.admin("store", {"cut_watches": 1})
    for name in routed.places:
        routed.list_engine(name)
    time.sleep(AFTER_OUTAGE)
    stop.set()
    for caller in callers:
        caller.join()


@then('no call through "{names}" was refused')
def none_refused(context, names):
    for name in names_in(names):
        found = context.statuses[name]
        assert len(found) > 20 and set(found) == {200}, (name, len(found), set(found))
