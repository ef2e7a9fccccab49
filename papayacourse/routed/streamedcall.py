"""One streamed call of a model service: runs its generation until the caller has the answer."""

import asyncio
from contextlib import AbstractAsyncContextManager

from attrs import define, field

from papayacourse import logs
from papayacourse.deaths import WatchedRun
from papayacourse.exceptions import (
    BackendError,
    BackendGone,
    BackendRefused,
    BackendUnreachable,
    RequestRefused,
)
from papayacourse.httpcall import HttpCall
from papayacourse.routed.answerrelay import AnswerRelay
from papayacourse.routed.closedends import ClosedEnds
from papayacourse.routed.generation import Generation, StreamBroken
from papayacourse.routed.migration.failover import Failover
from papayacourse.routed.placing import EngineSearch
from papayacourse.routed.seams import Dispatch, Resume
from papayacourse.routed.sending import BackendAnswerLost, RequestNotExecuted, open_call
from papayacourse.routed.sendlimiter import SAVE_PATIENCE

MAX_PLACEMENTS = 4  # engines tried until one accepts the request
RESUME_HEAD_TIMEOUT = 2.5  # seconds in which an engine must start to resume a run
# Seconds from sending a run to its next engine until orders to stop it go to the engine before.
# By then the copy that it goes on from is in use, and no order can replace it.
SUCCESSOR_LEAD = 0.1
LONG_RUN = 1.5  # seconds; a shorter run ends within its engine's shutdown notice


