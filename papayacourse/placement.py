"""Finds a place for a generation by asking the schedulers of the domain in turn."""

import asyncio
import time
from collections.abc import Callable, Iterable

from attrs import define, evolve, field, frozen

from papayacourse import logs
from papayacourse.cellmap import CellMap
from papayacourse.cells import Cell, Layout, first_cells
from papayacourse.exceptions import PeerError, RequestRefused
from papayacourse.farjoins import JOIN_TIMEOUT, FarJoins
from papayacourse.joins import key_reused
from papayacourse.membership import Membership
from papayacourse.meshmessages import Hello
from papayacourse.numbering import StreamNumbers
from papayacourse.peers import Peers
from papayacourse.reporting import Reporting
from papayacourse.scheduling import Scheduling
from papayacourse.schedulingmessages import (
    Granted,
    GrantRefused,
    GrantRequest,
    Joined,
    NotScheduler,
    ProgressReport,
    Queued,
    StreamEnded,
    StreamReport,
    StreamState,
    StreamsUnknown,
)
from papayacourse.spill import PlacedElsewhere, Spill, has_no_place, waits
from papayacourse.types import GenerationRequest

ACK_TIMEOUT = 0.4  # seconds a scheduler may take to say anything
REASK_INTERVAL = 1.0  # seconds between questions while queued
SCHEDULERS_TRIED = 3
REPORT_TIMEOUT = 1.0  # seconds
REFUSAL_STATUS = {"overloaded": 429, "quarantined": 422}  # by reason; 503 for all others

Place = Granted | Joined
Answer = Granted | Joined | Queued | GrantRefused


@frozen
class Asked:
    """Whom a place was asked of last, and for what."""

    owner: str
    generation: GenerationRequest
    cell: int


