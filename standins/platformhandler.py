"""What all answers of the users' engines share."""

import asyncio
import contextlib

from tornado.iostream import StreamClosedError

from standins.common import JsonHandler
from standins.platformfaults import ENDLESS
from standins.platformruns import Run

REQUEST_ID = "X-Attempt-Id"


class EngineHandler(JsonHandler):
    """What all answers of an engine share."""

    kind = "orders"

    async def prepare(self) -> None:
        """Say that the engine leaves, if it is to say so."""
        if self.standin.says_leaving in ("all", self.kind):
            self.set_header("Server-Leaving", "1")
        if self.standin.limit != "":
            self.set_header("Server-Limit", str(self.standin.limit))
        if self.standin.brittle != "":
            self.set_header("Server-Brittle", str(self.standin.brittle))

    def head_lines(self, run: Run) -> bytes:
        """Return the first lines of an answer's head, with the status that is set."""
        line = f"HTTP/1.1 {self.standin.status} Odd\r\n"
        return f"{line}{REQUEST_ID}: {run.name}\r\nX-Server-Signature: s\r\n".encode()

    async def answer_for_ever(self, fault: str, run: Run) -> None:
        """Write bytes without end, until the other side closes."""
        begin, more = ENDLESS[fault]
        stream = self.request.connection.stream
        self._finished = True
        with contextlib.suppress(StreamClosedError):
            await stream.write(begin.replace(b"HEAD", self.head_lines(run)))
            while True:
                await stream.write(more)
                await asyncio.sleep(self.standin.noise_pause)
        run.end = "cancelled"
