"""Steps about servers that have just started and bear few requests."""

import asyncio
import json
import time
from bisect import bisect_left

from attrs import evolve
from behave import given, then, when
from routed_steps import fleet_of
from routedparts_steps import Clock, server
from routedplaces_steps import REGION, SERVICE, Fleet, engine, run
from userplatform.entries import read_entry

from papayacourse.exceptions import BackendUnreachable, PlatformError
from papayacourse.hostlist import HostListing
from papayacourse.routed.admitted import AdmittedRequest
from papayacourse.routed.coldservers import ColdServers
from papayacourse.routed.directory import HostDirectory
from papayacourse.routed.document import ColdStart, Repeat, Route, Share
from papayacourse.routed.notices import EngineNotices
from papayacourse.routed.placing import EngineSearch
from papayacourse.routed.seams import EngineNotice, StorePosition, StoreUpdate
from papayacourse.types import HostState
from tests.routedfleet import document
from tests.steptext import names_in

COLD = "cold-server"
STEP = 0.01  # seconds
SLACK = 5  # requests in a second that a cold server bears beside its pace
OVERSHOOT = 1.5  # times its pace that it bears


# Many daemons, and no network.


class Fleetless:
    """Daemons that share a clock, and nothing else."""

    def __init__(self, count: int, pace: float, duration: float):
        self.clock = Clock()
        self.names = [f"d{number}" for number in range(count)]
        self.start = ColdStart(duration, pace)
        self.lists = {name: set(self.names) for name in self.names}
        self.until = self.clock() + duration
        self.restart_interval = 0.0
        self.sent = []

    def daemon(self, name: str) -> ColdServers:
        """Return a daemon that has just learned of the cold server."""
        cold = ColdServers(name, lambda: self.lists[name], lambda _service: self.start, self.clock)
        left = self.until - self.clock()
        cold.apply_listing([evolve(server(COLD), cold=max(0.0, left))])
        return cold

    def play(self, seconds: float) -> None:
        """Let each daemon send whenever it may."""
        daemons = {name: self.daemon(name) for name in self.names}
        began = restarted = self.clock()
        while self.clock() < began + seconds - STEP:
            if self.restart_interval and self.clock() - restarted >= self.restart_interval:
                restarted = self.clock()
                daemons = {name: self.daemon(name) for name in self.names}
            for cold in daemons.values():
                if cold.is_cold(COLD) and not cold.wait_for(COLD):
                    cold.record_send(COLD)
                    self.sent.append(self.clock())
            self.clock.now += STEP


@given(
    "{count:d} daemons that know of one cold server,"
    " at {pace:g} requests a second for {seconds:g} s"
)
def fleetless(context, count, pace, seconds):
    context.daemons = Fleetless(count, pace, seconds)


@given("a third of them lack {count:d} daemons in their lists, and a third lack {others:d} others")
def lists_differ(context, count, others):
    names = context.daemons.names
    third = len(names) // 3
    for name in names[:third]:
        context.daemons.lists[name] -= set(names[-count:])
    for name in names[third : 2 * third]:
        context.daemons.lists[name] -= set(names[-count - others : -count])


@given("all of them begin anew each {seconds:g} s")
def begin_anew(context, seconds):
    context.daemons.restart_interval = seconds


@when("each of them would send a request each 10 ms for {seconds:g} s")
def each_sends(context, seconds):
    context.played = seconds
    context.daemons.play(seconds)


@then("the server gets at most 1.5 times its pace and 5 requests in any second")
def within_bound(context):
    sent, pace = context.daemons.sent, context.daemons.start.rate
    in_seconds = (number + 1 - bisect_left(sent, at - 1) for number, at in enumerate(sent))
    busiest = max(in_seconds, default=0)
    assert busiest <= OVERSHOOT * pace + SLACK, (busiest, pace)


@then("it gets at least a fifth of its pace")
def uses_pace(context):
    least = context.daemons.start.rate * context.played / 5
    assert len(context.daemons.sent) >= least, (len(context.daemons.sent), least)


@then("it is warm after {seconds:g} s")
def warm_after(context, seconds):
    cold = context.daemons.daemon("d0")
    assert cold.is_cold(COLD)
    context.daemons.clock.now += seconds
    assert not cold.is_cold(COLD) and not cold.wait_for(COLD)


