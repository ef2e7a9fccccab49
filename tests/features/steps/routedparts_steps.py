"""Steps about the parts that decide for routed requests, without processes."""

import asyncio
import json
import os
import socket
import time

from attrs import evolve
from behave import given, then, when
from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets

from papayacourse.boundedwriter import BoundedWriter
from papayacourse.engines import EngineLoad
from papayacourse.hostlist import HostListing
from papayacourse.ledger import EngineLedger, Stream, add_stream
from papayacourse.linkclasses import LinkClass, Place
from papayacourse.listener import Listener
from papayacourse.policies import Predicted
from papayacourse.routed.budget import FleetRetryBudget, RetryBudgetLimits
from papayacourse.routed.choice import ServerChoice
from papayacourse.routed.directory import HostDirectory
from papayacourse.routed.migration.moveschedule import schedule_moves
from papayacourse.routed.reports import AdapterReports
from papayacourse.routed.seams import RunState, StorePosition, StoreUpdate
from papayacourse.routed.serveruse import ServerUseView
from papayacourse.types import GenerationRequest, Host, HostKind, HostState
from tests.steptext import names_in

CHECKS, CHECK_INTERVAL = 500, 0.01  # of a condition, in seconds


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


async def is_met(condition) -> None:
    """Wait until a condition is met."""
    for _ in range(CHECKS):
        if condition():
            return
        await asyncio.sleep(CHECK_INTERVAL)
    raise AssertionError("the condition is not met")


@when("a request reaches the connection in the moment in which a stop closes it")
def crossing(context):
    async def work() -> None:
        server = Listener(lambda request: context.begun.append(request.path))
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        caller = socket.create_connection(sockets[0].getsockname()[:2])
        # A connection that is new is left open: its first request is on the way.
        await is_met(lambda: bool(server.idle) and not server.has_new_connections())
        caller.sendall(b"POST /refund HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n")
        for connection in list(server.idle):
            # What the event loop does when bytes and the stop's timer are due in one turn.
            connection.stream._handle_events(connection.stream.fileno(), IOLoop.READ)
        server.drain_connections()
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
    limits = RetryBudgetLimits(ratio, slack, window)
    context.budget = FleetRetryBudget(limits, lambda: 5, context.clock)


def paid(context) -> int:
    """Return how many sends are paid for now."""
    count = 0
    while context.budget.try_spend("desk", "test"):
        count += 1
    return count


@then("{count:d} sends are paid for without a request")
def paid_alone(context, count):
    assert paid(context) == count


@when("{count:d} requests come")
def requests_come(context, count):
    for _ in range(count):
        context.budget.record_request("desk")


@then("{count:d} more sends are paid for")
def paid_more(context, count):
    assert paid(context) == count


@when("{seconds:g} s pass")
def time_passes(context, seconds):
    context.clock.now += seconds


# The directory.


def update(context, **parts) -> None:
    """Let the directory take an update at the next revision."""
    context.revision += 1
    known = context.directory.in_force()
    news = StoreUpdate(StorePosition(context.era, context.revision), **parts)
    context.directory.update(known, news)


def listed(context, names: str) -> None:
    """Let the directory take a listing."""
    update(context, engines=tuple(server(name) for name in names_in(names)))


@given('a directory with servers "{names}"')
def make_directory(context, names):
    empty_directory(context)
    listed(context, names)


@given("a directory that has read nothing")
def empty_directory(context):
    context.clock, context.revision, context.era, context.published = Clock(), 1, 1, []
    context.directory = HostDirectory(
        context.published.append,
        context.clock,
        in_force=lambda: context.published[-1] if context.published else HostListing(0, ()),
    )


@when('daemons "{names}" are listed')
def daemons_listed(context, names):
    update(context, members=tuple(server(name) for name in names_in(names)))


@then("nothing is published")
def nothing_published(context):
    assert context.published == []


