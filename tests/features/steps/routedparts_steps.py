"""Steps about the parts that decide for routed requests, without processes."""

import asyncio
import json
import os
import socket
import time

from behave import given, then, when
from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets

from papayacourse.boundedwriter import BoundedWriter
from papayacourse.catalog import Catalog
from papayacourse.engines import EngineLoad
from papayacourse.gateways import Gateways
from papayacourse.hostlist import HostList
from papayacourse.ledger import EngineLedger, Stream, put
from papayacourse.linkclasses import LinkClass, Place
from papayacourse.listener import Listener
from papayacourse.membership import Membership
from papayacourse.meshmessages import DomainSummary, Heartbeat, Hello, HostsNews
from papayacourse.peers import Peers
from papayacourse.policies import Predicted
from papayacourse.routed.budget import BudgetLimits, FleetBudget
from papayacourse.routed.choice import ServerChoice
from papayacourse.routed.directory import Directory
from papayacourse.routed.reports import AdapterReports
from papayacourse.routed.seams import Listed, RunState
from papayacourse.routed.turns import turns
from papayacourse.routed.watchers import Watchers
from papayacourse.types import Address, GenerationRequest, Host, HostKind, HostState
from tests.steptext import names_in


class Clock:
    """A clock that steps set."""

    def __init__(self):
        self.now = 100.0

    def __call__(self) -> float:
        """Return the time."""
        return self.now


def server(name: str, domain: str = "lagos", state: HostState = HostState.LIVE, slots=4) -> Host:
    """Return a listed server."""
    return Host(
        name, HostKind.ENGINE, "127.0.0.1:9", domain, domain, state, service="desk", slots=slots
    )


# A request that crosses the close of its connection.


@given("a listener with an idle connection")
def listener(context):
    context.begun = []


