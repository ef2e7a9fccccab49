"""A model engine: continuous batching, memory that fills, preemption, prefix cache, streams."""

import asyncio
import json
import os
import re
import secrets
import time
from collections import OrderedDict, deque

import numpy as np
import xxhash
from attrs import define, field
from tornado.httpclient import AsyncHTTPClient
from tornado.iostream import StreamClosedError

from standins.common import JsonHandler, parser, serve

KEEP_FINISHED = 60.0  # seconds that a finished stream can still be read
LENGTH = re.compile(r"\[len=(\d+)\]")
CRASH = re.compile(r"\[crash(?:=(\d+))?\]")
PREFIX_BYTES = 256
BYTES_PER_TOKEN = 4
BEGUN_PART = 200  # characters of a prompt kept for the list of those begun


@define(eq=False)
class Generation:
    """One stream: its request, what it has generated, and who reads it."""

    stream: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    length: int
    mark: str = field(factory=lambda: secrets.token_hex(4))
    tokens: list[str] = field(factory=list)
    reason: str | None = None
    readers: int = 0
    arrived: float = field(factory=time.monotonic)
    ended: float = 0.0
    to_prefill: int = 0
    crash_at: int = -1
    news: asyncio.Event = field(factory=asyncio.Event)

    @property
    def size(self) -> int:
        """Return the memory it takes, in tokens."""
        return self.prompt_tokens + len(self.tokens)

    def wake(self) -> None:
        """Tell the readers that there is more."""
        self.news.set()
        self.news = asyncio.Event()


