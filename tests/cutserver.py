"""A server that answers each request with given bytes and closes its connection."""

import socketserver
import threading

from attrs import define, field


@define(eq=False)
class CutServer:
    """Answers each request with the same bytes, and closes the connection without a reset."""

    answer: bytes = b""
    listener: socketserver.ThreadingTCPServer = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.listener = Listener(("127.0.0.1", 0), Handler)
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


class Listener(socketserver.ThreadingTCPServer):
    """Takes connections for a server."""

    daemon_threads = True
    owner: CutServer


class Handler(socketserver.StreamRequestHandler):
    """Reads one request to its end, since a close with unread bytes would be a reset."""

    def handle(self) -> None:
        """Answer one request."""
        length = 0
        for line in iter(self.rfile.readline, b"\r\n"):
            if not line:
                return
            name, _, value = line.partition(b":")
            if name.lower() == b"content-length":
                length = int(value)
        self.rfile.read(length)
        self.wfile.write(self.server.owner.answer)
