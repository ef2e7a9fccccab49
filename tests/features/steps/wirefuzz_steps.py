"""Steps about frames of any content."""

import asyncio
import datetime
import enum
import math
import random
import re
import time
import types
import typing
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager

import attrs
import cbor2
import eliot
from attrs import define, field
from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as given_values
from hypothesis import strategies as st
from tornado.httputil import HTTPHeaders

from papayacourse.catalog import Catalog
from papayacourse.exceptions import MalformedMessage, PeerError, PeerTimeout
from papayacourse.gateways import Gateways
from papayacourse.hostlist import HostList
from papayacourse.link import Link
from papayacourse.membership import Membership
from papayacourse.meshmessages import (
    Beat,
    CallFailed,
    DomainSummary,
    Done,
    Hello,
    HostsAsk,
    HostsUpdate,
    Proof,
)
from papayacourse.peers import Peers
from papayacourse.relaymessages import MAX_RELAYED_BODY, RelayRequest
from papayacourse.schedulingmessages import EnginesAsk, EnginesOutOfLine
from papayacourse.types import (
    Address,
    HttpMethod,
    PastSeconds,
    RelayedBody,
    RequestTarget,
    UnboundedSeconds,
)
from papayacourse.wire import KINDS, MAX_FRAME_BYTES, PROTOCOL_VERSION, Frame, decode, encode
from tests.routedfleet import MESH_KEY
from tests.wiresamples import frames

MAX_REASON = 300  # characters
CALL_TIMEOUT = 3.0  # seconds
SAMPLES = [bytes.fromhex(each["frame"]) for each in frames()]
ODD_VALUES = [
    None, True, -1, 1.5, 2**63, 2**64, -(2**70), 2**4000, math.nan, math.inf, -math.inf, "", "7",
    "x\r\ny", "\0", "é", "字", b"\xff", [], [[]], ["a"], {}, {1: 2}, {"a": "b"}, cbor2.undefined,
    datetime.datetime(2026, 1, 1, tzinfo=datetime.UTC), cbor2.CBORTag(9999, 1),
    cbor2.CBORSimpleValue(99),
]  # fmt: skip
RAW_VALUES = [
    "817f", "7f61ff", "63eda080", "d81c81d81d00", "9bffffffffffffffff", "5b7fffffffffffffff",
    "c11b7fffffffffffffff", "c482c2" + "48ffffffffffffffff" + "01", "81" * 3000 + "00",
]  # fmt: skip


def places(value, path=()):
    """Yield the path of each value in nested arrays, the outermost first."""
    yield path
    if isinstance(value, list):
        for index, member in enumerate(value):
            yield from places(member, (*path, index))


def with_value(value, path, odd):
    """Return nested arrays with another value at a path."""
    if not path:
        return odd
    index, *rest = path
    return [*value[:index], with_value(value[index], rest, odd), *value[index + 1 :]]


@st.composite
def altered_frames(draw):
    """Return the frame of a message with odd values or other bytes in it."""
    sample = draw(st.sampled_from(SAMPLES))
    if draw(st.booleans()):
        value = cbor2.loads(sample)
        for _ in range(draw(st.integers(1, 2))):
            path = draw(st.sampled_from(list(places(value))))
            value = with_value(value, path, draw(st.sampled_from(ODD_VALUES)))
        return cbor2.dumps(value)
    begin = draw(st.integers(0, len(sample)))
    end = begin + draw(st.integers(0, 8))
    raw = st.sampled_from(RAW_VALUES).map(bytes.fromhex)
    return sample[:begin] + draw(st.binary(max_size=8) | raw) + sample[end:]


def check_random(count, strategy, check):
    """Check random values, the same each time."""
    run = settings(max_examples=count, deadline=None, database=None, derandomize=True,
                   suppress_health_check=list(HealthCheck))  # fmt: skip
    run(given_values(strategy)(check))()


