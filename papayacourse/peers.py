"""Links to other daemons: websockets that carry typed messages, one task for each connection."""

import asyncio
import hmac
import itertools
import secrets
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from attrs import define, evolve, field
from websockets.asyncio.client import connect
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve
from websockets.exceptions import ConnectionClosed, InvalidHandshake

from papayacourse import logs
from papayacourse.exceptions import MalformedMessage, PeerError, PeerTimeout, PeerUnreachable
from papayacourse.messages import (
    MAX_FRAME_BYTES,
    CallFailed,
    Done,
    Frame,
    Hello,
    Message,
    Proof,
    decode,
    encode,
)
from papayacourse.types import Address

CONNECT_TIMEOUT = 1.0  # seconds
HANDSHAKE_TIMEOUT = 2.0  # seconds
CLOSE_TIMEOUT = 0.5  # seconds
MAX_FRAMES_WAITING = 64  # frames read but not yet handled, per link
MAX_CALLS_IN_PROGRESS = 4096  # calls from one peer
MAX_OUTBOX = 4096  # frames waiting to be written, per link
NONCE_BYTES = 16

Handler = Callable[[Hello, Message], Awaitable[Message | None]]


def prove(key: str, challenge: bytes, name: str, side: str) -> bytes:
    """Answer a challenge with the mesh key.

    The side (``dialled`` or ``listened``) is signed too, so that an answer cannot be sent back to
    the one who asked.
    """
    return hmac.digest(key.encode(), challenge + f"|{name}|{side}".encode(), "sha256")


@define(eq=False)
class Link:
    """One connection to one peer."""

    peer: Hello
    connection: Connection
    calls: dict[int, asyncio.Future] = field(factory=dict)
    outbox: asyncio.Queue[bytes] = field(factory=lambda: asyncio.Queue(MAX_OUTBOX))
    numbers: itertools.count = field(factory=lambda: itertools.count(1))
    answering: set[asyncio.Task] = field(factory=set)
    bytes_out: int = 0
    bytes_in: int = 0

    def send(self, frame: Frame) -> None:
        """Put a frame in the outbox; raises PeerUnreachable when it is full."""
        try:
            self.outbox.put_nowait(encode(frame))
        except asyncio.QueueFull as error:
            raise PeerUnreachable(f"{self.peer.name} does not take its messages") from error

    async def call(self, message: Message, timeout: float) -> Message:
        """Send a message and wait for its answer."""
        number = next(self.numbers)
        answer: asyncio.Future = asyncio.get_running_loop().create_future()
        self.calls[number] = answer
        try:
            self.send(Frame(number, False, message, logs.request()))
            return await asyncio.wait_for(answer, timeout)
        except TimeoutError as error:
            raise PeerTimeout(f"{self.peer.name} did not answer in {timeout} s") from error
        finally:
            self.calls.pop(number, None)

    async def write(self) -> None:
        """Write frames from the outbox for as long as the link lasts."""
        while True:
            data = await self.outbox.get()
            await self.connection.send(data)
            self.bytes_out += len(data)

    def lose(self) -> None:
        """Fail everything that waits for this link."""
        for answer in self.calls.values():
            if not answer.done():
                answer.set_exception(PeerTimeout(f"the link to {self.peer.name} was lost"))
        for task in self.answering:
            task.cancel()