@define(eq=False)
class StreamedCall:
    """Sends one generation to engines, one after another, until its answer is complete.

    Attributes
    ----------
    closed_ends : ClosedEnds
        Checks a stream that ends with its connection.
    search : EngineSearch
        Finds engines to run it on.
    failover : Failover
        Decides where it continues after its engine was lost.
    """

    generation: Generation
    closed_ends: ClosedEnds
    search: EngineSearch = field(init=False)
    failover: Failover = field(init=False)

    def __attrs_post_init__(self) -> None:
        generation = self.generation
        self.search = EngineSearch(generation.fleet, generation.admitted, generation.request)
        self.failover = Failover(generation)
        generation.exchange.sends.on_begin = self._begin_late_stops

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
            if self.generation.exchange.head_written:
                raise StreamBroken("deadline of the request exceeded") from error
            status = 504 if self.generation.may_have_run() else 503
            raise self.generation.refusal(status, "too_late", "no answer in time") from error
        finally:
            await self._finish()

    def _loop_deadline(self) -> float:
        time_left = self.generation.admitted.time_left()
        return asyncio.get_running_loop().time() + max(0.0, time_left)

    async def _run(self) -> None:
        resume = await self._start()
        while resume is not None:
            resume = await self._resume(resume)

    async def _finish(self) -> None:
        """Report the end of the run to the scheduler, and cancel a pending move."""
        generation = self.generation
        generation.begin_late_stops()
        if generation.pending_move is not None:
            generation.pending_move.cancel()
        if generation.engine is not None:
            whole = generation.exchange.done and not generation.exchange.caller_gone
            await self._end_placement("finished" if whole else "cancelled")

    # Placement.

    async def _start(self) -> Resume | None:
        """Run on the first engine that accepts the request; returns where to resume if it fails."""
        generation = self.generation
        fleet, admitted = generation.fleet, generation.admitted
        why, arrived = "", False
        for _ in range(MAX_PLACEMENTS):
            if arrived and not fleet.budget.try_spend(admitted.service, why):
                break
            await self._place()
            generation.guard.check()
            admitted.check_begin()
            try:
                return await self._send_and_relay(None, admitted.time_left())
            except (BackendUnreachable, RequestNotExecuted) as error:
                why = str(error)
                outcome = "gone" if isinstance(error, BackendGone) else "failed"
                arrived = arrived or isinstance(error, RequestNotExecuted)
            generation.log_failed(why)
            self.search.refused.add(generation.engine.name)
            await self._end_placement(outcome)
            if fleet.notices.reach.is_cut_off:
                break
        raise generation.refusal(503, "engines_full", why or "no engine took the request")

    async def _place(self) -> None:
        """Find an engine for the generation, and tell its scheduler that it goes there."""
        generation = self.generation
        generation.engine = await self.search.find(self._is_long())
        generation.fleet.placement.progress(
            generation.request, generation.engine.name, generation.generated
        )

    async def _end_placement(self, outcome: str) -> None:
        """Report to the scheduler that the generation has left its engine."""
        generation = self.generation
        await generation.fleet.placement.end(
            generation.request, generation.engine.name, generation.generated, outcome
        )

    def _is_long(self) -> bool:
        """Return True if the run may outlast its engine's shutdown notice."""
        return self.generation.shape.moves and self.generation.time_to_end() >= LONG_RUN

    # One engine.

    async def _send_and_relay(self, resume: Resume | None, head_limit: float) -> Resume | None:
        """Send the request and relay the answer; returns where to resume if that fails."""
        generation, admitted = self.generation, self.generation.admitted
        generation.is_answering = False
        generation.stop_orders.record_start(generation.engine.name)
        dispatch = Dispatch(
            generation.engine, admitted.time_left(), admitted.account_name,
            admitted.rank, resume,
        )  # fmt: skip
        try:
            async with self._watching():
                call = await self._open(dispatch, head_limit)
        except BackendAnswerLost as error:
            self._record_run(resume)
            if resume is not None and resume.from_copy:
                raise
            return await self.failover.plan_resume(str(error))
        self._record_run(resume)
        generation.is_answering = True
        try:
            async with self._watching() as run:
                await AnswerRelay(generation, call, run, self.closed_ends).relay()
        except BackendError as error:
            return await self.failover.plan_resume(str(error))
        finally:
            generation.relayed = None
            await call.__aexit__(None, None, None)
        return None

    def _begin_late_stops(self) -> None:
        self.generation.begin_late_stops(SUCCESSOR_LEAD)

    def _watching(self) -> AbstractAsyncContextManager[WatchedRun]:
        """Watch for the engine's death while it runs this request."""
        generation = self.generation
        return generation.guard.watch_run(generation.engine, has_begun=generation.events > 0)

    async def _open(self, dispatch: Dispatch, head_limit: float) -> HttpCall:
        fleet, call = self.generation.fleet, self.generation.admitted.call
        return await open_call(
            fleet.codec, fleet.notices, call, dispatch, head_limit, self.generation.exchange.sends
        )

    def _record_run(self, resume: Resume | None) -> None:
        """Count an engine that may have run the request; resuming a copy adds no run."""
        if resume is None or not resume.from_copy:
            self.generation.runs += 1

    # Continuing on another engine.

    async def _resume(self, resume: Resume) -> Resume | None:
        """Continue an interrupted run; returns where to resume if it is interrupted again."""
        generation = self.generation
        generation.resumes += 1
        generation.unmovable = False
        logs.info(
            "continued", engine=generation.engine.name, holder=resume.holder, after=resume.after,
            resumes=generation.resumes,
        )  # fmt: skip
        try:
            if not resume.from_copy:
                return await self._restart(resume)
            generation.fleet.notices.admit_call(generation.engine, saves_run=True)
            await self._get_permit()
            return await self._send_and_relay(resume, RESUME_HEAD_TIMEOUT)
        except (BackendRefused, BackendUnreachable, RequestNotExecuted, BackendAnswerLost) as error:
            generation.log_failed(str(error))
            raise generation.broken(str(error)) from error

    async def _get_permit(self) -> None:
        """Get permission to resume at the engine; raises BackendRefused if there is none."""
        generation, limiter = self.generation, self.generation.fleet.limiter
        cold = generation.fleet.notices.cold
        if not await cold.wait_for_turn(generation.engine.name, SAVE_PATIENCE):
            raise BackendRefused(503, f"{generation.engine.name} is cold")
        is_permitted, generation.is_permitted = generation.is_permitted, False
        if not is_permitted and not await limiter.admit_saving_run(generation.engine):
            raise BackendRefused(503, f"the limit of {generation.engine.name} is reached")

    async def _restart(self, resume: Resume) -> Resume | None:
        """Run the request again on another engine; returns where to resume if that fails too."""
        generation = self.generation
        generation.begin_late_stops()  # there is no copy that they could take away
        await self._end_placement("failed")
        self.search.refused |= {generation.engine.name} | generation.stop_orders.unproven
        if not generation.fleet.budget.try_spend(generation.admitted.service, "new run"):
            raise generation.broken("no budget for a new run")
        try:
            await self._place()
        except RequestRefused as error:
            # The schedulers' refusal says that the request has not run, but it may have.
            raise generation.broken(str(error)) from error
        logs.info(
            "run restarted", engine=generation.engine.name, after=resume.after,
            runs=generation.runs,
        )  # fmt: skip
        return await self._send_and_relay(resume, generation.admitted.time_left())
