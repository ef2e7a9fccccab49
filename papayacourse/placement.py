"""Requests places for generations from the schedulers of the failure domain.

A place is the capacity for one stream on an engine.
"""

import asyncio
import time
from collections.abc import Callable, Iterable

from attrs import define, evolve, field, frozen

from papayacourse import logs
from papayacourse.cellmap import CellMap
from papayacourse.cells import Cell, Layout, first_cells
from papayacourse.crossdomainjoins import CROSS_DOMAIN_JOIN_TIMEOUT, CrossDomainJoins
from papayacourse.exceptions import MessageNotSendable, PeerError, RequestRefused
from papayacourse.joins import key_reused
from papayacourse.membership import Membership
from papayacourse.meshmessages import Hello
from papayacourse.numbering import StreamNumbers
from papayacourse.peers import Peers
from papayacourse.reporting import Reporting
from papayacourse.scheduling import Scheduling
from papayacourse.schedulingmessages import (
    TOO_SLOW,
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
from papayacourse.spill import DOMAINS_TRIED, RemotePlacement, Spill, implied_wait, lacks_capacity
from papayacourse.tasks import is_done_within
from papayacourse.types import GenerationRequest

ACK_TIMEOUT = 0.4  # seconds until a scheduler's first answer
REASK_INTERVAL = 1.0  # seconds between requests while queued
SCHEDULERS_TRIED = 3
REPORT_TIMEOUT = 1.0  # seconds
REFUSAL_STATUS = {"overloaded": 429, "quarantined": 422}  # by reason; 503 for all others

Place = Granted | Joined
Answer = Granted | Joined | Queued | GrantRefused


@frozen
class PlacementAttempt:
    """The last request for a place: the daemon asked, the generation and the cell."""

    owner: str
    generation: GenerationRequest
    cell: int


@define(eq=False)
class Placement:
    """Requests places from schedulers on behalf of the entry daemon.

    Attributes
    ----------
    cell_map : CellMap
        The cells of the engines.
    scheduling : Scheduling
        Handles the requests for cells that this daemon schedules itself.
    relayed : dict of str to StreamState
        The streams that this daemon relays, by stream id.
    remote_domains : dict of str to str
        By stream id: the failure domain of each stream placed outside this one.
    requested_cells : dict of str to int
        By stream id: the cell in which the stream is queued or was granted a place.
    waiting : dict of str to Future
        By stream id: the scheduler's answer to each queued request.
    last_attempt : dict of str to PlacementAttempt
        By stream id: the last attempt of each queued request.
    """

    membership: Membership
    peers: Peers
    cell_map: CellMap
    scheduling: Scheduling
    clock: Callable[[], float] = time.monotonic
    relayed: dict[str, StreamState] = field(factory=dict)
    waiting: dict[str, asyncio.Future] = field(factory=dict)
    remote_domains: dict[str, str] = field(factory=dict)
    requested_cells: dict[str, int] = field(factory=dict)
    spill: Spill = field(init=False)
    cross_domain_joins: CrossDomainJoins = field(init=False)
    reporting: Reporting = field(init=False)
    numbers: StreamNumbers = field(factory=StreamNumbers)
    last_attempt: dict[str, PlacementAttempt] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.spill = Spill(self.membership, self.peers, self.cell_map)
        self.cross_domain_joins = CrossDomainJoins(self.membership, self.peers, self.cell_map)
        self.peers.handlers[Granted] = self.receive_answer
        self.peers.handlers[GrantRefused] = self.receive_answer
        self.peers.handlers[NotScheduler] = self.receive_answer
        self.peers.on_disconnected = self.retry_after_link_loss
        self.reporting = Reporting(
            self.membership, self.cell_map, self.relayed, self.remote_domains, self._report
        )
        self.peers.handlers[StreamsUnknown] = self.reporting.report_unknown_streams
        self.scheduling.on_grant_answer = self.receive_answer
        self.scheduling.on_streams_unknown = self.reporting.report_unknown_streams

    def retry_after_link_loss(self, name: str) -> None:
        """Retry at once the requests queued at a daemon whose link is lost."""
        for stream in [s for s, a in self.last_attempt.items() if a.owner == name]:
            future = self.waiting.get(stream)
            if future is not None and not future.done():
                future.set_result(NotScheduler(stream))

    async def receive_answer(
        self, peer: Hello, answer: Granted | GrantRefused | NotScheduler
    ) -> None:
        """Handle a scheduler's answer to a queued request."""
        future = self.waiting.get(answer.stream)
        if future is None or future.done():
            return
        asked = self.last_attempt.get(answer.stream)
        stale = asked is not None and asked.owner != peer.name
        if stale and not isinstance(answer, Granted):
            # The sender was presumed dead and has resumed; its successor decides.
            return
        future.set_result(answer)
        if stale:
            message = stream_ended(asked.generation, "", 0, "never_started", asked.cell)
            await self._send_end(asked.owner, message)

    async def place(
        self, request: GrantRequest, may_use: Callable[[str], bool] = lambda _region: True
    ) -> Place:
        """Request a place and wait until it is granted.

        Parameters
        ----------
        may_use : callable
            Returns True for a region whose failure domains may be asked, besides this domain.

        Raises
        ------
        RequestRefused
            If no place is granted in time; the request has not been executed.
        """
        stream = request.generation.stream
        request = evolve(request, number=self.numbers.of(stream))
        deadline = self.clock() + request.wait_limit
        self.waiting[stream] = asyncio.get_running_loop().create_future()
        answer = None
        try:
            while True:
                answer = await self._ask_with_spill(request, may_use)
                if isinstance(answer, Queued):
                    answer = await self._wait(stream)
                if isinstance(answer, NotScheduler):
                    # The cell has a new scheduler, which is asked at once.
                    self.waiting[stream] = asyncio.get_running_loop().create_future()
                if request.join and isinstance(answer, Granted):
                    answer = await self._join_other_domain(request, answer)
                match answer:
                    case Granted():
                        return answer
                    case Joined(settled=False):
                        # Its daemon may still release the place for one in another domain.
                        await asyncio.sleep(CROSS_DOMAIN_JOIN_TIMEOUT)
                    case Joined():
                        self.numbers.drop(stream)
                        self.requested_cells.pop(stream, None)
                        return answer
                    case GrantRefused():
                        raise refusal(answer)
                if self.clock() > deadline:
                    raise RequestRefused(
                        503, "overloaded", "no place came free in time", retry_after=REASK_INTERVAL
                    )
        except BaseException:
            if not isinstance(answer, Joined):
                # A joined place has the same stream id but belongs to another daemon.
                await self.release_grant(request.generation)
            self.numbers.drop(stream)
            raise
        finally:
            del self.waiting[stream]
            self.last_attempt.pop(stream, None)

    async def _wait(self, stream: str) -> Granted | GrantRefused | NotScheduler | None:
        answer = self.waiting[stream]
        return answer.result() if await is_done_within(answer, REASK_INTERVAL) else None

    async def _ask_with_spill(
        self, request: GrantRequest, may_use: Callable[[str], bool]
    ) -> Answer:
        """Ask this failure domain, then others if that saves more time than the link costs."""
        without_prompt = evolve(request, generation=evolve(request.generation, prompt=""))
        timely = None if request.join else await self._ask_in_time(without_prompt, may_use)
        if timely is not None:
            return timely
        answer = await self._ask_here(without_prompt)
        if request.join:
            no_place = isinstance(answer, Queued | GrantRefused)
            return await self._join_other_domain(request, answer) if no_place else answer
        if isinstance(answer, Granted):
            return answer
        wait = implied_wait(answer, request.wait_limit)
        placed = await self.spill.place(without_prompt, wait, may_use)
        if placed is None:
            return answer
        await self.release_grant(request.generation)
        return self._placed(request, placed)

    async def _ask_in_time(
        self, request: GrantRequest, may_use: Callable[[str], bool]
    ) -> Granted | None:
        """Return a place that keeps the target for gaps, of this domain or else of another one.

        Other domains are asked if this one refuses because its engines are too slow. Returns None,
        without asking, if no other domain seems to have such a place, or None if it isn't granted;
        the caller then asks for any place.
        """
        domains = self.spill.timely_domains(request, may_use)
        if not domains:
            return None
        strict = evolve(request, only_in_time=True, wait_limit=0.0)
        answer = await self._ask_here(strict)
        match answer:
            case Granted():
                return answer
            case GrantRefused(reason=reason) if reason == TOO_SLOW:
                placed = await self.spill.place_in(domains[:DOMAINS_TRIED], strict)
            case _:
                return None
        if placed is None:
            return None
        await self.release_grant(request.generation)
        return self._placed(request, placed)

    def _placed(self, request: GrantRequest, placed: RemotePlacement) -> Granted:
        self.remote_domains[request.generation.stream] = placed.domain
        self.requested_cells[request.generation.stream] = placed.cell
        return placed.granted

    async def place_in(self, domains: Iterable[str], request: GrantRequest) -> Granted | None:
        """Return a place in one of the given failure domains, or None if none is free now.

        Domains whose engines seem to keep the target for gaps are asked for such a place first.
        """
        request = evolve(request, number=self.numbers.of(request.generation.stream))
        domains = list(domains)
        timely = self.spill.timely_domains(request, lambda _region: True)
        strict = evolve(request, only_in_time=True)
        wanted = [domain for domain in timely if domain in domains]
        placed = await self.spill.place_in(wanted[:DOMAINS_TRIED], strict)
        placed = placed or await self.spill.place_in(domains, request)
        return self._placed(request, placed) if placed is not None else None

    async def _join_other_domain(self, request: GrantRequest, answer: Answer) -> Answer:
        """Return the running generation of the same key in another failure domain, or `answer`.

        Other domains are asked only after the place is on the ledger here, so that of two
        simultaneous requests with one key, at least one sees the other.
        """
        elsewhere = await self.cross_domain_joins.find(request)
        if elsewhere is None:
            return answer
        await self.release_grant(request.generation)
        return elsewhere

    async def _ask_here(self, request: GrantRequest) -> Answer:
        """Ask the cells of this failure domain; the request queues in the first with engines."""
        stream = request.generation.stream
        before = self.requested_cells.get(stream)
        for cell in first_cells(request.generation, self._layout(request.generation)):
            request = evolve(request, cell=cell)
            answer = await self._ask(request)
            if not isinstance(answer, GrantRefused) or answer.reason != "no_engine":
                break
        if before is not None and before != cell:
            await self._send_end_to_cell(
                None, stream_ended(request.generation, "", 0, "never_started", before)
            )
        self.requested_cells[stream] = cell
        # Requests with the same key must reach the same cell to be joined.
        if request.join or not lacks_capacity(answer):
            return answer
        return await self._ask_other_cell(request) or answer

    async def _ask_other_cell(self, request: GrantRequest) -> Granted | None:
        """Ask another cell of this failure domain for a place without queueing."""
        me, generation = self.membership.me, request.generation
        number = self.spill.alternative_cell(me.domain, request, request.cell)
        if number is None:
            return None
        request = evolve(request, cell=number, wait_limit=0.0)
        owners = self.membership.owners(Cell(generation.team, generation.service, number).duty)
        try:
            if owners[:1] in ([], [me.name]):
                answer = await self.scheduling.handle_grant_request(me, request)
            else:
                answer = await self.peers.call(owners[0], request, ACK_TIMEOUT)
        except PeerError as error:
            # A place that was granted anyway expires, because no daemon reports its stream.
            logs.info("no answer from other cell", daemon=owners[0], why=str(error))
            return None
        if not isinstance(answer, Granted):
            return None
        await self.release_grant(generation)
        self.requested_cells[generation.stream] = number
        return answer

    def _layout(self, generation: GenerationRequest) -> Layout:
        here = self.membership.me.domain
        return self.cell_map.layout(here, generation.team, generation.service)

    async def _ask(self, request: GrantRequest) -> Answer:
        """Ask the scheduler of one cell; if it does not answer, ask the next in order."""
        generation = request.generation
        cell = Cell(generation.team, generation.service, request.cell)
        for owner in self.membership.owners(cell.duty)[:SCHEDULERS_TRIED]:
            self.last_attempt[generation.stream] = PlacementAttempt(owner, generation, cell.number)
            if owner == self.membership.me.name:
                break
            try:
                answer = await self.peers.call(owner, request, ACK_TIMEOUT)
            except MessageNotSendable as error:
                logs.error("request not sendable", daemon=owner, why=str(error))
                break
            except PeerError as error:
                logs.warning("no answer from scheduler", daemon=owner, why=str(error))
                self.membership.suspect(owner)
                continue
            if not isinstance(answer, NotScheduler):
                return answer
        me = self.membership.me
        self.last_attempt[generation.stream] = PlacementAttempt(me.name, generation, cell.number)
        return await self.scheduling.handle_grant_request(me, request)

    async def release_grant(self, generation: GenerationRequest) -> None:
        """Release a place, or leave the queue for one."""
        await self._end(generation, "", 0, "never_started")

    async def end(
        self, generation: GenerationRequest, engine: str, generated: int, outcome: str
    ) -> None:
        """Report the end of a stream and its outcome to the scheduler."""
        self.numbers.drop(generation.stream)
        await self._end(generation, engine, generated, outcome)

    async def _end(
        self, generation: GenerationRequest, engine: str, generated: int, outcome: str
    ) -> None:
        self.relayed.pop(generation.stream, None)
        domain = self.remote_domains.pop(generation.stream, None)
        cell = self.requested_cells.pop(generation.stream, 0)
        if engine:
            where = (domain or self.membership.me.domain, generation.team, generation.service)
            cell = self.cell_map.of_engine(*where, engine).number
        await self._send_end_to_cell(
            domain, stream_ended(generation, engine, generated, outcome, cell)
        )

    async def _send_end_to_cell(self, domain: str | None, message: StreamEnded) -> None:
        """Report the end of a stream to the scheduler of its cell.

        A `domain` of None means this one.
        """
        owners = self.membership.owners(
            Cell(message.team, message.service, message.cell).duty, domain
        )
        here = [self.membership.me.name] if domain is None else []
        for owner in (owners or here)[:1]:
            await self._send_end(owner, message)

    async def _send_end(self, owner: str, message: StreamEnded) -> None:
        if owner == self.membership.me.name:
            await self.scheduling.handle_stream_ended(self.membership.me, message)
            return
        try:
            await self.peers.send(owner, message)
        except PeerError as error:
            # The place expires, because no daemon reports the stream any more.
            logs.debug("failed to report end of stream", daemon=owner, why=str(error))

    def progress(
        self, generation: GenerationRequest, engine: str, generated: int, gap: float = 0.0
    ) -> None:
        """Record the progress of a stream for the next report.

        Parameters
        ----------
        gap : float
            The gap before its last event, in seconds, if the engine made it; 0 if not.
        """
        before = self.relayed.get(generation.stream)
        without_prompt = (
            before.generation if before is not None else evolve(generation, prompt="", prefixes=())
        )
        number = self.numbers.of(generation.stream)
        self.relayed[generation.stream] = StreamState(without_prompt, engine, generated, number)
        if generation.max_gap > 0:
            self.reporting.record_gap(generation.stream, gap)

    def adopt(self, generation: GenerationRequest, engine: str, domain: str) -> None:
        """Record a stream that continues on an engine without a scheduler's grant."""
        me = self.membership.me
        if domain != me.domain:
            self.remote_domains[generation.stream] = domain
        cell = self.cell_map.of_engine(domain, generation.team, generation.service, engine)
        self.requested_cells[generation.stream] = cell.number

    def forget(self, generation: GenerationRequest) -> None:
        """Stop reporting a stream that another daemon relays now."""
        self.relayed.pop(generation.stream, None)
        self.requested_cells.pop(generation.stream, None)
        self.numbers.drop(generation.stream)

    async def report(self) -> None:
        """Report the streams relayed here to their schedulers until cancelled."""
        await self.reporting.run()

    async def _report(self, owner: str, report: StreamReport | ProgressReport) -> bool:
        """Send a report to a scheduler; return False if it could not be delivered."""
        me = self.membership.me
        try:
            match report:
                case StreamReport() if owner == me.name:
                    await self.scheduling.handle_stream_report(me, report)
                case ProgressReport() if owner == me.name:
                    await self.scheduling.handle_progress_report(me, report)
                case StreamReport():
                    await self.peers.call(owner, report, REPORT_TIMEOUT)
                case ProgressReport():
                    await self.peers.send(owner, report)
        except PeerError as error:
            logs.debug("failed to report streams", daemon=owner, why=str(error))
            return False
        return True


def stream_ended(
    generation: GenerationRequest, engine: str, generated: int, outcome: str, cell: int
) -> StreamEnded:
    """Return the message that reports the end of a stream to the scheduler of a cell."""
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
    """Return the error for the caller that corresponds to a scheduler's refusal."""
    if answer.reason == "key_reused":
        return key_reused()
    status = REFUSAL_STATUS.get(answer.reason, 503)
    return RequestRefused(status, answer.reason, answer.detail, retry_after=answer.retry_after)
