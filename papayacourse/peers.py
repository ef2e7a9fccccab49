"""Links to other daemons: websockets that carry typed messages, one task for each connection."""

import asyncio
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable
from contextlib import asynccontextmanager
from ipaddress import ip_address

from attrs import define, field
from websockets.asyncio.connection import Connection
from websockets.asyncio.server import Server, serve
from websockets.exceptions import ConnectionClosed
from websockets.frames import CloseCode

from papayacourse import logs
from papayacourse.backoff import Backoff
from papayacourse.connections import CONNECTION_OPTIONS, open_connection
from papayacourse.exceptions import (
    MalformedMessage,
    MessageNotSendable,
    PeerError,
    PeerUnreachable,
)
from papayacourse.handshake import perform_handshake, read_binary
from papayacourse.link import Link
from papayacourse.linkclasses import Place
from papayacourse.meshmessages import CallFailed, Done, Hello
from papayacourse.messages import Message
from papayacourse.tasks import cancel_all
from papayacourse.ticks import next_tick
from papayacourse.traffic import Traffic
from papayacourse.types import Address
from papayacourse.wire import Frame, decode, encode

HANDSHAKE_TIMEOUT = 2.0  # seconds
MAX_CALLS_IN_PROGRESS = 4096  # calls from one peer
LINK_SILENCE_TIMEOUT = 6.0  # seconds without a frame after which a link is closed
LINK_STALE_AFTER = 4.0  # seconds without a frame after which another link is preferred
LINK_CHECK_INTERVAL = 1.0  # seconds

Handler = Callable[[Hello, Message], Awaitable[Message | None]]


