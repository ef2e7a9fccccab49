"""Finds a place for a generation by asking the schedulers of the domain in turn."""

import asyncio
import time
from collections.abc import Callable

from attrs import define, evolve, field, frozen

from papayacourse import logs
from papayacourse.duties import Duties
from papayacourse.exceptions import PeerError, PeerUnreachable, RequestRefused
from papayacourse.joins import key_reused
from papayacourse.membership import Membership
from papayacourse.meshmessages import Done, Hello
from papayacourse.numbering import Progress, StreamNumbers, read_progress
from papayacourse.peers import Peers
from papayacourse.rendezvous import scheduling_duty as duty
from papayacourse.reporting import Reporting
from papayacourse.schedulingmessages import (
    DrainEngine,
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
from papayacourse.spill import Spill, waits
from papayacourse.types import GenerationRequest

ACK_TIMEOUT = 0.4  # seconds a scheduler may take to say anything
REASK_INTERVAL = 1.0  # seconds between questions while queued
SCHEDULERS_TRIED = 3
REPORT_TIMEOUT = 1.0  # seconds
DRAIN_TIMEOUT = 2.0  # seconds
REFUSAL_STATUS = {"overloaded": 429, "quarantined": 422}  # by reason; 503 for all others

Place = Granted | Joined


@frozen
class Asked:
    """Whom a place was asked of last, and for what."""

    owner: str
    generation: GenerationRequest


@define(eq=False)
class Placement:
    """Both ends of the talk between entry daemons and schedulers.

    Attributes
    ----------
    duties : Duties
        This daemon's schedulers.
    relayed : dict of str to StreamState
        The streams that this daemon relays, by stream id.
    placed_in : dict of str to str
        The failure domain of each stream that was placed in another one.
    waiting : dict of str to Future
        What a scheduler says of each request that waits in its queue, by stream id.
    asked_of : dict of str to Asked
        Whom each of them was asked of last.
    """

    membership: Membership
    peers: Peers
    duties: Duties
    clock: Callable[[], float] = time.monotonic
    relayed: dict[str, StreamState] = field(factory=dict)
    waiting: dict[str, asyncio.Future] = field(factory=dict)
    placed_in: dict[str, str] = field(factory=dict)
    spill: Spill = field(init=False)
    reporting: Reporting = field(init=False)
    numbers: StreamNumbers = field(factory=StreamNumbers)
    asked_of: dict[str, Asked] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.spill = Spill(self.membership, self.peers)
        self.peers.handlers[GrantRequest] = self.asked
        self.peers.handlers[Granted] = self.told
        self.peers.handlers[GrantRefused] = self.told
        self.peers.handlers[NotScheduler] = self.told
        self.peers.on_lost = self.lost
        self.peers.handlers[StreamReport] = self.reported
        self.peers.handlers[ProgressReport] = self.progressed
        self.reporting = Reporting(self.membership, self.relayed, self.placed_in, self._report)
        self.peers.handlers[StreamsUnknown] = self.reporting.asked
        self.peers.handlers[StreamEnded] = self.noted
        self.peers.handlers[DrainEngine] = self.drained

    # The scheduler's end.

    async def asked(
        self, peer: Hello, request: GrantRequest
    ) -> Granted | Joined | Queued | GrantRefused | NotScheduler:
        """Answer a request for a place."""
        generation = request.generation
        if peer.name != self.membership.me.name and self.duties.may_hand_over():
            return NotScheduler(generation.stream)
        scheduler = self.duties.open(generation.team, generation.service)
        scheduler.numbers.of(peer)[request.number] = generation.stream
        return scheduler.ask(peer.name, request)

    async def reported(self, peer: Hello, report: StreamReport) -> None:
        """Take a report of the streams that a daemon relays."""
        scheduler = self.duties.open(report.team, report.service)
        known = scheduler.numbers.of(peer)
        known.update({state.number: state.generation.stream for state in report.streams})
        scheduler.report(peer.name, report)

    async def progressed(self, peer: Hello, report: ProgressReport) -> None:
        """Take how far a daemon's streams have come, and ask for those not known here."""
        scheduler = self.duties.open(report.team, report.service)
        known = scheduler.numbers.of(peer)
        rows = list(read_progress(report))
        found = [Progress(known[n], generated) for n, generated in rows if n in known]
        lost = set(scheduler.progress(peer.name, found))
        unknown = tuple(n for n, _ in rows if n not in known or known[n] in lost)
        scheduler.numbers.keep(peer, len(rows), scheduler.in_use)
        if unknown:
            await self._ask_in_full(peer, StreamsUnknown(report.team, report.service, unknown))

    async def _ask_in_full(self, peer: Hello, unknown: StreamsUnknown) -> None:
        if peer.name == self.membership.me.name:
            await self.reporting.asked(peer, unknown)
            return
        try:
            await self.peers.send(peer.name, unknown)
        except PeerError as error:
            # Its next report is answered in the same way.
            logs.debug("streams not asked for", daemon=peer.name, why=str(error))

    async def noted(self, _peer: Hello, note: StreamEnded) -> Done:
        """Take the news that a stream has ended."""
        self.duties.open(note.team, note.service).ended(note)
        return Done()

    async def drained(self, _peer: Hello, note: DrainEngine) -> Done:
        """Give an engine no new work for a time."""
        self.duties.open(note.team, note.service).drain(note.engine, note.seconds)
        return Done()

    async def drain(
        self, domain: str, team: str, service: str, engine: str, seconds: float
    ) -> None:
        """Ask a domain's scheduler of a service to give an engine no new work.

        Raises
        ------
        PeerError
            When no daemon of that domain could be told.
        """
        note = DrainEngine(team, service, engine, seconds)
        owners = self.membership.owners(duty(team, service), domain)
        if not owners:
            raise PeerUnreachable(f"no daemon of {domain} is known to live")
        if owners[0] == self.membership.me.name:
            await self.drained(self.membership.me, note)
        else:
            await self.peers.call(owners[0], note, DRAIN_TIMEOUT)

    async def tell(self, daemon: str, answer: Granted | GrantRefused | NotScheduler) -> None:
        """Send a waiting daemon its answer."""
        if daemon == self.membership.me.name:
            await self.told(self.membership.me, answer)
            return
        try:
            await self.peers.send(daemon, answer)
        except PeerError as error:
            # The daemon asks again, or is dead and its place lapses.
            logs.warning("grant not delivered", daemon=daemon, why=str(error))

    # The entry daemon's end.

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
            note = ended(asked.generation, "", 0, "never_started")
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
        try:
            while True:
                answer = await self._ask_anywhere(request)
                if isinstance(answer, Queued):
                    answer = await self._wait(stream)
                if isinstance(answer, NotScheduler):
                    # The duty has moved; the next owner is asked at once.
                    self.waiting[stream] = asyncio.get_running_loop().create_future()
                match answer:
                    case Granted():
                        return answer
                    case Joined():
                        self.numbers.drop(stream)
                        return answer
                    case GrantRefused():
                        raise refusal(answer)
                if self.clock() > deadline:
                    raise RequestRefused(
                        503, "overloaded", "no place came free in time", retry_after=REASK_INTERVAL
                    )
        except BaseException:
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

    async def _ask_anywhere(
        self, request: GrantRequest
    ) -> Granted | Joined | Queued | GrantRefused:
        """Ask this failure domain, then others where that saves more than the link costs."""
        answer = await self._ask(request)
        if request.join:
            return answer
        small = evolve(request, generation=evolve(request.generation, prompt=""))
        placed = await self.spill.place(small, waits(answer, request.wait_limit))
        if placed is None:
            return answer
        await self.give_back(request.generation)
        self.placed_in[request.generation.stream] = placed.domain
        return placed.granted

    async def _ask(self, request: GrantRequest) -> Granted | Joined | Queued | GrantRefused:
        generation = request.generation
        small = GrantRequest(
            evolve(generation, prompt=""),
            request.wait_limit,
            request.avoid,
            request.join,
            request.number,
        )
        owners = self.membership.owners(duty(generation.team, generation.service))
        for owner in owners[:SCHEDULERS_TRIED]:
            self.asked_of[generation.stream] = Asked(owner, small.generation)
            if owner == self.membership.me.name:
                break
            try:
                answer = await self.peers.call(owner, small, ACK_TIMEOUT)
            except PeerError as error:
                logs.warning("scheduler silent", daemon=owner, why=str(error))
                self.membership.suspect(owner)
                continue
            if not isinstance(answer, NotScheduler):
                return answer
        me = self.membership.me
        self.asked_of[generation.stream] = Asked(me.name, small.generation)
        return await self.asked(me, small)

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
        owners = self.membership.owners(duty(generation.team, generation.service), domain)
        here = [self.membership.me.name] if domain is None else []
        for owner in (owners or here)[:1]:
            await self._note(owner, ended(generation, engine, generated, outcome))

    async def _note(self, owner: str, note: StreamEnded) -> None:
        if owner == self.membership.me.name:
            await self.noted(self.membership.me, note)
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

    def forget(self, generation: GenerationRequest) -> None:
        """Stop reporting a stream that another daemon answers for now."""
        self.relayed.pop(generation.stream, None)
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
                    await self.reported(me, report)
                case ProgressReport() if owner == me.name:
                    await self.progressed(me, report)
                case StreamReport():
                    await self.peers.call(owner, report, REPORT_TIMEOUT)
                case ProgressReport():
                    await self.peers.send(owner, report)
        except PeerError as error:
            logs.debug("streams not reported", daemon=owner, why=str(error))
            return False
        return True


def ended(generation: GenerationRequest, engine: str, generated: int, outcome: str) -> StreamEnded:
    """Return the note that a stream has ended."""
    return StreamEnded(
        generation.team,
        generation.service,
        generation.stream,
        engine,
        generation.account,
        generated,
        outcome,
    )


def refusal(answer: GrantRefused) -> RequestRefused:
    """Turn a scheduler's refusal into the caller's final answer."""
    if answer.reason == "key_reused":
        return key_reused()
    status = REFUSAL_STATUS.get(answer.reason, 503)
    return RequestRefused(status, answer.reason, answer.detail, retry_after=answer.retry_after)