@when("a request reaches the connection in the moment in which a stop closes it")
def crossing(context):
    async def work() -> None:
        server = Listener(lambda request: context.begun.append(request.path))
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        caller = socket.create_connection(sockets[0].getsockname()[:2])
        await asyncio.sleep(0.1)
        assert server.idle
        caller.sendall(b"POST /refund HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
        for connection in list(server.idle):
            # What the event loop does when bytes and the stop's timer are due in one turn.
            connection.stream._handle_events(connection.stream.fileno(), IOLoop.READ)
        server.end_idle()
        await asyncio.sleep(0.1)
        caller.close()
        await server.close_all_connections()

    asyncio.run(work())


@then("the request is not begun")
def not_begun(context):
    assert context.begun == [], context.begun


# The budget.


@given("a budget of {ratio:g} of the requests and {slack:g} sends in {window:g} s for 5 daemons")
def make_budget(context, ratio, slack, window):
    context.clock = Clock()
    limits = BudgetLimits(ratio, slack, window)
    context.budget = FleetBudget(limits, lambda: 5, context.clock)


def paid(context) -> int:
    """Return how many sends are paid for now."""
    count = 0
    while context.budget.take("desk", "test"):
        count += 1
    return count


@then("{count:d} sends are paid for without a request")
def paid_alone(context, count):
    assert paid(context) == count


@when("{count:d} requests come")
def requests_come(context, count):
    for _ in range(count):
        context.budget.note_request("desk")


@then("{count:d} more sends are paid for")
def paid_more(context, count):
    assert paid(context) == count


@when("{seconds:g} s pass")
def time_passes(context, seconds):
    context.clock.now += seconds


# The directory.


def listed(context, names: str) -> None:
    """Let the directory take a listing."""
    context.revision += 1
    hosts = tuple(server(name) for name in names_in(names))
    context.directory.take_engines(Listed(context.revision, hosts))


@given('a directory with servers "{names}"')
def make_directory(context, names):
    context.clock, context.revision, context.published = Clock(), 1, []
    context.directory = Directory(context.published.append, context.clock)
    listed(context, names)


@given("a directory that has read nothing")
def empty_directory(context):
    context.clock, context.revision, context.published = Clock(), 1, []
    context.directory = Directory(context.published.append, context.clock)


@when('daemons "{names}" are listed')
def daemons_listed(context, names):
    context.revision += 1
    hosts = tuple(server(name) for name in names_in(names))
    context.directory.take_members(Listed(context.revision, hosts))


@then("nothing is published")
def nothing_published(context):
    assert context.published == []


@given('a directory with servers "{names}" of which "{leaving}" leaves')
def make_directory_leaving(context, names, leaving):
    make_directory(context, names)
    states = {leaving: HostState.LEAVING}
    hosts = tuple(server(n, state=states.get(n, HostState.LIVE)) for n in names_in(names))
    context.revision += 1
    context.directory.take_engines(Listed(context.revision, hosts))


@when('the store is lost and comes back without "{name}"')
def store_returns(context, name):
    names = [host.name for host in context.directory.engines.hosts]
    context.directory.store_lost("a test")
    context.clock.now += 8
    listed(context, ", ".join(other for other in names if other != name))


@when('the servers listed are "{names}"')
def servers_listed(context, names):
    listed(context, names)


@when("{seconds:g} s pass for the directory")
def directory_time(context, seconds):
    context.clock.now += seconds
    context.directory.expire()


@then('"{names}" are published')
def are_published(context, names):
    found = context.published[-1]
    assert sorted(host.name for host in found.hosts) == sorted(names_in(names)), found
    versions = [listing.version for listing in context.published]
    assert versions == sorted(set(versions)), versions


# Turns.


@given("runs of {first:d}, {second:d} and {third:d} tokens, copied at {rate:d} tokens a second")
def make_runs(context, first, second, third, rate):
    sizes = (first, second, third)
    context.runs = [RunState(f"run-{number}", size) for number, size in enumerate(sizes)]
    context.rate = rate


@then("their turns in a domain begin at {first:g}, {second:g} and {third:g} s")
def turns_begin(context, first, second, third):
    context.turns = list(turns(reversed(context.runs), context.rate, LinkClass.SAME_DOMAIN))
    found = [round(turn.begin, 2) for turn in context.turns]
    assert found == [first, second, third], found
    again = list(turns(context.runs, context.rate, LinkClass.SAME_DOMAIN))
    assert again == context.turns, "the order of the report matters"


@then("no turn overlaps another")
def no_overlap(context):
    pairs = zip(context.turns, context.turns[1:], strict=False)
    assert all(before.end <= after.begin for before, after in pairs)


# The choice among plain servers.


@given("servers with 4 places, one near and one in another region")
def make_servers(context):
    context.clock = Clock()
    context.choice = ServerChoice(Place("lagos", "lagos"), context.clock)
    context.servers = [server("near"), server("far", "kano")]


@then("the {name} one is chosen")
def is_chosen(context, name):
    assert context.choice.choose(context.servers, ()).name == name


@when("4 calls run there")
def calls_run(context):
    context.choice.records["near"].running = 5


@when("those calls end and 5 calls there fail")
def calls_fail(context):
    record = context.choice.records["near"]
    record.running = 0
    for _ in range(5):
        record.note(True, context.clock())


@when("{seconds:g} s pass for the choice")
def choice_time(context, seconds):
    context.clock.now += seconds


# Logs.


@given("a log pipe that nobody reads")
def make_pipe(context):
    context.pipe, write = os.pipe()
    context.clock = Clock()
    context.writer = BoundedWriter(write, context.clock)


@when("{count:d} lines are written to it")
def write_lines(context, count):
    began = time.monotonic()
    line = json.dumps({"message_type": "request ended", "text": "x" * 100}).encode() + b"\n"
    for _ in range(count):
        context.writer.write(line)
        context.writer.flush()
    context.took = time.monotonic() - began


@then("writing took less than {seconds:g} s")
def took_less(context, seconds):
    assert context.took < seconds, context.took


@then("once it is read and a second has passed, the log says how many lines were left out")
def says_left_out(context):
    os.set_blocking(context.pipe, False)
    text = b""
    for _ in range(20):
        try:
            text += os.read(context.pipe, 1 << 20)
        except BlockingIOError:
            pass
        context.clock.now += 1
        context.writer.write(b'{"message_type":"one more"}\n')
        context.writer.flush()
    lines = [json.loads(line) for line in text.splitlines()]
    left_out = sum(line.get("lines", 0) for line in lines)
    written = sum(line["message_type"] == "request ended" for line in lines)
    assert left_out + written == 20000, (left_out, written)


# Members.


def membership(clock: Clock) -> Membership:
    """Return the membership of a daemon that is on no network."""
    hello = Hello("me", 1, "lagos", "lagos", "127.0.0.1:1", b"")
    address = Address("127.0.0.1", 2)
    return Membership(hello, Peers(hello, "k" * 20), Catalog(), HostList(address), (), clock)


@given("a member of another domain that said it takes no duties {seconds:g} s ago")
def told_long_ago(context, seconds):
    async def work() -> None:
        context.clock = Clock()
        context.membership = membership(context.clock)
        peer = Hello("far", 1, "kano", "kano", "127.0.0.1:3", b"")
        context.membership.met(peer)
        await context.membership.heard(peer, Heartbeat("far", 1, True, 0, 0))
        context.clock.now += seconds
        # Other frames still come from it.
        context.membership.heard_from(peer)
        for task in context.membership.heartbeats.tasks.values():
            task.cancel()

    asyncio.run(work())


@when("that domain's gateways say that it serves")
def gateways_say(context):
    context.membership.remote_live = lambda domain: ["far"] if domain == "kano" else []


@then("it is counted among the domain's daemons")
def is_counted(context):
    assert context.membership.live("kano") == ["far"]


class NotedPeers(Peers):
    """Peers on no network, that note what is sent to them."""

    async def send(self, name, message) -> None:
        """Note a message."""
        self.said.append((self.hello.name, name, message))


@when("it sends its domain's summary, in which it serves")
def sends_summary(context):
    take_summary(context, (Hello("far", 1, "kano", "kano", "127.0.0.1:3", b""),))


@when("it sends its domain's summary, in which nobody serves")
def sends_empty_summary(context):
    take_summary(context, ())


def take_summary(context, live) -> None:
    """Let the membership's gateways take a summary from "far" itself."""
    members = context.membership
    gateways = Gateways(members, members.peers, context.clock)
    peer = Hello("far", 1, "kano", "kano", "127.0.0.1:3", b"")
    asyncio.run(gateways.take_summary(peer, DomainSummary("kano", "kano", live, ())))


@then("it is not counted among the domain's daemons")
def is_not_counted(context):
    assert context.membership.live("kano") == []


@given("two domains whose daemons have heard each other say that they take no duties yet")
def two_uninformed(context):
    context.clock = Clock()
    context.hellos = [
        Hello("near", 1, "lagos", "lagos", "127.0.0.1:3", b""),
        Hello("far", 1, "kano", "kano", "127.0.0.1:4", b""),
    ]
    context.said = []
    context.sides = [uninformed(context, hello) for hello in context.hellos]

    async def work() -> None:
        for side, other in zip(context.sides, reversed(context.hellos), strict=True):
            side.met(other)
            await side.heard(other, Heartbeat(other.name, 1, True, 0, 0))
            for task in side.heartbeats.tasks.values():
                task.cancel()
            side.peers.links = {other.name: None}

    asyncio.run(work())


def uninformed(context, hello) -> Membership:
    """Return the membership of a daemon that knows too little, and notes what it sends."""
    peers = NotedPeers(hello, "k" * 20)
    peers.said = context.said
    host_list = HostList(Address("127.0.0.1", 2))
    members = Membership(hello, peers, Catalog(), host_list, (), context.clock)
    members.informed = lambda: False
    return members


@then("each keeps a link to the other")
def each_keeps_link(context):
    near, far = context.sides
    assert near.linked("kano") == ["far"], near.linked("kano")
    assert far.linked("lagos") == ["near"], far.linked("lagos")


@when("they know enough to take duties")
def they_know_enough(context):
    for side in context.sides:
        side.informed = lambda: True


@then("each is told so by the other within {seconds:g} s")
def each_is_told(context, seconds):
    async def work() -> None:
        tending = [asyncio.create_task(side.tend()) for side in context.sides]
        await asyncio.sleep(seconds)
        for task in tending:
            task.cancel()

    context.said.clear()
    asyncio.run(work())
    told = {(sender, name) for sender, name, message in context.said if not message.leaving}
    assert told == {("near", "far"), ("far", "near")}, context.said


@when("a daemon meets itself through a seed")
def meets_itself(context):
    context.membership = membership(Clock())
    context.membership.met(context.membership.me)


@then("it has no members")
def has_no_members(context):
    assert context.membership.members == {}


# Who follows the store.


@given("a domain of {count:d} daemons that hear each other")
def make_domain(context, count):
    context.clock = Clock()
    hellos = [
        Hello(f"d{number}", 1, "lagos", "lagos", f"127.0.0.1:{number}", b"")
        for number in range(count)
    ]
    asyncio.run(meet(context, hellos))


async def meet(context, hellos) -> None:
    """Let daemons that are on no network meet each other, and hear that some follow."""
    context.watchers = []
    for hello in hellos:
        peers = Peers(hello, "k" * 20)
        members = Membership(
            hello, peers, Catalog(), HostList(Address("127.0.0.1", 2)), (), context.clock
        )
        watchers = Watchers(members, peers, lambda: True, context.clock)
        for other in hellos:
            members.met(other)
        await watchers.heard(hello, HostsNews(0, 0))
        for task in members.heartbeats.tasks.values():
            task.cancel()
        context.watchers.append(watchers)


@then("{count:d} of them follow the store")
def how_many_follow(context, count):
    assert sum(watcher.should_follow() for watcher in context.watchers) == count


@when("{seconds:g} s passes without a word of these")
@when("{seconds:g} s pass without a word of these")
def no_word(context, seconds):
    context.clock.now += seconds


# Who is told that an engine leaves.


class LeavingEngine:
    """Calls to an engine that says that it leaves."""

    async def load(self, _host) -> EngineLoad:
        """Return its load."""
        return EngineLoad(2, 0, 1000, 30000, 0, True)


@given('a ledger with runs of daemons "{names}" on an engine that says that it leaves')
def make_ledger(context, names):
    context.ledger = EngineLedger("planner/one", "127.0.0.1:9", 30000, 24, 0.0, Predicted())
    for name in names_in(names):
        request = GenerationRequest(f"run-{name}", "t", "planner", "x", "", 100, 100, 0)
        put(context.ledger, Stream(request, name))


@when("its load is read")
def read_load(context):
    context.told = {}

    async def note(host, daemons) -> None:
        context.told[host.name] = daemons

    reports = AdapterReports(LeavingEngine(), lambda name: server(name), note)
    asyncio.run(reports.load(context.ledger))


@then('"{names}" are to be told')
def are_told(context, names):
    assert context.told == {"planner/one": set(names_in(names))}, context.told
