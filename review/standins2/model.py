"""A model engine whose runs can be copied to other engines and continued there."""

import asyncio
import itertools
import json
import time

from engine import Engine, event_text
from web import answer, head_bytes

PROMPT_TOKENS = 900
COPY_TIME = 0.05  # seconds


class Run:
    """A run: which events it has made, and when it last made one."""

    def __init__(self, attempt, made=0):
        self.attempt, self.made, self.stopped = attempt, made, False
        self.began, self.worked_at, self.done = time.monotonic(), time.monotonic(), False


class ModelEngine(Engine):
    """An engine that copies runs.

    Attributes
    ----------
    engines : dict of str to ModelEngine
        All engines by address; copies go to them.
    drops_closed : bool
        Whether it ends a run whose connection closes; most engines do.
    """

    def __init__(self, name, service, zone, engines):
        super().__init__(name, service, zone)
        self.engines, self.live, self.copies = engines, {}, {}
        self.handles, self.orders = itertools.count(1), []
        self.slots, self.drops_closed, self.history = 24, True, []

    async def handle_order(self, request, _reader, writer):
        """Answer an order to copy a run, or to free a copy."""
        if request.method == "DELETE":
            handle = request.path.rpartition("/")[2]
            for engine in self.engines.values():
                engine.copies.pop((self.address, handle), None)
            await answer(writer, 200, {})
            return True
        if request.path != "/kv-move":
            await answer(writer, 404, {})
            return True
        order = json.loads(request.body)
        self.orders.append((time.monotonic(), order))
        run, target = self.live.get(order["Id"]), self.engines.get(order["Target"])
        if run is None:
            await answer(writer, 404, {})
            return True
        if order.get("Last"):
            run.stopped = True
        await asyncio.sleep(COPY_TIME)
        handle = f"h{next(self.handles)}"
        copied = Run(run.attempt, run.made)
        if target is None or target.has_exited:
            self.copies[self.address, handle] = copied
            await answer(writer, 503, {"Handle": handle} if order.get("Last") else {})
            return True
        for key, old in list(target.copies.items()):
            if old.attempt == run.attempt:
                del target.copies[key]
        target.copies[self.address, handle] = copied
        await answer(writer, 200, {"Handle": handle, "Created": run.made})
        return True

    async def _handle(self, request, reader, writer):
        self.request = request
        origin = request.get("Kv-From")
        if origin and request.get("X-Expected-Instance", self.name) == self.name:
            holder, _, handle = origin.partition("/")
            attempt = request.get("X-Attempt-Id")
            self.arrivals.append((time.monotonic(), attempt))
            copied = self.copies.pop((holder, handle), None)
            if copied is None or copied.attempt != attempt:
                headers = {"X-Attempt-Id": attempt, "X-Not-Executed": "1"}
                await answer(writer, 503, b"", headers)
                return True
            self.runs.append((time.monotonic(), attempt))
            last = int(request.get("Last-Event-Id", "0"))
            await self.run(Run(attempt, last), writer)
            return True
        return await super()._handle(request, reader, writer)

    async def stream(self, attempt, writer, headers):
        """Run a request from its beginning."""
        await asyncio.sleep(self.prefill)
        await self.run(Run(attempt), writer)

    async def run(self, run, writer):
        """Make the events of a run, and write them for as long as its connection is open."""
        self.live[run.attempt] = run
        self.history.append(run)
        kind = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        echo = {"X-Attempt-Id": run.attempt}
        writer.write(head_bytes(200, echo | self.proof() | kind))
        while run.made < self.events and not run.stopped:
            await asyncio.sleep(self.step)
            if run.stopped or (writer.is_closing() and self.drops_closed):
                break
            run.made += 1
            run.worked_at = time.monotonic()
            event = event_text(run.made, self.events)
            if not writer.is_closing():
                writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
        run.done = run.made >= self.events
        if self.live.get(run.attempt) is run:
            del self.live[run.attempt]
        if run.done and not writer.is_closing():
            writer.write(b"0\r\n\r\n")
            await writer.drain()
        else:
            writer.close()

    def report(self):
        """Return the load report."""
        runs = [[r.attempt, PROMPT_TOKENS + r.made, r.made, 5] for r in self.live.values()]
        used = sum(row[1] for row in runs)
        return super().report() | {
            "RunningRequests": len(runs),
            "KvCacheUsed": used,
            "KvCacheTotal": 34309,
            "Runs": runs,
        }
