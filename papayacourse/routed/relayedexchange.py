"""A request that another daemon relays, and its answer, which goes back in messages."""

import asyncio
import contextlib
import time
from collections import deque
from collections.abc import Awaitable, Callable

from attrs import define, evolve, field
from tornado.httputil import HTTPHeaders

from papayacourse import logs
from papayacourse.exceptions import PeerError, RequestRefused
from papayacourse.relaymessages import RelayEnd, RelayPart, RelayRequest
from papayacourse.routed.exchange import CallerDisconnected, refusal_body, refusal_headers
from papayacourse.routed.sendhistory import SendHistory
from papayacourse.types import Ran

MAX_PART_BYTES = 256 * 1024
MAX_QUEUED_BYTES = 128 * 1024  # of an answer whose caller reads slowly
# A daemon tries so often, so many seconds apart and for so many seconds in all, to say that an
# answer has broken off. The caller's daemon looks at its links every 0.25 s, and may not notice
# what is over before.
BREAK_OFF_TRIES = 5
BREAK_OFF_PAUSE = 0.1
BREAK_OFF_TIME = 1.0


@define(eq=False)
class RelayedExchange:
    """Offers a relayed request to the front as an exchange with a caller of its own.

    Attributes
    ----------
    deliver : callable
        Sends a part of the answer, and waits until the caller's daemon has passed it on; returns
        False if its caller has gone, and raises PeerError if the daemon has.
    is_cut_off : callable
        Returns True if this daemon reaches no server either.
    request_id : callable
        Returns the id of the request, for refusals.
    received_at : float
        When the other daemon received the request, in seconds of the monotonic clock here.
    sends : SendHistory
        Where this daemon sent the request; answers that are not true to it are refused.
    queued : deque of RelayPart
        The parts that have not been sent.
    """

    request: RelayRequest
    deliver: Callable[[RelayPart], Awaitable[bool]]
    is_cut_off: Callable[[], bool]
    request_id: Callable[[], str] = logs.request
    received_at: float = field(init=False)
    may_relay: bool = False
    head_written: bool = False
    done: bool = False
    caller_gone: bool = False
    task: asyncio.Task | None = None
    sends: SendHistory = field(factory=SendHistory)
    queued: deque[RelayPart] = field(factory=deque)
    queued_bytes: int = 0
    changed: asyncio.Event = field(factory=asyncio.Event)
    has_room: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.received_at = time.monotonic() - self.request.waited
        self.has_room.set()

    # The request.

    @property
    def method(self) -> str:
        """Return the HTTP method."""
        return self.request.method

    @property
    def target(self) -> str:
        """Return path and query."""
        return self.request.target

    @property
    def headers(self) -> HTTPHeaders:
        """Return the headers."""
        found = HTTPHeaders()
        for name, value in self.request.headers:
            found.add(name, value)
        return found

    @property
    def body(self) -> bytes:
        """Return the request body."""
        return self.request.body

    def release(self) -> None:
        """Free the memory of the body."""
        self.request = evolve(self.request, body=b"")

    # The answer.

    async def refuse(self, refused: RequestRefused) -> None:
        """Send the problem response for a refused request, or leave it to another daemon."""
        refused = self.sends.corrected(refused)
        if refused.ran is Ran.NO and self.is_cut_off():
            self.done = True
            self._queue(0, HTTPHeaders(), b"", RelayEnd.NOT_SERVED)
            return
        body = refusal_body(refused, self.request_id())
        await self.answer(refused.status, refusal_headers(refused), body)

    async def answer(self, status: int, headers: HTTPHeaders, body: bytes) -> None:
        """Send a complete response."""
        if len(body) <= MAX_PART_BYTES:
            self._begin(status, headers, body, RelayEnd.WHOLE)
            self.done = True
            return
        await self.begin(status, headers)
        for start in range(0, len(body), MAX_PART_BYTES):
            await self.write(body[start : start + MAX_PART_BYTES])
        self.end()

    async def begin(self, status: int, headers: HTTPHeaders, chunk: bytes = b"") -> None:
        """Send the response headers and optionally a first chunk of the body."""
        self._begin(status, headers, chunk, RelayEnd.NONE)
        await self._wait_for_room()

    async def write(self, chunk: bytes) -> None:
        """Send a chunk of the body; waits while the caller does not read."""
        self._queue(0, HTTPHeaders(), chunk, RelayEnd.NONE)
        await self._wait_for_room()

    def end(self) -> None:
        """Finish the response."""
        self.done = True
        self._queue(0, HTTPHeaders(), b"", RelayEnd.WHOLE)

    def abort(self) -> None:
        """Break the response off, so that the caller doesn't take it for complete."""
        if not self.done:
            self.done = True
            self._queue(0, HTTPHeaders(), b"", RelayEnd.BROKEN)

    def _begin(self, status: int, headers: HTTPHeaders, data: bytes, end: RelayEnd) -> None:
        self.sends.check_status(status)
        self.head_written = True
        self._queue(status, headers, data, end)

    def _queue(self, status: int, headers: HTTPHeaders, data: bytes, end: RelayEnd) -> None:
        pairs = tuple(headers.get_all())
        self.queued.append(RelayPart(self.request.number, status, pairs, data, end))
        self.queued_bytes += len(data)
        self.changed.set()

    async def _wait_for_room(self) -> None:
        if self.queued_bytes > MAX_QUEUED_BYTES:
            self.has_room.clear()
        await self.has_room.wait()
        if self.caller_gone:
            raise CallerDisconnected

    # Commands.

    def lose_caller(self) -> None:
        """Cancel the request: its caller, or the other daemon, has gone."""
        self.caller_gone = True
        self.has_room.set()
        self.changed.set()
        if self.task is not None:
            self.task.cancel()

    async def send_parts(self) -> None:
        """Send the parts of the answer until its end, or until the caller has gone."""
        end = RelayEnd.NONE
        while end == RelayEnd.NONE and not self.caller_gone:
            await self.changed.wait()
            self.changed.clear()
            while self.queued and not self.caller_gone:
                end = await self._send(self._next_part())

    async def _send(self, part: RelayPart) -> RelayEnd:
        try:
            if not await self.deliver(part):
                self.lose_caller()
        except PeerError as error:
            logs.info("relayed answer not delivered", why=str(error))
            self.lose_caller()
            await self._break_off()
        return part.end

    async def _break_off(self) -> None:
        """Tell the caller's daemon that no part follows, though its link may be open again."""
        last = RelayPart(self.request.number, 0, (), b"", RelayEnd.BROKEN)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(BREAK_OFF_TIME):
                for _ in range(BREAK_OFF_TRIES):
                    if await self._is_delivered(last):
                        break
                    await asyncio.sleep(BREAK_OFF_PAUSE)

    async def _is_delivered(self, part: RelayPart) -> bool:
        try:
            await self.deliver(part)
        except PeerError:
            return False
        return True

    def _next_part(self) -> RelayPart:
        """Return the next part, joined with the data of those behind it."""
        part = self.queued.popleft()
        chunks, size = [part.data], len(part.data)
        while part.end == RelayEnd.NONE and self.queued and size < MAX_PART_BYTES:
            later = self.queued.popleft()
            part = evolve(part, end=later.end)
            chunks.append(later.data)
            size += len(later.data)
        self.queued_bytes -= size
        if self.queued_bytes <= MAX_QUEUED_BYTES:
            self.has_room.set()
        return evolve(part, data=b"".join(chunks))