@define(eq=False)
class Engine:
    """The engine: what runs, what waits, and how fast it goes."""

    options: object
    running: list[Generation] = field(factory=list)
    waiting: deque = field(factory=deque)
    streams: dict[str, Generation] = field(factory=dict)
    preemptions: int = 0
    generated: int = 0
    started: int = 0
    prompt_tokens: int = 0
    prefix_hits: int = 0
    begun: list[str] = field(factory=list)
    peak_memory: int = 0
    history: deque = field(factory=lambda: deque(maxlen=1000))
    cache: OrderedDict = field(factory=OrderedDict)
    events: list = field(factory=list)
    leaving: bool = False
    fence: int = 0
    loaded: dict = field(factory=dict)
    orders: list = field(factory=list)
    weights: set = field(factory=set)
    stale_orders: int = 0
    state_reads: int = 0
    cut_by_orders: int = 0
    work: asyncio.Event = field(factory=asyncio.Event)
    # Switches that make it fail.
    duplicate_every: int = 0
    skip_at: int = -1
    foreign_at: int = -1
    close_at: int = -1
    refuse: bool = False
    mute: bool = False
    accepts_when_leaving: bool = False
    stall: float = 0.0

    @property
    def memory_used(self) -> int:
        """Return the memory in use, in tokens."""
        return sum(g.size for g in self.running)

    def admit(self, body: dict) -> Generation:
        """Take a new generation."""
        prompt = body["prompt"]
        length = self.draw_length(prompt, body.get("seed"))
        generation = Generation(
            body["stream"],
            prompt,
            body["prompt_tokens"],
            body["max_tokens"],
            body["priority"],
            min(length, body["max_tokens"]),
        )
        crash = CRASH.search(prompt)
        if crash:
            generation.crash_at = int(crash[1] or 0)
        hit = min(generation.prompt_tokens, self.cached(prompt))
        self.prompt_tokens += generation.prompt_tokens
        self.prefix_hits += hit
        generation.to_prefill = generation.prompt_tokens - hit
        self.streams[generation.stream] = generation
        self.waiting.append(generation)
        self.started += 1
        self.begun.append(prompt[:BEGUN_PART])
        self.work.set()
        return generation

    def draw_length(self, prompt: str, seed: int | None) -> int:
        """Return an output length that only the engine knows, heavy-tailed."""
        fixed = LENGTH.search(prompt)
        if fixed:
            return int(fixed[1])
        key = xxhash.xxh3_64_intdigest(prompt.encode(), seed=self.options.seed + (seed or 0))
        rng = np.random.default_rng(key)
        return max(1, int(rng.lognormal(np.log(self.options.median_length), self.options.sigma)))

    def cached(self, prompt: str) -> int:
        """Return how many of a prompt's tokens the prefix cache holds, and keep the prompt."""
        data, running, hit, missed = prompt.encode(), xxhash.xxh3_64(), 0, False
        for start in range(0, len(data) - PREFIX_BYTES + 1, PREFIX_BYTES):
            running.update(data[start : start + PREFIX_BYTES])
            block = running.intdigest()
            missed = missed or block not in self.cache
            hit += 0 if missed else PREFIX_BYTES // BYTES_PER_TOKEN
            if block not in self.cache:
                self.events.append({"kind": "stored", "prefix": block})
            self.cache[block] = True
            self.cache.move_to_end(block)
        while len(self.cache) * PREFIX_BYTES // BYTES_PER_TOKEN > self.options.cache_tokens:
            gone, _ = self.cache.popitem(last=False)
            self.events.append({"kind": "removed", "prefix": gone})
        return hit

    async def run(self) -> None:
        """Decode for ever, one step after another."""
        while True:
            self.fill()
            if not self.running:
                self.work.clear()
                await self.work.wait()
                continue
            if self.stall:
                pause, self.stall = self.stall, 0.0
                await asyncio.sleep(pause)
            prefill = sum(g.to_prefill for g in self.running)
            seconds = (
                self.options.step
                + self.options.step_per_stream * len(self.running)
                + self.options.prefill_per_token * prefill
            )
            await asyncio.sleep(seconds)
            self.step()

    def fill(self) -> None:
        """Start waiting generations while there is room, the highest priority first."""
        for generation in sorted(self.waiting, key=lambda g: (-g.priority, g.arrived)):
            if len(self.running) >= self.options.max_batch:
                return
            if self.running and self.memory_used + generation.size >= self.options.memory:
                return
            self.waiting.remove(generation)
            self.running.append(generation)

    def step(self) -> None:
        """Generate one token for each running generation."""
        for generation in list(self.running):
            if generation not in self.running:
                continue
            if 0 <= generation.crash_at <= len(generation.tokens):
                os._exit(9)
            generation.to_prefill = 0
            offset = len(generation.tokens)
            generation.tokens.append(f"{generation.mark}:{offset} ")
            self.generated += 1
            if len(generation.tokens) >= generation.length:
                full = generation.length >= generation.max_tokens
                self.finish(generation, "length" if full else "stop")
            generation.wake()
            while self.memory_used > self.options.memory and len(self.running) > 1:
                self.preempt()
        self.peak_memory = max(self.peak_memory, self.memory_used)
        self.note_load()

    def preempt(self) -> None:
        """Push the lowest and youngest generation back; its memory must be computed again."""
        victim = min(self.running, key=lambda g: (g.priority, -g.arrived))
        self.running.remove(victim)
        victim.to_prefill = victim.size
        self.waiting.appendleft(victim)
        self.preemptions += 1

    def finish(self, generation: Generation, reason: str) -> None:
        """End a generation; it can be read for a while longer."""
        generation.reason = reason
        generation.ended = time.monotonic()
        if generation in self.running:
            self.running.remove(generation)
        if generation in self.waiting:
            self.waiting.remove(generation)
        generation.wake()
        for name, other in list(self.streams.items()):
            if other.reason and time.monotonic() - other.ended > KEEP_FINISHED:
                del self.streams[name]

    def reset(self) -> None:
        """Cancel everything, as a restart would."""
        for generation in [*self.running, *self.waiting]:
            self.finish(generation, "cancelled")

    def note_load(self) -> None:
        """Remember the load, to be reported with a lag."""
        self.history.append((time.monotonic(), self.load_now()))

    def load_now(self) -> dict:
        """Return the load as it is."""
        return {
            "running": len(self.running),
            "waiting": len(self.waiting),
            "memory_used": self.memory_used,
            "memory_total": self.options.memory,
            "preemptions": self.preemptions,
            "generated": self.generated,
            "started": self.started,
            "peak_memory": self.peak_memory,
            "leaving": self.leaving,
            "stale_orders": self.stale_orders,
            "state_reads": self.state_reads,
            "cut_by_orders": self.cut_by_orders,
        }

    def load_lagging(self) -> dict:
        """Return the load as it was a lag ago."""
        before = time.monotonic() - self.options.lag
        old = [load for at, load in self.history if at <= before]
        return (old[-1] if old else self.load_now()) | {"leaving": self.leaving}


