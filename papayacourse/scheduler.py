"""Schedules one cell of a service: follows its streams and serves its queue."""

import asyncio
import time
from collections.abc import Callable, Iterable

from attrs import define, evolve, field

from papayacourse import logs
from papayacourse.catalog import Catalog
from papayacourse.cellmap import CellMap
from papayacourse.cells import Cell
from papayacourse.enginelist import EngineList
from papayacourse.estimates import WAIT_SAFETY
from papayacourse.farjoins import JOIN_TIMEOUT, goes_first
from papayacourse.grants import Answer, GrantQueue, Tell
from papayacourse.ledger import EngineLedger, Stream, take_off
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
from papayacourse.tasks import cancel_all

GRANT_GRACE = 4.0  # seconds a granted stream may go unreported
LOOKS = 5  # at the queue, to one round of the engines
PACE_WEIGHT = 0.05  # of one report of a stream's progress
PACE_RANGE = (0.001, 1.0)  # seconds between tokens that can be believed


@define(eq=False, slots=False)
class Scheduler:
    """The scheduler of one cell of a service.

    Attributes
    ----------
    cell_map : CellMap
        Tells which engines the cell has.
    tell : callable
        Sends a daemon a grant that it has been waiting for.
    engines : EngineList
        The engines and their ledgers.
    waiting : GrantQueue
        The requests that wait for a place.
    """

    cell: Cell
    catalog: Catalog
    membership: Membership
    cell_map: CellMap
    tell: Tell
    clock: Callable[[], float] = time.monotonic
    task: asyncio.Task | None = None
    orphans: Orphans = field(factory=Orphans)
    numbers: KnownNumbers = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.engines = EngineList(
            self.cell, self.catalog, self.membership, self.cell_map, self.clock
        )
        self.waiting = GrantQueue(self.engines, self.tell, self.clock)
        self.ledgers = self.engines.ledgers
        self.heard_from = self.engines.heard_from
        self.watch = self.engines.watch
        self.numbers = KnownNumbers(self.membership.is_alive)

    async def __aenter__(self) -> "Scheduler":
        self.task = asyncio.create_task(self.run())
        return self

    async def __aexit__(self, kind, error, traceback) -> None:
        await self.watch.close()
        await cancel_all([self.task])
        await self.waiting.close()

    # Queries.

    def find(self, stream: str) -> EngineLedger | None:
        """Return the engine that a stream has been granted."""
        return self.engines.find(stream)

    def join(self, question: JoinRequest) -> Joined | Queued | GrantRefused | Done:
        """Answer another domain that looks for the generation of a key."""
        answer = self.waiting.join("", question.stream, question.avoid)
        if not isinstance(answer, Joined):
            return answer or Done()
        stream = self.find(answer.stream).streams[answer.stream]
        here = self.membership.me.domain
        settled = self.clock() - stream.granted_at >= JOIN_TIMEOUT
        if settled or goes_first(question.stream, here, question.domain):
            return evolve(answer, settled=True)
        return Queued(question.stream, JOIN_TIMEOUT)

    # Commands.

    def ask(self, daemon: str, request: GrantRequest) -> Answer:
        """Answer a daemon's request for a place; asking again changes nothing."""
        return self.waiting.ask(daemon, request)

    def drain(self, engine: str, seconds: float) -> None:
        """Give an engine no new work for a time."""
        self.engines.drain(engine, seconds)

    def ended(self, note: StreamEnded) -> None:
        """Take a stream off its engine's ledger, or a request out of the queue."""
        self.waiting.queue.discard(note.stream)
        ledger = self.find(note.stream)
        if ledger is not None:
            stream = take_off(ledger, note.stream)
            if note.outcome == "finished":
                self.waiting.places.note_end(self.clock() - stream.granted_at, note.generated)
                self.waiting.lengths.add(stream.template, note.generated)
                self.waiting.copies.note_end(stream.generation.fingerprint)
            unpaid = note.generated - stream.charged
            self.waiting.charge(stream.generation.priority, note.account, unpaid)
        if note.engine in self.ledgers:
            self._note_failure(note)
        self.waiting.serve()

    def _note_failure(self, note: StreamEnded) -> None:
        match note.outcome:
            case "failed":
                self.watch.record_failure(note.engine)
            case "gone":
                self.watch.record_unreachable(note.engine)
                self.ledgers[note.engine].usable = False
            case _:
                return
        # A dead engine looks the emptiest: until it answers it would get every request.
        self.ledgers[note.engine].suspect = True
        self.watch.poll([self.ledgers[note.engine]])

    def report(self, daemon: str, report: StreamReport) -> None:
        """Bring the ledger in line with what one daemon says it relays."""
        self.heard_from.add(daemon)
        for state in report.streams:
            ledger = self.ledgers.get(state.engine)
            if ledger is not None:
                self._take_state(ledger, state, daemon)

    def _take_state(self, ledger: EngineLedger, state: StreamState, daemon: str) -> None:
        now, generation = self.clock(), state.generation
        stream = ledger.streams.get(generation.stream)
        if stream is None:
            stream = Stream(generation, daemon, granted_at=now)
            self.waiting.put(ledger, stream)
        self._take_progress(ledger, stream, state.generated)

    def progress(self, daemon: str, rows: Iterable[Progress]) -> list[str]:
        """Take how far a daemon's streams have come; returns those not known here."""
        self.heard_from.add(daemon)
        unknown = []
        for row in rows:
            ledger = self.find(row.stream)
            if ledger is None:
                unknown.append(row.stream)
            else:
                self._take_progress(ledger, ledger.streams[row.stream], row.generated)
        return unknown

    def in_use(self, stream: str) -> bool:
        """Tell whether a stream runs or waits here."""
        return stream in self.waiting.queue or self.find(stream) is not None

    def _take_progress(self, ledger: EngineLedger, stream: Stream, generated: int) -> None:
        now, generation = self.clock(), stream.generation
        if generated > stream.generated > 0:
            self.watch.record_progress(ledger.name)
            ledger.suspect = False
            pace = (now - stream.seen_at) / (generated - stream.generated)
            first_at = stream.seen_at - stream.generated * pace
            ledger.prompt_queue.learn(stream.prompts_ahead, first_at - stream.granted_at)
            stream.prompts_ahead = 0.0
            pace = min(max(pace, PACE_RANGE[0]), PACE_RANGE[1])
            ledger.pace += (pace - ledger.pace) * PACE_WEIGHT
        if generated > stream.charged:
            self.waiting.charge(generation.priority, generation.account, generated - stream.charged)
            stream.charged = generated
        stream.generated = max(stream.generated, generated)
        stream.seen_at = now

    def expire(self) -> None:
        """Look after the streams that nobody reports any more."""
        now = self.clock()
        self._leave_to_owners(now)
        settings = self.catalog.service(self.cell.team, self.cell.service)
        window = settings.resume_window if settings else 0.0
        for stream in self.orphans.check(list(self.ledgers.values()), now, GRANT_GRACE, window):
            logs.debug("stream not reported", stream=stream)

    def _leave_to_owners(self, now: float) -> None:
        """Forget the streams that live daemons report to the schedulers that have them now.

        What a dead daemon relayed stays: its owner may never have heard of it.
        """
        owner = self.engines.is_owner()
        for ledger in self.ledgers.values():
            if not ledger.streams or (owner and self.engines.owns_engine(ledger.name)):
                continue
            for name, stream in list(ledger.streams.items()):
                unreported = now - stream.seen_at > GRANT_GRACE
                if unreported and self.membership.is_alive(stream.daemon):
                    take_off(ledger, name)

    def _take_wait_limit(self) -> None:
        settings = self.catalog.service(self.cell.team, self.cell.service)
        if settings is not None:
            self.waiting.backlog.resize(settings.wait_limit * WAIT_SAFETY)

    async def run(self) -> None:
        """Poll the engines and serve the queue for as long as the duty is held."""
        while True:
            self.engines.refresh()
            self.waiting.forget(self.catalog.account_names(self.cell.team))
            self._take_wait_limit()
            self.watch.poll(self.ledgers.values())
            self.expire()
            self.waiting.serve()
            for _ in range(LOOKS):
                self.waiting.look()
                self.waiting.serve()
                await asyncio.sleep(self.watch.reports.interval / LOOKS)