@define(eq=False)
class Peers:
    """Every link of this daemon.

    Attributes
    ----------
    hello : Hello
        Who this daemon is; a link's own challenge is added to it.
    key : str
        The mesh key.
    handlers : dict of type to callable
        What to do with each kind of message; returns the answer, or None.
    on_met : callable
        Called with a peer's Hello once its link stands.
    """

    hello: Hello
    key: str
    handlers: dict[type, Handler] = field(factory=dict)
    on_met: Callable[[Hello], None] = lambda _hello: None
    links: dict[str, Link] = field(factory=dict)
    addresses: dict[str, Address] = field(factory=dict)
    dialling: dict[str, asyncio.Task] = field(factory=dict)
    tasks: set[asyncio.Task] = field(factory=set)
    server: Server | None = None
    bytes_closed_links: int = 0

    def bytes_total(self) -> int:
        """Return the payload bytes sent and received over all links since the start."""
        open_links = sum(link.bytes_in + link.bytes_out for link in self.links.values())
        return open_links + self.bytes_closed_links

    @asynccontextmanager
    async def listening(self, address: Address) -> AsyncIterator[Address]:
        """Accept links at an address; yields the address really bound."""
        async with serve(
            self._accept,
            address.host,
            address.port,
            max_size=MAX_FRAME_BYTES,
            max_queue=MAX_FRAMES_WAITING,
            close_timeout=CLOSE_TIMEOUT,
            compression=None,
            ping_interval=None,
        ) as self.server:
            host, port = self.server.sockets[0].getsockname()[:2]
            try:
                yield Address(host, port)
            finally:
                await self._close_all()

    async def _close_all(self) -> None:
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    async def _accept(self, connection: Connection) -> None:
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self._run(connection, "listened")
        finally:
            self.tasks.discard(task)

    async def dial(self, address: Address) -> Hello:
        """Open a link to an address; returns who answered there."""
        met: asyncio.Future[Hello] = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(self._dial(address, met))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return await met

    async def _dial(self, address: Address, met: asyncio.Future[Hello]) -> None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT):
                connection = await connect(
                    f"ws://{address}/",
                    max_size=MAX_FRAME_BYTES,
                    max_queue=MAX_FRAMES_WAITING,
                    close_timeout=CLOSE_TIMEOUT,
                    compression=None,
                    ping_interval=None,
                    proxy=None,
                )
        except (OSError, TimeoutError, InvalidHandshake) as error:
            met.set_exception(PeerUnreachable(f"no link to {address}: {error}"))
            return
        try:
            await self._run(connection, "dialled", met)
        finally:
            if not met.done():
                met.set_exception(PeerUnreachable(f"no link to {address}: handshake failed"))
            await connection.close()

    async def _run(
        self, connection: Connection, side: str, met: asyncio.Future[Hello] | None = None
    ) -> None:
        """Carry one link from its handshake to its end."""
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT):
                peer = await self._handshake(connection, side)
        except (MalformedMessage, TimeoutError, ConnectionClosed) as error:
            logs.warning("link refused", remote=str(connection.remote_address), why=str(error))
            return
        link = Link(peer, connection)
        self.links[peer.name] = link
        self.on_met(peer)
        if met is not None and not met.done():
            met.set_result(peer)
        writer = asyncio.create_task(link.write())
        try:
            await self._read(link)
        except MalformedMessage as error:
            logs.error("link closed", peer=peer.name, why=str(error))
        except ConnectionClosed:
            logs.debug("link closed", peer=peer.name)
        finally:
            writer.cancel()
            await asyncio.gather(writer, return_exceptions=True)
            self._forget(link)

    def _forget(self, link: Link) -> None:
        link.lose()
        self.bytes_closed_links += link.bytes_in + link.bytes_out
        if self.links.get(link.peer.name) is link:
            del self.links[link.peer.name]

    async def _handshake(self, connection: Connection, side: str) -> Hello:
        other_side = "listened" if side == "dialled" else "dialled"
        nonce = secrets.token_bytes(NONCE_BYTES)
        mine = evolve(self.hello, nonce=nonce)
        await connection.send(encode(Frame(0, False, mine)))
        peer = decode(await _binary(connection)).message
        if not isinstance(peer, Hello):
            raise MalformedMessage("a link must open with Hello")
        answer = prove(self.key, peer.nonce, mine.name, side)
        await connection.send(encode(Frame(0, False, Proof(answer))))
        proof = decode(await _binary(connection)).message
        wanted = prove(self.key, nonce, peer.name, other_side)
        if not isinstance(proof, Proof) or not hmac.compare_digest(proof.digest, wanted):
            raise MalformedMessage(f"{peer.name} does not know the mesh key")
        return peer

    async def _read(self, link: Link) -> None:
        while True:
            data = await _binary(link.connection)
            link.bytes_in += len(data)
            frame = decode(data)
            if frame.is_answer:
                waiting = link.calls.get(frame.call)
                # An answer nobody waits for any more is late; it belongs to no other call.
                if waiting is not None and not waiting.done():
                    waiting.set_result(frame.message)
                continue
            if type(frame.message) not in self.handlers:
                raise MalformedMessage(f"unexpected {type(frame.message).__name__}")
            self._handle(link, frame)

    def _handle(self, link: Link, frame: Frame) -> None:
        if len(link.answering) >= MAX_CALLS_IN_PROGRESS:
            if frame.call:
                link.send(Frame(frame.call, True, CallFailed("too many calls in progress")))
            return
        task = asyncio.create_task(self._answer(link, frame))
        link.answering.add(task)
        task.add_done_callback(link.answering.discard)

    async def _answer(self, link: Link, frame: Frame) -> None:
        logs.bind(frame.request)
        try:
            answer = await self.handlers[type(frame.message)](link.peer, frame.message)
        except Exception as error:
            logs.error("message failed", peer=link.peer.name, why=repr(error))
            answer = CallFailed(type(error).__name__)
        if frame.call:
            try:
                link.send(Frame(frame.call, True, answer or Done()))
            except PeerUnreachable as error:
                logs.warning("answer dropped", peer=link.peer.name, why=str(error))

    async def link_to(self, name: str) -> Link:
        """Return the link to a peer, opening one where there is none."""
        if name in self.links:
            return self.links[name]
        address = self.addresses.get(name)
        if address is None:
            raise PeerUnreachable(f"no address known for {name}")
        task = self.dialling.get(name)
        if task is None:
            task = asyncio.ensure_future(self.dial(address))
            self.dialling[name] = task
            task.add_done_callback(lambda _: self.dialling.pop(name, None))
        met = await asyncio.shield(task)
        if met.name != name or name not in self.links:
            raise PeerUnreachable(f"{address} is {met.name}, not {name}")
        return self.links[name]

    async def call(self, name: str, message: Message, timeout: float) -> Message:
        """Ask a peer something.

        Raises
        ------
        PeerUnreachable
            When the peer has not seen the message.
        PeerTimeout
            When it may have.
        PeerError
            When it said that it failed.
        """
        link = await self.link_to(name)
        answer = await link.call(message, timeout)
        if isinstance(answer, CallFailed):
            raise PeerError(f"{name}: {answer.detail}")
        return answer

    async def send(self, name: str, message: Message) -> None:
        """Tell a peer something; raises PeerUnreachable when there is no link."""
        link = await self.link_to(name)
        link.send(Frame(0, False, message, logs.request()))


async def _binary(connection: Connection) -> bytes:
    data = await connection.recv()
    if not isinstance(data, bytes):
        raise MalformedMessage("a text frame where only binary ones are expected")
    return data
