"""The schedulers' end of the talk with entry daemons: requests for places, reports and ends."""

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

DRAIN_TIMEOUT = 2.0  # seconds

Told = Callable[[Hello, Granted | GrantRefused | NotScheduler], Awaitable[None]]
Asked = Callable[[Hello, StreamsUnknown], Awaitable[None]]


@define(eq=False)
class Scheduling:
    """Hands what entry daemons say to this daemon's schedulers, and their answers back.

    Attributes
    ----------
    duties : Duties
        This daemon's schedulers.
    on_grant_answer, on_streams_unknown : callable
        Take what would be sent to a peer where this daemon itself is the entry daemon: an answer
        that was waited for, and a question for streams in full. Placement sets them.
    """

    membership: Membership
    peers: Peers
    duties: Duties
    on_grant_answer: Told | None = None
    on_streams_unknown: Asked | None = None

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[GrantRequest] = self.asked
        self.peers.handlers[JoinRequest] = self.join_asked
        self.peers.handlers[StreamReport] = self.reported
        self.peers.handlers[ProgressReport] = self.progressed
        self.peers.handlers[StreamEnded] = self.noted
        self.peers.handlers[DrainEngine] = self.drained

    async def asked(
        self, peer: Hello, request: GrantRequest
    ) -> Granted | Joined | Queued | GrantRefused | NotScheduler:
        """Answer a request for a place."""
        generation = request.generation
        if peer.name != self.membership.me.name and self.duties.can_hand_over():
            return NotScheduler(generation.stream)
        scheduler = self.duties.open_scheduler(generation.team, generation.service, request.cell)
        scheduler.numbers.of(peer)[request.number] = generation.stream
        return scheduler.ask(peer.name, request)

    async def join_asked(
        self, _peer: Hello, question: JoinRequest
    ) -> Joined | Queued | GrantRefused | Done:
        """Answer another domain that looks for the generation of a key."""
        scheduler = self.duties.schedulers.get(Cell(question.team, question.service, question.cell))
        return scheduler.join(question) if scheduler is not None else Done()

    async def reported(self, peer: Hello, report: StreamReport) -> None:
        """Take a report of the streams that a daemon relays."""
        scheduler = self.duties.open_scheduler(report.team, report.service, report.cell)
        known = scheduler.numbers.of(peer)
        known.update({state.number: state.generation.stream for state in report.streams})
        scheduler.report(peer.name, report)

    async def progressed(self, peer: Hello, report: ProgressReport) -> None:
        """Take how far a daemon's streams have come, and ask for those not known here."""
        scheduler = self.duties.open_scheduler(report.team, report.service, report.cell)
        known = scheduler.numbers.of(peer)
        rows = list(decode_progress(report))
        found = [Progress(known[n], generated) for n, generated in rows if n in known]
        lost = set(scheduler.progress(peer.name, found))
        unknown = tuple(n for n, _ in rows if n not in known or known[n] in lost)
        scheduler.numbers.drop_unused(peer, len(rows), scheduler.in_use)
        if unknown:
            question = StreamsUnknown(report.team, report.service, unknown, report.cell)
            await self._ask_in_full(peer, question)

    async def _ask_in_full(self, peer: Hello, unknown: StreamsUnknown) -> None:
        if peer.name == self.membership.me.name:
            await self.on_streams_unknown(peer, unknown)
            return
        try:
            await self.peers.send(peer.name, unknown)
        except PeerError as error:
            # Its next report is answered in the same way.
            logs.debug("streams not asked for", daemon=peer.name, why=str(error))

    async def noted(self, _peer: Hello, note: StreamEnded) -> Done:
        """Take the news that a stream has ended."""
        self.duties.open_scheduler(note.team, note.service, note.cell).ended(note)
        return Done()

    async def drained(self, _peer: Hello, note: DrainEngine) -> Done:
        """Give an engine no new work for a time."""
        self.duties.open_scheduler(note.team, note.service, note.cell).drain(
            note.engine, note.seconds
        )
        return Done()

    async def drain(
        self, domain: str, team: str, service: str, engine: str, seconds: float
    ) -> None:
        """Ask the scheduler of an engine to give it no new work.

        Raises
        ------
        PeerError
            When no daemon of that domain could be told.
        """
        cell = self.duties.cell_map.of_engine(domain, team, service, engine)
        note = DrainEngine(team, service, engine, seconds, cell.number)
        owners = self.membership.owners(cell.duty, domain)
        if not owners:
            raise PeerUnreachable(f"no daemon of {domain} is known to live")
        if owners[0] == self.membership.me.name:
            await self.drained(self.membership.me, note)
        else:
            await self.peers.call(owners[0], note, DRAIN_TIMEOUT)

    async def tell(self, daemon: str, answer: Granted | GrantRefused | NotScheduler) -> None:
        """Send a waiting daemon its answer."""
        if daemon == self.membership.me.name:
            await self.on_grant_answer(self.membership.me, answer)
            return
        try:
            await self.peers.send(daemon, answer)
        except PeerError as error:
            # The daemon asks again, or is dead and its place lapses.
            logs.warning("grant not delivered", daemon=daemon, why=str(error))
