"""One generation: placed, passed on event by event, and carried over to other engines."""

import asyncio
import time
from contextlib import AbstractAsyncContextManager

from attrs import define, field
from tornado.httputil import HTTPHeaders

from papayacourse import logs
from papayacourse.deaths import SERVER_ERROR, WatchedRun
from papayacourse.exceptions import (
    BackendError,
    BackendGone,
    BackendRefused,
    BackendUnreachable,
    RequestRefused,
)
from papayacourse.httpcall import HttpCall
from papayacourse.noise import Noise
from papayacourse.routed.admitted import Admitted
from papayacourse.routed.document import EngineCapacity
from papayacourse.routed.events import EventSplitter, follows, is_older
from papayacourse.routed.exchange import Exchange
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.placing import Placing
from papayacourse.routed.seams import Dispatch, Resume
from papayacourse.routed.sending import (
    BackendAnswerLost,
    NotRun,
    open_call,
    read_whole,
    refuse_false_promise,
)
from papayacourse.routed.standby import Standby
from papayacourse.types import GenerationRequest, Host, Ran

MAX_PLACES = 4  # engines tried before the first has taken the request
RESUME_HEAD = 1.5  # seconds that an engine may take to continue a run
STALL_GAPS = 8.0  # longest good pauses after which a silent engine is taken for lost
MIN_STALL = 1.0  # seconds
LONG_RUN = 1.5  # seconds; a shorter one ends within its engine's notice
MORE_EVENTS = 16  # that may come besides one for each token
FIRST_PACE = 0.012  # seconds for each token, until a run's own pace is known
RETRY_AFTER = 0.5  # seconds


class StreamBroken(Exception):
    """The engine's stream ended before its end."""


