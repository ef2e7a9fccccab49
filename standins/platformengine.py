"""The users' engines: plain services and model engines, whose runs can be copied to others."""

import asyncio
import json
import os
import signal
import time

from attrs import asdict
from tornado.iostream import StreamClosedError

from standins.common import JsonHandler, parser, serve
from standins.platformcopies import Handle, Move, TakeCopy
from standins.platformfaults import (
    CRASH_DELAY,
    DEADLY_PART,
    ENDLESS,
    FAILURES,
    LATE_CLOSE,
    MUTE_TIME,
    ODD_STATUS,
    OLD_REFUSAL,
    PARTIAL_HEADS,
    UNFRAMED_ENDS,
    die_if_due,
    reset_at_close,
)
from standins.platformhandler import REQUEST_ID, EngineHandler
from standins.platformruns import PlatformEngine, Run

NOT_RUN = "X-Not-Executed"


class Work(EngineHandler):
    """Any path: a caller's request."""

    kind = "requests"
    begun: Run | None = None

    async def prepare(self) -> None:
        """Refuse what this engine may not run."""
        await super().prepare()
        engine, headers = self.standin, self.request.headers
        engine.arrivals.append(f"{self.request.method} {self.request.path}")
        engine.request_times.append(time.monotonic())
        if headers.get("X-Expected-Instance") != engine.instance:
            self.refuse(421)
        elif REQUEST_ID not in headers:
            self.refuse(400)
        elif engine.fault == "shed":
            self.refuse(503)
        elif engine.slots and sum(not run.end for run in engine.runs) >= engine.slots:
            self.reject()

    def reject(self) -> None:
        """Turn a request away for want of room, and end if that is too often for this engine."""
        engine, now = self.standin, time.monotonic()
        engine.rejected = [at for at in engine.rejected if now - at < 1.0] + [now]
        if engine.brittle != "" and len(engine.rejected) > int(engine.brittle):
            os.kill(os.getpid(), signal.SIGKILL)
        self.refuse(503)

    def refuse(self, status: int) -> None:
        """Answer that the request has not run."""
        self.set_status(status)
        self.set_header(NOT_RUN, "1")
        if REQUEST_ID in self.request.headers:
            self.set_header(REQUEST_ID, self.request.headers[REQUEST_ID])
        if status == 503 and self.standin.pause:
            self.set_header("Retry-After", str(self.standin.pause))
        self.finish()

    def sign(self) -> None:
        """Set the headers that every answer has."""
        name = self.request.headers[REQUEST_ID]
        self.set_header(REQUEST_ID, "another" if self.standin.fault == "wrong_id" else name)
        self.set_header("X-Server-Signature", f"signed.{self.standin.instance}")

    async def any_method(self) -> None:
        """Run the request."""
        if self._finished:
            return
        name, headers = self.request.headers[REQUEST_ID], dict(self.request.headers.get_all())
        body = self.request.body.decode("latin1")
        run = Run(name, self.request.method, self.request.uri, headers, body)
        self.begun = run
        self.standin.runs.append(run)
        note("run began", run)
        die_if_due(run)
        if self.standin.fault == "old_refusal":
            await self.request.connection.stream.write(OLD_REFUSAL)
        if self.standin.after_run:
            self.answer_oddly(run)
        elif self.standin.fault in ENDLESS:
            await self.answer_for_ever(self.standin.fault, run)
        elif self.standin.fault in ODD_STATUS:
            await self.answer_with_status(run)
        elif self.standin.fault in PARTIAL_HEADS:
            await self.break_off_in_head(run)
        elif "X-Token-Counts" in self.request.headers:
            await self.generate(run)
        else:
            await self.answer(run)

    get = post = put = delete = any_method

    def on_connection_close(self) -> None:
        """Cancel the run of this connection, not another one of the same request."""
        if self.begun is not None and not self.begun.end:
            self.begun.end = "cancelled"

    def answer_oddly(self, run: Run) -> None:
        """Answer as `after_run` says."""
        run.end = "whole"
        status, headers = self.standin.after_run
        self.set_status(status)
        for name, value in headers:
            self.add_header(name, value.replace("ID", run.name))
        self.finish()

    async def answer(self, run: Run) -> None:
        """Answer a plain call."""
        await asyncio.sleep(self.standin.plain_work)
        run.end = run.end or "whole"
        stream = self.request.connection.stream
        match self.standin.fault:
            case "lose":
                stream.close()
                self._finished = True
                return
            case "garbage":
                await stream.write(b"no answer at all\r\n\r\n")
                stream.close()
                self._finished = True
                return
            case "unframed" | "reset_unframed" | "killed_unframed":
                await self.unframed(run)
                return
            case "encoded":
                self.set_header("Content-Encoding", "br")
            case "promise":
                self.set_status(503)
            case "promise_429" | "promise_408":
                self.set_status(int(self.standin.fault.partition("_")[2]))
        self.sign()
        self.finish(json.dumps({"instance": self.standin.instance, "target": run.target}))

    async def unframed(self, run: Run) -> None:
        """Answer without a length: the end of the connection is the end of the answer."""
        stream = self.request.connection.stream
        leaving = "Server-Leaving: 1\r\n" if self.standin.says_leaving else ""
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {run.name}\r\nX-Server-Signature: s\r\n"
        head += f"{leaving}\r\n"
        await stream.write(head.encode() + b"first half ")
        await asyncio.sleep(0.05)
        if self.standin.fault == "killed_unframed":
            os.kill(os.getpid(), signal.SIGKILL)
        if self.standin.fault == "reset_unframed":
            reset_at_close(stream)
        else:
            await stream.write(b"second half")
        stream.close()
        self._finished = True

    async def answer_with_status(self, run: Run) -> None:
        """Write a whole answer with the status that is set."""
        stream, run.end = self.request.connection.stream, "whole"
        answer = ODD_STATUS[self.standin.fault].replace(b"HEAD", self.head_lines(run))
        await stream.write(answer.replace(b": ID", f": {run.name}".encode()))
        stream.close()
        self._finished = True

    async def break_off_in_head(self, run: Run) -> None:
        """Write a part of an answer's head, and close the connection."""
        stream, run.end = self.request.connection.stream, "whole"
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {run.name}\r\nX-Server-Signature: s\r\n"
        await stream.write(PARTIAL_HEADS[self.standin.fault].replace(b"HEAD", head.encode()))
        stream.close()
        self._finished = True

    async def generate(self, run: Run) -> None:
        """Stream events, from where a copy ends if there is one."""
        if self.standin.fault in FAILURES:
            run.end = "failed"
            self.sign()
            self.set_status(FAILURES[self.standin.fault])
            self.finish()
            return
        if self.standin.fault == "mute":
            await asyncio.sleep(MUTE_TIME)
            return
        origin = run.headers.get("Kv-From")
        if origin is not None and not self.take_copy(run, origin.rpartition("/")[2]):
            self.standin.runs.remove(run)
            self.refuse(503)
            return
        self.sign()
        self.set_header("Content-Type", "text/event-stream")
        if DEADLY_PART.search(run.headers.get("X-Prompt-Prefix", "")):
            await self.crash_at_the_head()
        allowed = int(run.headers["X-Token-Counts"].split(",")[1])
        last = min(self.standin.ends_after or allowed, allowed)
        if self.standin.fault in UNFRAMED_ENDS:
            await self.stream_unframed(run, last)
            return
        run.is_unframed = self.standin.is_unframed
        if run.is_unframed:
            self._finished = True
            await self.request.connection.stream.write(unframed_head(run).encode())
        run.first = int(run.headers.get("Last-Event-Id", 0)) + 1
        run.made = run.first - 1
        while run.made < last and not run.end:
            await asyncio.sleep(self.standin.step)
            if not run.end:
                await self.make_event(run)
        await self.end_stream(run)

    async def stream_unframed(self, run: Run, last: int) -> None:
        """Stream events without length or chunks, and end as the fault says."""
        stream, fault = self.request.connection.stream, self.standin.fault
        self._finished = True
        await stream.write(unframed_head(run).encode())
        if fault in ("unframed_early", "unframed_empty"):
            last = 0
        for number in range(1, last + 1):
            await stream.write(event_text(number).encode())
            await asyncio.sleep(self.standin.step)
        await stream.write(UNFRAMED_ENDS[fault])
        if fault == "reset_unframed":
            reset_at_close(stream)
        run.made, run.end = last, "whole" if fault == "unframed" else "broken off"
        stream.close()

    async def crash_at_the_head(self) -> None:
        """End this engine after the head of an answer and before its first event."""
        await self.flush()
        await asyncio.sleep(CRASH_DELAY)
        os.kill(os.getpid(), signal.SIGKILL)

    def take_copy(self, run: Run, handle: str) -> bool:
        """Use a copy, once; False when there is none."""
        found = self.standin.copies.pop(handle, None) or self.standin.stopped.pop(handle, None)
        return found is not None and found.run == run.name

    async def make_event(self, run: Run) -> None:
        """Write the next event."""
        run.made += 1
        run.worked_at = time.monotonic()
        marked = run.made >= self.standin.marked_from
        text = event_text(run.made, self.standin.id_mark if marked else "")
        if self.standin.fault == "half_event" and run.made == 5 and run.first == 1:
            await self.request.connection.stream.write(b"10\r\nid: 5\nda")
            self.request.connection.stream.close()
            run.end = "cancelled"
            return
        try:
            if self.standin.fault == "killed_inside":
                await self.send_event(run, text[: len(text) // 2])
                os.kill(os.getpid(), signal.SIGKILL)
            await self.send_event(run, text)
        except StreamClosedError:
            run.end = "cancelled"
        die_if_due(run)

    async def send_event(self, run: Run, text: str) -> None:
        """Send one event or a part of it, in a chunk or as it is."""
        if run.is_unframed:
            await self.request.connection.stream.write(text.encode())
            return
        self.write(text)
        await self.flush()

    async def end_stream(self, run: Run) -> None:
        """End the answer: whole, or broken off where the run was stopped or cancelled."""
        if run.end == "stopped" and self.standin.stop_manner == "answers first":
            await asyncio.sleep(LATE_CLOSE)
        if not run.end:
            run.end = "whole"
            note("run whole", run)
        if run.end != "whole" or run.is_unframed:
            self.request.connection.stream.close()
            self._finished = True
            return
        await self.finish()


def note(what: str, run: Run) -> None:
    """Log what became of a run, for whoever asks after this engine was killed."""
    line = {"message_type": what, "run": run.name, "made": run.made}
    print(json.dumps(line), flush=True)


def unframed_head(run: Run) -> str:
    """Return the head of a stream with neither a length nor chunks."""
    head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {run.name}\r\nX-Server-Signature: s\r\n"
    return f"{head}Content-Type: text/event-stream\r\n\r\n"


def event_text(number: int, mark: str = "") -> str:
    """Return one event of a stream."""
    return f"id: {mark}{number}\ndata: token {number}\n\n"


class Report(EngineHandler):
    """``GET /report``."""

    async def get(self) -> None:
        """Return the load."""
        engine = self.standin
        engine.arrivals.append("GET /report")
        if engine.report_fault:
            await self.answer_for_ever(engine.report_fault, Run("report"))
            return
        runs = [[run.name, run.made + 100, run.made, 5] for run in engine.runs if not run.end]
        self.finish(
            {
                "RunningRequests": len(runs),
                "WaitingRequests": 0,
                "KvCacheUsed": sum(row[1] for row in runs),
                "KvCacheTotal": 30000,
                "State": engine.state,
                "Runs": runs,
            }
        )


class Admin(JsonHandler):
    """``/admin``: runs and switches."""

    def get(self) -> None:
        """Return what ran."""
        runs = [asdict(run) for run in self.standin.runs]
        copies = [copy.run for copy in self.standin.copies.values()]
        arrivals, times = self.standin.arrivals, self.standin.request_times
        self.finish({"runs": runs, "copies": copies, "arrivals": arrivals, "request_times": times})

    def post(self) -> None:
        """Set switches."""
        for name, value in self.body().items():
            setattr(self.standin, name, value)
        self.finish({})


def main() -> None:
    """Run the stand-in."""
    options = parser(__doc__)
    options.add_argument("--step", type=float, default=0.01)
    parsed = options.parse_args()
    shared = {"standin": PlatformEngine(parsed.name, step=parsed.step)}
    routes = [
        (r"/kv-move", Move, shared),
        (r"/standin-copy", TakeCopy, shared),
        (r"/kv-handle/(.+)", Handle, shared),
        (r"/report", Report, shared),
        (r"/admin", Admin, shared),
        (r".*", Work, shared),
    ]
    serve(parsed, routes)


if __name__ == "__main__":
    main()
