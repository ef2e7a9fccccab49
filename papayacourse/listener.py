"""The HTTP server for callers; it tracks idle connections."""

import contextlib
import logging
import re
import socket
import time

from attrs import define
from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPMessageDelegate
from tornado.iostream import IOStream
from tornado.log import gen_log

from papayacourse import logs

NEW_TIME = 0.08  # seconds for which a connection is new; callers send their request at once
MAX_LOGGED_CAUSE = 100  # characters of the cause in a log line


class MalformedHeads(logging.Filter):
    """Logs the request heads that tornado answers 400 by itself.

    Tornado reports them to its logger alone, so this filter reads them there and drops nothing.
    """

    def filter(self, record: logging.LogRecord) -> bool:
        """Log the cause of a caller's malformed head, without the values that the caller sent."""
        if str(record.msg).startswith("Malformed HTTP message") and record.args[0] is not None:
            cause = re.split(r"[:'\"]", str(record.args[1]), maxsplit=1)[0]
            logs.info("head not readable", why=cause.strip()[:MAX_LOGGED_CAUSE], status=400)
        return True


MALFORMED_HEADS = MalformedHeads()


@define(eq=False, slots=False)
class TrackedRequest(HTTPMessageDelegate):
    """Forwards a request and removes its connection from the idle ones.

    Attributes
    ----------
    is_abandoned : bool
        True if the connection was closed before the request was read from it. The request
        cannot be answered, so it is not started; the caller may send it again.
    """

    listener: "Listener"
    connection: HTTP1ServerConnection
    delegate: HTTPMessageDelegate
    is_abandoned: bool = False

    def headers_received(self, start_line, headers):
        """Record the request and forward its headers (called by tornado)."""
        self.listener.idle.discard(self.connection)
        self.listener.used.add(self.connection)
        self.is_abandoned = self.connection.stream.closed()
        return None if self.is_abandoned else self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes):
        """Forward a chunk of the body (called by tornado)."""
        return None if self.is_abandoned else self.delegate.data_received(chunk)

    def finish(self) -> None:
        """Forward the end of the request (called by tornado)."""
        if not self.is_abandoned and not self.connection.stream.closed():
            self.delegate.finish()

    def on_connection_close(self) -> None:
        """Forward the disconnection of the caller (called by tornado)."""
        self.delegate.on_connection_close()


class Listener(HTTPServer):
    """Serves callers; a graceful stop closes the idle connections.

    Attributes
    ----------
    idle : set of HTTP1ServerConnection
        Connections on which no request is being read or served.
    used : set of HTTP1ServerConnection
        Open connections that have brought a request.
    opened_at : dict of HTTP1ServerConnection to float
        When each open connection was accepted, in seconds of the monotonic clock.
    """

    def initialize(self, *args, **kwargs) -> None:
        """Initialize the server (called by tornado instead of a constructor)."""
        super().initialize(*args, **kwargs)
        self.idle: set[HTTP1ServerConnection] = set()
        self.used: set[HTTP1ServerConnection] = set()
        self.opened_at: dict[HTTP1ServerConnection, float] = {}
        self.draining = False
        gen_log.addFilter(MALFORMED_HEADS)
        gen_log.setLevel(logging.INFO)

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Prepare for a connection's next request (called by tornado)."""
        self.opened_at.setdefault(server_conn, time.monotonic())
        if self.draining and server_conn in self.used and not has_input(server_conn.stream):
            server_conn.stream.close()
        else:
            self.idle.add(server_conn)
        return TrackedRequest(self, server_conn, super().start_request(server_conn, request_conn))

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Remove a closed connection (called by tornado)."""
        self.idle.discard(server_conn)
        self.used.discard(server_conn)
        self.opened_at.pop(server_conn, None)
        super().on_close(server_conn)

    def drain_connections(self) -> None:
        """Accept no new connections; close each open one once it is idle.

        Those that are new are left open, since their first requests are on the way.
        """
        self.draining = True
        self._stop_listening()
        self.close_idle()

    def has_new_connections(self) -> bool:
        """Return True if some connections are new and have not brought a request."""
        return any(map(self._is_new, self.idle))

    def close_idle(self) -> None:
        """Close the connections that are idle and not new."""
        for connection in list(self.idle):
            if not self._is_new(connection) and not has_input(connection.stream):
                connection.stream.close()

    def _is_new(self, connection: HTTP1ServerConnection) -> bool:
        is_young = time.monotonic() - self.opened_at[connection] < NEW_TIME
        return is_young and connection not in self.used

    def _stop_listening(self) -> None:
        """Stop listening; serve the connections that callers have made already."""
        accepted = []
        for number, listening in self._sockets.items():
            self._handlers.pop(number)()
            with contextlib.suppress(BlockingIOError, ConnectionAbortedError):
                while True:
                    accepted.append(listening.accept())
            # Closed at once: whoever connects in between is cut off.
            listening.close()
        self._sockets.clear()
        self.stop()
        for connection, address in accepted:
            self._handle_connection(connection, address)


def has_input(stream: IOStream) -> bool:
    """Return True if bytes have come on a connection that have not been used."""
    if stream.closed():
        return False
    if stream._read_buffer_size:
        return True
    try:
        return bool(stream.socket.recv(1, socket.MSG_PEEK))
    except OSError:
        # Nothing has come, or the connection is broken.
        return False
