"""The state of one generation: its engine, how far its answer has come, and its copy."""

import asyncio
import time

from attrs import define, field

from papayacourse import logs
from papayacourse.exceptions import RequestRefused
from papayacourse.framing import Framing
from papayacourse.httpcall import HttpCall
from papayacourse.requestguard import RequestGuard
from papayacourse.routed.admitted import AdmittedRequest
from papayacourse.routed.document import EngineCapacity
from papayacourse.routed.eventgaps import EventGaps
from papayacourse.routed.events import can_resume_after
from papayacourse.routed.exchange import Exchange
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.latestop import LateStop
from papayacourse.routed.migration.standby import Standby
from papayacourse.routed.runstop import RunStop
from papayacourse.routed.stoporders import StopOrders
from papayacourse.types import GenerationRequest, Host, Ran

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
    gaps : EventGaps
        The gaps between its events.
    stop_orders : StopOrders
        The orders to stop it.
    late_stops : list of LateStop
        The stops that begin once the run has gone on elsewhere.
    framing : Framing or None
        What ends the answer of the current engine; None before the first answer.
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
    is_answering: bool = False
    unmovable: bool = False
    is_permitted: bool = False
    resumes: int = 0
    runs: int = 0
    relayed: HttpCall | None = None
    copy: Standby | None = None
    copy_lock: asyncio.Lock = field(factory=asyncio.Lock)
    gaps: EventGaps = field(factory=EventGaps)
    stop_orders: StopOrders = field(factory=StopOrders)
    late_stops: list[LateStop] = field(factory=list)
    framing: Framing | None = None

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
        """Return True if the run can be moved from its current engine now.

        One whose stream was lost can't be: it is stopped there, and goes on elsewhere.
        """
        is_relayed = self.events > 0 and self.relayed is not None
        is_movable = self.shape.moves and not self.unmovable and self.pending_move is None
        return is_relayed and is_movable and can_resume_after(self.last_id)

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

    def may_go_to(self, host: Host) -> bool:
        """Return True if the run may go on at an engine: it is certain not to run there already."""
        return host.name not in self.stop_orders.unproven and self.admitted.may_go_to(host)

    def may_have_run(self) -> bool:
        """Return True if an engine may have started to run it."""
        return self.exchange.sends.may_have_run()

    def may_restart(self) -> bool:
        """Return True if the request may run again from the beginning on another engine."""
        if not self.events and self.guard.is_suspect():
            return False
        route = self.admitted.route
        return route.resumable and self.runs < route.max_engines and not self.exchange.caller_gone

    # Failures.

    def broken(self, why: str) -> Exception:
        """Return the exception for a run that was lost and cannot continue."""
        if self.exchange.head_written:
            return StreamBroken(why)
        return self.refusal(502, "engine_lost", why)

    def refusal(self, status: int, reason: str, detail: str) -> RequestRefused:
        """Return a refusal that says whether an engine may have run the request."""
        if self.may_have_run():
            return RequestRefused(status, reason, detail, Ran.UNKNOWN)
        return RequestRefused(status, reason, detail, Ran.NO, RETRY_AFTER)

    # Commands.

    def finish_move(self, standby: Standby | None) -> None:
        """Record the result of a move: where the run continues, or None if the move failed."""
        if self.pending_move is not None and not self.pending_move.done():
            self.pending_move.set_result(standby)
        if standby is None:
            self.pending_move = None
        elif self.relayed is not None:
            # The engine has ended the stream, but a silent connection doesn't deliver that.
            self.relayed.shorten_idle_timeout(MOVED_STREAM_TIMEOUT)

    def stop_later(self, stop: RunStop) -> None:
        """Stop the run on an engine that does not answer now, once it answers again."""
        late_stop = LateStop(stop, self.admitted.deadline)
        self.late_stops.append(late_stop)
        self.fleet.tasks.spawn(late_stop.run())

    def begin_late_stops(self, delay: float = 0.0) -> None:
        """Let the late stops begin, which must not take away a copy that is still to be used."""
        begun, self.late_stops = self.late_stops, []
        loop = asyncio.get_running_loop()
        for late_stop in begun:
            loop.call_later(delay, late_stop.may_begin.set)

    def log_failed(self, why: str) -> None:
        """Log why the current engine was lost."""
        logs.info(
            "engine lost", engine=self.engine.name, why=why, events=self.events,
            answering=self.is_answering, moving=self.pending_move is not None,
        )  # fmt: skip