@given('a directory with servers "{names}" of which "{leaving}" leaves')
def make_directory_leaving(context, names, leaving):
    make_directory(context, names)
    states = {leaving: HostState.LEAVING}
    hosts = tuple(server(n, state=states.get(n, HostState.LIVE)) for n in names_in(names))
    update(context, engines=hosts)


@when('the store is lost and comes back without "{name}"')
def store_returns(context, name):
    names = [host.name for host in context.directory.engines]
    context.directory.contact.record_failure("a test")
    context.clock.now += 8
    listed(context, ", ".join(other for other in names if other != name))


@when("the store comes back from an older copy, in which all servers are live")
def store_returns_older(context):
    context.directory.contact.record_failure("a test")
    context.clock.now += 1
    context.era, context.revision = context.era + 1, 0
    hosts = tuple(evolve(h, state=HostState.LIVE) for h in context.directory.engines)
    update(context, engines=hosts, members=(), is_complete=True)


@then('"{name}" is published as "{state}" in epoch {epoch:d}')
def published_state(context, name, state, epoch):
    found = context.published[-1]
    assert (found.by_name[name].state.value, found.epoch) == (state, epoch), found


@when('the servers listed are "{names}"')
def servers_listed(context, names):
    listed(context, names)


@when('another daemon publishes "{names}"')
def other_publishes(context, names):
    context.revision += 1
    hosts = tuple(server(name) for name in names_in(names))
    context.published.append(HostListing(2 * context.revision, hosts))


@when('the whole store is read with servers "{names}"')
def whole_read(context, names):
    hosts = tuple(server(name) for name in names_in(names))
    update(context, engines=hosts, members=(), is_complete=True)


@when("{seconds:g} s pass for the directory")
def directory_time(context, seconds):
    context.clock.now += seconds
    context.directory.expire()


@then('"{names}" are published')
def are_published(context, names):
    found = context.published[-1]
    assert sorted(host.name for host in found.hosts) == sorted(names_in(names)), found
    versions = [listing.epoch_version for listing in context.published]
    assert versions == sorted(set(versions)), versions


# Turns.


@given("runs of {first:d}, {second:d} and {third:d} tokens, copied at {rate:d} tokens a second")
def make_runs(context, first, second, third, rate):
    sizes = (first, second, third)
    context.runs = [RunState(f"run-{number}", size) for number, size in enumerate(sizes)]
    context.rate = rate


@then("their turns in a domain begin at {first:g}, {second:g} and {third:g} s")
def turns_begin(context, first, second, third):
    context.turns = list(
        schedule_moves(reversed(context.runs), context.rate, LinkClass.SAME_DOMAIN)
    )
    found = [round(turn.begin, 2) for turn in context.turns]
    assert found == [first, second, third], found
    again = list(schedule_moves(context.runs, context.rate, LinkClass.SAME_DOMAIN))
    assert again == context.turns, "the order of the report matters"


@then("no turn overlaps another")
def no_overlap(context):
    pairs = zip(context.turns, context.turns[1:], strict=False)
    assert all(before.end <= after.begin for before, after in pairs)


# The choice among plain servers.


def draw_likeliest(hosts: list[Host], weights: list[float]) -> list[Host]:
    """Return the host that is most likely to be drawn."""
    return [hosts[weights.index(max(weights))]]


@given("servers with 4 places, one near and one in another region")
def make_servers(context):
    context.clock = Clock()
    context.choice = ServerChoice(
        Place("lagos", "lagos"),
        clock=context.clock,
        use=ServerUseView(context.clock),
        draw=draw_likeliest,
    )
    context.servers = [server("near"), server("far", "kano")]


@then("the {name} one is chosen")
def is_chosen(context, name):
    assert context.choice.choose(context.servers, ()).name == name


@when("4 calls run there")
def calls_run(context):
    for _ in range(5):
        context.choice.use.begin("near")


@when("those calls end and 5 calls there fail")
def calls_fail(context):
    for _ in range(5):
        context.choice.use.end("near", None, rejected=False)
        context.choice.records["near"].record_result(True, context.clock())


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
        add_stream(context.ledger, Stream(request, name))


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