@define(eq=False)
class Placement:
    """The entry daemon's end of the talk with schedulers.

    Attributes
    ----------
    cell_map : CellMap
        Which cell an engine belongs to.
    scheduling : Scheduling
        The schedulers' end here, for the services that this daemon schedules itself.
    relayed : dict of str to StreamState
        The streams that this daemon relays, by stream id.
    placed_in : dict of str to str
        The failure domain of each stream that was placed in another one.
    asked_in : dict of str to int
        The cell in which each stream waits for a place, or was given one.
    waiting : dict of str to Future
        What a scheduler says of each request that waits in its queue, by stream id.
    asked_of : dict of str to Asked
        Whom each of them was asked of last.
    """

    membership: Membership
    peers: Peers
    cell_map: CellMap
    scheduling: Scheduling
    clock: Callable[[], float] = time.monotonic
    relayed: dict[str, StreamState] = field(factory=dict)
    waiting: dict[str, asyncio.Future] = field(factory=dict)
    placed_in: dict[str, str] = field(factory=dict)
    asked_in: dict[str, int] = field(factory=dict)
    spill: Spill = field(init=False)
    far_joins: FarJoins = field(init=False)
    reporting: Reporting = field(init=False)
    numbers: StreamNumbers = field(factory=StreamNumbers)
    asked_of: dict[str, Asked] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.spill = Spill(self.membership, self.peers, self.cell_map)
        self.far_joins = FarJoins(self.membership, self.peers, self.cell_map)
        self.peers.handlers[Granted] = self.told
        self.peers.handlers[GrantRefused] = self.told
        self.peers.handlers[NotScheduler] = self.told
        self.peers.on_disconnected = self.lost
        self.reporting = Reporting(
            self.membership, self.cell_map, self.relayed, self.placed_in, self._report
        )
        self.peers.handlers[StreamsUnknown] = self.reporting.asked
        self.scheduling.told_here = self.told
        self.scheduling.report_here = self.reporting.asked

    def lost(self, name: str) -> None:
        """Ask again at once for what waits at a daemon whose link has ended."""
        for stream in [s for s, a in self.asked_of.items() if a.owner == name]:
            future = self.waiting.get(stream)
            if future is not None and not future.done():
                future.set_result(NotScheduler(stream))

    async def told(self, peer: Hello, answer: Granted | GrantRefused | NotScheduler) -> None:
        """Take an answer that was waited for."""
        future = self.waiting.get(answer.stream)
        if future is None or future.done():
            return
        asked = self.asked_of.get(answer.stream)
        stale = asked is not None and asked.owner != peer.name
        if stale and not isinstance(answer, Granted):
            # A scheduler that was taken for dead has woken; the next one has the say.
            return
        future.set_result(answer)
        if stale:
            note = ended(asked.generation, "", 0, "never_started", asked.cell)
            await self._note(asked.owner, note)

    async def place(self, request: GrantRequest) -> Place:
        """Wait for a place.

        Raises
        ------
        RequestRefused
            When there is none in time; the work has not run then.
        """
        stream = request.generation.stream
        request = evolve(request, number=self.numbers.of(stream))
        deadline = self.clock() + request.wait_limit
        self.waiting[stream] = asyncio.get_running_loop().create_future()
        answer = None
        try:
            while True:
                answer = await self._ask_anywhere(request)
                if isinstance(answer, Queued):
                    answer = await self._wait(stream)
                if isinstance(answer, NotScheduler):
                    # The duty has moved; the next owner is asked at once.
                    self.waiting[stream] = asyncio.get_running_loop().create_future()
                if request.join and isinstance(answer, Granted):
                    answer = await self._or_elsewhere(request, answer)
                match answer:
                    case Granted():
                        return answer
                    case Joined(settled=False):
                        # Its daemon may still give the place back, for one in another domain.
                        await asyncio.sleep(JOIN_TIMEOUT)
                    case Joined():
                        self.numbers.drop(stream)
                        self.asked_in.pop(stream, None)
                        return answer
                    case GrantRefused():
                        raise refusal(answer)
                if self.clock() > deadline:
                    raise RequestRefused(
                        503, "overloaded", "no place came free in time", retry_after=REASK_INTERVAL
                    )
        except BaseException:
            if not isinstance(answer, Joined):
                # A joined place goes by the same id, and belongs to another daemon.
                await self.give_back(request.generation)
            self.numbers.drop(stream)
            raise
        finally:
            del self.waiting[stream]
            self.asked_of.pop(stream, None)

    async def _wait(self, stream: str) -> Granted | GrantRefused | NotScheduler | None:
        try:
            return await asyncio.wait_for(asyncio.shield(self.waiting[stream]), REASK_INTERVAL)
        except TimeoutError:
            return None

    async def _ask_anywhere(self, request: GrantRequest) -> Answer:
        """Ask this failure domain, then others where that saves more than the link costs."""
        small = evolve(request, generation=evolve(request.generation, prompt=""))
        answer = await self._ask_here(small)
        if request.join:
            no_place = isinstance(answer, Queued | GrantRefused)
            return await self._or_elsewhere(request, answer) if no_place else answer
        if isinstance(answer, Granted):
            return answer
        placed = await self.spill.place(small, waits(answer, request.wait_limit))
        if placed is None:
            return answer
        await self.give_back(request.generation)
        return self._placed(request, placed)

    def _placed(self, request: GrantRequest, placed: PlacedElsewhere) -> Granted:
        self.placed_in[request.generation.stream] = placed.domain
        self.asked_in[request.generation.stream] = placed.cell
        return placed.granted

    async def place_in(self, domains: Iterable[str], request: GrantRequest) -> Granted | None:
        """Return a place in one of some other failure domains, if one is free now."""
        request = evolve(request, number=self.numbers.of(request.generation.stream))
        placed = await self.spill.place_in(domains, request)
        return self._placed(request, placed) if placed is not None else None

    async def _or_elsewhere(self, request: GrantRequest, answer: Answer) -> Answer:
        """Return the generation of a key in another failure domain, or else the answer given.

        Other domains are asked once the place is on the ledger here: of two that begin with a key
        at once, one then sees the other.
        """
        elsewhere = await self.far_joins.find(request)
        if elsewhere is None:
            return answer
        await self.give_back(request.generation)
        return elsewhere

    async def _ask_here(self, request: GrantRequest) -> Answer:
        """Ask the cells of this failure domain; the request waits in the first with engines."""
        stream = request.generation.stream
        before = self.asked_in.get(stream)
        for cell in first_cells(request.generation, self._layout(request.generation)):
            request = evolve(request, cell=cell)
            answer = await self._ask(request)
            if not isinstance(answer, GrantRefused) or answer.reason != "no_engine":
                break
        if before is not None and before != cell:
            await self._note_end(None, ended(request.generation, "", 0, "never_started", before))
        self.asked_in[stream] = cell
        # Requests with one key meet in one cell, so they wait there.
        if request.join or not has_no_place(answer):
            return answer
        return await self._ask_other_cell(request) or answer

    async def _ask_other_cell(self, request: GrantRequest) -> Granted | None:
        """Ask another cell of this failure domain for a place now or not at all."""
        me, generation = self.membership.me, request.generation
        number = self.spill.other_cell(me.domain, request, request.cell)
        if number is None:
            return None
        request = evolve(request, cell=number, wait_limit=0.0)
        owners = self.membership.owners(Cell(generation.team, generation.service, number).duty)
        try:
            if owners[:1] in ([], [me.name]):
                answer = await self.scheduling.asked(me, request)
            else:
                answer = await self.peers.call(owners[0], request, ACK_TIMEOUT)
        except PeerError as error:
            # It may have been granted all the same; nobody reports it, so it lapses there.
            logs.info("other cell silent", daemon=owners[0], why=str(error))
            return None
        if not isinstance(answer, Granted):
            return None
        await self.give_back(generation)
        self.asked_in[generation.stream] = number
        return answer

    def _layout(self, generation: GenerationRequest) -> Layout:
        here = self.membership.me.domain
        return self.cell_map.layout(here, generation.team, generation.service)

    async def _ask(self, request: GrantRequest) -> Answer:
        """Ask the scheduler of one cell, and the next in order where it is silent."""
        generation = request.generation
        cell = Cell(generation.team, generation.service, request.cell)
        for owner in self.membership.owners(cell.duty)[:SCHEDULERS_TRIED]:
            self.asked_of[generation.stream] = Asked(owner, generation, cell.number)
            if owner == self.membership.me.name:
                break
            try:
                answer = await self.peers.call(owner, request, ACK_TIMEOUT)
            except PeerError as error:
                logs.warning("scheduler silent", daemon=owner, why=str(error))
                self.membership.suspect(owner)
                continue
            if not isinstance(answer, NotScheduler):
                return answer
        me = self.membership.me
        self.asked_of[generation.stream] = Asked(me.name, generation, cell.number)
        return await self.scheduling.asked(me, request)

    async def give_back(self, generation: GenerationRequest) -> None:
        """Give up a place, or the wait for one."""
        await self._end(generation, "", 0, "never_started")

    async def end(
        self, generation: GenerationRequest, engine: str, generated: int, outcome: str
    ) -> None:
        """Tell the scheduler that a stream has ended, and how."""
        self.numbers.drop(generation.stream)
        await self._end(generation, engine, generated, outcome)

    async def _end(
        self, generation: GenerationRequest, engine: str, generated: int, outcome: str
    ) -> None:
        self.relayed.pop(generation.stream, None)
        domain = self.placed_in.pop(generation.stream, None)
        cell = self.asked_in.pop(generation.stream, 0)
        if engine:
            where = (domain or self.membership.me.domain, generation.team, generation.service)
            cell = self.cell_map.of_engine(*where, engine).number
        await self._note_end(domain, ended(generation, engine, generated, outcome, cell))

    async def _note_end(self, domain: str | None, note: StreamEnded) -> None:
        """Tell the scheduler of a cell, of this domain for None, that a stream has ended."""
        owners = self.membership.owners(Cell(note.team, note.service, note.cell).duty, domain)
        here = [self.membership.me.name] if domain is None else []
        for owner in (owners or here)[:1]:
            await self._note(owner, note)

    async def _note(self, owner: str, note: StreamEnded) -> None:
        if owner == self.membership.me.name:
            await self.scheduling.noted(self.membership.me, note)
            return
        try:
            await self.peers.send(owner, note)
        except PeerError as error:
            # The place lapses by itself, since nobody reports the stream any more.
            logs.debug("end of stream not noted", daemon=owner, why=str(error))

    def progress(self, generation: GenerationRequest, engine: str, generated: int) -> None:
        """Note how far a stream has come, for the next report."""
        before = self.relayed.get(generation.stream)
        small = (
            before.generation if before is not None else evolve(generation, prompt="", prefixes=())
        )
        number = self.numbers.of(generation.stream)
        self.relayed[generation.stream] = StreamState(small, engine, generated, number)

    def adopt(self, generation: GenerationRequest, engine: str, domain: str) -> None:
        """Note that a stream goes on at an engine that no scheduler was asked for."""
        me = self.membership.me
        if domain != me.domain:
            self.placed_in[generation.stream] = domain
        cell = self.cell_map.of_engine(domain, generation.team, generation.service, engine)
        self.asked_in[generation.stream] = cell.number

    def forget(self, generation: GenerationRequest) -> None:
        """Stop reporting a stream that another daemon answers for now."""
        self.relayed.pop(generation.stream, None)
        self.asked_in.pop(generation.stream, None)
        self.numbers.drop(generation.stream)

    async def report(self) -> None:
        """Report the streams relayed here to their schedulers, for ever."""
        await self.reporting.run()

    async def _report(self, owner: str, report: StreamReport | ProgressReport) -> bool:
        """Report to a scheduler; tells whether it has, or will have, the report."""
        me = self.membership.me
        try:
            match report:
                case StreamReport() if owner == me.name:
                    await self.scheduling.reported(me, report)
                case ProgressReport() if owner == me.name:
                    await self.scheduling.progressed(me, report)
                case StreamReport():
                    await self.peers.call(owner, report, REPORT_TIMEOUT)
                case ProgressReport():
                    await self.peers.send(owner, report)
        except PeerError as error:
            logs.debug("streams not reported", daemon=owner, why=str(error))
            return False
        return True


def ended(
    generation: GenerationRequest, engine: str, generated: int, outcome: str, cell: int
) -> StreamEnded:
    """Return the note that a stream has ended, for the scheduler of a cell."""
    return StreamEnded(
        generation.team,
        generation.service,
        generation.stream,
        engine,
        generation.account,
        generated,
        outcome,
        cell,
    )


def refusal(answer: GrantRefused) -> RequestRefused:
    """Turn a scheduler's refusal into the caller's final answer."""
    if answer.reason == "key_reused":
        return key_reused()
    status = REFUSAL_STATUS.get(answer.reason, 503)
    return RequestRefused(status, answer.reason, answer.detail, retry_after=answer.retry_after)
