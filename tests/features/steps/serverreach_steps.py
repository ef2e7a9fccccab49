"""Steps about servers in reach and relayed answers, without processes or network."""

import asyncio
from types import SimpleNamespace

from attrs import define, evolve, field
from behave import given, then, when
from routedparts_steps import Clock, server
from tornado.httputil import HTTPHeaders

from papayacourse.exceptions import RequestRefused
from papayacourse.relaymessages import RelayEnd, RelayPart, RelayRequest
from papayacourse.routed.partqueue import PartQueue
from papayacourse.routed.relayedexchange import RelayedExchange
from papayacourse.serverreach import ServerReach
from papayacourse.types import Host, Ran


@define(eq=False, slots=False)
class Network:
    """Servers, and which of them can be reached.

    Attributes
    ----------
    asked : list of str
        The servers that were asked.
    """

    servers: list[Host] = field(factory=list)
    up: set[str] = field(factory=set)
    asked: list[str] = field(factory=list)
    clock: Clock = field(factory=Clock)

    def __attrs_post_init__(self) -> None:
        self.reach = ServerReach(lambda: self.servers, self.can_connect, self.clock)

    async def can_connect(self, host: Host) -> bool:
        """Ask a server."""
        self.asked.append(host.name)
        await asyncio.sleep(0)
        return host.name in self.up

    async def fail(self) -> None:
        """Have a connection fail."""
        self.reach.record_failure()
        await self.reach.wait_for_check()


@given("{count:d} servers, of which {up:d} can be reached")
def some_servers(context, count, up):
    context.network = Network()
    context.network.servers = [server(f"desk-{number}") for number in range(count)]
    context.network.up = {host.name for host in context.network.servers[:up]}


@when("a connection to a server fails")
def connection_fails(context):
    asyncio.run(context.network.fail())


@when("a connection to a server is opened")
def connection_opened(context):
    context.network.reach.record_contact()


@when("1 s has passed")
def second_passed(context):
    context.network.clock.now += 1.0


@when("1 of them can be reached, of another service and domain than the rest")
def one_is_back(context):
    first = context.network.servers[0]
    context.network.servers[0] = evolve(first, service="other", domain="other")
    context.network.up = {first.name}


@when("it checks again")
def check_again(context):
    context.network.clock.now += 1.0
    asyncio.run(context.network.reach.check())


@then("the daemon is cut off")
def is_cut_off(context):
    assert context.network.reach.is_cut_off


@then("the daemon is not cut off")
def is_not_cut_off(context):
    assert not context.network.reach.is_cut_off


@then("the daemon is not cut off in any of {count:d} checks")
def never_cut_off(context, count):
    for _ in range(count):
        context.network.clock.now += 1.0
        assert not asyncio.run(context.network.reach.check())


@then("no server was asked")
def none_asked(context):
    assert not context.network.asked


@then("{count:d} servers at most were asked")
def asked_at_most(context, count):
    assert 1 <= len(context.network.asked) <= count, context.network.asked


@given("a relayed request whose caller takes one part at a time")
def relayed_request(context):
    context.parts, context.most_queued, context.has_left = [], 0, False
    request = RelayRequest(7, "GET", "/view/1", (), b"", 0.0)

    async def deliver(part: RelayPart) -> bool:
        context.most_queued = max(context.most_queued, context.exchange.queued_bytes)
        await asyncio.sleep(0)
        context.parts.append(part)
        return not context.has_left

    context.cut_off = SimpleNamespace(now=False)
    context.exchange = RelayedExchange(request, deliver, lambda: context.cut_off.now)


@when("it is answered with {pieces:d} pieces of {size:d} bytes and {end}")
def is_answered(context, pieces, size, end):
    exchange = context.exchange
    context.pieces = [bytes([number % 256]) * size for number in range(pieces)]

    async def answer() -> None:
        sending = asyncio.create_task(exchange.send_parts())
        await exchange.begin(200, HTTPHeaders({"X": "y"}), context.pieces[0])
        for piece in context.pieces[1:]:
            await exchange.write(piece)
        if end == "ends":
            exchange.end()
        else:
            exchange.abort()
        await sending

    asyncio.run(answer())


@then('the caller has all of them in order, and the last part says "{said}"')
def has_all(context, said):
    assert b"".join(part.data for part in context.parts) == b"".join(context.pieces)
    assert [part.status for part in context.parts] == [200] + [0] * (len(context.parts) - 1)
    ends = [part.end for part in context.parts]
    assert ends == [RelayEnd.NONE] * (len(ends) - 1) + [RelayEnd(said)], ends


@then("at most {size:d} bytes waited")
def waited_at_most(context, size):
    assert context.most_queued <= size, context.most_queued


@when("it is refused as not run by a daemon that reaches no server")
def refused_cut_off(context):
    context.cut_off.now = True

    async def refuse() -> None:
        sending = asyncio.create_task(context.exchange.send_parts())
        await context.exchange.refuse(RequestRefused(503, "no_server", "none", Ran.NO))
        await sending

    asyncio.run(refuse())


@then("the caller's daemon is told that it was not served")
def not_served(context):
    assert [part.end for part in context.parts] == [RelayEnd.NOT_SERVED], context.parts


@when("its caller has left by the first part of its answer")
def leaves_early(context):
    context.has_left = True

    async def answer() -> None:
        exchange = context.exchange
        exchange.task = asyncio.create_task(write_for_ever(exchange))
        await exchange.send_parts()
        await asyncio.wait([exchange.task])
        context.task = exchange.task

    async def write_for_ever(exchange: RelayedExchange) -> None:
        await exchange.begin(200, HTTPHeaders())
        while True:
            await exchange.write(b"more")
            await asyncio.sleep(0)

    asyncio.run(answer())


@then("the request is cancelled")
def request_cancelled(context):
    assert context.task.cancelled() or context.task.exception(), context.task


@given("parts that wait for a caller who has left")
def parts_waiting(context):
    async def put_and_close() -> list[bool]:
        parts = PartQueue()
        part = RelayPart(1, 0, (), b"", RelayEnd.NONE)
        waiting = [asyncio.create_task(parts.put(part)) for _ in range(3)]
        await asyncio.sleep(0)
        parts.close()
        return [*await asyncio.gather(*waiting), await parts.put(part)]

    context.taken = asyncio.run(put_and_close())


@then("none of them waits any longer, and each is told that it was not taken")
def not_taken(context):
    assert context.taken == [False] * 4, context.taken
