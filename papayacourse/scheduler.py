"""Scheduler of one cell of a service: tracks its streams and serves its queue."""

import asyncio
import time
from collections.abc import Callable, Iterable

from attrs import define, evolve, field

from papayacourse import logs
from papayacourse.catalog import Catalog
from papayacourse.cellmap import CellMap
from papayacourse.cells import Cell
from papayacourse.crossdomainjoins import CROSS_DOMAIN_JOIN_TIMEOUT, has_precedence
from papayacourse.enginelist import EngineList
from papayacourse.estimates import MAX_WAIT_FRACTION
from papayacourse.grants import Answer, AnswerSender, GrantQueue
from papayacourse.ledger import EngineLedger, Stream, remove_stream
from papayacourse.membership import Membership
from papayacourse.meshmessages import Done
from papayacourse.numbering import KnownNumbers, Progress
from papayacourse.orphans import Orphans
from papayacourse.schedulingmessages import (
    GrantRefused,
    GrantRequest,
    Joined,
    JoinRequest,
    Queued,
    StreamEnded,
    StreamReport,
    StreamState,
)
from papayacourse.tasks import cancel_all, keep_running

REPORT_GRACE_SECONDS = 4.0  # time that a granted stream may go unreported
QUEUE_CHECKS_PER_POLL = 5  # queue checks in each polling interval of the engines
NOTABLE_GAP = 1.5  # multiples of the usual gap, beyond which an engine probably prefilled a prompt
INTERVAL_WEIGHT = 0.05  # weight of one progress report in the moving average
INTERVAL_RANGE_SECONDS = (0.001, 1.0)  # plausible values; others are clamped