@define(eq=False)
class Peers:
    """Every link of this daemon.

    Attributes
    ----------
    hello : Hello
        The identity of this daemon; each link adds its own challenge.
    key : str
        The mesh key.
    handlers : dict of type to callable
        The handler of each message class; returns the answer, or None.
    on_connected : callable
        Called with a peer's Hello once its link is open.
    on_frame : callable
        Called with a peer's Hello for every frame received from it.
    on_disconnected : callable
        Called with a peer's name once its last link is closed.
    silent_since : callable
        Returns, for a peer's name, the time before which its silence is not counted.
    links : dict of str to Link
        The link to use for each peer.
    open_links : dict of str to set of Link
        All open links; two daemons that dial each other at the same time have two for a while.
    source : (str, int) or None
        The local address to dial from: the listener's own, for hosts with several addresses.
    dials, accepted : int
        Connections attempted and accepted since the start.
    """

    hello: Hello
    key: str
    handlers: dict[type, Handler] = field(factory=dict)
    on_connected: Callable[[Hello], None] = lambda _hello: None
    on_frame: Callable[[Hello], None] = lambda _hello: None
    on_disconnected: Callable[[str], None] = lambda _name: None
    silent_since: Callable[[str], float] = lambda _name: float("-inf")
    links: dict[str, Link] = field(factory=dict)
    open_links: dict[str, set[Link]] = field(factory=dict)
    backoffs: dict[Address, Backoff] = field(factory=dict)
    addresses: dict[str, Address] = field(factory=dict)
    dial_tasks: dict[str, asyncio.Task] = field(factory=dict)
    tasks: set[asyncio.Task] = field(factory=set)
    server: Server | None = None
    source: tuple[str, int] | None = None
    traffic: Traffic = field(factory=Traffic)
    dials: int = 0
    accepted: int = 0

    def all_links(self) -> list[Link]:
        """Return every open link, including those not used for sending."""
        return [link for links in self.open_links.values() for link in links]

    @asynccontextmanager
    async def listening(self, address: Address) -> AsyncIterator[Address]:
        """Accept links at an address; yield the address actually bound."""
        async with serve(
            self._accept, address.host, address.port, **CONNECTION_OPTIONS
        ) as self.server:
            host, port = self.server.sockets[0].getsockname()[:2]
            self.source = None if ip_address(host).is_unspecified else (host, 0)
            try:
                yield Address(host, port)
            finally:
                await self._close_all()

    async def _close_all(self) -> None:
        await cancel_all(list(self.tasks))

    async def _accept(self, connection: Connection) -> None:
        self.accepted += 1
        task = asyncio.current_task()
        self.tasks.add(task)
        try:
            await self._run(connection, "listened")
        finally:
            self.tasks.discard(task)

    async def dial(self, address: Address) -> Hello:
        """Open a link to an address; return the Hello of the daemon there."""
        peer_hello: asyncio.Future[Hello] = asyncio.get_running_loop().create_future()
        task = asyncio.create_task(self._dial(address, peer_hello))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return await peer_hello

    async def _dial(self, address: Address, peer_hello: asyncio.Future[Hello]) -> None:
        self.dials += 1
        try:
            connection = await open_connection(address, self.source)
        except PeerUnreachable as error:
            peer_hello.set_exception(error)
            return
        try:
            await self._run(connection, "dialled", peer_hello)
        finally:
            if not peer_hello.done():
                peer_hello.set_exception(PeerUnreachable(f"no link to {address}: handshake failed"))
            await connection.close()

    async def _run(
        self, connection: Connection, side: str, peer_hello: asyncio.Future[Hello] | None = None
    ) -> None:
        """Run one link from its handshake until it closes."""
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT):
                peer = await perform_handshake(connection, self.hello, self.key, side)
        except (MalformedMessage, TimeoutError, ConnectionClosed) as error:
            why = str(error) or type(error).__name__
            logs.error("link refused", remote=str(connection.remote_address), why=why)
            return
        dialler = self.hello.name if side == "dialled" else peer.name
        location = Place(self.hello.domain, self.hello.region)
        link_class = location.link_to(peer.domain, peer.region)
        link = Link(peer, connection, dialler, traffic=self.traffic, link_class=link_class)
        self._add(link)
        self.on_connected(peer)
        if peer_hello is not None and not peer_hello.done():
            peer_hello.set_result(peer)
        writer = asyncio.create_task(link.write())
        try:
            await self._read(link)
        except ConnectionClosed as error:
            self._log_closed(peer, error)
        finally:
            writer.cancel()
            self._remove(link)
            await asyncio.gather(writer, return_exceptions=True)

    def _log_closed(self, peer: Hello, error: ConnectionClosed) -> None:
        refused = error.sent is not None and error.sent.code == CloseCode.MESSAGE_TOO_BIG
        log = logs.error if refused else logs.debug
        log("link closed", peer=peer.name, why=str(error))

    def _add(self, link: Link) -> None:
        name = link.peer.name
        self.open_links.setdefault(name, set()).add(link)
        for other in self.open_links[name]:
            if other.peer.incarnation < link.peer.incarnation:
                # The process at the other end has ended, so its calls cannot be answered.
                other.fail_calls()
                self._close(other)
        self._choose_link(name)

    def _choose_link(self, name: str) -> None:
        """Choose the link to send on; both ends choose alike if they have the same two links."""
        links = self.open_links.get(name)
        if not links:
            self.open_links.pop(name, None)
            self.links.pop(name, None)
            return
        self.links[name] = max(
            links,
            key=lambda link: (
                link.peer.incarnation,
                link.silent_for() < LINK_STALE_AFTER,
                link.dialler == min(self.hello.name, name),
                link.last_heard,
            ),
        )

    def _remove(self, link: Link) -> None:
        link.fail_calls()
        self.open_links.get(link.peer.name, set()).discard(link)
        self._choose_link(link.peer.name)
        if link.peer.name not in self.links:
            self.on_disconnected(link.peer.name)

    def _close(self, link: Link) -> None:
        # Closing waits for the other side, which may be frozen, so it runs in its own task.
        task = asyncio.create_task(link.connection.close())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close_silent_links(self) -> None:
        """Close links that receive no frames, forever."""
        while True:
            await next_tick(LINK_CHECK_INTERVAL)
            for link in self.all_links():
                watched_for = time.monotonic() - self.silent_since(link.peer.name)
                if min(link.silent_for(), watched_for) > LINK_SILENCE_TIMEOUT:
                    link.fail_calls()
                    self._close(link)
            for name in list(self.open_links):
                self._choose_link(name)
            known = set(self.addresses.values())
            for address in [a for a in self.backoffs if a not in known]:
                del self.backoffs[address]

    async def _read(self, link: Link) -> None:
        """Take frames until the connection closes; one that is malformed harms no other."""
        while True:
            try:
                data = await read_binary(link.connection)
                link.last_heard = time.monotonic()
                self._take(link, decode(data), len(data))
            except MalformedMessage as error:
                self._refuse(link, error)

    def _take(self, link: Link, frame: Frame, size: int) -> None:
        self.traffic.record_received(frame.message, size, link.link_class)
        self.on_frame(link.peer)
        if frame.is_answer:
            waiting = link.calls.get(frame.call)
            # Drop a late answer whose call has already ended.
            if waiting is not None and not waiting.done():
                waiting.set_result(frame.message)
        elif type(frame.message) in self.handlers:
            self._handle(link, frame)
        else:
            raise MalformedMessage(f"unexpected {type(frame.message).__name__}", frame.call)

    def _refuse(self, link: Link, error: MalformedMessage) -> None:
        """End the call that a malformed frame belongs to."""
        logs.error("message refused", peer=link.peer.name, why=str(error), call=error.call)
        if error.call < 0:
            # The peer has received the call, and what came of it is not known.
            link.fail_call(-error.call, f"{link.peer.name} sent a malformed answer")
        else:
            self._reply(link, error.call, CallFailed(str(error)))

    def _handle(self, link: Link, frame: Frame) -> None:
        if len(link.answering) >= MAX_CALLS_IN_PROGRESS:
            self._reply(link, frame.call, CallFailed("too many calls in progress"))
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
        self._reply(link, frame.call, answer or Done())

    def _reply(self, link: Link, call: int, answer: Message) -> None:
        if not call:
            return
        try:
            link.send(Frame(call, True, answer))
        except MessageNotSendable as error:
            logs.error("answer not sendable", peer=link.peer.name, why=str(error))
            self._reply(link, call, CallFailed(str(error)))
        except PeerUnreachable as error:
            logs.warning("answer dropped", peer=link.peer.name, why=str(error))

    async def link_to(self, name: str) -> Link:
        """Return the link to a peer, opening one if there is none.

        Raises
        ------
        PeerUnreachable
            If no link can be opened; raised immediately while the address is in back-off.
        """
        if name in self.links:
            return self.links[name]
        address = self.addresses.get(name)
        if address is None:
            raise PeerUnreachable(f"no address known for {name}")
        task = self.dial_tasks.get(name)
        if task is None:
            backoff = self.backoffs.get(address)
            if backoff is not None and time.monotonic() < backoff.until:
                raise PeerUnreachable(f"{name} did not answer at {address} a moment ago")
            task = asyncio.ensure_future(self._dial_with_backoff(address))
            self.dial_tasks[name] = task
            task.add_done_callback(lambda done: self._dial_finished(name, done))
        peer_hello = await asyncio.shield(task)
        if peer_hello.name != name or name not in self.links:
            raise PeerUnreachable(f"{address} is {peer_hello.name}, not {name}")
        return self.links[name]

    async def _dial_with_backoff(self, address: Address) -> Hello:
        try:
            peer_hello = await self.dial(address)
        except PeerUnreachable:
            self.backoffs.setdefault(address, Backoff()).record_failure()
            raise
        self.backoffs.pop(address, None)
        return peer_hello

    def _dial_finished(self, name: str, task: asyncio.Task) -> None:
        self.dial_tasks.pop(name, None)
        if not task.cancelled():
            task.exception()  # marks it retrieved; there may be no waiter left

    async def call(self, name: str, message: Message, timeout: float) -> Message:
        """Send a call to a peer and return its answer.

        The timeout, in seconds, includes the time to open a link.

        Raises
        ------
        PeerUnreachable
            If the peer has not received the message.
        PeerTimeout
            If there is no answer, though the peer may have received the message.
        PeerError
            If the peer reported a failure.
        """
        deadline = time.monotonic() + timeout
        try:
            async with asyncio.timeout(timeout):
                link = await self.link_to(name)
        except TimeoutError as error:
            raise PeerUnreachable(f"no link to {name} in {timeout:.1f} s") from error
        answer = await link.call(message, max(0.0, deadline - time.monotonic()))
        if isinstance(answer, CallFailed):
            raise PeerError(f"{name}: {answer.detail}")
        return answer

    async def send(self, name: str, message: Message) -> None:
        """Send a message, opening a link if needed; raise PeerUnreachable if that fails."""
        await self.link_to(name)
        self.send_on_open_link(name, message)

    def send_on_open_link(self, name: str, message: Message) -> None:
        """Send a message over the open link; raise PeerUnreachable if there is none."""
        link = self.links.get(name)
        if link is None:
            raise PeerUnreachable(f"no link to {name}")
        link.send(Frame(0, False, message, logs.request()))

    def send_to_linked(self, names: Iterable[str], message: Message) -> None:
        """Send a message to each named peer with an open link, encoding it only once."""
        frame = Frame(0, False, message, logs.request())
        try:
            data = encode(frame)
        except MessageNotSendable as error:
            logs.error("message not sendable", why=str(error))
            return
        for name in names:
            link = self.links.get(name)
            if link is None:
                continue
            try:
                link.send_encoded(frame, data)
            except PeerUnreachable as error:
                logs.debug("message not sent to peer", peer=name, why=str(error))
