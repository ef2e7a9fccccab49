"""Finds a place for a generation by asking the schedulers of the domain in turn."""

import asyncio
import math
import time
from collections.abc import Callable, Iterator

from attrs import define, evolve, field, frozen

from papayacourse import logs
from papayacourse.duties import scheduling as duty
from papayacourse.exceptions import PeerError, RequestRefused
from papayacourse.membership import Membership
from papayacourse.messages import (
    Done,
    Granted,
    GrantRefused,
    GrantRequest,
    Hello,
    Joined,
    Queued,
    ServiceLoad,
    StreamEnded,
    StreamReport,
    StreamState,
)
from papayacourse.peers import Peers
from papayacourse.scheduler import Answer, Scheduler
from papayacourse.spill import Elsewhere, worth_asking
from papayacourse.types import GenerationRequest

ACK_TIMEOUT = 0.4  # seconds a scheduler may take to say anything
REASK_INTERVAL = 1.0  # seconds between questions while queued
REPORT_INTERVAL = 1.0  # seconds
OWNER_CHECK = 0.2  # seconds between looks at who schedules
SCHEDULERS_TRIED = 3
SPILLS_TRIED = 2  # other failure domains asked for one request
IDLE_SCHEDULER = 30.0  # seconds after which a scheduler without the duty is dropped

Place = Granted | Joined
OpenScheduler = Callable[[str, str], Scheduler]
Loads = Callable[[str, str, str], ServiceLoad | None]


@frozen
class Audience:
    """Who is to hear of streams: the scheduler of a service in a failure domain."""

    team: str
    service: str
    domain: str


def no_load(_domain: str, _team: str, _service: str) -> ServiceLoad | None:
    """Know of no other failure domain."""
    return None


