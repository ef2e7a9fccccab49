"""An engine: plain calls and streams; it records what arrived and what ran."""

import asyncio
import time

from web import answer, head_bytes, listen

HEARTBEAT = 1.2  # seconds


class Engine:
    """A sound engine; what goes wrong with it is set by its attributes.

    Attributes
    ----------
    work : float
        Seconds that a plain call takes.
    arrivals, runs : list of (float, str)
        When which request arrived, and when which began to run.
    """

    def __init__(self, name, service, zone, work=0.02):
        self.name, self.service, self.zone, self.work = name, service, zone, work
        self.born = int(time.time() * 1000)
        self.state, self.arrivals, self.runs, self.ended = "ready", [], [], {}
        self.slots, self.has_exited, self.open = 6, False, set()
        self.prefill, self.step, self.events = 0.25, 0.03, 20
        self.misbehave = None
        self.dark = None  # an event that is never set, while its machine has no power

    async def start(self):
        """Listen; returns the address."""
        self.server, self.address = await listen(self.handle)
        return self.address

    def entry(self, **more):
        """Return the entry in the store."""
        return {
            "Service": self.service,
            "Address": self.address,
            "Zone": self.zone,
            "Version": "1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": 1,
            "born": self.born,
        } | more

    async def beat(self, store):
        """Write the entry again and again, as engines do, for as long as it is in the store."""
        sequence = 1
        while True:
            await asyncio.sleep(HEARTBEAT)
            sequence += 1
            if f"servers/{self.name}" not in store.items:
                return
            await store.write(f"servers/{self.name}", self.entry(Sequence=sequence))

    async def exit(self):
        """End: refuse connections, and break off what runs."""
        self.has_exited = True
        self.server.close()
        for writer in list(self.open):
            writer.transport.abort()

    async def handle(self, request, reader, writer):
        """Answer one request."""
        self.open.add(writer)
        try:
            return await self._handle(request, reader, writer)
        finally:
            self.open.discard(writer)

    async def _handle(self, request, reader, writer):
        if request.path == "/report":
            await answer(writer, 200, self.report())
            return True
        if request.path == "/health":
            await answer(writer, 200, b"", {"X-Instance-Id": self.name})
            return True
        if request.path.startswith("/kv-"):
            return await self.handle_order(request, reader, writer)
        attempt = request.get("X-Attempt-Id")
        self.arrivals.append((time.monotonic(), attempt))
        echo = {"X-Attempt-Id": attempt}
        if request.get("X-Expected-Instance", self.name) != self.name:
            await answer(writer, 421, b"", echo | {"X-Not-Executed": "1"})
            return True
        if not attempt:
            await answer(writer, 400, b"", {"X-Not-Executed": "1"})
            return True
        self.runs.append((time.monotonic(), attempt))
        if self.misbehave is not None:
            return await self.misbehave(self, request, reader, writer)
        if request.get("X-Token-Counts"):
            await self.stream(attempt, writer, echo | self.proof())
            return True
        await asyncio.sleep(self.work)
        self.ended[attempt] = time.monotonic()
        await answer(writer, 200, f"{self.name} {attempt}".encode(), echo | self.proof())
        return True

    async def light(self):
        """Wait for as long as the machine has no power."""
        if self.dark is not None:
            await self.dark.wait()

    async def stream(self, attempt, writer, headers):
        """Answer with a stream of events."""
        await asyncio.sleep(self.prefill)
        await self.light()
        kind = {"Content-Type": "text/event-stream", "Transfer-Encoding": "chunked"}
        writer.write(head_bytes(200, headers | kind))
        for number in range(1, self.events + 1):
            await self.light()
            event = event_text(number, self.events)
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(self.step)
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.ended[attempt] = time.monotonic()

    async def handle_order(self, request, _reader, writer):
        """Answer an order about a run: there is none."""
        await answer(writer, 404 if request.method == "POST" else 200, {})
        return True

    def proof(self):
        """Return the headers of an answer that ran."""
        return {"X-Server-Signature": f"s.{self.name}"}

    def report(self):
        """Return the load report."""
        return {
            "Stage": "combined",
            "Models": [{"Name": "m", "Version": 1, "Adapters": []}],
            "Busy": False,
            "Sequence": 1,
            "WaitingRequests": 0,
            "RunningRequests": 0,
            "KvCacheUsed": 0,
            "KvCacheTotal": 90000,
            "Handles": 0,
            "State": self.state,
            "Runs": [],
            "born": self.born,
        }


def event_text(number, last):
    """Return one event; the last one says so."""
    text = "last" if number == last else "piece"
    return f"id: {number}\ndata: {text} {number}\n\n".encode()


__all__ = ["Engine", "event_text"]