def is_sound(value, kind) -> bool:
    """Return True if a value is of a message's field's type and can be used as such."""
    if kind == tuple[tuple[str, str], ...]:
        headers = HTTPHeaders()
        for name, text in value:
            headers.add(name, text)
    origin, arguments = typing.get_origin(kind), typing.get_args(kind)
    if origin in (types.UnionType, typing.Union):
        return any(is_sound(value, each) for each in arguments)
    if origin is tuple:
        kinds = [arguments[0]] * len(value) if arguments[-1] is Ellipsis else arguments
        return type(value) is tuple and all(map(is_sound, value, kinds))
    if kind is UnboundedSeconds:
        return type(value) is float and value > -math.inf
    if kind is PastSeconds:
        return type(value) is float and 0 <= value < math.inf
    if kind is HttpMethod:
        return type(value) is str and value.isascii() and value.isprintable() and " " not in value
    if kind is RequestTarget:
        return type(value) is str and bool(value) and not re.search(r"[^!-~\x80-\xff]", value)
    if kind is RelayedBody:
        return type(value) is bytes and len(value) <= MAX_RELAYED_BODY
    if type(value) is not kind:
        return False
    if attrs.has(kind):
        return all(is_sound(getattr(value, f.name), f.type) for f in attrs.fields(kind))
    if kind is float:
        return math.isfinite(value)
    if kind is int:
        return -(2**63) <= value < 2**64
    return issubclass(kind, enum.Enum) or kind in (str, bytes, bool, type(None))


def check_frame(data):
    """Check that a frame is refused, or is a message that can be used and sent on."""
    try:
        frame = decode(data)
    except MalformedMessage as error:
        assert len(str(error)) <= MAX_REASON, str(error)
        return
    assert is_sound(frame.message, type(frame.message)), frame
    assert decode(encode(frame)) == frame


@then("{count:d} random frames are refused or decoded into values of their fields' types")
def random_frames(_context, count):
    generated = random.Random(count)
    for _ in range(count):
        check_frame(generated.randbytes(generated.randrange(40)))
    check_random(count, st.binary(), check_frame)


@then("{count:d} altered frames are refused or decoded into values of their fields' types")
def altered(_context, count):
    check_random(count, altered_frames(), check_frame)


@define(eq=False)
class Pair:
    """Two daemons that have a link, and the log lines of both.

    Attributes
    ----------
    gate : asyncio.Event
        Set when the calls that wait for it are to be answered.
    """

    ends: dict[str, Peers] = field(factory=dict)
    gate: asyncio.Event = field(factory=asyncio.Event)
    lines: list[dict] = field(factory=list)

    async def answer(self, _peer: Hello, message: HostsAsk) -> HostsUpdate:
        """Answer a call when the gate is open."""
        await self.gate.wait()
        return HostsUpdate(message.version, ())

    @asynccontextmanager
    async def linked(self):
        """Run both daemons."""
        handlers = {HostsAsk: self.answer, Beat: ignore}
        with capture_logging(self.lines):
            async with AsyncExitStack() as stack:
                for name in ("a", "b"):
                    hello = Hello(name, 1, "lagos-1", "lagos", "127.0.0.1:1", b"")
                    peers = self.ends[name] = Peers(hello, MESH_KEY, dict(handlers))
                    address = await stack.enter_async_context(
                        peers.listening(Address("127.0.0.1", 0))
                    )
                linked = asyncio.Event()
                self.ends["b"].on_connected = lambda _hello: linked.set()
                await self.ends["a"].dial(address)
                await linked.wait()
                yield self

    def link(self, sender: str, receiver: str) -> Link:
        """Return a daemon's link."""
        return self.ends[sender].links[receiver]

    def call(self, sender: str, receiver: str, message) -> asyncio.Task:
        """Start a call."""
        return asyncio.ensure_future(self.ends[sender].call(receiver, message, CALL_TIMEOUT))

    def logged(self, kind: str) -> list[dict]:
        """Return the log lines of a kind."""
        return [line for line in self.lines if line.get("message_type") == kind]


async def ignore(_peer, _message) -> None:
    """Answer at once."""


@contextmanager
def capture_logging(lines):
    """Collect log lines."""
    eliot.add_destinations(lines.append)
    try:
        yield
    finally:
        eliot.remove_destination(lines.append)


