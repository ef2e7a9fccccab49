"""Handles the messages between entry daemons and schedulers: grant requests, reports and ends."""

from collections.abc import Awaitable, Callable

from attrs import define

from papayacourse import logs
from papayacourse.cells import Cell
from papayacourse.duties import Duties
from papayacourse.exceptions import PeerError, PeerUnreachable
from papayacourse.membership import Membership
from papayacourse.meshmessages import Done, Hello
from papayacourse.numbering import Progress, decode_progress
from papayacourse.peers import Peers
from papayacourse.schedulingmessages import (
    DrainEngine,
    Granted,
    GrantRefused,
    GrantRequest,
    Joined,
    JoinRequest,
    NotScheduler,
    ProgressReport,
    Queued,
    StreamEnded,
    StreamReport,
    StreamsUnknown,
)

DRAIN_TIMEOUT_SECONDS = 2.0

AnswerHandler = Callable[[Hello, Granted | GrantRefused | NotScheduler], Awaitable[None]]
StreamsUnknownHandler = Callable[[Hello, StreamsUnknown], Awaitable[None]]


@define(eq=False)
class Scheduling:
    """Dispatches messages of entry daemons to this daemon's schedulers, and sends their answers.

    Attributes
    ----------
    duties : Duties
        This daemon's schedulers.
    on_grant_answer, on_streams_unknown : callable
        Handle the messages to this daemon if it is the entry daemon itself: the delayed answer to
        a grant request, and the request to report streams in full. Placement sets them.
    """

    membership: Membership
    peers: Peers
    duties: Duties
    on_grant_answer: AnswerHandler | None = None
    on_streams_unknown: StreamsUnknownHandler | None = None

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[GrantRequest] = self.handle_grant_request
        self.peers.handlers[JoinRequest] = self.handle_join_request
        self.peers.handlers[StreamReport] = self.handle_stream_report
        self.peers.handlers[ProgressReport] = self.handle_progress_report
        self.peers.handlers[StreamEnded] = self.handle_stream_ended
        self.peers.handlers[DrainEngine] = self.handle_drain

    async def handle_grant_request(
        self, peer: Hello, request: GrantRequest
    ) -> Granted | Joined | Queued | GrantRefused | NotScheduler:
        """Answer a request for a place on an engine."""
        generation = request.generation
        if peer.name != self.membership.me.name and self.duties.can_hand_over():
            return NotScheduler(generation.stream)
        scheduler = self.duties.open_scheduler(generation.team, generation.service, request.cell)
        scheduler.numbers.of(peer)[request.number] = generation.stream
        return scheduler.request_grant(peer.name, request)

    async def handle_join_request(
        self, _peer: Hello, question: JoinRequest
    ) -> Joined | Queued | GrantRefused | Done:
        """Answer another domain that asks for a running generation with the same key."""
        scheduler = self.duties.schedulers.get(Cell(question.team, question.service, question.cell))
        return scheduler.join(question) if scheduler is not None else Done()

    async def handle_stream_report(self, peer: Hello, report: StreamReport) -> None:
        """Apply a full report of the streams that a daemon relays."""
        scheduler = self.duties.open_scheduler(report.team, report.service, report.cell)
        known = scheduler.numbers.of(peer)
        known.update({state.number: state.generation.stream for state in report.streams})
        scheduler.apply_report(peer.name, report)

    async def handle_progress_report(self, peer: Hello, report: ProgressReport) -> None:
        """Apply a progress report, and request full reports of the streams unknown here."""
        scheduler = self.duties.open_scheduler(report.team, report.service, report.cell)
        known = scheduler.numbers.of(peer)
        rows = list(decode_progress(report))
        found = [
            Progress(known[row.number], row.generated, row.longest_gap)
            for row in rows
            if row.number in known
        ]
        lost = set(scheduler.apply_progress(peer.name, found))
        numbers = [row.number for row in rows]
        unknown = tuple(n for n in numbers if n not in known or known[n] in lost)
        scheduler.numbers.drop_unused(peer, len(rows), scheduler.has_stream)
        if unknown:
            question = StreamsUnknown(report.team, report.service, unknown, report.cell)
            await self._request_full_reports(peer, question)

    async def _request_full_reports(self, peer: Hello, unknown: StreamsUnknown) -> None:
        if peer.name == self.membership.me.name:
            await self.on_streams_unknown(peer, unknown)
            return
        try:
            await self.peers.send(peer.name, unknown)
        except PeerError as error:
            # The daemon's next progress report triggers the request again.
            logs.debug("full stream report not requested", daemon=peer.name, why=str(error))

    async def handle_stream_ended(self, _peer: Hello, message: StreamEnded) -> Done:
        """Record the end of a stream."""
        self.duties.open_scheduler(message.team, message.service, message.cell).record_end(message)
        return Done()

    async def handle_drain(self, _peer: Hello, message: DrainEngine) -> Done:
        """Assign no new streams to an engine for a time."""
        self.duties.open_scheduler(message.team, message.service, message.cell).drain(
            message.engine, message.seconds
        )
        return Done()

    async def drain(
        self, domain: str, team: str, service: str, engine: str, seconds: float
    ) -> None:
        """Ask an engine's scheduler to assign it no new streams for a time, in seconds.

        Raises
        ------
        PeerError
            If no daemon of the domain could be reached.
        """
        cell = self.duties.cell_map.of_engine(domain, team, service, engine)
        message = DrainEngine(team, service, engine, seconds, cell.number)
        owners = self.membership.owners(cell.duty, domain)
        if not owners:
            raise PeerUnreachable(f"no live daemon is known in domain {domain}")
        if owners[0] == self.membership.me.name:
            await self.handle_drain(self.membership.me, message)
        else:
            await self.peers.call(owners[0], message, DRAIN_TIMEOUT_SECONDS)

    async def send_answer(self, daemon: str, answer: Granted | GrantRefused | NotScheduler) -> None:
        """Send a waiting daemon the answer to its grant request."""
        if daemon == self.membership.me.name:
            await self.on_grant_answer(self.membership.me, answer)
            return
        try:
            await self.peers.send(daemon, answer)
        except PeerError as error:
            # The daemon asks again; if it is dead, its place expires.
            logs.warning("grant not delivered", daemon=daemon, why=str(error))