@define(eq=False, slots=False)
class Scheduler:
    """The scheduler of one cell of a service.

    Attributes
    ----------
    cell_map : CellMap
        Maps engines to cells.
    send_answer : callable
        Sends a waiting daemon its grant or refusal.
    engines : EngineList
        The engines and their ledgers.
    grant_queue : GrantQueue
        The requests that wait for a place on an engine.
    """

    cell: Cell
    catalog: Catalog
    membership: Membership
    cell_map: CellMap
    send_answer: AnswerSender
    clock: Callable[[], float] = time.monotonic
    task: asyncio.Task | None = None
    orphans: Orphans = field(factory=Orphans)
    numbers: KnownNumbers = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.engines = EngineList(
            self.cell, self.catalog, self.membership, self.cell_map, self.clock
        )
        self.grant_queue = GrantQueue(self.engines, self.send_answer, self.clock)
        self.ledgers = self.engines.ledgers
        self.reporting_daemons = self.engines.reporting_daemons
        self.watch = self.engines.watch
        self.numbers = KnownNumbers(self.membership.is_alive)

    async def __aenter__(self) -> "Scheduler":
        self.task = asyncio.create_task(keep_running(self.run))
        return self

    async def __aexit__(self, kind, error, traceback) -> None:
        await self.watch.close()
        await cancel_all([self.task])
        await self.grant_queue.close()

    # Queries.

    def find(self, stream: str) -> EngineLedger | None:
        """Return the ledger of the engine that a stream was granted, or None."""
        return self.engines.find(stream)

    def join(self, question: JoinRequest) -> Joined | Queued | GrantRefused | Done:
        """Answer another domain that asks for a running generation with the same key."""
        answer = self.grant_queue.join("", question.stream, question.avoid)
        if not isinstance(answer, Joined):
            return answer or Done()
        stream = self.find(answer.stream).streams[answer.stream]
        here = self.membership.me.domain
        settled = self.clock() - stream.granted_at >= CROSS_DOMAIN_JOIN_TIMEOUT
        if settled or has_precedence(question.stream, here, question.domain):
            return evolve(answer, settled=True)
        return Queued(question.stream, CROSS_DOMAIN_JOIN_TIMEOUT)

    # Commands.

    def request_grant(self, daemon: str, request: GrantRequest) -> Answer:
        """Answer a daemon's request for a place; repeated requests are idempotent."""
        return self.grant_queue.request_grant(daemon, request)

    def drain(self, engine: str, seconds: float) -> None:
        """Assign no new streams to an engine for a time, in seconds."""
        self.engines.drain(engine, seconds)

    def record_end(self, message: StreamEnded) -> None:
        """Remove an ended stream from its engine's ledger, or a request from the queue."""
        self.grant_queue.queue.discard(message.stream)
        ledger = self.find(message.stream)
        if ledger is not None:
            stream = remove_stream(ledger, message.stream)
            if message.outcome == "finished":
                self.grant_queue.places.record_end(
                    self.clock() - stream.granted_at, message.generated
                )
                self.grant_queue.lengths.add(stream.template, message.generated)
                self.grant_queue.copies.record_completion(stream.generation.fingerprint)
            unpaid = message.generated - stream.charged_tokens
            self.grant_queue.charge(stream.generation.priority, message.account, unpaid)
        if message.engine in self.ledgers:
            self._record_failure(message)
        self.grant_queue.serve()

    def _record_failure(self, message: StreamEnded) -> None:
        match message.outcome:
            case "failed":
                self.watch.record_failure(message.engine)
            case "gone":
                self.watch.record_unreachable(message.engine)
                self.ledgers[message.engine].usable = False
            case _:
                return
        # A dead engine has the lowest load and would get every request, so it gets none until it
        # answers a poll.
        self.ledgers[message.engine].suspect = True
        self.watch.poll([self.ledgers[message.engine]])

    def apply_report(self, daemon: str, report: StreamReport) -> None:
        """Update the ledgers from a full report of the streams that a daemon relays."""
        self.reporting_daemons.add(daemon)
        for state in report.streams:
            ledger = self.ledgers.get(state.engine)
            if ledger is not None:
                self._apply_stream_state(ledger, state, daemon)

    def _apply_stream_state(self, ledger: EngineLedger, state: StreamState, daemon: str) -> None:
        now, generation = self.clock(), state.generation
        stream = ledger.streams.get(generation.stream)
        if stream is None:
            stream = Stream(generation, daemon, granted_at=now)
            self.grant_queue.add_stream(ledger, stream)
        self._apply_stream_progress(ledger, stream, state.generated)

    def apply_progress(self, daemon: str, rows: Iterable[Progress]) -> list[str]:
        """Update the progress of a daemon's streams; return the streams unknown here."""
        self.reporting_daemons.add(daemon)
        unknown = []
        for row in rows:
            ledger = self.find(row.stream)
            if ledger is None:
                unknown.append(row.stream)
            else:
                stream = ledger.streams[row.stream]
                self._record_pace(ledger, stream, row)
                self._apply_stream_progress(ledger, stream, row.generated)
        return unknown

    def _record_pace(self, ledger: EngineLedger, stream: Stream, row: Progress) -> None:
        """Learn an engine's pace from the progress of a stream since its last report."""
        if not stream.generation.max_gap:
            return
        if row.generated > stream.generated > 0:
            seconds = (self.clock() - stream.seen_at) / (row.generated - stream.generated)
            self.engines.paces.record(ledger.name, len(ledger.streams), seconds)
        self._record_pause(ledger, stream, row.longest_gap)

    def _record_pause(self, ledger: EngineLedger, stream: Stream, longest_gap: float) -> None:
        """Learn how long an engine pauses for prompts, if a gap is much longer than usual."""
        paces = self.engines.paces
        line = paces.line(ledger.name)
        if not longest_gap or line is None:
            return
        usual = line.seconds_per_token(len(ledger.streams)) * stream.generation.event_tokens
        if longest_gap > NOTABLE_GAP * usual:
            paces.record_pause(ledger.name, longest_gap - usual)

    def has_stream(self, stream: str) -> bool:
        """Return True if a stream runs or waits in this cell."""
        return stream in self.grant_queue.queue or self.find(stream) is not None

    def _apply_stream_progress(self, ledger: EngineLedger, stream: Stream, generated: int) -> None:
        now, generation = self.clock(), stream.generation
        if generated > stream.generated > 0:
            self.watch.record_progress(ledger.name)
            ledger.suspect = False
            interval = (now - stream.seen_at) / (generated - stream.generated)
            first_at = stream.seen_at - stream.generated * interval
            ledger.prompt_queue.update_speed(
                stream.prompt_tokens_ahead, first_at - stream.granted_at
            )
            stream.prompt_tokens_ahead = 0.0
            interval = min(
                max(interval, INTERVAL_RANGE_SECONDS[0]),
                INTERVAL_RANGE_SECONDS[1],
            )
            ledger.token_interval += (interval - ledger.token_interval) * INTERVAL_WEIGHT
        if generated > stream.charged_tokens:
            self.grant_queue.charge(
                generation.priority, generation.account, generated - stream.charged_tokens
            )
            stream.charged_tokens = generated
        stream.generated = max(stream.generated, generated)
        stream.seen_at = now

    def expire(self) -> None:
        """Handle the streams that no daemon reports any more."""
        now = self.clock()
        self._release_unowned_streams(now)
        settings = self.catalog.service(self.cell.team, self.cell.service)
        window = settings.resume_window if settings else 0.0
        for stream in self.orphans.check(
            list(self.ledgers.values()), now, REPORT_GRACE_SECONDS, window
        ):
            logs.debug("stream not reported", stream=stream)

    def _release_unowned_streams(self, now: float) -> None:
        """Forget the streams that live daemons now report to another scheduler.

        The streams of a dead daemon stay, because the other scheduler may not know of them.
        """
        owner = self.engines.is_owner()
        for ledger in self.ledgers.values():
            if not ledger.streams or (owner and self.engines.owns_engine(ledger.name)):
                continue
            for name, stream in list(ledger.streams.items()):
                unreported = now - stream.seen_at > REPORT_GRACE_SECONDS
                if unreported and self.membership.is_alive(stream.daemon):
                    remove_stream(ledger, name)

    def _update_wait_limit(self) -> None:
        settings = self.catalog.service(self.cell.team, self.cell.service)
        if settings is not None:
            self.grant_queue.backlog.resize(settings.wait_limit * MAX_WAIT_FRACTION)

    async def run(self) -> None:
        """Poll the engines and serve the queue until cancelled."""
        while True:
            self.engines.refresh()
            self.grant_queue.prune(self.catalog.account_names(self.cell.team))
            self._update_wait_limit()
            self.watch.poll(self.ledgers.values())
            self.expire()
            self.grant_queue.serve()
            for _ in range(QUEUE_CHECKS_PER_POLL):
                self.grant_queue.refuse_overdue()
                self.grant_queue.serve()
                await asyncio.sleep(self.watch.reports.interval / QUEUE_CHECKS_PER_POLL)