async def outcome(call):
    """Return the answer of a call, or its error."""
    try:
        return await asyncio.wait_for(call, CALL_TIMEOUT + 1)
    except PeerError as error:
        return error


RELAYED = RelayRequest(7, "GET", "/view/1", (("Host", "site.example"),), b"", 0.5)
RELAYED_VALUES = {
    "empty": "", "two words": "GET /other", "two lines": "GET\r\nX-Tenant: other",
    "200 letters": "x" * 200, "201 letters": "x" * 201, "no ASCII": "GÉT",
    "beyond Latin-1": "/\u2028", "a path with bytes of Latin-1": "/view/caf\u00c3\u00a9?a=%20",
    "60000 letters": "/" + "x" * 59_999, "300000 letters": "/" + "x" * 299_999,
    "1048576 bytes": bytes(1_048_576), "1048577 bytes": bytes(1_048_577),
    "below zero": -1e9, "zero": 0.0,
}  # fmt: skip


def relayed_frame(part: str, value: str) -> Frame:
    """Return the frame of a relayed request with a named value in one part."""
    found = RELAYED_VALUES[value]
    if part == "headers":
        found = (("X-Long", found),)
    return Frame(5, False, attrs.evolve(RELAYED, **{part: found}))


@then("a frame of a relayed request whose {part} is {odd} is refused")
def relayed_refused(_context, part, odd):
    try:
        frame = decode(encode(relayed_frame(part, odd)))
    except MalformedMessage as error:
        assert error.call == 5 and len(str(error)) <= MAX_REASON, error
        return
    raise AssertionError(f"it was read: {str(frame)[:MAX_REASON]}")


@then("a frame of a relayed request whose {part} is {usual} is read as it was")
def relayed_read(_context, part, usual):
    frame = relayed_frame(part, usual)
    assert decode(encode(frame)) == frame


ODD_FRAMES = {
    "text": "a text frame",
    "noise": b"\x00\x81\xfe" * 30,
    "empty": b"",
    "nested deeply": b"\x81" * 100000,
    "of another version": cbor2.dumps([99, 3, 0, [], ""]),
    "of an unknown kind": cbor2.dumps([PROTOCOL_VERSION, 9999, 0, []]),
    "of an unexpected kind": encode(Frame(0, False, Proof(b""))),
    "of a wrong type": cbor2.dumps([PROTOCOL_VERSION, KINDS[HostsAsk], 5, [math.inf]]),
}


@given("two linked daemons")
def two_linked(context):
    context.pair = Pair()


@when("a frame that is {content} is sent to each while calls are in progress")
def odd_frame(context, content):
    async def run(pair):
        async with pair.linked():
            links = [pair.link("a", "b"), pair.link("b", "a")]
            calls = [pair.call(*ends, HostsAsk(n)) for n in range(3) for ends in ("ab", "ba")]
            await asyncio.sleep(0.05)
            for link in links:
                await link.connection.send(ODD_FRAMES[content])
            await asyncio.sleep(0.05)
            pair.gate.set()
            context.outcomes = [await outcome(call) for call in calls]
            context.same = links == [pair.link("a", "b"), pair.link("b", "a")]

    asyncio.run(run(context.pair))


@then("the other calls are answered on the same link")
def others_answered(context):
    assert all(isinstance(each, HostsUpdate) for each in context.outcomes), context.outcomes
    assert context.same


@then('the daemon that got it has logged "{kind}"')
def refusal_logged(context, kind):
    assert len(context.pair.logged(kind)) == 2, context.pair.lines


@when("a call of one is malformed, and the answer to another of its calls")
def malformed_calls(context):
    async def run(pair):
        async with pair.linked():
            link = pair.link("a", "b")
            began = time.monotonic()
            call, asked = (
                asyncio.get_running_loop().create_future(),
                pair.call("a", "b", HostsAsk(1)),
            )
            link.calls[77] = call
            await link.connection.send(cbor2.dumps([PROTOCOL_VERSION, KINDS[HostsAsk], 77, [None]]))
            await asyncio.sleep(0.05)
            number = next(n for n in link.calls if n != 77)
            answer = cbor2.dumps([PROTOCOL_VERSION, KINDS[HostsUpdate], -number, ["x"]])
            await pair.link("b", "a").connection.send(answer)
            context.outcomes = [await outcome(call), await outcome(asked)]
            context.seconds = time.monotonic() - began

    asyncio.run(run(context.pair))


