"""One HTTP exchange as a client, over tornado, that knows how far it got."""

import asyncio
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import HTTPHeaders, HTTPMessageDelegate, RequestStartLine
from tornado.iostream import IOStream, StreamClosedError

from papayacourse.exceptions import (
    BackendGone,
    BackendLinkLost,
    BackendProtocolError,
    BackendSilent,
    BackendUnanswered,
    BackendUnreachable,
)
from papayacourse.types import Address

CHUNK_BYTES = 16 * 1024
READ_BUFFER_BYTES = 128 * 1024
RECEIVE_BUFFER_BYTES = 64 * 1024  # in the kernel
MAX_HEADER_BYTES = 64 * 1024
MAX_STREAM_BYTES = 1 << 40
MAX_READ_BYTES = 8 * 1024 * 1024
BUFFERED_CHUNKS = 2

# Tornado's own AsyncHTTPClient does not tell a call that was never sent from one that was, and
# cannot be abandoned while the other side is silent. Both matter here, so this uses the
# connection class that tornado's client and server are built on.


class HttpCall(HTTPMessageDelegate):
    """A request on a connection of its own, to be used as an asynchronous context manager.

    Parameters
    ----------
    address : Address
        Whom to call.
    method, path : str
        The request line.
    headers : dict or HTTPHeaders, optional
        Extra request headers.
    body : bytes
        The request body.
    connect_timeout, idle_timeout : float
        The longest wait for the connection, and for the next piece of the answer, in seconds.
    before_send : callable, optional
        Called once connected, before anything is sent; what it raises ends the call unsent.

    Attributes
    ----------
    may_be_silent : callable
        Asked at the end of an idle time-out; whether to wait for another one.

    Raises
    ------
    BackendGone
        When nobody listens at the address; nothing has been sent then.
    BackendUnreachable
        When no connection was made; nothing has been sent then.
    BackendLinkLost
        When the connection broke or went silent afterwards.
    """

    def __init__(
        self,
        address: Address,
        method: str,
        path: str,
        headers: dict | HTTPHeaders | None = None,
        body: bytes = b"",
        connect_timeout: float = 1.0,
        idle_timeout: float = 10.0,
        before_send: Callable[[], None] = lambda: None,
    ):
        self.address = address
        self.method = method
        self.path = path
        self.request_headers = HTTPHeaders(headers or {})
        self.body = body
        self.connect_timeout = connect_timeout
        self.idle_timeout = idle_timeout
        self.before_send = before_send
        self.status = 0
        self.headers = HTTPHeaders()
        self.finished = False
        self.head: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.pieces: deque[bytes] = deque()
        self.closed = False
        self.silent = False
        self.may_be_silent: Callable[[], bool] = lambda: False
        self.waiting_since: float | None = None
        self.arrival: asyncio.Future[None] | None = None
        self.room: asyncio.Future[None] | None = None
        self.watchdog: asyncio.TimerHandle | None = None

    async def __aenter__(self) -> "HttpCall":
        self.stream = await connect(self.address, self.connect_timeout)
        try:
            self.before_send()
            self.reader = asyncio.ensure_future(self._exchange())
            await asyncio.wait_for(asyncio.shield(self.head), self.idle_timeout)
        except TimeoutError as error:
            await self.__aexit__(None, None, None)
            raise BackendUnanswered(f"{self.address} did not answer in time") from error
        except BaseException:
            await self.__aexit__(None, None, None)
            raise
        return self

    async def __aexit__(self, kind, error, traceback) -> None:
        self.stream.close()
        if self.watchdog is not None:
            self.watchdog.cancel()
        reader = getattr(self, "reader", None)
        if reader is not None and not reader.done():
            reader.cancel()
            await asyncio.gather(reader, return_exceptions=True)
        if self.head.done() and not self.head.cancelled():
            self.head.exception()

    async def _exchange(self) -> None:
        parameters = HTTP1ConnectionParameters(
            no_keep_alive=True,
            chunk_size=CHUNK_BYTES,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_STREAM_BYTES,
        )
        connection = HTTP1Connection(self.stream, True, parameters)
        self.request_headers.setdefault("Host", str(self.address))
        self.request_headers["Connection"] = "close"
        self.request_headers["Content-Length"] = str(len(self.body))
        line = RequestStartLine(self.method, self.path, "")
        try:
            # Not awaited: an answer may come before the other side has read a long body.
            connection.write_headers(line, self.request_headers, self.body)
            connection.finish()
            await connection.read_response(self)
        except (StreamClosedError, OSError):
            pass
        finally:
            self._close_head()
            self.closed = True
            wake(self.arrival)

    def _close_head(self) -> None:
        if not self.head.done():
            self.head.set_exception(BackendLinkLost(f"{self.address} closed before it answered"))

    def headers_received(self, start_line, headers: HTTPHeaders) -> None:
        """Take the status line and headers (called by tornado)."""
        if start_line.code < 200:
            return
        self.status = start_line.code
        self.headers = headers
        if not self.head.done():
            self.head.set_result(None)

    async def data_received(self, chunk: bytes) -> None:
        """Take a piece of the body; the connection is not read while enough of them wait."""
        self.pieces.append(chunk)
        wake(self.arrival)
        while len(self.pieces) >= BUFFERED_CHUNKS:
            self.room = asyncio.get_running_loop().create_future()
            await self.room

    def finish(self) -> None:
        """Note that the whole body has come (called by tornado)."""
        # A body without a length ends with its connection, unless that was reset.
        self.finished = self.stream.error is None

    def on_connection_close(self) -> None:
        """Note that the connection has gone (called by tornado)."""
        self._close_head()

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body's pieces as they come.

        Raises
        ------
        BackendLinkLost
            When the connection breaks, or stays silent for the idle time-out.
        """
        while await self._arrived():
            chunk = self.pieces.popleft()
            wake(self.room)
            yield chunk
        if not self.finished:
            raise BackendLinkLost(f"{self.address} closed midway")

    async def _arrived(self) -> bool:
        """Wait for the next piece; False at the end of the connection."""
        while not self.pieces and not self.closed:
            loop = asyncio.get_running_loop()
            self.arrival = loop.create_future()
            self.waiting_since = loop.time()
            if self.watchdog is None:
                self.watchdog = loop.call_later(self.idle_timeout, self._watch)
            try:
                await self.arrival
            finally:
                self.waiting_since = None
            if self.silent:
                raise BackendSilent(f"{self.address} went silent")
        return bool(self.pieces)

    def _watch(self) -> None:
        """See whether the present wait is too long; one timer serves every wait."""
        loop = asyncio.get_running_loop()
        self.watchdog = None
        if self.waiting_since is None:
            return
        left = self.waiting_since + self.idle_timeout - loop.time()
        if left <= 0 and self.may_be_silent():
            left = self.idle_timeout
        if left > 0:
            self.watchdog = loop.call_later(left, self._watch)
            return
        self.silent = True
        wake(self.arrival)

    async def read(
        self, limit: int = MAX_READ_BYTES, take: Callable[[int], None] = lambda _size: None
    ) -> bytes:
        """Return the whole body, which may not be longer than the limit in bytes.

        It has to come within the idle time-out altogether, or one that sends a byte now and then
        would never end.

        Parameters
        ----------
        take : callable
            Called with the size of each piece; raises BackendProtocolError to refuse it.
        """
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(self.idle_timeout):
                async for chunk in self.chunks():
                    size += len(chunk)
                    if size > limit:
                        raise BackendProtocolError(f"{self.address} sent more than {limit} bytes")
                    take(len(chunk))
                    parts.append(chunk)
        except TimeoutError as error:
            raise BackendSilent(f"{self.address} sent no whole answer in time") from error
        return b"".join(parts)


async def connect(address: Address, timeout: float) -> IOStream:
    """Open a connection within so many seconds; raises BackendUnreachable or BackendGone."""
    link = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    # Set before connecting, so that a reader who stops holds the sender up early.
    link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    stream = IOStream(link, max_buffer_size=READ_BUFFER_BYTES, read_chunk_size=CHUNK_BYTES)
    stream.set_nodelay(True)
    try:
        await asyncio.wait_for(stream.connect((address.host, address.port)), timeout)
    except BaseException as error:
        stream.close()
        if isinstance(getattr(error, "real_error", error), ConnectionRefusedError):
            raise BackendGone(f"nobody listens at {address}") from error
        if isinstance(error, TimeoutError | StreamClosedError | OSError):
            raise BackendUnreachable(f"no connection to {address}") from error
        raise
    return stream


def wake(future: asyncio.Future[None] | None) -> None:
    """Let a task go on that may be waiting."""
    if future is not None and not future.done():
        future.set_result(None)
