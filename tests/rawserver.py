"""The base of servers that answer each connection's one request with any bytes."""

import socketserver
import threading

from attrs import define, field


class RequestHandler(socketserver.StreamRequestHandler):
    """Answers one request; a subclass writes `handle`."""

    def read_headers(self):
        """Yield the headers, names in lowercase."""
        for line in iter(self.rfile.readline, b"\r\n"):
            if not line:
                return
            name, _, value = line.decode("latin1").partition(":")
            yield name.lower(), value.strip()


class Listener(socketserver.ThreadingTCPServer):
    """Takes connections for a server."""

    daemon_threads = True
    owner: "RawServer"


@define(eq=False)
class RawServer:
    """Listens, and has a handler answer each connection; a subclass names the handler."""

    handler = RequestHandler
    listener: Listener = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.listener = Listener(("127.0.0.1", 0), self.handler)
        self.listener.owner = self
        threading.Thread(target=self.listener.serve_forever, daemon=True).start()

    @property
    def address(self) -> str:
        """Return where it listens."""
        host, port = self.listener.server_address
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening."""
        self.listener.shutdown()
        self.listener.server_close()
