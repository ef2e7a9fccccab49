"""A stand-in for an engine of the platform: a plain service, or a model engine with moves.

The path ``/admin`` is the test's: it reads what came and ran, and sets the switches.
"""

import asyncio
import itertools
import json
import os
import sys
import time
from dataclasses import asdict, dataclass, field

from review.minihttp import HOST, Request, head, run_server

STEP = 0.04  # seconds for each event of a stream
PLAIN_WORK = 0.045  # seconds for each plain request
KV_CACHE_TOKENS = 34309
CRASH_DELAY = 0.02  # seconds
CRASH_MARK = b"[crash]"  # in the body of a request that crashes each engine that begins to run it


@dataclass
class Run:
    """A request that this engine has begun to run; times are of the monotonic clock.

    Attributes
    ----------
    end : str
        ``whole``, ``cancelled``, ``stopped`` or ``failed``; empty while it runs.
    """

    attempt: str
    target: str
    body: str
    began: float
    made: int = 0
    first: int = 1
    worked_at: float = 0.0
    end: str = ""


@dataclass
class Engine:
    """An engine and its switches.

    Attributes
    ----------
    fail_share : float
        Part of the plain requests that it runs and then answers with `fail_statuses` in turn.
    leaving : bool
        Whether its answers say that it leaves.
    """

    instance: str
    stride: int = 4
    fail_share: float = 0.0
    fail_statuses: tuple[int, ...] = (500,)
    leaving: bool = False
    plain_runs: int = 0
    failed: int = 0
    arrivals: list[dict] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    copies: dict[str, int] = field(default_factory=dict)
    targets: dict[str, str] = field(default_factory=dict)
    handles: itertools.count = field(default_factory=lambda: itertools.count(1))

    def common(self) -> dict[str, str]:
        """Return the headers of every answer."""
        return {"Server-Leaving": "1"} if self.leaving else {}

    def signed(self, attempt: str) -> dict[str, str]:
        """Return the headers of the answer to a request that has run."""
        signature = f"sig.{self.instance}.{attempt}"
        return self.common() | {"X-Attempt-Id": attempt, "X-Server-Signature": signature}

    async def handle(self, request: Request) -> None:
        """Answer a call or a client's request."""
        match request.method, request.path.split("/")[1]:
            case _, "admin":
                await self.administer(request)
            case "GET", "report":
                await request.answer(200, self.report(), self.common())
            case "POST", "kv-move":
                await self.move(request)
            case "POST", "standin-copy":
                order = request.json()
                self.copies[order["handle"]] = order["made"]
                await request.answer(200, {})
            case "DELETE", "kv-handle":
                self.targets.clear()
                await request.answer(200, {}, self.common())
            case _:
                await self.work(request)

    async def work(self, request: Request) -> None:
        """Run a client's request, or reject it."""
        attempt = request.headers.get("x-attempt-id", "")
        self.arrivals.append({"attempt": attempt, "at": time.monotonic()})
        rejected = self.common() | {"X-Not-Executed": "1", "X-Attempt-Id": attempt}
        if request.headers.get("x-expected-instance", self.instance) != self.instance:
            await request.answer(421, {}, rejected)
            return
        if not attempt:
            await request.answer(400, {}, rejected)
            return
        run = Run(attempt, request.target, request.body.decode("latin1"), time.monotonic())
        if "x-token-counts" in request.headers:
            await self.generate(request, run)
        else:
            await self.answer_plainly(request, run)

    async def answer_plainly(self, request: Request, run: Run) -> None:
        """Run a plain request."""
        self.runs.append(run)
        if CRASH_MARK in request.body:
            print(json.dumps({"arrived": run.attempt, "at": run.began}), flush=True)
            # Those that arrive together have begun as well when it crashes.
            await asyncio.sleep(CRASH_DELAY)
            os._exit(1)
        await asyncio.sleep(PLAIN_WORK)
        self.plain_runs += 1
        run.worked_at = time.monotonic()
        if self.failed < self.fail_share * self.plain_runs:
            status = self.fail_statuses[self.failed % len(self.fail_statuses)]
            self.failed += 1
            run.end = "failed"
            await request.answer(status, {"error": "failed"}, self.signed(run.attempt))
            return
        run.end = "whole"
        await request.answer(200, {"ran": run.attempt}, self.signed(run.attempt))

    async def generate(self, request: Request, run: Run) -> None:
        """Stream events, from where a copy ends if the request goes on from one."""
        origin = request.headers.get("kv-from", "")
        if origin and self.copies.pop(origin.partition("/")[2], None) is None:
            rejected = {"X-Not-Executed": "1", "X-Attempt-Id": run.attempt}
            await request.answer(503, {}, self.common() | rejected)
            return
        self.runs.append(run)
        run.made = int(request.headers.get("last-event-id", 0))
        run.first = run.made + 1
        last = int(request.headers["x-token-counts"].split(",")[1]) // self.stride
        headers = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        request.writer.write(head(200, self.signed(run.attempt) | headers))
        closed = asyncio.ensure_future(request.reader.read(1))
        try:
            while run.made < last and not run.end:
                await asyncio.sleep(STEP)
                if closed.done():
                    run.end = run.end or "cancelled"
                if run.end:
                    break
                run.made += 1
                run.worked_at = time.monotonic()
                text = f"id: {run.made}\ndata: token {run.made}\n\n".encode()
                request.writer.write(b"%x\r\n%s\r\n" % (len(text), text))
            if run.end:
                request.writer.transport.abort()
                raise ConnectionAbortedError
            run.end = "whole"
            request.writer.write(b"0\r\n\r\n")
            await request.writer.drain()
        finally:
            closed.cancel()

    def running(self, attempt: str) -> Run | None:
        """Return a run that has not ended."""
        return next((run for run in self.runs if run.attempt == attempt and not run.end), None)

    def report(self) -> dict:
        """Return the load report."""
        runs = [[r.attempt, r.made * self.stride + 100, r.made, 5] for r in self.runs if not r.end]
        return {
            "Stage": "combined", "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Busy": False, "Sequence": 0, "WaitingRequests": 0, "RunningRequests": len(runs),
            "KvCacheUsed": sum(row[1] for row in runs), "KvCacheTotal": KV_CACHE_TOKENS,
            "Handles": len(self.targets), "State": "draining" if self.leaving else "ready",
            "Runs": runs,
        }  # fmt: skip

    async def move(self, request: Request) -> None:
        """Copy a run to another engine, and stop it if the order says so."""
        order = request.json()
        run = self.running(order["Id"])
        if run is None:
            await request.answer(404, {}, self.common())
            return
        handle = f"{self.instance}-{next(self.handles)}"
        if order.get("Last"):
            run.end = "stopped"
        body = json.dumps({"handle": handle, "made": run.made}).encode()
        host, _, port = order["Target"].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            f"POST /standin-copy HTTP/1.1\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n".encode()
            + body
        )
        await reader.read()
        writer.close()
        self.targets[run.attempt] = order["Target"]
        await request.answer(200, {"Handle": handle, "Created": run.made}, self.common())

    async def administer(self, request: Request) -> None:
        """Set switches, and return what came and ran."""
        for name, value in request.json().items():
            setattr(self, name, value)
        runs = [asdict(run) for run in self.runs]
        await request.answer(200, {"arrivals": self.arrivals, "runs": runs})


async def main() -> None:
    """Run the stand-in."""
    options = json.loads(sys.argv[1])
    engine = Engine(options["instance"])
    await run_server(options.get("port", 0), engine.handle)


if __name__ == "__main__":
    print(json.dumps({"host": HOST}), flush=True)
    asyncio.run(main())