@define(eq=False)
class Placement:
    """Both ends of the talk between entry daemons and schedulers.

    Attributes
    ----------
    open_scheduler : callable
        Returns this daemon's scheduler of a (team, service), started if need be.
    relayed : dict of str to StreamState
        The streams that this daemon relays, by stream id.
    loads : callable
        Returns how another failure domain stands for a (domain, team, service), if known.
    placed_in : dict of str to str
        The failure domain of each stream that was placed in another one.
    """

    membership: Membership
    peers: Peers
    open_scheduler: OpenScheduler
    clock: Callable[[], float] = time.monotonic
    relayed: dict[str, StreamState] = field(factory=dict)
    waiting: dict[str, asyncio.Future] = field(factory=dict)
    reported_to: dict[Audience, tuple[str, float]] = field(factory=dict)
    loads: Loads = no_load
    placed_in: dict[str, str] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[GrantRequest] = self.asked
        self.peers.handlers[Granted] = self.told
        self.peers.handlers[GrantRefused] = self.told
        self.peers.handlers[StreamReport] = self.reported
        self.peers.handlers[StreamEnded] = self.noted

    # The scheduler's end.

    async def asked(
        self, peer: Hello, request: GrantRequest
    ) -> Granted | Joined | Queued | GrantRefused:
        """Answer a request for a place."""
        generation = request.generation
        return self.open_scheduler(generation.team, generation.service).ask(peer.name, request)

    async def reported(self, _peer: Hello, report: StreamReport) -> None:
        """Take a report of the streams that a daemon relays."""
        self.open_scheduler(report.team, report.service).report(report)

    async def noted(self, _peer: Hello, note: StreamEnded) -> Done:
        """Take the news that a stream has ended."""
        self.open_scheduler(note.team, note.service).ended(note)
        return Done()

    async def tell(self, daemon: str, answer: Granted | GrantRefused) -> None:
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

    async def told(self, _peer: Hello, answer: Granted | GrantRefused) -> None:
        """Take an answer that was waited for."""
        future = self.waiting.get(answer.stream)
        if future is not None and not future.done():
            future.set_result(answer)

    async def place(self, request: GrantRequest) -> Place:
        """Wait for a place.

        Raises
        ------
        RequestRefused
            When there is none in time; the work has not run then.
        """
        stream = request.generation.stream
        deadline = self.clock() + request.wait_limit
        self.waiting[stream] = asyncio.get_running_loop().create_future()
        try:
            while True:
                answer = await self._ask(request)
                if isinstance(answer, Queued):
                    answer = await self._wait(stream)
                match answer:
                    case Granted() | Joined():
                        return answer
                    case GrantRefused():
                        raise refusal(answer)
                if self.clock() > deadline:
                    raise RequestRefused(
                        503, "overloaded", "no place came free in time", retry_after=REASK_INTERVAL
                    )
        except BaseException:
            await self.give_back(request.generation)
            raise
        finally:
            del self.waiting[stream]

    async def _wait(self, stream: str) -> Granted | GrantRefused | None:
        try:
            return await asyncio.wait_for(asyncio.shield(self.waiting[stream]), REASK_INTERVAL)
        except TimeoutError:
            return None

    async def _ask(self, request: GrantRequest) -> Answer:
        """Ask this failure domain, then others where that saves more than the link costs."""
        generation = evolve(request.generation, prompt="")
        small = evolve(request, generation=generation)
        answer = await self._ask_here(small)
        wait = worth_waiting(answer, request.wait_limit)
        if wait <= 0 or request.join:
            return answer
        for domain in self._elsewhere(generation, wait)[:SPILLS_TRIED]:
            there = await self._ask_there(domain, evolve(small, wait_limit=0.0))
            if isinstance(there, Granted):
                await self.end(generation, "", 0, "never_started")
                self.placed_in[generation.stream] = domain
                return there
        return answer

    async def _ask_here(self, request: GrantRequest) -> Answer:
        generation = request.generation
        owners = self.membership.owners(duty(generation.team, generation.service))
        for owner in owners[:SCHEDULERS_TRIED]:
            if owner == self.membership.me.name:
                break
            try:
                return await self.peers.call(owner, request, ACK_TIMEOUT)
            except PeerError as error:
                logs.warning("scheduler silent", daemon=owner, why=str(error))
        return await self.asked(self.membership.me, request)

    async def _ask_there(self, domain: str, request: GrantRequest) -> Answer | None:
        generation = request.generation
        owners = self.membership.owners(duty(generation.team, generation.service), domain)
        if not owners:
            return None
        try:
            return await self.peers.call(owners[0], request, ACK_TIMEOUT)
        except PeerError as error:
            # It may have been granted all the same; nobody reports it, so it lapses there.
            logs.info("other domain silent", daemon=owners[0], why=str(error))
            return None

    def _elsewhere(self, generation: GenerationRequest, wait: float) -> list[str]:
        me, settings = self.membership.me, self.membership.catalog
        service = settings.service(generation.team, generation.service)
        if service is None:
            return []
        regions = {m.domain: m.region for m in self.membership.members.values()}
        others = []
        for domain in regions.keys() - {me.domain}:
            load = self.loads(domain, generation.team, generation.service)
            if load is not None:
                others.append(Elsewhere(domain, regions[domain], load.expected_wait))
        return worth_asking(wait, me.region, others, service)

    async def give_back(self, generation: GenerationRequest) -> None:
        """Give up a place, or the wait for one."""
        await self.end(generation, "", 0, "never_started")

    async def end(
        self, generation: GenerationRequest, engine: str, generated: int, outcome: str
    ) -> None:
        """Tell the scheduler that a stream has ended, and how."""
        self.relayed.pop(generation.stream, None)
        domain = self.placed_in.pop(generation.stream, self.membership.me.domain)
        note = StreamEnded(
            generation.team,
            generation.service,
            generation.stream,
            engine,
            generation.account,
            generated,
            outcome,
        )
        audience = Audience(generation.team, generation.service, domain)
        owner = self._owner(audience)
        if owner == self.membership.me.name:
            await self.noted(self.membership.me, note)
            return
        try:
            await self.peers.send(owner, note)
        except PeerError as error:
            # The place lapses by itself, since nobody reports the stream any more.
            logs.debug("end of stream not noted", daemon=owner, why=str(error))

    def _owner(self, audience: Audience) -> str:
        """Return the daemon that schedules; nobody's name where another domain is out of reach."""
        owners = self.membership.owners(duty(audience.team, audience.service), audience.domain)
        if owners:
            return owners[0]
        return self.membership.me.name if audience.domain == self.membership.me.domain else ""

    def progress(self, generation: GenerationRequest, engine: str, generated: int) -> None:
        """Note how far a stream has come, for the next report."""
        self.relayed[generation.stream] = StreamState(
            evolve(generation, prompt=""), engine, generated
        )

    async def report(self) -> None:
        """Report the streams relayed here to their schedulers, for ever.

        A new scheduler hears at once, and also that there are none: it gives out only a part of
        the engines until every daemon has spoken.
        """
        while True:
            await asyncio.sleep(OWNER_CHECK)
            for audience in self._audiences():
                if self._report_due(audience):
                    await self._report(audience)

    def _audiences(self) -> set[Audience]:
        """Return every scheduler that should hear from this daemon."""
        here = self.membership.me.domain
        services = self.membership.catalog.model_services()
        found = {Audience(team, service, here) for team, service in services}
        for stream, domain in self.placed_in.items():
            state = self.relayed.get(stream)
            if state is not None:
                found.add(Audience(state.generation.team, state.generation.service, domain))
        return found

    def _report_due(self, audience: Audience) -> bool:
        told, at = self.reported_to.get(audience, ("", 0.0))
        if self._owner(audience) != told:
            return True
        streams = any(True for _ in self._states(audience))
        return streams and self.clock() - at >= REPORT_INTERVAL

    def _states(self, audience: Audience) -> Iterator[StreamState]:
        here = self.membership.me.domain
        for stream, state in self.relayed.items():
            generation = state.generation
            domain = self.placed_in.get(stream, here)
            if Audience(generation.team, generation.service, domain) == audience:
                yield state

    async def _report(self, audience: Audience) -> None:
        report = StreamReport(
            self.membership.me.name,
            audience.team,
            audience.service,
            tuple(self._states(audience)),
        )
        owner = self._owner(audience)
        self.reported_to[audience] = (owner, self.clock())
        if owner == self.membership.me.name:
            await self.reported(self.membership.me, report)
            return
        try:
            await self.peers.send(owner, report)
        except PeerError as error:
            logs.debug("streams not reported", daemon=owner, why=str(error))


def worth_waiting(answer: Answer, wait_limit: float) -> float:
    """Return the wait that an answer means, in seconds."""
    match answer:
        case Queued(expected_wait=wait):
            return wait
        case GrantRefused(reason="no_engine"):
            return math.inf
        case GrantRefused():
            return wait_limit
        case _:
            return 0.0


def refusal(answer: GrantRefused) -> RequestRefused:
    """Turn a scheduler's refusal into the caller's final answer."""
    status = 429 if answer.reason == "overloaded" else 503
    return RequestRefused(status, answer.reason, answer.detail, retry_after=answer.retry_after)
