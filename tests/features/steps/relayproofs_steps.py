"""Steps about what a daemon may say of a request that it has relayed."""

import asyncio
from collections.abc import Callable

from attrs import define, evolve, field
from behave import given, then, when

from papayacourse.exceptions import PeerError, PeerTimeout, PeerUnreachable, RequestRefused
from papayacourse.meshmessages import Done
from papayacourse.messages import Message
from papayacourse.relaymessages import (
    RelayAccepted,
    RelayCancelled,
    RelayDeclined,
    RelayEnd,
    RelayPart,
    RelayRequest,
)
from papayacourse.routed.relayedexchange import RelayedExchange
from papayacourse.routed.relaying import RelayBroken, Relaying
from tests.steptext import names_in

DAEMONS = ("b", "c")


def part(status: int, end: RelayEnd) -> RelayPart:
    """Return the one part of an answer, whose number is set when it is sent."""
    return RelayPart(0, status, (), b"", end)


Script = Message | PeerError | list[RelayPart]
BEHAVIOUR: dict[str, Script] = {
    "declines it": RelayDeclined("it reaches no server either"),
    "cannot be reached": PeerUnreachable("no link"),
    "says nothing": PeerTimeout("no answer"),
    "fails": PeerError("KeyError"),
    "gives a strange answer": Done(),
    "serves it": [part(200, RelayEnd.WHOLE)],
    "refuses it": [part(503, RelayEnd.WHOLE)],
    "answers with status 0": [part(0, RelayEnd.WHOLE)],
    "answers with status 600": [part(600, RelayEnd.WHOLE)],
    "gives it back": [part(0, RelayEnd.NOT_SERVED)],
    "accepts it and breaks off": [part(0, RelayEnd.BROKEN)],
    "begins and gives it back": [part(200, RelayEnd.NONE), part(0, RelayEnd.NOT_SERVED)],
}


@define(eq=False)
class ScriptedPeers:
    """Links to daemons that do with a relayed request what a test says."""

    scripts: dict[str, Script] = field(factory=dict)
    asked: list[str] = field(factory=list)
    handlers: dict[type, Callable] = field(factory=dict)
    tasks: list[asyncio.Task] = field(factory=list)

    async def call(self, name: str, request: RelayRequest, _timeout: float) -> Message:
        """Answer a call as the daemon's script says."""
        self.asked.append(name)
        match self.scripts[name]:
            case PeerError() as error:
                raise error
            case list(parts):
                self.tasks.append(asyncio.ensure_future(self.send_parts(request.number, parts)))
                return RelayAccepted()
            case answer:
                return answer

    async def send_parts(self, number: int, parts: list[RelayPart]) -> None:
        """Send the parts of an answer, each when the one before has been taken."""
        for each in parts:
            await self.handlers[RelayPart](None, evolve(each, number=number))

    def send_on_open_link(self, _name: str, _note: RelayCancelled) -> None:
        """Take a note that needs no answer."""


class SmallMesh(Relaying):
    """Relays to two daemons, in a fixed order."""

    def candidates(self, _homes) -> list[str]:
        """Return the daemons to ask."""
        return list(DAEMONS)


@given('a daemon that reaches no server, beside daemons "b" and "c"')
def lonely_daemon(context):
    context.peers = ScriptedPeers()


@when('the asked daemon "{name}" {behaviour}')
def behaves(context, name, behaviour):
    context.peers.scripts[name] = BEHAVIOUR[behaviour]


@when("the cut-off daemon relays a {kind}")
def relay_request(context, kind):
    context.status = asyncio.run(relayed_status(context.peers, kind == "repeatable call"))


async def relayed_status(peers: ScriptedPeers, may_repeat: bool) -> int:
    """Return the status of the answer to a caller whose request is relayed."""

    async def deliver(_part: RelayPart) -> bool:
        return True

    relaying = SmallMesh(None, peers, None, lambda _exchange: None, lambda _request: "")
    request = RelayRequest(1, "POST", "/book/1", (), b"", 0.0)
    exchange = RelayedExchange(request, deliver, lambda: False, lambda: "id-1")
    try:
        await relaying.relay(exchange, may_repeat)
    except RequestRefused as refused:
        await exchange.refuse(refused)
    except RelayBroken:
        exchange.abort()
    return exchange.queued[0].status


@then("the relayed answer is {status:d}")
def relayed_answer(context, status):
    assert context.status == status, context.status


@then('the cut-off daemon asked "{names}"')
def were_asked(context, names):
    assert context.peers.asked == names_in(names), context.peers.asked
