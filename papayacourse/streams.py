"""Relays one generation from its engine to its caller, every token once and in order."""

import asyncio
from collections.abc import AsyncIterator, Iterable, Iterator

from attrs import define, evolve, field

from papayacourse import engines, logs
from papayacourse.engines import End, EngineEvent, EngineStream, Token
from papayacourse.exceptions import (
    BackendError,
    BackendProtocolError,
    BackendRefused,
    BackendUnreachable,
    RequestRefused,
)
from papayacourse.messages import GrantRequest
from papayacourse.placement import Placement
from papayacourse.types import GenerationRequest, Ran

RESUME_TRIES = 5  # in a row, without a token in between
RESUME_PAUSE = 0.2  # seconds, times the number of the try
STARTS = 3  # engines tried before the first token


class EngineLost(BackendError):
    """The engine no longer has the generation."""


@define
class Position:
    """Where a relay stands in its stream: the offset of the next token."""

    offset: int = 0
    ended: bool = False


def own_events(events: Iterable[EngineEvent], stream: str) -> Iterator[EngineEvent]:
    """Pass on a stream's own events; another's means that the connection is crossed."""
    for event in events:
        if event.stream != stream:
            raise BackendProtocolError(f"an event of another stream on the link of {stream}")
        yield event


def in_order(events: Iterable[EngineEvent], position: Position) -> Iterator[EngineEvent]:
    """Pass on each offset once and in order; duplicates are dropped, a gap is an error."""
    for event in events:
        if event.offset > position.offset:
            raise BackendProtocolError(
                f"offset {event.offset} came where {position.offset} is next"
            )
        match event:
            case Token(offset=offset) if offset == position.offset:
                position.offset += 1
                yield event
            case End(offset=offset) if offset == position.offset:
                position.ended = True
                yield event


@define(eq=False)
class Relay:
    """One generation in progress.

    Attributes
    ----------
    engine, address : str
        Where it runs, once it has been placed.
    position : Position
        The offset of the next token.
    """

    generation: GenerationRequest
    placement: Placement
    wait_limit: float
    engine: str = ""
    address: str = ""
    position: Position = field(factory=Position)
    joined: bool = False
    started: bool = False

    async def events(self) -> AsyncIterator[list[EngineEvent]]:
        """Place the generation and yield its events, in batches.

        Raises
        ------
        RequestRefused
            When the answer cannot be given, or not to its end.
        """
        avoid: tuple[str, ...] = ()
        base = self.generation
        for number in range(1, STARTS + 1):
            try:
                await self._place(avoid)
                async for batch in self._follow():
                    yield batch
                return
            except EngineLost as error:
                await self._finish("failed")
                logs.warning("engine lost", stream=self.generation.stream, why=str(error))
                if self.position.offset or number == STARTS:
                    raise self._broken(error) from error
                avoid = (*avoid, self.engine)
                # Another id, so that a late token of the first cannot be taken for the second's.
                self.generation = evolve(base, stream=f"{base.stream}.{number}")

    async def resumed(
        self, engine: str, address: str, offset: int
    ) -> AsyncIterator[list[EngineEvent]]:
        """Go on with a generation that another daemon started, from an offset."""
        self.engine, self.address = engine, address
        self.position.offset = offset
        self.started = True
        self.joined = True
        try:
            async for batch in self._follow():
                yield batch
        except EngineLost as error:
            await self._finish("failed")
            raise self._broken(error) from error

    async def _place(self, avoid: tuple[str, ...]) -> None:
        place = await self.placement.place(GrantRequest(self.generation, self.wait_limit, avoid))
        self.engine, self.address = place.engine, place.address
        self.placement.progress(self.generation, self.engine, 0)

    async def _follow(self) -> AsyncIterator[list[EngineEvent]]:
        """Read the engine's stream to its end, over as many links as it takes."""
        tries = 0
        while not self.position.ended:
            before = self.position.offset
            try:
                async for batch in self._read_link():
                    yield batch
            except BackendRefused as error:
                raise EngineLost(f"{self.engine}: {error}") from error
            except BackendUnreachable as error:
                if not self.started:
                    raise EngineLost(f"{self.engine}: {error}") from error
                tries += 1
                logs.info("engine unreachable", stream=self.generation.stream, why=str(error))
            except BackendError as error:
                tries = 1 if self.position.offset > before else tries + 1
                logs.info("engine link lost", stream=self.generation.stream, why=str(error))
            if not self.position.ended:
                if tries >= RESUME_TRIES:
                    raise EngineLost(f"{self.engine} did not let the stream resume")
                await asyncio.sleep(RESUME_PAUSE * tries)
        await self._finish("finished")

    async def _read_link(self) -> AsyncIterator[list[EngineEvent]]:
        resume_at = self.position.offset if self.started else None
        async with EngineStream(self.address, self.generation, resume_at) as link:
            self.started = True
            async for raw in link.batches():
                batch = list(in_order(own_events(raw, self.generation.stream), self.position))
                self.placement.progress(self.generation, self.engine, self.position.offset)
                if batch:
                    yield batch

    async def _finish(self, outcome: str) -> None:
        await self.placement.end(self.generation, self.engine, self.position.offset, outcome)

    def _broken(self, error: Exception) -> RequestRefused:
        ran = Ran.UNKNOWN if self.started else Ran.NO
        detail = f"the engine was lost after {self.position.offset} tokens"
        return RequestRefused(502, "engine_lost", detail, ran, retry_after=1.0)

    async def abandon(self, resume_window: float) -> None:
        """Hold the stream for a caller that has gone, then cancel it at the engine."""
        if not self.engine or self.position.ended:
            return
        await asyncio.sleep(resume_window)
        try:
            taken_over = await engines.readers(self.address, self.generation.stream) > 0
        except BackendError:
            taken_over = False
        if not taken_over:
            await engines.cancel(self.address, self.generation.stream)
        await self._finish("cancelled")
