"""The users' engines: plain services and model engines, whose runs can be copied to others."""

import asyncio
import contextlib
import itertools
import json
import os
import re
import signal
import socket
import time

from attrs import asdict, define, field
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.iostream import IOStream, StreamClosedError

from standins.common import JsonHandler, parser, serve

REQUEST_ID = "X-Attempt-Id"
NOT_RUN = "X-Not-Executed"
NOISE = b"n" * 1000
ENDLESS = {
    "endless_noise": (b"", b"\x00\x81\xfe" * 300),
    "endless_line": (b"HTTP/1.1 200 OK\r\nX-Noise: ", NOISE),
    "endless_head": (b"HTTP/1.1 200 OK\r\n", b"X-Noise: " + NOISE + b"\r\n"),
    "endless_interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "endless_body": (b"HEAD\r\n", NOISE),
    "endless_chunks": (b"HEADTransfer-Encoding: chunked\r\n\r\n", b"3e8\r\n" + NOISE + b"\r\n"),
    "endless_event": (b"HEAD\r\n", NOISE),
    "endless_comments": (b"HEAD\r\n", b": noise\n\n"),
    "endless_old": (b"HEAD\r\n", b"id: 1\ndata: token 1\n\n"),
}  # what an answer begins with, and what then comes again and again; HEAD is a good answer's head
UNFRAMED_ENDS = {
    "unframed": b"", "reset_unframed": b"", "unframed_half": b"id: 21\ndata: to",
    "unframed_early": b"id: 1\nda",
}  # fmt: skip
PARTIAL_HEADS = {
    "half_head": b"HEAD",
    "half_line": b"HEADContent-Len",
    "half_head_after_interim": b"HTTP/1.1 103 Early Hints\r\n\r\nHEAD",
}  # where an answer breaks off within its head; HEAD is the lines of a good one
OLD_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: an-earlier-one\r\n"
    b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
FAILURES = {"fail": 500, "promise": 503}  # the status of a generation that ran and failed
MUTE_TIME = 60.0  # seconds
DEADLY_PART = re.compile(r"\bdead-\d+:\d+,")  # in a prompt's list of parts, never the last
CRASH_DELAY = 0.1  # seconds from the head of an answer to the crash
DEADLY = re.compile(r"\[(crash|hang)=(\d+)\]")  # in a body: how, and after how many events


@define
class Run:
    """One request that an engine has begun to work on.

    Attributes
    ----------
    first : int
        The first event made here.
    made : int
        The last event made.
    end : str
        ``whole``, ``cancelled`` or ``stopped``; empty while it runs.
    began, worked_at : float
        When it began here and made its last event, in seconds of the host's monotonic clock.
    """

    name: str
    method: str = ""
    target: str = ""
    headers: dict = field(factory=dict)
    body: str = ""
    first: int = 1
    made: int = 0
    end: str = ""
    began: float = field(factory=time.monotonic)
    worked_at: float = 0.0


@define
class Copy:
    """The memory of another engine's run."""

    run: str
    made: int


@define(eq=False)
class PlatformEngine:
    """An engine, and the switches that make it fail.

    Attributes
    ----------
    step : float
        Seconds for each event.
    plain_work : float
        Seconds for each plain call.
    copy_time : float
        Seconds for the first copy of a run.
    room : bool
        Whether copies of other engines' runs are taken.
    fault : str
        What goes wrong with answers: ``shed``, ``lose``, ``wrong_id``, ``garbage``, ``unframed``,
        ``reset_unframed``, ``unframed_half``, ``unframed_early``, ``encoded``, ``half_event``,
        ``fail``, ``promise``, ``promise_429``, ``promise_408``, ``mute``, ``unstoppable``,
        ``old_refusal``, a name of ``ENDLESS`` or of ``PARTIAL_HEADS``; empty for nothing.
    report_fault : str
        What goes wrong with reports: a name of ``ENDLESS``; empty for nothing.
    noise_pause : float
        Seconds between the pieces of an answer without end.
    id_mark : str
        What the ids of events from ``marked_from`` on begin with.
    says_leaving : str
        Which answers say that it leaves: ``all``, ``requests`` or none.
    pause : float
        The seconds for which it wants to be left alone when it sheds a request; 0 for none.
    brittle : int or str
        How many rejections a second it bears before it ends; empty for any number.
    slots : int
        How many callers' requests it runs at once, before it rejects others; 0 for any number.
    rejected : list of float
        When it rejected requests for want of room, in seconds of the host's monotonic clock.
    limit : float or str
        The limit that its answers name, in requests per second; empty for none.
    arrivals : list of str
        The method and path of each call that came, also of one that was turned away.
    request_times : list of float
        When each caller's request came, in seconds of the host's monotonic clock.
    """

    instance: str
    step: float = 0.01
    plain_work: float = 0.0
    copy_time: float = 0.05
    room: bool = True
    fault: str = ""
    report_fault: str = ""
    noise_pause: float = 0.0
    id_mark: str = ""
    marked_from: int = 1
    state: str = "ready"
    says_leaving: str = ""
    pause: float = 0.0
    brittle: int | str = ""
    slots: int = 0
    rejected: list[float] = field(factory=list)
    limit: float | str = ""
    request_times: list[float] = field(factory=list)
    arrivals: list[str] = field(factory=list)
    runs: list[Run] = field(factory=list)
    copies: dict[str, Copy] = field(factory=dict)
    targets: dict[str, str] = field(factory=dict)
    stopped: dict[str, Copy] = field(factory=dict)
    handles: itertools.count = field(factory=lambda: itertools.count(1))

    def running(self, name: str) -> Run | None:
        """Return a run that has not ended."""
        return next((r for r in self.runs if r.name == name and not r.end), None)


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

    async def answer_for_ever(self, fault: str, run: Run) -> None:
        """Write bytes without end, until the other side closes."""
        begin, more = ENDLESS[fault]
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {run.name}\r\nX-Server-Signature: s\r\n"
        stream = self.request.connection.stream
        self._finished = True
        with contextlib.suppress(StreamClosedError):
            await stream.write(begin.replace(b"HEAD", head.encode()))
            while True:
                await stream.write(more)
                await asyncio.sleep(self.standin.noise_pause)
        run.end = "cancelled"


