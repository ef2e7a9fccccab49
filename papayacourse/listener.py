"""The HTTP server for callers; it tracks idle connections."""

from attrs import define
from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPMessageDelegate


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
    """Serves callers; a graceful stop closes the idle connections."""

    def initialize(self, *args, **kwargs) -> None:
        """Initialize the server (called by tornado instead of a constructor)."""
        super().initialize(*args, **kwargs)
        self.idle: set[HTTP1ServerConnection] = set()
        self.draining = False

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Prepare for a connection's next request (called by tornado)."""
        if self.draining:
            server_conn.stream.close()
        else:
            self.idle.add(server_conn)
        return TrackedRequest(self, server_conn, super().start_request(server_conn, request_conn))

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Remove a closed connection (called by tornado)."""
        self.idle.discard(server_conn)
        super().on_close(server_conn)

    def drain_connections(self) -> None:
        """Accept no new connections; close each open one once it is idle."""
        self.stop()
        self.draining = True
        for connection in list(self.idle):
            connection.stream.close()
