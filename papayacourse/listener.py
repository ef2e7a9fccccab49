"""The HTTP server for callers, which knows which connections are idle."""

from attrs import define
from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection, HTTPMessageDelegate


@define(eq=False, slots=False)
class NotedRequest(HTTPMessageDelegate):
    """Passes a request on, and notes that its connection is no longer idle.

    Attributes
    ----------
    is_crossed : bool
        Whether the connection was closed before the request was read from it. Nobody can be
        answered there, so nothing is begun; the caller may send the request again.
    """

    listener: "Listener"
    connection: HTTP1ServerConnection
    delegate: HTTPMessageDelegate
    is_crossed: bool = False

    def headers_received(self, start_line, headers):
        """Note the request and pass its head on (called by tornado)."""
        self.listener.idle.discard(self.connection)
        self.is_crossed = self.connection.stream.closed()
        return None if self.is_crossed else self.delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes):
        """Pass a piece of the body on (called by tornado)."""
        return None if self.is_crossed else self.delegate.data_received(chunk)

    def finish(self) -> None:
        """Pass the end of the request on (called by tornado)."""
        if not self.is_crossed and not self.connection.stream.closed():
            self.delegate.finish()

    def on_connection_close(self) -> None:
        """Pass on that the caller has gone (called by tornado)."""
        self.delegate.on_connection_close()


class Listener(HTTPServer):
    """Serves callers; a planned stop closes the connections that carry no request."""

    def initialize(self, *args, **kwargs) -> None:
        """Set up (called by tornado in place of a constructor)."""
        super().initialize(*args, **kwargs)
        self.idle: set[HTTP1ServerConnection] = set()
        self.ending = False

    def start_request(
        self, server_conn: HTTP1ServerConnection, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Wait for a connection's next request (called by tornado)."""
        if self.ending:
            server_conn.stream.close()
        else:
            self.idle.add(server_conn)
        return NotedRequest(self, server_conn, super().start_request(server_conn, request_conn))

    def on_close(self, server_conn: HTTP1ServerConnection) -> None:
        """Forget a connection (called by tornado)."""
        self.idle.discard(server_conn)
        super().on_close(server_conn)

    def end_idle(self) -> None:
        """Take no new connection, close idle ones, and the others once they are."""
        self.stop()
        self.ending = True
        for connection in list(self.idle):
            connection.stream.close()
