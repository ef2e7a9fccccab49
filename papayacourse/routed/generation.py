"""One generation: places it, relays its events, and resumes it on other engines."""

import asyncio
import time
from contextlib import AbstractAsyncContextManager

from attrs import define, field
from tornado.httputil import HTTPHeaders

from papayacourse import logs
from papayacourse.deaths import SERVER_ERROR, WatchedRun
from papayacourse.eventprogress import EventProgress
from papayacourse.exceptions import (
    BackendError,
    BackendGone,
    BackendRefused,
    BackendUnreachable,
    RequestRefused,
)
from papayacourse.httpcall import HttpCall
from papayacourse.requestguard import RequestGuard
from papayacourse.routed.admitted import AdmittedRequest
from papayacourse.routed.document import EngineCapacity
from papayacourse.routed.events import (
    EventSplitter,
    can_resume_after,
    is_next_event,
    is_older,
    position,
)
from papayacourse.routed.exchange import Exchange
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.placing import EngineSearch
from papayacourse.routed.runstop import RunContinues, RunCopied, RunStop
from papayacourse.routed.seams import Dispatch, Resume
from papayacourse.routed.sending import (
    BackendAnswerLost,
    RequestNotExecuted,
    open_call,
    read_body,
    refuse_misleading_status,
)
from papayacourse.routed.standby import Standby
from papayacourse.types import GenerationRequest, Host, Ran

MAX_PLACEMENTS = 4  # engines tried until one accepts the request
RESUME_HEAD_TIMEOUT = 2.5  # seconds in which an engine must start to resume a run
STALL_TIMEOUT_GAPS = 8.0  # multiples of the route's max_gap; a longer silence means a lost engine
MIN_STALL_TIMEOUT = 2.0  # seconds; a sound engine may be silent for more than one
LONG_RUN = 1.5  # seconds; a shorter run ends within its engine's shutdown notice
EXTRA_EVENTS = 16  # allowed in addition to one event per token
INITIAL_SECONDS_PER_TOKEN = 0.012  # until the run's own speed is known
RETRY_AFTER = 0.5  # seconds
MOVED_STREAM_TIMEOUT = 0.5  # seconds until a stream must end whose run has stopped to be moved


class StreamBroken(Exception):
    """The answer broke off after part of it was sent to the caller."""