@then("it is warm at once if the list says so")
def warm_by_list(context):
    context.daemons.until = context.daemons.clock() + 6
    cold = context.daemons.daemon("d0")
    assert cold.is_cold(COLD)
    cold.apply_listing([server(COLD)])
    assert not cold.is_cold(COLD) and not cold.wait_for(COLD)


# One daemon.


@given("a daemon that knows of a warm server")
def knows_warm(context):
    context.clock = Clock()
    start = ColdStart(4.0, 26.0)
    cold = ColdServers("me", lambda: {"me"}, lambda _service: start, context.clock)
    context.notices = EngineNotices(cold=cold)
    context.notices.cold.apply_listing([server(COLD)])


@when("an answer of it says that it is cold for {seconds:g} s")
def answer_says_cold(context, seconds):
    context.notices.take(server(COLD), EngineNotice(cold=seconds), 0.0)


@then("the server is cold for {seconds:g} s")
def cold_for(context, seconds):
    assert not context.notices.takes_work(server(COLD))
    context.clock.now += seconds - 0.01
    assert context.notices.cold.is_cold(COLD)
    context.clock.now += 0.02
    assert not context.notices.cold.is_cold(COLD) and context.notices.takes_work(server(COLD))


@given("a daemon that knows of a cold server, at {pace:g} requests a second for {seconds:g} s")
def knows_cold(context, pace, seconds):
    start = ColdStart(seconds, pace)
    context.notices = EngineNotices(cold=ColdServers("me", lambda: {"me"}, lambda _service: start))
    context.notices.cold.apply_listing([evolve(server(COLD), cold=seconds)])


@then("no run may go on there now")
def not_admitted(context):
    try:
        context.notices.admit_send(server(COLD), saves_run=True)
    except BackendUnreachable:
        return
    raise AssertionError("it was admitted")


@then(
    "of {count:d} runs that wait for a turn there for {seconds:g} s,"
    " at least {least:d} and at most {most:d} get one"
)
def turns(context, count, seconds, least, most):
    async def go_on() -> bool:
        has_turn = await context.notices.cold.wait_for_turn(COLD, seconds)
        try:
            context.notices.admit_send(server(COLD), saves_run=True)
        except BackendUnreachable:
            return False
        context.notices.cold.record_send(COLD)
        return has_turn

    async def all_of_them() -> int:
        return sum(await asyncio.gather(*(go_on() for _ in range(count))))

    gone_on = asyncio.run(all_of_them())
    assert least <= gone_on <= most, gone_on


@then("a run may not go on there where this daemon has no part of its pace")
def no_part(context):
    context.notices.cold.known[COLD].rate = 0.0
    assert not asyncio.run(context.notices.cold.wait_for_turn(COLD, 0.3))


@when("the near one turns cold")
def near_turns_cold(context):
    context.choice.is_cold = lambda name: name == "near"


@when("the near one is warm again")
def near_is_warm(context):
    context.choice.is_cold = lambda _name: False


@given('engines "{here}" here and "{there}" elsewhere, of which "{cold}" are cold')
def engines_here(context, here, there, cold):
    context.fleet_view = view = Fleet(None)
    hosts = [engine(name) for name in names_in(here)]
    hosts += [evolve(engine(name), domain="other") for name in names_in(there)]
    view.servers = lambda _service: iter(hosts)
    view.notices = EngineNotices()
    known = view.notices.cold
    known.clock = context.clock = Clock()
    known.me, known.daemons = "me", lambda: {"me"}
    known.cold_start = lambda _service: ColdStart(9.0, 26.0)
    chilled = [f"{SERVICE}/{name}" for name in names_in(cold)]
    known.apply_listing(evolve(host, cold=9.0 if host.name in chilled else 0.0) for host in hosts)


@given("this daemon has a turn at them")
def has_turn(context):
    context.clock.now += 1


@then('the schedulers must not grant "{avoided}", and this domain {may} serve')
def must_not_grant(context, avoided, may):
    route = Route("r", "h", "/", Repeat.STREAM, (Share(SERVICE, 1),), 9.0, 5.0)
    admitted = AdmittedRequest(None, route, None, SERVICE, time.monotonic() + 9.0, 1)
    search = EngineSearch(context.fleet_view, admitted, run("run-1"))
    expected = [] if avoided == "none" else [f"{SERVICE}/{name}" for name in names_in(avoided)]
    assert list(search.excluded()) == sorted(expected), search.excluded()
    assert search.may_be_served_here() == (may == "may")


# The list.