class Work(EngineHandler):
    """Any path: a caller's request."""

    kind = "requests"

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
        self.standin.runs.append(run)
        die_if_due(run)
        if self.standin.fault == "old_refusal":
            await self.request.connection.stream.write(OLD_REFUSAL)
        if self.standin.fault in ENDLESS:
            await self.answer_for_ever(self.standin.fault, run)
        elif self.standin.fault in PARTIAL_HEADS:
            await self.break_off_in_head(run)
        elif "X-Token-Counts" in self.request.headers:
            await self.generate(run)
        else:
            await self.answer(run)

    get = post = put = delete = any_method

    def on_connection_close(self) -> None:
        """Cancel the run."""
        run = self.standin.running(self.request.headers.get(REQUEST_ID, ""))
        if run is not None:
            run.end = "cancelled"

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
            case "unframed" | "reset_unframed":
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
        if self.standin.fault == "reset_unframed":
            reset_at_close(stream)
        else:
            await stream.write(b"second half")
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
        last = int(run.headers["X-Token-Counts"].split(",")[1])
        if self.standin.fault in UNFRAMED_ENDS:
            await self.stream_unframed(run, last)
            return
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
        head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {run.name}\r\nX-Server-Signature: s\r\n"
        self._finished = True
        await stream.write(f"{head}Content-Type: text/event-stream\r\n\r\n".encode())
        if fault == "unframed_early":
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
            self.write(text)
            await self.flush()
        except StreamClosedError:
            run.end = "cancelled"
        die_if_due(run)

    async def end_stream(self, run: Run) -> None:
        """End the answer: whole, or broken off where the run was stopped or cancelled."""
        if run.end:
            self.request.connection.stream.close()
            self._finished = True
            return
        run.end = "whole"
        await self.finish()


def event_text(number: int, mark: str = "") -> str:
    """Return one event of a stream."""
    return f"id: {mark}{number}\ndata: token {number}\n\n"


def reset_at_close(stream: IOStream) -> None:
    """Make the closing of a connection a reset."""
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def die_if_due(run: Run) -> None:
    """End this engine, or stop it for good, if the run's body says that it does that now."""
    match DEADLY.search(run.body):
        case re.Match() as found if run.made >= int(found[2]):
            os.kill(os.getpid(), signal.SIGKILL if found[1] == "crash" else signal.SIGSTOP)


class Move(EngineHandler):
    """``POST /kv-move``."""

    async def post(self) -> None:
        """Copy a run to another engine; only to one at a time."""
        engine, order = self.standin, self.body()
        run = engine.running(order["Id"])
        if run is None:
            self.set_status(404)
            self.finish()
            return
        if order["Last"] and engine.fault == "unstoppable":
            self.set_status(500)
            self.finish()
            return
        before = engine.targets.get(run.name)
        if before not in (None, order["Target"]):
            self.set_status(503)
            self.finish({})
            return
        engine.targets[run.name] = order["Target"]
        handle = f"h{next(engine.handles)}-{engine.instance}"
        await asyncio.sleep(0.0 if before else engine.copy_time)
        if order["Last"] and not run.end:
            run.end = "stopped"
        taken = await self.send(order["Target"], handle, run)
        if order["Last"]:
            engine.stopped[handle] = Copy(run.name, run.made)
        if not taken:
            engine.targets.pop(run.name, None)
            self.set_status(503)
        self.finish({"Handle": handle, "Created": run.made})

    async def send(self, target: str, handle: str, run: Run) -> bool:
        """Give a copy to another engine."""
        body = json.dumps({"handle": handle, "run": run.name, "made": run.made})
        try:
            request = HTTPRequest(f"http://{target}/standin-copy", "POST", body=body)
            await AsyncHTTPClient().fetch(request)
        except (HTTPClientError, OSError):
            return False
        return True


class TakeCopy(JsonHandler):
    """``POST /standin-copy``: between stand-ins only."""

    def post(self) -> None:
        """Take a copy, if there is room."""
        body = self.body()
        if not self.standin.room:
            self.set_status(503)
        else:
            self.standin.copies[body["handle"]] = Copy(body["run"], body["made"])
        self.finish()


class Handle(JsonHandler):
    """``DELETE /kv-handle/ID``."""

    def delete(self, _handle: str) -> None:
        """Forget where runs were copied to."""
        self.standin.targets.clear()
        self.finish()


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