@define(eq=False)
class Generation:
    """A caller's generation.

    Attributes
    ----------
    request : GenerationRequest
        What the schedulers know of it.
    engine : Host or None
        Where it runs.
    moved : asyncio.Future or None
        While it is being moved: becomes the standby where it continues, or None when the move has
        failed.
    last_id : str
        The id of the last event passed on; empty before the first.
    events : int
        Events passed on.
    ran : bool
        Whether an engine may have begun to work on it.
    is_sent : bool
        Whether the present engine has been sent it, and has not said what comes of it.
    unmovable : bool
        Whether a move from its present engine has failed.
    runs : int
        Engines that may have begun to work on it, those that went on with a run left out.
    copy : Standby or None
        A copy at another engine, a few seconds old at most.
    copy_lock : asyncio.Lock
        Held while an engine copies it; the engine refuses a second copy meanwhile.
    """

    admitted: Admitted
    exchange: Exchange
    fleet: FleetView
    request: GenerationRequest
    shape: EngineCapacity
    engine: Host | None = None
    moved: asyncio.Future | None = None
    last_id: str = ""
    events: int = 0
    first_at: float = 0.0
    ran: bool = False
    is_sent: bool = False
    unmovable: bool = False
    resumes: int = 0
    runs: int = 0
    copy: Standby | None = None
    copy_lock: asyncio.Lock = field(factory=asyncio.Lock)
    placing: Placing = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.placing = Placing(self.fleet, self.admitted, self.request)

    # Queries.

    @property
    def run_id(self) -> str:
        """Return what engines know the run by."""
        return self.admitted.call.request_id

    @property
    def memory_tokens(self) -> int:
        """Return the memory that the run takes, in tokens."""
        return self.request.prompt_tokens + self.generated

    def can_move(self) -> bool:
        """Tell whether the run can be moved from its present engine now."""
        begun = self.events > 0 and self.moved is None
        return self.shape.moves and begun and not self.unmovable

    @property
    def generated(self) -> int:
        """Return the tokens passed on."""
        return self.events * self.shape.event_tokens

    @property
    def tokens_left(self) -> int:
        """Return the most tokens that may still come."""
        return max(1, self.request.max_tokens - self.generated)

    def pace(self) -> float:
        """Return the seconds that a token takes."""
        if self.events < 2:
            return FIRST_PACE
        return (time.monotonic() - self.first_at) / ((self.events - 1) * self.shape.event_tokens)

    def time_to_end(self) -> float:
        """Return the longest that the rest can take, in seconds."""
        return self.tokens_left * self.pace()

    # The work.

    async def run(self) -> None:
        """Answer the caller; raises RequestRefused when nothing has been answered yet."""
        try:
            async with asyncio.timeout_at(self._loop_deadline()):
                await self._run()
        except TimeoutError as error:
            if self.exchange.begun:
                raise StreamBroken("the time for the answer is over") from error
            status = 504 if self._may_have_run() else 503
            raise self._refusal(status, "too_late", "no answer in time") from error
        finally:
            await self._finish()

    def _loop_deadline(self) -> float:
        return asyncio.get_running_loop().time() + max(0.0, self.admitted.time_left())

    async def _run(self) -> None:
        resume = await self._start()
        while resume is not None:
            resume = await self._continue(resume)

    async def _start(self) -> Resume | None:
        """Begin on the first engine that takes it; returns where to go on if it broke off."""
        why, arrived = "", False
        for _ in range(MAX_PLACES):
            if arrived and not self.fleet.budget.take(self.admitted.service, why):
                break
            self.engine = await self.placing.find(self._is_long())
            self.fleet.placement.progress(self.request, self.engine.name, 0)
            try:
                return await self._follow(None, self.admitted.time_left())
            except (BackendUnreachable, NotRun) as error:
                self.is_sent = False
                why = str(error)
                outcome = "gone" if isinstance(error, BackendGone) else "failed"
                arrived = arrived or isinstance(error, NotRun)
            self._log_failed(why)
            self.placing.refused.add(self.engine.name)
            await self.fleet.placement.end(self.request, self.engine.name, 0, outcome)
        raise self._refusal(503, "engines_full", why or "no engine took the request")

    def _is_long(self) -> bool:
        """Tell whether the run may go on for longer than its engine's notice."""
        return self.shape.moves and self.time_to_end() >= LONG_RUN

    async def _follow(self, resume: Resume | None, head_limit: float) -> Resume | None:
        """Pass on what an engine sends; returns where to continue if it breaks off."""
        dispatch = Dispatch(
            self.engine, self.admitted.time_left(), self.admitted.account_name,
            self.admitted.rank, resume,
        )  # fmt: skip
        try:
            async with self._watching():
                call = await self._open(dispatch, head_limit)
        except BackendAnswerLost as error:
            self._note_run(resume)
            if resume is not None and resume.from_copy:
                raise
            return await self._after(str(error))
        self._note_run(resume)
        try:
            async with self._watching() as run:
                await self._relay(call, run)
        except BackendError as error:
            return await self._after(str(error))
        finally:
            await call.__aexit__(None, None, None)
        return None

    def _note_run(self, resume: Resume | None) -> None:
        """Note that an engine may have begun to work, unless it goes on with a run."""
        self.ran = True
        if resume is None or not resume.from_copy:
            self.runs += 1

    async def _open(self, dispatch: Dispatch, head_limit: float) -> HttpCall:
        fleet = self.fleet
        return await open_call(
            fleet.codec, fleet.notices, self.admitted.call, dispatch, head_limit, self._note_sent
        )

    def _note_sent(self) -> None:
        self.is_sent = True

    def _may_have_run(self) -> bool:
        return self.ran or self.is_sent

    def _watching(self) -> AbstractAsyncContextManager[WatchedRun]:
        """Watch what becomes of the engine while it runs this request."""
        return self.fleet.deaths.watching(self.engine, self.request.fingerprint)

    async def _relay(self, call: HttpCall, run: WatchedRun) -> None:
        run.heard()
        headers = self.fleet.codec.answer_headers(call.headers)
        if call.status != 200:
            await self._relay_failure(call, headers)
            return
        call.idle_timeout = self._patience_with_engine()
        call.may_be_silent = self._has_nowhere_to_go
        splitter, noise = EventSplitter(), Noise(call.idle_timeout)
        async for chunk in call.chunks():
            run.heard()
            before = self.last_id
            for event in splitter.feed(chunk):
                await self._pass_on(headers, event)
            noise.note(len(chunk), self.last_id != before)
        if splitter.rest:
            raise BackendAnswerLost("the stream ended within an event")
        if not self.exchange.begun:
            await self.exchange.begin(200, headers)
        self.exchange.end()
        run.answered(call.status)

    def _patience_with_engine(self) -> float:
        """Return how long an engine may be silent, in seconds."""
        if not self.shape.moves:
            return max(0.01, self.admitted.time_left())
        return max(MIN_STALL, STALL_GAPS * self.admitted.route.max_gap)

    def _has_nowhere_to_go(self) -> bool:
        """Tell whether a silent engine is all there is: it may have been paused for others."""
        return self.copy is None and self.admitted.time_left() > 0

    async def _relay_failure(self, call: HttpCall, headers: HTTPHeaders) -> None:
        """Pass on an engine's failure, or take it for a broken stream if that has begun."""
        if self.exchange.begun or (call.status >= SERVER_ERROR and self._may_run_anew()):
            raise BackendAnswerLost(f"{self.engine.name} answered {call.status}")
        refuse_false_promise(call.status)
        with self.fleet.answers.share() as share:
            body = await read_whole(call, share, self.admitted.time_left())
            await self.exchange.answer(call.status, headers, body)

    async def _pass_on(self, headers: HTTPHeaders, event: bytes) -> None:
        event_id = self.fleet.codec.event_id(event)
        if event_id and not follows(self.last_id, event_id):
            if is_older(self.last_id, event_id):
                return
            raise BackendAnswerLost(f"event {event_id} after {self.last_id}")
        if not self.exchange.begun:
            await self.exchange.begin(200, headers, event)
        else:
            await self.exchange.write(event)
        if not self.events:
            self.first_at = time.monotonic()
            self.fleet.note_first_event(self.admitted)
        self.events += 1
        if self.admitted.call.prompt and self.events > self.request.max_tokens + MORE_EVENTS:
            raise BackendAnswerLost(f"more than {self.request.max_tokens} tokens came")
        self.last_id = event_id or self.last_id
        self.fleet.placement.progress(self.request, self.engine.name, self.generated)

    # Continuing elsewhere.

    def note_moved(self, standby: Standby | None) -> None:
        """Note what came of a move: where the run continues, or None when it has failed."""
        if self.moved is not None and not self.moved.done():
            self.moved.set_result(standby)
        if standby is None:
            self.moved = None

    async def _after(self, why: str) -> Resume | None:
        """Return where a run that has broken off continues; raises when nowhere."""
        self._log_failed(why)
        moved = await self.moved if self.moved is not None else None
        self.moved = None
        copy, self.copy = self.copy, None
        if self.fleet.deaths.quarantine.is_condemned(self.request.fingerprint):
            raise self._broken(why)
        standby = moved or copy
        if standby is not None and self.fleet.is_listed(standby.host.name):
            return await self._go_on_at(standby, why)
        if not self._may_run_anew():
            raise self._broken(why)
        return Resume("", "", self.last_id)

    def _may_run_anew(self) -> bool:
        """Tell whether another engine may generate the rest from the beginning."""
        route = self.admitted.route
        return route.resumable and self.runs < route.max_engines and not self.exchange.gone

    async def _run_anew(self, resume: Resume) -> Resume | None:
        """Have another engine generate the rest; returns where to go on if it breaks off too."""
        await self.fleet.placement.end(self.request, self.engine.name, self.generated, "failed")
        self.placing.refused.add(self.engine.name)
        if not self.fleet.budget.take(self.admitted.service, "new run"):
            raise self._broken("no budget for a new run")
        try:
            self.engine = await self.placing.find(self._is_long())
        except RequestRefused as error:
            # It may have run, so that what the schedulers say of it is not true any more.
            raise self._broken(str(error)) from error
        self.fleet.placement.progress(self.request, self.engine.name, self.generated)
        logs.info("run anew", engine=self.engine.name, after=resume.after, runs=self.runs)
        return await self._follow(resume, self.admitted.time_left())

    async def _go_on_at(self, standby: Standby, why: str) -> Resume:
        if not self.fleet.budget.take(self.admitted.service, "resume"):
            raise self._broken(why)
        await self.fleet.rebind(self.request, self.engine, standby.host, self.generated)
        self.engine = standby.host
        return Resume(standby.holder, standby.handle, self.last_id)

    async def _continue(self, resume: Resume) -> Resume | None:
        """Go on with a run; returns where to go on again if it breaks off once more."""
        self.resumes += 1
        self.unmovable = False
        logs.info(
            "continued", engine=self.engine.name, holder=resume.holder, after=resume.after,
            resumes=self.resumes,
        )  # fmt: skip
        try:
            if not resume.from_copy:
                return await self._run_anew(resume)
            self.fleet.notices.allow(self.engine, saves_run=True)
            return await self._follow(resume, RESUME_HEAD)
        except (BackendRefused, BackendUnreachable, NotRun, BackendAnswerLost) as error:
            self._log_failed(str(error))
            raise self._broken(str(error)) from error

    def _broken(self, why: str) -> Exception:
        if self.exchange.begun:
            return StreamBroken(why)
        return self._refusal(502, "engine_lost", why)

    def _refusal(self, status: int, reason: str, detail: str) -> RequestRefused:
        if self._may_have_run():
            return RequestRefused(status, reason, detail, Ran.UNKNOWN)
        return RequestRefused(status, reason, detail, Ran.NO, RETRY_AFTER)

    def _log_failed(self, why: str) -> None:
        logs.info(
            "engine lost", engine=self.engine.name, why=why, events=self.events,
            moving=self.moved is not None,
        )  # fmt: skip

    async def _finish(self) -> None:
        """Tell the scheduler that the run has ended, and free what a move still holds."""
        if self.moved is not None:
            self.moved.cancel()
        if self.engine is not None:
            whole = self.exchange.done and not self.exchange.gone
            outcome = "finished" if whole else "cancelled"
            await self.fleet.placement.end(self.request, self.engine.name, self.generated, outcome)
