"""Continuous batching in the stand-in engine: memory that fills, preemption, its pace and load."""

import asyncio
import os
import re
import secrets
import time
from collections import deque

import numpy as np
import xxhash
from attrs import define, field

from standins.engineorders import OrderBook
from standins.prefixcache import PrefixCache

KEEP_FINISHED = 60.0  # seconds that a finished stream can still be read
LENGTH = re.compile(r"\[len=(\d+)\]")
CRASH = re.compile(r"\[crash(?:=(\d+))?\]")
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
    cache: PrefixCache
    book: OrderBook = field(factory=OrderBook)
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
    leaving: bool = False
    work: asyncio.Event = field(factory=asyncio.Event)
    # Switches that make it fail.
    duplicate_every: int = 0
    skip_at: int = -1
    foreign_at: int = -1
    close_at: int = -1
    unframed: bool = False  # streams have neither a length nor chunks
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
        hit = min(generation.prompt_tokens, self.cache.take(prompt))
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
            "stale_orders": self.book.stale_orders,
            "state_reads": self.book.state_reads,
            "cut_by_orders": self.book.cut_by_orders,
        }

    def load_lagging(self) -> dict:
        """Return the load as it was a lag ago."""
        before = time.monotonic() - self.options.lag
        old = [load for at, load in self.history if at <= before]
        return (old[-1] if old else self.load_now()) | {"leaving": self.leaving}