@given("a directory of a service whose servers are cold for {seconds:g} s")
def directory_cold(context, seconds):
    make_directory(context, ColdStart(seconds, 26.0))


@given("a directory of a service whose servers bear any pace")
def directory_any_pace(context):
    make_directory(context, None)


def make_directory(context, start: ColdStart | None) -> None:
    """Make a directory of servers that start so."""
    context.clock, context.revision, context.listings = Clock(), 1, []
    context.directory = HostDirectory(
        context.listings.append,
        context.clock,
        in_force=lambda: context.listings[-1] if context.listings else HostListing(0, ()),
        cold_start=lambda _service: start,
    )


def update_directory(context, **parts) -> None:
    """Let the directory take an update."""
    context.revision += 1
    known = context.directory.in_force()
    context.directory.update(known, StoreUpdate(StorePosition(1, context.revision), **parts))


@when("a server's entry says that it is cold for {seconds:g} s")
def entry_says_cold(context, seconds):
    update_directory(context, engines=(evolve(server("one"), domain=REGION, cold=seconds),))
    context.listings_before = len(context.listings)


@when("{passed:g} s pass, and its entry says {seconds:g} s")
def entry_later(context, passed, seconds):
    context.clock.now += passed
    context.listings_before = len(context.listings)
    update_directory(context, engines=(evolve(server("one"), domain=REGION, cold=seconds),))


@when("the operator drains its domain, and takes it back")
def drain_and_return(context):
    update_directory(context, drained=frozenset({REGION}))
    update_directory(context, drained=frozenset())


@when("the operator drains its domain")
def drain(context):
    update_directory(context, drained=frozenset({REGION}))


@given("another daemon's list in which a server is of a drained domain")
def listed_drained(context):
    found = evolve(server("one"), domain=REGION, state=HostState.LEAVING, is_drained=True)
    context.listings.append(HostListing(1, (found,)))


@when("others list it as taken back and warm")
def listed_taken_back(context):
    found = evolve(server("one"), domain=REGION)
    context.listings.append(HostListing(context.listings[-1].version + 1, (found,)))


@when("the whole store is read, in which nothing is drained")
def whole_read(context):
    engines = (evolve(server("one"), domain=REGION),)
    update_directory(context, engines=engines, members=(), drained=frozenset(), is_complete=True)


@when("{passed:g} s pass, and the operator drains another domain")
def drain_another(context, passed):
    context.clock.now += passed
    context.listings_before = len(context.listings)
    entry = evolve(server("two"), domain="elsewhere")
    engines = (*context.directory.engines, entry)
    update_directory(context, engines=engines, drained=frozenset({"elsewhere"}))


@when("all servers leave the list")
def all_leave(context):
    update_directory(context, engines=())


@then("nothing is kept of cold times")
def nothing_kept(context):
    listing = context.directory.cold_listing
    assert not listing.published and not listing.entries, listing


@then("it is listed as cold for {seconds:g} s")
def listed_cold(context, seconds):
    found = context.listings[-1].by_name["one"]
    assert found.cold == seconds, found


@then("the list is as before")
def list_as_before(context):
    assert len(context.listings) == context.listings_before


@then("an entry whose cold time is {value} ms names a server that is cold for {seconds}")
def odd_cold_time(_context, value, seconds):
    entry = {"Service": "desk", "Address": "127.0.0.1:9", "Zone": "lagos", "State": "ready"}
    if json.loads(value) is not None:
        entry["ColdRemainingMs"] = json.loads(value)
    try:
        found = read_entry("servers/x", json.dumps(entry).encode(), {"lagos": "lagos"})
    except PlatformError:
        assert seconds == "nothing"
        return
    assert found.cold == float(seconds), found


# Real daemons.


@given(
    "a platform store whose plain servers bear {pace:g} requests a second"
    " for {seconds:g} s after a start"
)
def store_with_cold_starts(context, pace, seconds):
    context.document = document(5)
    for service in context.document["Services"]:
        if "Engine" not in service:
            service |= {"ColdStartS": seconds, "ColdPerS": pace}
    fleet_of(context).store(context.document)


@when('"{name}" is listed as cold for {seconds:g} s')
def list_cold(context, name, seconds):
    routed = fleet_of(context)
    routed.places[name]["ColdRemainingMs"] = seconds * 1000
    routed.list_engine(name)
    routed.places[name]["ColdRemainingMs"] = 0
