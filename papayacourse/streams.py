"""Relays one generation from its engine to its caller, every token once and in order."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import aclosing
from functools import partial

from attrs import define, evolve, field

from papayacourse import engines, logs
from papayacourse.engines import EngineEvent, EngineStream
from papayacourse.exceptions import (
    BackendError,
    BackendGone,
    BackendProtocolError,
    BackendRefused,
    BackendUnreachable,
    RequestRefused,
)
from papayacourse.httpcall import BUFFERED_CHUNKS, CHUNK_BYTES, READ_BUFFER_BYTES
from papayacourse.linkclasses import LinkClass, StreamTraffic
from papayacourse.ordering import (
    EngineDied,
    EngineLost,
    EngineUnreachable,
    LinkFailures,
    Position,
    Written,
    split_valid_events,
)
from papayacourse.orphans import cancel_firmly
from papayacourse.pace import TokenClock
from papayacourse.placement import Placement
from papayacourse.quarantine import Quarantine
from papayacourse.retries import RetryBudget, jittered
from papayacourse.schedulingmessages import GrantRequest, Joined
from papayacourse.types import GenerationRequest, Ran

RESUME_LIMIT = 15.0  # seconds in which a link that fails is opened again
START_LIMIT = 2.0  # seconds, the same before the first token, when another engine can take over
STARTS = 3  # engines tried before the first token
JOIN_LIMIT = 30.0  # seconds that a joined request may take to find its engine
RETRY_AFTER = 1.0  # seconds
CONFLICT, GONE, BEYOND = 409, 404, 416

# The most memory that one relayed stream takes, in bytes, however slowly its caller reads: what
# the engine's link holds unread, and one piece of it parsed and written out in the caller's form
# (an event of the caller's is at most a few times as long as the engine's).
CALLER_EXPANSION = 16
STREAM_MEMORY_BOUND = (
    READ_BUFFER_BYTES
    + BUFFERED_CHUNKS * CHUNK_BYTES
    + engines.MAX_EVENT_BYTES
    + CALLER_EXPANSION * CHUNK_BYTES
)


@define(eq=False)
class Relay:
    """One generation in progress.

    Attributes
    ----------
    engine, address : str
        Where it runs, once it has been placed.
    mark : str
        The engine's mark of the generation, by which a resumed link is known to carry the same.
    position : Position
        The offset of the next token.
    sent : bool
        Whether the start may have reached the present engine.
    maybe_ran : bool
        Whether any engine may have begun the work.
    reports : bool
        Whether this daemon answers for the generation towards the scheduler; one that only reads
        along does not.
    """

    generation: GenerationRequest
    placement: Placement
    wait_limit: float
    budget: RetryBudget
    quarantine: Quarantine
    clock: TokenClock
    traffic: StreamTraffic = field(factory=StreamTraffic)
    join: bool = False
    engine: str = ""
    address: str = ""
    mark: str = ""
    position: Position = field(factory=Position)
    sent: bool = False
    maybe_ran: bool = False
    reports: bool = True
    held: bool = False
    written: Written | None = None
    starts: int = 0
    failure: RequestRefused | None = None
    changed: asyncio.Event = field(factory=asyncio.Event)
    cancelling: set[asyncio.Task] = field(factory=set)

    # Ways to begin.

    async def events(self) -> AsyncIterator[list[EngineEvent]]:
        """Place the generation and yield its events, in batches.

        Raises
        ------
        RequestRefused
            When the answer cannot be given, or not to its end.
        """
        self.budget.earn()
        try:
            async with aclosing(self._started()) as batches:
                async for batch in batches:
                    yield batch
        except RequestRefused as refused:
            self.failure = refused
            raise
        finally:
            self._change()

    async def _started(self) -> AsyncIterator[list[EngineEvent]]:
        base = self.generation
        avoid: tuple[str, ...] = ()
        while True:
            self._check_quarantine()
            try:
                await self._place(avoid)
                async with aclosing(self._follow()) as batches:
                    async for batch in batches:
                        yield batch
                return
            except EngineLost as error:
                await self._give_engine_up(error)
                if self.position.offset:
                    raise self._broken(error) from error
                self._pay_for_restart(error)
                self.clock.retried()
                await asyncio.sleep(jittered(self.starts))
                avoid = (*avoid, self.engine)
                # Another id, so that a late token of the first cannot be taken for the second's.
                self.generation = evolve(base, stream=f"{base.stream}.{self.starts + 1}")
                self.sent, self.mark, self.reports = False, "", True

    async def resumed(
        self, engine: str, address: str, mark: str, offset: int
    ) -> AsyncIterator[list[EngineEvent]]:
        """Go on with a generation that another daemon started, from an offset."""
        self.engine, self.address, self.mark = engine, address, mark
        self.position.offset = offset
        self.sent = self.maybe_ran = True
        try:
            async with aclosing(self._follow()) as batches:
                async for batch in batches:
                    yield batch
        except EngineLost as error:
            # It may have another reader; without one, the scheduler finds that nobody reports it.
            self.placement.forget(self.generation)
            self._strike(error)
            raise self._broken(error) from error

    async def joining(self, first: "Relay") -> AsyncIterator[list[EngineEvent]]:
        """Read along with a generation that this daemon relays to another caller."""
        self.reports = False
        stream = ""
        while True:
            await first.placed_after(stream)
            stream = first.generation.stream
            self.generation, self.engine = first.generation, first.engine
            self.address, self.mark = first.address, first.mark
            self.sent = self.maybe_ran = True
            try:
                async with aclosing(self._follow()) as batches:
                    async for batch in batches:
                        yield batch
                return
            except EngineLost as error:
                if self.position.offset or first.failure or first.position.ended:
                    raise self._broken(error) from error

    async def placed_after(self, stream: str) -> None:
        """Wait until an engine has taken the generation under another id than the one given."""
        try:
            async with asyncio.timeout(JOIN_LIMIT):
                while not self.mark or self.generation.stream == stream:
                    if self.failure is not None:
                        raise self.failure
                    await self.changed.wait()
        except TimeoutError as error:
            detail = "the request that runs with this key has not found an engine yet"
            raise RequestRefused(503, "not_placed", detail, self._ran(), RETRY_AFTER) from error

    def _change(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    # The work.

    def _check_quarantine(self) -> None:
        try:
            self.quarantine.check(self.generation.fingerprint)
        except RequestRefused as refused:
            refused.ran = Ran.UNKNOWN if self.maybe_ran else Ran.NO
            raise

    async def _place(self, avoid: tuple[str, ...]) -> None:
        request = GrantRequest(self.generation, self.wait_limit, avoid, self.join)
        try:
            place = await self.placement.place(request)
        except RequestRefused as refused:
            if self.maybe_ran:
                refused.ran = Ran.UNKNOWN
            raise
        if not self.starts:
            self.clock.placed()
        self.starts += 1
        self.engine, self.address = place.engine, place.address
        self.traffic.placed[self._link_class()] += 1
        if isinstance(place, Joined):
            # Another daemon starts it; its id may be that of a later start.
            self.generation = evolve(self.generation, stream=place.stream)
            self.sent = self.maybe_ran = True
            self.reports = False
        else:
            await self._check_granted()
        self._progress()

    async def _check_granted(self) -> None:
        """Give a place back when the request has been found out while it waited for it."""
        try:
            self._check_quarantine()
        except RequestRefused:
            await self.placement.give_back(self.generation)
            raise

    async def _follow(self) -> AsyncIterator[list[EngineEvent]]:
        """Read the engine's stream to its end, over as many links as it takes."""
        trouble = LinkFailures()
        while not self.position.ended:
            try:
                async with aclosing(self._read_link()) as batches:
                    async for batch in batches:
                        trouble.reset()
                        yield batch
            except EngineLost:
                raise
            except BackendGone as error:
                kind = EngineDied if self.sent else EngineLost
                raise kind(f"{self.engine}: {error}") from error
            except BackendRefused as error:
                self._refused(error)
                trouble.record_failure(error)
            except BackendUnreachable as error:
                if not self.sent:
                    raise EngineLost(f"{self.engine}: {error}") from error
                trouble.record_failure(error)
            except BackendError as error:
                trouble.record_failure(error)
            if not self.position.ended:
                logs.info("engine link lost", stream=self.generation.stream, why=trouble.why)
                self.clock.resumed()
                if trouble.is_exhausted(RESUME_LIMIT if self.position.offset else START_LIMIT):
                    raise EngineUnreachable(f"{self.engine}: {trouble.why}")
                await asyncio.sleep(jittered(trouble.tries))
        await self._finish("finished")
        await self.quarantine.absolve(self.generation.fingerprint)

    def _refused(self, error: BackendRefused) -> None:
        """See what an engine's refusal means for the next try, if there can be one."""
        match error.status:
            case status if status == CONFLICT and not self.sent:
                # It runs there already: an earlier try arrived after all, or this key's first.
                self.sent = self.maybe_ran = True
            case status if status == GONE and not self.mark and self.sent:
                # The start never arrived. Its id lets the engine refuse a second arrival.
                self.sent = False
                self.reports = True
            case status if status == BEYOND:
                detail = f"offset {self.position.offset} is beyond what has been generated"
                raise RequestRefused(400, "bad_cursor", detail, Ran.YES) from error
            case status if status == GONE and self.mark:
                raise EngineDied(f"{self.engine}: {error}") from error
            case _:
                raise EngineLost(f"{self.engine}: {error}") from error

    async def _read_link(self) -> AsyncIterator[list[EngineEvent]]:
        resume_at = self.position.offset if self.sent else None
        link = EngineStream(self.address, self.generation, resume_at, self._counter())
        try:
            await link.__aenter__()
        except (BackendUnreachable, BackendRefused):
            raise
        except (BackendError, asyncio.CancelledError):
            # Also when the caller goes in the middle of it: the start may have arrived.
            self.sent = self.maybe_ran = True
            raise
        async with aclosing(link):
            self.sent = self.maybe_ran = True
            self._check_mark(link.mark)
            async with aclosing(link.batches()) as batches:
                async for raw in batches:
                    batch, fault = split_valid_events(raw, self.generation.stream, self.position)
                    if batch:
                        self._progress()
                        self.written.check_batch(link.mark, batch)
                        yield batch
                    if fault is not None:
                        raise fault
                    if self.position.ended:
                        return
            raise BackendProtocolError("the stream stopped without an end")

    def _link_class(self) -> LinkClass:
        # An engine that has left the list was in this domain, as most are.
        return self.placement.membership.link_to(self.engine) or LinkClass.SAME_DOMAIN

    def _counter(self) -> Callable[[int], None]:
        """Return what counts the bytes of a link to the engine."""
        return partial(self.traffic.add, self._link_class())

    def _check_mark(self, mark: str) -> None:
        """Make sure that a link carries the generation that this relay began with."""
        known = self.mark or self.position.offset
        if known and not mark:
            raise EngineLost(f"{self.engine} does not say which generation it resumed")
        if known and mark != self.mark:
            raise EngineDied(f"{self.engine} has another generation under this id")
        if self.written is None or self.mark != mark:
            self.written = Written(mark, self.position.offset)
        if mark and not self.mark:
            self.mark = mark
            self._change()

    def _progress(self) -> None:
        if self.reports:
            self.placement.progress(self.generation, self.engine, self.position.offset)

    # The end.

    async def _finish(self, outcome: str) -> None:
        if self.reports:
            await self.placement.end(self.generation, self.engine, self.position.offset, outcome)

    async def _give_engine_up(self, error: EngineLost) -> None:
        """Tell the scheduler, and have whatever still runs there cancelled."""
        logs.warning("engine lost", stream=self.generation.stream, why=str(error))
        if not self.reports:
            return
        self._strike(error)
        if isinstance(error, EngineUnreachable):
            task = asyncio.create_task(cancel_firmly(self.address, self.generation.stream))
            self.cancelling.add(task)
            task.add_done_callback(self.cancelling.discard)
        gone = isinstance(error.__cause__, BackendGone)
        await self._finish("gone" if gone else "failed")

    def _strike(self, error: EngineLost) -> None:
        """Count an engine's death against the request, unless the engine was to leave anyway."""
        leaving = self.placement.membership.is_leaving(self.engine)
        if isinstance(error, EngineDied) and not leaving and self.generation.fingerprint:
            self.quarantine.strike(self.engine, (self.generation.fingerprint,))

    def _pay_for_restart(self, error: EngineLost) -> None:
        ran = self._ran()
        if self.starts >= STARTS:
            detail = f"{self.starts} engines were lost before the first token"
            raise RequestRefused(503, "engine_lost", detail, ran, RETRY_AFTER) from error
        if not self.budget.take():
            detail = "the engine was lost, and the service's retries are used up"
            raise RequestRefused(503, "retries_exhausted", detail, ran, RETRY_AFTER) from error

    def _ran(self) -> Ran:
        """Return what can be said before the first token: an engine may have begun the work."""
        return Ran.UNKNOWN if self.maybe_ran else Ran.NO

    def _broken(self, error: Exception) -> RequestRefused:
        detail = f"the engine was lost after {self.position.offset} tokens"
        return RequestRefused(502, "engine_lost", detail, Ran.UNKNOWN, RETRY_AFTER)

    async def abandon(self, resume_window: float) -> None:
        """Hold the stream for a caller that has gone, then cancel it at the engine."""
        if not self.mark:
            detail = "the caller that asked first has gone before an engine answered"
            self.failure = RequestRefused(503, "not_placed", detail, self._ran(), RETRY_AFTER)
            self._change()
        if not self.reports or not self.sent or self.position.ended:
            return
        self.held = True
        try:
            await asyncio.sleep(resume_window)
            if await engines.has_readers(self.address, self.generation.stream):
                # Its reader's daemon answers for it now.
                self.placement.forget(self.generation)
                return
            await cancel_firmly(self.address, self.generation.stream)
            await self._finish("cancelled")
        finally:
            self.held = False