@define(eq=False)
class Generation:
    """A caller's streamed generation.

    Attributes
    ----------
    request : GenerationRequest
        The request as the schedulers see it.
    shape : EngineCapacity
        The capabilities of the service's engines.
    guard : RequestGuard
        Tells whether the request crashes engines.
    engine : Host or None
        The engine that runs it.
    pending_move : asyncio.Future or None
        Set while a move is in progress. Its result is the standby where the run continues, or
        None if the move failed.
    last_id : str
        The id of the last relayed event; empty before the first.
    events : int
        Number of relayed events.
    first_at : float
        When the first event was relayed, in seconds of the monotonic clock.
    ran : bool
        Whether an engine may have started to run it.
    is_sent : bool
        Whether it has been sent to the current engine, which has not yet answered.
    is_answering : bool
        Whether the current engine has sent the head of its answer.
    unmovable : bool
        Whether a move from its current engine has failed.
    is_permitted : bool
        Whether the limit of the engine where it continues next has been asked already.
    resumes : int
        Number of times that it was continued after an engine was lost.
    runs : int
        Number of engines that may have run it from the beginning; resumed copies don't count.
    relayed : HttpCall or None
        The exchange with the current engine whose answer is relayed.
    copy : Standby or None
        A copy of the run on another engine, at most a few seconds old.
    copy_lock : asyncio.Lock
        Held while an engine copies the run, since the engine refuses a concurrent copy.
    search : EngineSearch
        Finds engines to run it on.
    """

    admitted: AdmittedRequest
    exchange: Exchange
    fleet: FleetView
    request: GenerationRequest
    shape: EngineCapacity
    guard: RequestGuard
    engine: Host | None = None
    pending_move: asyncio.Future | None = None
    last_id: str = ""
    events: int = 0
    first_at: float = 0.0
    ran: bool = False
    is_sent: bool = False
    is_answering: bool = False
    unmovable: bool = False
    is_permitted: bool = False
    resumes: int = 0
    runs: int = 0
    relayed: HttpCall | None = None
    copy: Standby | None = None
    copy_lock: asyncio.Lock = field(factory=asyncio.Lock)
    search: EngineSearch = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.search = EngineSearch(self.fleet, self.admitted, self.request)

    # Queries.

    @property
    def run_id(self) -> str:
        """Return the id of the run on engines."""
        return self.admitted.call.request_id

    @property
    def memory_tokens(self) -> int:
        """Return the KV cache memory that the run uses, in tokens."""
        return self.request.prompt_tokens + self.generated

    def can_move(self) -> bool:
        """Return True if the run can be moved from its current engine now."""
        begun = self.events > 0 and self.pending_move is None
        is_movable = self.shape.moves and not self.unmovable
        return begun and is_movable and can_resume_after(self.last_id)

    @property
    def generated(self) -> int:
        """Return the number of relayed tokens."""
        return self.events * self.shape.event_tokens

    @property
    def tokens_left(self) -> int:
        """Return the maximum number of tokens still to be generated."""
        return max(1, self.request.max_tokens - self.generated)

    def seconds_per_token(self) -> float:
        """Return the average time per token, in seconds."""
        if self.events < 2:
            return INITIAL_SECONDS_PER_TOKEN
        return (time.monotonic() - self.first_at) / ((self.events - 1) * self.shape.event_tokens)

    def time_to_end(self) -> float:
        """Return an upper estimate of the remaining run time, in seconds."""
        return self.tokens_left * self.seconds_per_token()

    # Running.

    async def run(self) -> None:
        """Answer the caller.

        Raises
        ------
        RequestRefused
            When it fails before any of the answer was sent.
        StreamBroken
            When it fails later.
        """
        try:
            async with asyncio.timeout_at(self._loop_deadline()):
                await self._run()
        except TimeoutError as error:
            if self.exchange.head_written:
                raise StreamBroken("deadline of the request exceeded") from error
            status = 504 if self.may_have_run() else 503
            raise self._refusal(status, "too_late", "no answer in time") from error
        finally:
            await self._finish()

    def _loop_deadline(self) -> float:
        return asyncio.get_running_loop().time() + max(0.0, self.admitted.time_left())

    async def _run(self) -> None:
        resume = await self._start()
        while resume is not None:
            resume = await self._resume(resume)

    async def _start(self) -> Resume | None:
        """Run on the first engine that accepts the request; returns where to resume if it fails."""
        why, arrived = "", False
        for _ in range(MAX_PLACEMENTS):
            if arrived and not self.fleet.budget.try_spend(self.admitted.service, why):
                break
            self.engine = await self.search.find(self._is_long())
            self.fleet.placement.progress(self.request, self.engine.name, 0)
            self.guard.check()
            self.admitted.check_begin()
            try:
                return await self._send_and_relay(None, self.admitted.time_left())
            except (BackendUnreachable, RequestNotExecuted) as error:
                self.is_sent = False
                why = str(error)
                outcome = "gone" if isinstance(error, BackendGone) else "failed"
                arrived = arrived or isinstance(error, RequestNotExecuted)
            self._log_failed(why)
            self.search.refused.add(self.engine.name)
            await self.fleet.placement.end(self.request, self.engine.name, 0, outcome)
            if self.fleet.notices.reach.is_cut_off:
                break
        raise self._refusal(503, "engines_full", why or "no engine took the request")

    def _is_long(self) -> bool:
        """Return True if the run may outlast its engine's shutdown notice."""
        return self.shape.moves and self.time_to_end() >= LONG_RUN

    async def _send_and_relay(self, resume: Resume | None, head_limit: float) -> Resume | None:
        """Send the request and relay the answer; returns where to resume if that fails."""
        self.is_answering = False
        dispatch = Dispatch(
            self.engine, self.admitted.time_left(), self.admitted.account_name,
            self.admitted.rank, resume,
        )  # fmt: skip
        try:
            async with self._watching():
                call = await self._open(dispatch, head_limit)
        except BackendAnswerLost as error:
            self._record_run(resume)
            if resume is not None and resume.from_copy:
                raise
            return await self._plan_resume(str(error))
        self._record_run(resume)
        self.is_answering = True
        try:
            async with self._watching() as run:
                await self._relay(call, run)
        except BackendError as error:
            return await self._plan_resume(str(error))
        finally:
            self.relayed = None
            await call.__aexit__(None, None, None)
        return None

    def _record_run(self, resume: Resume | None) -> None:
        """Record that an engine may have run the request; resuming a copy adds no run."""
        self.ran = True
        if resume is None or not resume.from_copy:
            self.runs += 1

    async def _open(self, dispatch: Dispatch, head_limit: float) -> HttpCall:
        fleet = self.fleet
        return await open_call(
            fleet.codec, fleet.notices, self.admitted.call, dispatch, head_limit, self._mark_sent
        )

    def _mark_sent(self) -> None:
        self.is_sent = True

    def may_have_run(self) -> bool:
        """Return True if an engine may have started to run it."""
        return self.ran or self.is_sent

    def _watching(self) -> AbstractAsyncContextManager[WatchedRun]:
        """Watch for the engine's death while it runs this request."""
        return self.guard.watch_run(self.engine, has_begun=self.events > 0)

    async def _relay(self, call: HttpCall, run: WatchedRun) -> None:
        run.record_activity()
        headers = self.fleet.codec.answer_headers(call.headers)
        if call.status != 200:
            await self._relay_failure(call, headers)
            return
        self.relayed = call
        call.idle_timeout = self._stall_timeout()
        call.allows_silence = self._may_wait_for_stalled_engine
        splitter, event_progress = EventSplitter(), EventProgress(call.idle_timeout)
        async for chunk in call.chunks():
            run.record_output()
            before = self.last_id
            for event in splitter.feed(chunk):
                await self._relay_event(headers, event)
            event_progress.record_data(len(chunk), self.last_id != before)
        if splitter.buffer:
            raise BackendAnswerLost("the stream ended within an event")
        if not self.exchange.head_written:
            await self.exchange.begin(200, headers)
        self.exchange.end()
        run.record_answer(call.status)

    def _stall_timeout(self) -> float:
        """Return how long an engine may send nothing, in seconds."""
        if not self.shape.moves:
            return max(0.01, self.admitted.time_left())
        return max(MIN_STALL_TIMEOUT, STALL_TIMEOUT_GAPS * self.admitted.route.max_gap)

    def _may_wait_for_stalled_engine(self) -> bool:
        """Return True if there is nothing to resume from and time is left.

        The engine may have paused the run in favor of others.
        """
        moved = self.pending_move is not None and self.pending_move.done()
        return self.copy is None and not moved and self.admitted.time_left() > 0

    async def _relay_failure(self, call: HttpCall, headers: HTTPHeaders) -> None:
        """Relay an error response.

        Raises BackendAnswerLost if the stream has begun or the request may run again elsewhere.
        """
        if self.exchange.head_written or (call.status >= SERVER_ERROR and self._may_restart()):
            raise BackendAnswerLost(f"{self.engine.name} answered {call.status}")
        refuse_misleading_status(call.status)
        with self.fleet.answers.reservation() as reservation:
            body = await read_body(call, reservation, self.admitted.time_left())
            await self.exchange.answer(call.status, headers, body)

    async def _relay_event(self, headers: HTTPHeaders, event: bytes) -> None:
        event_id = position(self.last_id, self.fleet.codec.event_id(event))
        if event_id and not is_next_event(self.last_id, event_id):
            if is_older(self.last_id, event_id):
                return
            raise BackendAnswerLost(f"event {event_id} after {self.last_id}")
        if not self.exchange.head_written:
            await self.exchange.begin(200, headers, event)
        else:
            await self.exchange.write(event)
        if not self.events:
            self.first_at = time.monotonic()
            self.fleet.note_first_event(self.admitted)
        self.events += 1
        if self.admitted.call.prompt and self.events > self.request.max_tokens + EXTRA_EVENTS:
            raise BackendAnswerLost(f"more than {self.request.max_tokens} tokens came")
        self.last_id = event_id or self.last_id
        self.fleet.placement.progress(self.request, self.engine.name, self.generated)

    # Continuing on another engine.

    def finish_move(self, standby: Standby | None) -> None:
        """Record the result of a move: where the run continues, or None if the move failed."""
        if self.pending_move is not None and not self.pending_move.done():
            self.pending_move.set_result(standby)
        if standby is None:
            self.pending_move = None
        elif self.relayed is not None:
            # The engine has ended the stream, but a silent connection doesn't deliver that.
            self.relayed.shorten_idle_timeout(MOVED_STREAM_TIMEOUT)

    async def _plan_resume(self, why: str) -> Resume | None:
        """Return where an interrupted run continues.

        Raises StreamBroken or RequestRefused if it can't continue.
        """
        self._log_failed(why)
        standby = await self.pending_move if self.pending_move is not None else None
        self.pending_move = None
        if self.guard.is_condemned():
            raise self._broken(why)
        if standby is None and (self.copy is not None or self._may_restart()):
            standby = await self._stop_lost_run(why)
        self.copy = None
        if not can_resume_after(self.last_id):
            raise self._broken(f"{why}; no event has an id that can be sent")
        if standby is not None and self.fleet.is_listed(standby.host.name):
            return await self._resume_at(standby, why)
        if not self._may_restart():
            raise self._broken(why)
        return Resume("", "", self.last_id)

    async def _stop_lost_run(self, why: str) -> Standby | None:
        """Stop the run on its engine; returns the newest copy, if there is one.

        Raises StreamBroken or RequestRefused if the engine works on.
        """
        target = self._copy_target()
        if not self.shape.moves or target is None:
            return self.copy
        stop = RunStop(self.fleet, self.engine, self.run_id, target, self.copy_lock)
        match await stop.run():
            case RunCopied(standby):
                return standby
            case RunContinues(refusal):
                raise self._broken(f"{why}; {refusal}")
            case _:
                return self.copy

    def _copy_target(self) -> Host | None:
        """Return the engine to copy the run to: that which has a copy already, if any."""
        if self.copy is not None and self.fleet.is_listed(self.copy.host.name):
            return self.copy.host
        return self.fleet.best_move_target(self.engine, self.request.service)

    def _may_restart(self) -> bool:
        """Return True if the request may run again from the beginning on another engine."""
        if not self.events and self.guard.is_suspect():
            return False
        route = self.admitted.route
        return route.resumable and self.runs < route.max_engines and not self.exchange.caller_gone

    async def _restart(self, resume: Resume) -> Resume | None:
        """Run the request again on another engine; returns where to resume if that fails too."""
        await self.fleet.placement.end(self.request, self.engine.name, self.generated, "failed")
        self.search.refused.add(self.engine.name)
        if not self.fleet.budget.try_spend(self.admitted.service, "new run"):
            raise self._broken("no budget for a new run")
        try:
            self.engine = await self.search.find(self._is_long())
        except RequestRefused as error:
            # The schedulers' refusal says that the request has not run, but it may have.
            raise self._broken(str(error)) from error
        self.fleet.placement.progress(self.request, self.engine.name, self.generated)
        logs.info("run restarted", engine=self.engine.name, after=resume.after, runs=self.runs)
        return await self._send_and_relay(resume, self.admitted.time_left())

    async def _resume_at(self, standby: Standby, why: str) -> Resume:
        if not self.fleet.budget.try_spend(self.admitted.service, "resume"):
            raise self._broken(why)
        await self.fleet.rebind(self.request, self.engine, standby.host, self.generated)
        self.engine = standby.host
        self.is_permitted = standby.is_permitted
        return Resume(standby.holder, standby.handle, self.last_id)

    async def _resume(self, resume: Resume) -> Resume | None:
        """Continue an interrupted run; returns where to resume if it is interrupted again."""
        self.resumes += 1
        self.unmovable = False
        logs.info(
            "continued", engine=self.engine.name, holder=resume.holder, after=resume.after,
            resumes=self.resumes,
        )  # fmt: skip
        try:
            if not resume.from_copy:
                return await self._restart(resume)
            self.fleet.notices.admit_call(self.engine, saves_run=True)
            await self._get_permit()
            return await self._send_and_relay(resume, RESUME_HEAD_TIMEOUT)
        except (BackendRefused, BackendUnreachable, RequestNotExecuted, BackendAnswerLost) as error:
            self._log_failed(str(error))
            raise self._broken(str(error)) from error

    async def _get_permit(self) -> None:
        """Get permission to resume at the engine; raises BackendRefused if there is none."""
        is_permitted, self.is_permitted = self.is_permitted, False
        if not is_permitted and not await self.fleet.limiter.admit_saving_run(self.engine):
            raise BackendRefused(503, f"the limit of {self.engine.name} is reached")

    def _broken(self, why: str) -> Exception:
        if self.exchange.head_written:
            return StreamBroken(why)
        return self._refusal(502, "engine_lost", why)

    def _refusal(self, status: int, reason: str, detail: str) -> RequestRefused:
        if self.may_have_run():
            return RequestRefused(status, reason, detail, Ran.UNKNOWN)
        return RequestRefused(status, reason, detail, Ran.NO, RETRY_AFTER)

    def _log_failed(self, why: str) -> None:
        logs.info(
            "engine lost", engine=self.engine.name, why=why, events=self.events,
            answering=self.is_answering, moving=self.pending_move is not None,
        )  # fmt: skip

    async def _finish(self) -> None:
        """Report the end of the run to the scheduler, and cancel a pending move."""
        if self.pending_move is not None:
            self.pending_move.cancel()
        if self.engine is not None:
            whole = self.exchange.done and not self.exchange.caller_gone
            outcome = "finished" if whole else "cancelled"
            await self.fleet.placement.end(self.request, self.engine.name, self.generated, outcome)