class StreamHandler(JsonHandler):
    """Writes a generation's events to one reader."""

    async def send(self, generation: Generation, offset: int) -> None:
        """Send events from an offset to the end."""
        self.set_header("Content-Type", "text/event-stream")
        self.set_header("X-Generation", generation.mark)
        generation.readers += 1
        try:
            await self.flush()
            while True:
                news = generation.news
                tokens = generation.tokens[offset:]
                for text in tokens:
                    self.write(self.events(generation, offset, text))
                    offset += 1
                if tokens:
                    await self.flush()
                if self.standin.close_at >= 0 and offset >= self.standin.close_at:
                    self.standin.close_at = -1
                    self.request.connection.stream.close()
                    return
                if generation.reason and offset >= len(generation.tokens):
                    break
                if len(generation.tokens) == offset:
                    await news.wait()
            end = {"stream": generation.stream, "offset": offset, "reason": generation.reason}
            self.write(f"event: end\ndata: {json.dumps(end)}\n\n")
            await self.finish()
        except StreamClosedError:
            pass
        finally:
            generation.readers -= 1

    def events(self, generation: Generation, offset: int, text: str) -> str:
        """Return the event of one token, made wrong where a test asked for that."""
        engine = self.standin
        body = {"stream": generation.stream, "offset": offset, "text": text}
        event = f"id: {offset}\ndata: {json.dumps(body)}\n\n"
        if engine.skip_at == offset:
            engine.skip_at = -1
            return ""
        if engine.foreign_at == offset:
            engine.foreign_at = -1
            foreign = body | {"stream": "somebody-elses", "text": "foreign "}
            return f"id: {offset}\ndata: {json.dumps(foreign)}\n\n" + event
        if engine.duplicate_every and offset % engine.duplicate_every == 0:
            return event + event
        return event


class Generate(StreamHandler):
    """Starts a generation."""

    async def post(self) -> None:
        """Start it and stream it."""
        body = self.body()
        turned_away = self.standin.leaving and not self.standin.accepts_when_leaving
        if self.standin.refuse or turned_away:
            self.set_status(503)
            self.finish({"error": "takes no work"})
            return
        if body["stream"] in self.standin.streams:
            self.set_status(409)
            self.finish({"error": "the stream exists"})
            return
        await self.send(self.standin.admit(body), 0)


class Streams(StreamHandler):
    """Resumes or cancels a generation."""

    async def get(self, stream: str) -> None:
        """Stream it from an offset."""
        generation = self.standin.streams.get(stream)
        if generation is None or generation.reason == "cancelled":
            self.set_status(404)
            self.finish({"error": "no such stream"})
            return
        offset = int(self.get_argument("from", "0"))
        if offset > len(generation.tokens):
            self.set_status(416)
            self.finish({"error": "beyond what has been generated"})
            return
        await self.send(generation, offset)

    def delete(self, stream: str) -> None:
        """Cancel it."""
        generation = self.standin.streams.get(stream)
        if generation is None:
            self.set_status(404)
            self.finish({"error": "no such stream"})
            return
        if not generation.reason:
            self.standin.finish(generation, "cancelled")
        self.finish({})


class StreamInfo(JsonHandler):
    """What the engine knows of one generation."""

    def get(self, stream: str) -> None:
        """Answer with its readers and length so far."""
        generation = self.standin.streams.get(stream)
        if generation is None:
            self.set_status(404)
            self.finish({"error": "no such stream"})
            return
        self.finish(
            {
                "readers": generation.readers,
                "generated": len(generation.tokens),
                "reason": generation.reason,
            }
        )


class Load(JsonHandler):
    """The lagging load report."""

    def get(self) -> None:
        """Answer with the load of a while ago."""
        if self.standin.mute:
            self.set_status(503)
            self.finish({"error": "no report"})
            return
        self.finish(self.standin.load_lagging())


