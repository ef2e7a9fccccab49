"""Servers of the users' platform that run all they get and then answer with any bytes."""

import struct
from collections import Counter
from socket import SO_LINGER, SOL_SOCKET

from attrs import define
from hypothesis import strategies as st

from tests.rawserver import RawServer, RequestHandler

REPORT = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 78\r\n\r\n"
    b'{"RunningRequests":0,"WaitingRequests":0,"KvCacheUsed":0,"KvCacheTotal":30000}'
)
RESET = struct.pack("ii", 1, 0)
PROMISES = frozenset({408, 421, 429, 503})  # the statuses that say "not run"
STATUSES = (200, 204, 302, 400, 404, 409, 413, 425, 500, 502, 504, 599, *sorted(PROMISES))
IDS = ((), ("ID",), ("ID",), ("other",), ("ID", "other"), ("ID", "ID"), ("",), ("ID x",))
CLAIMS = ((), ("1",), ("1",), ("true",), ("0",), ("",), ("false",), ("1", "0"), ("1, 1",), ("no",))
INTERIM = b"HTTP/1.1 103 Early Hints\r\nX-Attempt-Id: ID\r\nX-Not-Executed: 1\r\n\r\n"


@define
class ScriptedAnswer:
    """An answer to a request that has run.

    Attributes
    ----------
    ids, claims : tuple of str
        The values of the headers that name the request and say that it has not run; ``ID`` stands
        for the request's id.
    ending : str
        How it ends: ``whole``, or at the ``close`` or ``reset`` of the connection in its body.
    """

    status: int
    ids: tuple[str, ...]
    claims: tuple[str, ...]
    is_signed: bool
    has_interim: bool
    ending: str

    def is_lie(self) -> bool:
        """Return True if nothing tells it from a true refusal."""
        refuses = self.claims in (("1",), ("true",)) or (self.status == 421 and not self.claims)
        is_refusal = 400 <= self.status < 500 or self.status == 503
        return self.ids == ("ID",) and refuses and is_refusal and not self.is_signed

    def encode(self, name: str) -> bytes:
        """Return its bytes, for a request with an id."""
        lines = [f"HTTP/1.1 {self.status} Odd"]
        lines += [f"X-Attempt-Id: {value}" for value in self.ids]
        lines += [f"X-Not-Executed: {value}" for value in self.claims]
        lines += ["X-Server-Signature: signed"] if self.is_signed else []
        lines += [f"Content-Length: {0 if self.ending == 'whole' else 10}", "", ""]
        head = "\r\n".join(lines).encode()
        return ((INTERIM if self.has_interim else b"") + head).replace(b"ID", name.encode())


odd_answers = st.builds(
    ScriptedAnswer, st.sampled_from(STATUSES), st.sampled_from(IDS), st.sampled_from(CLAIMS),
    st.booleans(), st.booleans(), st.sampled_from(("whole", "whole", "close", "reset")),
).filter(lambda answer: not answer.is_lie())  # fmt: skip


class Handler(RequestHandler):
    """Runs one request and answers it; reports are sound, so that the server stays in use."""

    def handle(self) -> None:
        """Answer one request."""
        line = self.rfile.readline()
        headers = dict(self.read_headers())
        if line.startswith(b"GET /report "):
            self.wfile.write(REPORT)
            return
        self.rfile.read(int(headers.get("content-length", 0)))
        server, name = self.server.owner, headers.get("x-attempt-id", "")
        server.runs[name] += 1
        if server.answer.ending == "reset":
            self.connection.setsockopt(SOL_SOCKET, SO_LINGER, RESET)
        self.wfile.write(server.answer.encode(name))


@define(eq=False)
class ScriptedServer(RawServer):
    """A server that counts what it has run, and answers as it is told.

    Attributes
    ----------
    runs : Counter of str
        How often each request has run, by its id.
    """

    handler = Handler
    runs: Counter
    answer: ScriptedAnswer | None = None
