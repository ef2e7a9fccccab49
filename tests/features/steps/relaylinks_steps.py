"""Steps about links between daemons that close in the middle of a relayed answer."""

import asyncio
from types import SimpleNamespace

from attrs import define, field
from behave import given, then, when
from relayproofs_steps import SmallMesh
from tornado.httputil import HTTPHeaders

from papayacourse.exceptions import PeerTimeout, PeerUnreachable, RequestRefused
from papayacourse.relaymessages import RelayEnd, RelayPart, RelayRequest
from papayacourse.routed.relayedexchange import RelayedExchange
from papayacourse.routed.relaying import RelayBroken, Relaying

LATER = 0.1  # seconds for which a link is closed, less than the interval of the looks at links

PAUSE = 0.01  # seconds between parts, so that each goes by itself


@define(eq=False)
class ClosingLink:
    """The link between two daemons, which closes once at a part of an answer.

    Attributes
    ----------
    handlers, links : dict
        What the other side calls, and what a daemon asks for its links: as in Peers.
    closes_at : int
        The number of the part, from 1 up.
    lost : str
        What is lost with the link: the ``message`` or its ``answer``.
    then : str
        Whether the link ``opens again`` at once, ``opens later`` or ``stays closed``.
    """

    closes_at: int
    lost: str
    then: str
    handlers: dict = field(factory=dict)
    links: dict = field(factory=lambda: {"b": "link", "c": "link"})
    parts: int = 0

    async def call(self, _name: str, message, _timeout: float):
        """Carry a message to the other side, and its answer back."""
        if not self.links:
            raise PeerUnreachable("no link")
        if not isinstance(message, RelayPart):
            return await self.handlers[type(message)](SimpleNamespace(name="a"), message)
        self.parts += 1
        closes = self.parts == self.closes_at
        if closes and self.lost == "message":
            self.close()
            raise PeerTimeout("the link was lost")
        answer = await self.handlers[RelayPart](None, message)
        if closes:
            self.close()
            raise PeerTimeout("the link was lost")
        return answer

    def close(self) -> None:
        """Close, and open again if it must."""
        whole = dict(self.links)
        if self.then != "opens again":
            self.links.clear()
        if self.then == "opens later":
            asyncio.get_running_loop().call_later(LATER, self.links.update, whole)

    def send_on_open_link(self, _name: str, _note) -> None:
        """Take a note that needs no answer."""


class Serving(Relaying):
    """Serves a relayed answer of some parts."""

    pieces: int = 0

    def begin(self, exchange: RelayedExchange) -> asyncio.Task:
        """Serve an answer, each part on its own."""

        async def answer() -> None:
            await exchange.begin(200, HTTPHeaders(), b"1")
            for _ in range(self.pieces - 1):
                await asyncio.sleep(PAUSE)
                await exchange.write(b"1")
            await asyncio.sleep(PAUSE)
            exchange.end()

        async def serve() -> None:
            exchange.task = asyncio.create_task(answer())
            await exchange.send_parts()
            await asyncio.wait([exchange.task])

        return asyncio.create_task(serve())


@given("a daemon that serves a relayed answer of {count:d} parts")
def serving_daemon(context, count):
    context.pieces = count


@given("the link closes at part {part:d} of the answer, whose {lost} is lost, and {then_it}")
def closing_link(context, part, lost, then_it):
    context.link = ClosingLink(part, lost, then_it)


async def relayed(context) -> tuple[list[RelayPart], str]:
    """Return the parts that a caller has, and the reason of its refusal if it was refused."""
    reach = SimpleNamespace(is_cut_off=False, verify=lambda: asyncio.sleep(0, False))
    living = SimpleNamespace(is_alive=lambda _name: True)
    serving = Serving(living, context.link, reach, lambda e: serving.begin(e), lambda _request: "")
    serving.pieces = context.pieces
    relaying = SmallMesh(living, context.link, None, lambda _exchange: None, lambda _request: "")
    # Both sides' handlers are in one table; those of the parts are of the side that relays.
    context.link.handlers[RelayRequest] = serving._handle_request
    caller = RelayedExchange(
        RelayRequest(1, "POST", "/book/1", (), b"", 0.0), None, lambda: False, lambda: "id-1"
    )
    try:
        async with asyncio.timeout(3.0):
            await relaying.relay(caller, False)
    except RequestRefused as refused:
        return list(caller.queued), refused.reason
    except RelayBroken:
        caller.abort()
    return list(caller.queued), ""


@when("the answer is relayed")
def answer_relayed(context):
    try:
        context.parts, context.reason = asyncio.run(relayed(context))
    except TimeoutError:
        context.parts, context.reason = [], "it waits"


@then('within 3 s the caller has an answer that broke off, or the refusal "{reason}"')
def broke_off(context, reason):
    if context.reason:
        assert context.reason == reason and not context.parts, context.reason
    else:
        assert context.parts[-1].end is RelayEnd.BROKEN, context.parts


@then("within 3 s the caller has the whole answer")
def came_whole(context):
    assert not context.reason and context.parts[-1].end is RelayEnd.WHOLE, context.reason
    assert b"".join(part.data for part in context.parts) == b"1" * context.pieces