class CacheEvents(JsonHandler):
    """The prefix cache's events: late, and with gaps."""

    def get(self) -> None:
        """Answer with the events after a number; every gap-th one is missing."""
        after = int(self.get_argument("after", "0"))
        late = max(0, len(self.standin.events) - self.standin.options.events_late)
        gap = self.standin.options.events_gap
        rows = [
            {"number": n + 1} | self.standin.events[n]
            for n in range(after, late)
            if not gap or (n + 1) % gap
        ]
        self.finish({"events": rows, "last": late})


class Orders(JsonHandler):
    """Orders to load a model, adapter or version, or to change role."""

    def answer(self) -> dict:
        """Return what is loaded, and what there is to load."""
        engine = self.standin
        busy = len(engine.running) + len(engine.waiting)
        weights = sorted(engine.weights)
        return {
            "loaded": engine.loaded,
            "fence": engine.fence,
            "weights": weights,
            "running": busy,
            "orders": engine.orders,
        }

    def get(self) -> None:
        """Answer with what is loaded and which orders were carried out."""
        self.standin.state_reads += 1
        self.finish(self.answer())

    async def post(self) -> None:
        """Carry an order out, unless its fencing number is old and that is checked."""
        body = self.body()
        engine = self.standin
        if engine.options.checks_fencing and body["fence"] < engine.fence:
            engine.stale_orders += 1
            self.set_status(412)
            self.finish({"error": "old fencing number", "fence": engine.fence})
            return
        engine.fence = max(engine.fence, body["fence"])
        parts = [body["load"].get(name) for name in ("model", "adapter", "version")]
        name = "@".join(part for part in parts if part)
        if not await self.fetched(name):
            self.set_status(503)
            self.finish({"error": "the weights could not be fetched"})
            return
        # Streams that run while weights change would be cut off; tests look at this.
        engine.cut_by_orders += len(engine.running)
        engine.loaded = body["load"]
        engine.orders.append({"fence": body["fence"], "load": body["load"], "at": time.time()})
        self.finish(self.answer())

    async def fetched(self, name: str) -> bool:
        """Fetch weights that are not there yet."""
        engine = self.standin
        if name in engine.weights:
            return True
        if engine.options.weightstore:
            url = f"http://{engine.options.weightstore}/weights/{name}"
            answer = await AsyncHTTPClient().fetch(url, raise_error=False)
            if answer.code != 200:
                return False
        engine.weights.add(name)
        return True


class Admin(JsonHandler):
    """The load without its lag, and the switches, for tests."""

    def get(self) -> None:
        """Answer with the present load, and the beginning of every prompt begun."""
        engine = self.standin
        prompts = {"prompt_tokens": engine.prompt_tokens, "prefix_hits": engine.prefix_hits}
        self.finish(engine.load_now() | prompts | {"begun": engine.begun})

    def post(self) -> None:
        """Set switches; ``reset`` cancels everything."""
        switches = self.body()
        if switches.pop("reset", False):
            self.standin.reset()
        for name, value in switches.items():
            setattr(self.standin, name, value)
        self.finish({})


def main() -> None:
    """Run the engine."""
    options = parser("model engine")
    options.add_argument("--memory", type=int, default=16384)
    options.add_argument("--max-batch", type=int, default=64)
    options.add_argument("--step", type=float, default=0.005)
    options.add_argument("--step-per-stream", type=float, default=0.0002)
    options.add_argument("--prefill-per-token", type=float, default=0.00001)
    options.add_argument("--cache-tokens", type=int, default=8192)
    options.add_argument("--median-length", type=float, default=60)
    options.add_argument("--sigma", type=float, default=1.2)
    options.add_argument("--lag", type=float, default=0.3)
    options.add_argument("--events-late", type=int, default=4)
    options.add_argument("--events-gap", type=int, default=7)
    options.add_argument("--checks-fencing", action="store_true")
    options.add_argument("--weightstore", default="")
    options.add_argument("--seed", type=int, default=1)
    parsed = options.parse_args()
    engine = Engine(parsed)
    shared = {"standin": engine}
    routes = [
        ("/generate", Generate, shared),
        ("/streams/([^/]+)/state", StreamInfo, shared),
        ("/streams/([^/]+)", Streams, shared),
        ("/load", Load, shared),
        ("/events", CacheEvents, shared),
        ("/orders", Orders, shared),
        ("/admin", Admin, shared),
    ]
    serve(parsed, routes, engine.run())


if __name__ == "__main__":
    main()
