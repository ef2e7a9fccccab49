"""A server that answers each request with given bytes and closes its connection."""

from attrs import define

from tests.rawserver import RawServer, RequestHandler


class Handler(RequestHandler):
    """Reads one request to its end, since a close with unread bytes would be a reset."""

    def handle(self) -> None:
        """Answer one request."""
        self.rfile.readline()
        headers = dict(self.read_headers())
        self.rfile.read(int(headers.get("content-length", 0)))
        self.wfile.write(self.server.owner.answer)


@define(eq=False)
class CutServer(RawServer):
    """Answers each request with the same bytes, and closes the connection without a reset."""

    handler = Handler
    answer: bytes = b""
