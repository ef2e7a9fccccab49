"""Relays a generation from its engine to its caller, each token exactly once and in order."""

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
from papayacourse.orphans import cancel_with_retries
from papayacourse.placement import Placement
from papayacourse.quarantine import Quarantine
from papayacourse.retries import RetryBudget, jittered_backoff
from papayacourse.schedulingmessages import GrantRequest, Joined
from papayacourse.tokenclock import TokenClock
from papayacourse.types import GenerationRequest, Ran

RESUME_TIMEOUT = 15.0  # seconds during which a failing engine link is reopened
START_TIMEOUT = 2.0  # seconds; shorter before the first token, when another engine can take over
MAX_START_ATTEMPTS = 3  # engines tried before the first token
JOIN_PLACEMENT_TIMEOUT = 30.0  # seconds that a joining request waits for the placement
RETRY_AFTER = 1.0  # seconds
HTTP_CONFLICT, HTTP_NOT_FOUND, HTTP_RANGE_NOT_SATISFIABLE = 409, 404, 416
HTTP_UNAVAILABLE = 503

# An event encoded for the caller is at most a few times as long as the engine's.
MAX_OUTPUT_EXPANSION = 16
# The upper bound on one relayed stream's memory, in bytes, however slowly its caller reads: the
# unread data of the engine link, plus one chunk parsed and encoded for the caller.
STREAM_MEMORY_BOUND = (
    READ_BUFFER_BYTES
    + BUFFERED_CHUNKS * CHUNK_BYTES
    + engines.MAX_EVENT_BYTES
    + MAX_OUTPUT_EXPANSION * CHUNK_BYTES
)