@then("the first fails as not carried out, and the second as not known")
def calls_ended(context):
    first, second = context.outcomes
    assert isinstance(first, CallFailed), first
    assert isinstance(second, PeerTimeout), second
    assert context.seconds < CALL_TIMEOUT / 2, context.seconds


NOT_SENDABLE = {
    "half a character": "\ud800",
    "too long for a frame": "x" * (MAX_FRAME_BYTES + 1),
    "of a wrong type": object(),
}


@when("a call and an answer that are {content} are sent while calls are in progress")
def not_sendable(context, content):
    refused = EnginesOutOfLine((NOT_SENDABLE[content],))

    async def run(pair):
        async def answer(_peer, _message) -> EnginesOutOfLine:
            return refused

        async with pair.linked():
            pair.ends["b"].handlers[EnginesAsk] = answer
            links = [pair.link("a", "b"), pair.link("b", "a")]
            calls = [pair.call(*ends, HostsAsk(n)) for n in range(3) for ends in ("ab", "ba")]
            began = time.monotonic()
            unsent = [pair.call("a", "b", refused), pair.call("a", "b", EnginesAsk())]
            context.unsent = [await outcome(call) for call in unsent]
            context.seconds = time.monotonic() - began
            pair.ends["a"].send_to_linked(["b"], refused)
            pair.gate.set()
            context.outcomes = [await outcome(call) for call in calls]
            context.same = links == [pair.link("a", "b"), pair.link("b", "a")]

    asyncio.run(run(context.pair))


@then("both fail at once and are logged or told to the caller")
def both_failed(context):
    assert all(type(error).__module__ == PeerError.__module__ for error in context.unsent)
    assert not any(isinstance(error, PeerTimeout) for error in context.unsent), context.unsent
    assert context.seconds < CALL_TIMEOUT / 2, context.seconds
    assert len(context.pair.logged("answer not sendable")) == 1, context.pair.lines
    assert len(context.pair.logged("message not sendable")) == 1, context.pair.lines


@when('a daemon whose address is "{mesh}" dials one of them')
def odd_peer(context, mesh):
    context.odd = Hello("c", 1, "lagos-1", "lagos", mesh, b"")
    context.known = Hello("d", 1, "lagos-1", "lagos", "127.0.0.1:4", b"")

    async def run(pair):
        async with pair.linked():
            peers = pair.ends["b"]
            context.membership = Membership(
                peers.hello, peers, Catalog(), HostList(Address("127.0.0.1", 2)), ()
            )
            peers.on_connected = context.membership.handle_connected
            address = Address(*peers.server.sockets[0].getsockname()[:2])
            try:
                await Peers(context.odd, MESH_KEY).dial(address)
                await asyncio.sleep(0.1)
            except PeerError:
                pass
            context.linked = dict(peers.links)
            pair.gate.set()
            context.outcomes = [await outcome(pair.call("a", "b", HostsAsk(1)))]
            context.refused = pair.logged("link refused")

    asyncio.run(run(context.pair))


@then("it gets no link, and the other link works on")
def no_link(context):
    assert list(context.linked) == ["a"], context.linked
    assert isinstance(context.outcomes[0], Done), context.outcomes
    assert context.refused


@then("a summary that names it and another daemon makes known the other alone")
def summary_names(context):
    gateways = Gateways(context.membership, context.membership.peers)
    live = (context.odd, context.known)
    summary = DomainSummary("kano", "kano", live, ())
    asyncio.run(gateways.handle_summary(Hello("a", 1, "kano", "kano", "", b""), summary))
    assert set(context.membership.members) == {"d"}, context.membership.members