@define(eq=False)
class Relay:
    """Relays one generation in progress.

    Attributes
    ----------
    engine, address : str
        The engine that runs the generation, once it has been placed.
    run_id : str
        The engine's identifier of this run of the generation; a resumed link must report the same.
    position : Position
        The offset of the next token.
    maybe_sent : bool
        Whether the start request may have reached the current engine.
    maybe_ran : bool
        Whether any engine may have started the generation.
    joined : Relay or None
        The relay of another caller that this one joined.
    is_reporter : bool
        Whether this daemon reports the generation to the scheduler; a relay that joined another
        daemon's or caller's generation does not.
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
    run_id: str = ""
    position: Position = field(factory=Position)
    maybe_sent: bool = False
    maybe_ran: bool = False
    joined: "Relay | None" = None
    is_reporter: bool = True
    held: bool = False
    written: Written | None = None
    starts: int = 0
    failure: RequestRefused | None = None
    changed: asyncio.Event = field(factory=asyncio.Event)
    cancelling: set[asyncio.Task] = field(factory=set)

    # Starting, resuming and joining.

    async def events(self) -> AsyncIterator[list[EngineEvent]]:
        """Place the generation and yield its events in batches.

        Raises
        ------
        RequestRefused
            If the generation cannot be started or completed.
        """
        self.budget.add_credit()
        try:
            async with aclosing(self._events_with_restarts()) as batches:
                async for batch in batches:
                    yield batch
        except RequestRefused as refused:
            self.failure = refused
            raise
        finally:
            self._notify_waiters()

    async def _events_with_restarts(self) -> AsyncIterator[list[EngineEvent]]:
        base = self.generation
        avoid: tuple[str, ...] = ()
        while True:
            self._check_quarantine()
            try:
                await self._place(avoid)
                async with aclosing(self._read_stream()) as batches:
                    async for batch in batches:
                        yield batch
                return
            except EngineLost as error:
                await self._handle_engine_loss(error)
                if self.position.offset:
                    raise self._interrupted(error) from error
                self._spend_restart(error)
                self.clock.record_retry()
                await asyncio.sleep(jittered_backoff(self.starts))
                avoid = (*avoid, self.engine)
                # A new id keeps late tokens of the lost attempt apart from those of the next one.
                self.generation = evolve(base, stream=f"{base.stream}.{self.starts + 1}")
                self.maybe_sent, self.run_id, self.is_reporter = False, "", True

    async def resume_from(
        self, engine: str, address: str, run_id: str, offset: int
    ) -> AsyncIterator[list[EngineEvent]]:
        """Resume a generation that another daemon started, from an offset."""
        self.engine, self.address, self.run_id = engine, address, run_id
        self.position.offset = offset
        self.maybe_sent = self.maybe_ran = True
        try:
            async with aclosing(self._read_stream()) as batches:
                async for batch in batches:
                    yield batch
        except EngineLost as error:
            # Another daemon may still read it. If none does, the scheduler notices that no daemon
            # reports it.
            self.placement.forget(self.generation)
            self._strike(error)
            raise self._interrupted(error) from error

    async def join_relay(self, first: "Relay") -> AsyncIterator[list[EngineEvent]]:
        """Yield the events of a generation that this daemon already relays to another caller."""
        self.is_reporter = False
        self.joined = first
        stream = ""
        while True:
            await first.wait_for_new_placement(stream)
            stream = first.generation.stream
            self.generation, self.engine = first.generation, first.engine
            self.address, self.run_id = first.address, first.run_id
            self.maybe_sent = self.maybe_ran = True
            try:
                async with aclosing(self._read_stream()) as batches:
                    async for batch in batches:
                        yield batch
                return
            except EngineLost as error:
                if self.position.offset or first.failure or first.position.ended:
                    raise self._interrupted(error) from error

    async def wait_for_new_placement(self, stream: str) -> None:
        """Wait until an engine runs the generation under an id other than ``stream``."""
        try:
            async with asyncio.timeout(JOIN_PLACEMENT_TIMEOUT):
                while not self.run_id or self.generation.stream == stream:
                    if self.failure is not None:
                        raise self.failure
                    await self.changed.wait()
        except TimeoutError as error:
            detail = "the request that runs with this key has not found an engine yet"
            raise RequestRefused(
                503, "not_placed", detail, self._ran_status(), RETRY_AFTER
            ) from error

    def _notify_waiters(self) -> None:
        self.changed.set()
        self.changed = asyncio.Event()

    # Placing and reading.

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
            self.clock.record_placement()
        self.starts += 1
        self.engine, self.address = place.engine, place.address
        self.traffic.placed[self._link_class()] += 1
        if isinstance(place, Joined):
            # Another daemon starts it, possibly with the id of a later attempt.
            self.generation = evolve(self.generation, stream=place.stream)
            self.maybe_sent = self.maybe_ran = True
            self.is_reporter = False
        else:
            await self._check_granted()
        self._report_progress()

    async def _check_granted(self) -> None:
        """Release the grant if the request was quarantined while it waited."""
        try:
            self._check_quarantine()
        except RequestRefused:
            await self.placement.release_grant(self.generation)
            raise

    async def _read_stream(self) -> AsyncIterator[list[EngineEvent]]:
        """Read the engine's stream to its end, reconnecting as needed."""
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
                kind = EngineDied if self.maybe_sent else EngineLost
                raise kind(f"{self.engine}: {error}") from error
            except BackendRefused as error:
                self._handle_engine_refusal(error)
                trouble.record_failure(error)
            except BackendUnreachable as error:
                if not self.maybe_sent:
                    raise EngineLost(f"{self.engine}: {error}") from error
                trouble.record_failure(error)
            except BackendError as error:
                trouble.record_failure(error)
            if not self.position.ended:
                logs.info("engine link lost", stream=self.generation.stream, why=trouble.why)
                self.clock.record_resume()
                if trouble.is_exhausted(RESUME_TIMEOUT if self.position.offset else START_TIMEOUT):
                    raise EngineUnreachable(f"{self.engine}: {trouble.why}")
                await asyncio.sleep(jittered_backoff(trouble.tries))
        await self._report_end("finished")
        await self.quarantine.clear_suspect(self.generation.fingerprint)

    def _handle_engine_refusal(self, error: BackendRefused) -> None:
        """Prepare the next attempt after an engine's refusal, or raise if there can be none."""
        match error.status:
            case status if status == HTTP_CONFLICT and not self.maybe_sent:
                # It already runs there: an earlier start request did arrive, or one of another
                # request with the same idempotency key.
                self.maybe_sent = self.maybe_ran = True
            case status if status == HTTP_NOT_FOUND and not self.run_id and self.maybe_sent:
                # The start request never arrived. If it arrives late, the engine recognises the id
                # and refuses the duplicate.
                self.maybe_sent = False
                self.is_reporter = True
            case status if status == HTTP_RANGE_NOT_SATISFIABLE:
                detail = f"offset {self.position.offset} is beyond what has been generated"
                raise RequestRefused(400, "bad_cursor", detail, Ran.YES) from error
            case status if status == HTTP_NOT_FOUND and self.run_id:
                raise EngineDied(f"{self.engine}: {error}") from error
            case status:
                if not 400 <= status < 500 and status != HTTP_UNAVAILABLE:
                    # Not a refusal: the engine may have begun, and failed.
                    self.maybe_sent = self.maybe_ran = True
                raise EngineLost(f"{self.engine}: {error}") from error

    async def _read_link(self) -> AsyncIterator[list[EngineEvent]]:
        resume_at = self.position.offset if self.maybe_sent else None
        link = EngineStream(self.address, self.generation, resume_at, self._byte_counter())
        try:
            await link.__aenter__()
        except (BackendUnreachable, BackendRefused):
            raise
        except (BackendError, asyncio.CancelledError):
            # The start request may have arrived, also if the caller disconnects meanwhile.
            self.maybe_sent = self.maybe_ran = True
            raise
        async with aclosing(link):
            self.maybe_sent = self.maybe_ran = True
            self._check_run_id(link.run_id)
            async with aclosing(link.batches()) as batches:
                async for raw in batches:
                    batch, fault = split_valid_events(raw, self.generation.stream, self.position)
                    if batch:
                        self._report_progress()
                        self.written.check_batch(link.run_id, batch)
                        yield batch
                    if fault is not None:
                        raise fault
                    if self.position.ended:
                        return
            raise BackendProtocolError("the stream stopped without an end")

    def _link_class(self) -> LinkClass:
        # An engine that has left the host list is assumed to be in this domain, as most are.
        return self.placement.membership.link_to(self.engine) or LinkClass.SAME_DOMAIN

    def _byte_counter(self) -> Callable[[int], None]:
        """Return the callback that counts the bytes of a link to the engine."""
        return partial(self.traffic.add, self._link_class())

    def _check_run_id(self, run_id: str) -> None:
        """Check that a link carries the run that this relay started with."""
        known = self.run_id or self.position.offset
        if known and not run_id:
            raise EngineLost(f"{self.engine} does not say which generation it resumed")
        if known and run_id != self.run_id:
            raise EngineDied(f"{self.engine} has another generation under this id")
        if self.written is None or self.run_id != run_id:
            self.written = Written(run_id, self.position.offset)
        if run_id and not self.run_id:
            self.run_id = run_id
            self._notify_waiters()

    def _report_progress(self) -> None:
        if self.is_reporter:
            self.placement.progress(self.generation, self.engine, self.position.offset)

    # Ending.

    async def _report_end(self, outcome: str) -> None:
        if self.is_reporter:
            await self.placement.end(self.generation, self.engine, self.position.offset, outcome)

    async def _handle_engine_loss(self, error: EngineLost) -> None:
        """Report a lost engine to the scheduler and cancel what may still run on it."""
        logs.warning("engine lost", stream=self.generation.stream, why=str(error))
        if not self.is_reporter:
            return
        self._strike(error)
        gone = isinstance(error.__cause__, BackendGone)
        # A refused connection does not prove that the engine has ended: it may be cut off.
        if isinstance(error, EngineUnreachable) or (gone and self.maybe_sent):
            task = asyncio.create_task(cancel_with_retries(self.address, self.generation.stream))
            self.cancelling.add(task)
            task.add_done_callback(self.cancelling.discard)
        await self._report_end("gone" if gone else "failed")

    def _strike(self, error: EngineLost) -> None:
        """Record a strike against the request if its engine died, unless the engine was leaving."""
        leaving = self.placement.membership.is_leaving(self.engine)
        if isinstance(error, EngineDied) and not leaving and self.generation.fingerprint:
            self.quarantine.strike(self.engine, (self.generation.fingerprint,))

    def _spend_restart(self, error: EngineLost) -> None:
        ran = self._ran_status()
        if self.starts >= MAX_START_ATTEMPTS:
            detail = f"{self.starts} engines were lost before the first token"
            raise RequestRefused(503, "engine_lost", detail, ran, RETRY_AFTER) from error
        if not self.budget.try_spend():
            detail = "the engine was lost, and the service's retries are used up"
            raise RequestRefused(503, "retries_exhausted", detail, ran, RETRY_AFTER) from error

    def may_have_run(self) -> bool:
        """Return True unless it is certain that no engine has begun the generation."""
        return self.maybe_ran or (self.joined is not None and self.joined.may_have_run())

    def _ran_status(self) -> Ran:
        """Return whether the generation may have run, for a failure before the first token."""
        return Ran.UNKNOWN if self.may_have_run() else Ran.NO

    def _interrupted(self, error: Exception) -> RequestRefused:
        detail = f"the engine was lost after {self.position.offset} tokens"
        return RequestRefused(502, "engine_lost", detail, Ran.UNKNOWN, RETRY_AFTER)

    async def hold_then_cancel(self, resume_window: float) -> None:
        """Hold the stream of a disconnected caller for the resume window, then cancel it."""
        if not self.run_id:
            detail = "the caller that asked first has gone before an engine answered"
            self.failure = RequestRefused(
                503, "not_placed", detail, self._ran_status(), RETRY_AFTER
            )
            self._notify_waiters()
        if not self.is_reporter or not self.maybe_sent or self.position.ended:
            return
        self.held = True
        try:
            await asyncio.sleep(resume_window)
            if await engines.has_readers(self.address, self.generation.stream):
                # The daemon of its new reader reports it now.
                self.placement.forget(self.generation)
                return
            await cancel_with_retries(self.address, self.generation.stream)
            await self._report_end("cancelled")
        finally:
            self.held = False
