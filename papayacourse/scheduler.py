"""Grants places on the engines of one service in this failure domain."""

import asyncio
import math
import time
from collections.abc import Awaitable, Callable, Iterator
from fnmatch import fnmatchcase

from attrs import define, field

from papayacourse import invariants, logs
from papayacourse.admission import choose
from papayacourse.catalog import Catalog
from papayacourse.enginewatch import POLL_INTERVAL, EngineWatch
from papayacourse.fairshare import PROMPT_WEIGHT, FairQueue
from papayacourse.joins import first_id, key_part
from papayacourse.ledger import EngineLedger, Stream, put, take_off
from papayacourse.lengths import LengthModel
from papayacourse.membership import Membership
from papayacourse.messages import (
    Granted,
    GrantRefused,
    GrantRequest,
    Joined,
    NotScheduler,
    ProgressReport,
    Queued,
    ServiceLoad,
    StreamEnded,
    StreamReport,
    StreamState,
    StreamsUnknown,
)
from papayacourse.orphans import Orphans
from papayacourse.policies import POLICIES
from papayacourse.prefixes import PrefixIndex
from papayacourse.rendezvous import scheduling_duty
from papayacourse.reservations import Reservations
from papayacourse.settings import DeploymentSettings
from papayacourse.tasks import cancel_all
from papayacourse.types import Host, HostKind, HostState
from papayacourse.waits import PlaceRate

GRANT_GRACE = 4.0  # seconds a granted stream may go unreported
LEARNING_TIME = 2.0  # seconds in which a new scheduler hears of the streams there are
LEARNING_SHARE = 0.5  # part of each engine that it gives out meanwhile
WAIT_SAFETY = 0.6  # part of the wait limit that an estimated wait may take
BYPASS_LIMIT = 0.5  # part of the wait limit after which nothing smaller goes before a request
PACE_WEIGHT = 0.05  # of one report of a stream's progress
PACE_RANGE = (0.001, 1.0)  # seconds between tokens that can be believed
MIN_RETRY_AFTER = 1.0  # seconds
MAX_QUEUE = 10_000  # requests

Answer = Granted | Joined | Queued | GrantRefused
Tell = Callable[[str, Granted | GrantRefused | NotScheduler], Awaitable[None]]


@define
class Waiting:
    """A request in the queue."""

    daemon: str
    request: GrantRequest
    since: float


def permitted(host: Host, deployment: DeploymentSettings) -> bool:
    """Tell whether a deployment may use a backend server and it may get new work."""
    named = any(fnmatchcase(host.name, pattern) for pattern in deployment.backends)
    leaving = any(fnmatchcase(host.name, pattern) for pattern in deployment.leaving)
    return named and not leaving and host.state == HostState.LIVE


@define(eq=False, slots=False)
class Scheduler:
    """The queue and the ledger of one service.

    Attributes
    ----------
    tell : callable
        Sends a daemon a grant that it has been waiting for.
    ledgers : dict of str to EngineLedger
        By engine name.
    is_suspect : callable
        Tells by a request's fingerprint whether an engine has died while it ran.
    """

    team: str
    service: str
    catalog: Catalog
    membership: Membership
    tell: Tell
    clock: Callable[[], float] = time.monotonic
    lengths: LengthModel = field(factory=LengthModel)
    queue: FairQueue = field(factory=FairQueue)
    ledgers: dict[str, EngineLedger] = field(factory=dict)
    prefixes: PrefixIndex = field(factory=PrefixIndex)
    reservations: Reservations = field(factory=Reservations)
    places: PlaceRate = field(factory=PlaceRate)
    heard_from: set[str] = field(factory=set)
    drained_until: dict[str, float] = field(factory=dict)
    grants: int = 0
    started: float = 0.0
    task: asyncio.Task | None = None
    telling: set[asyncio.Task] = field(factory=set)
    orphans: Orphans = field(factory=Orphans)
    is_suspect: Callable[[str], bool] = lambda _fingerprint: False

    def __attrs_post_init__(self) -> None:
        self.started = self.clock()
        self.watch = EngineWatch(self.prefixes, self.clock)
        self.refresh()

    async def __aenter__(self) -> "Scheduler":
        self.task = asyncio.create_task(self.run())
        return self

    async def __aexit__(self, kind, error, traceback) -> None:
        await self.watch.close()
        await cancel_all([self.task, *self.telling])

    # Queries.

    def usable(self, avoid: tuple[str, ...]) -> list[EngineLedger]:
        """Return the engines that may get work, except those to avoid."""
        return [led for led in self.ledgers.values() if led.usable and led.name not in avoid]

    def apart(self, fingerprint: str, ledgers: list[EngineLedger]) -> list[EngineLedger]:
        """Return the engines on which a request may run, given the suspects that run there.

        Suspects run apart, so that an engine's death strikes only one of them again; the same
        suspect does not run twice at once.
        """
        if not self.is_suspect(fingerprint):
            return ledgers
        running = {
            led.name: [s.generation.fingerprint for s in led.streams.values()]
            for led in self.ledgers.values()
        }
        if any(fingerprint in there for there in running.values()):
            return []
        return [led for led in ledgers if not any(map(self.is_suspect, running[led.name]))]

    def find(self, stream: str) -> EngineLedger | None:
        """Return the engine that a stream has been granted."""
        return next((led for led in self.ledgers.values() if stream in led.streams), None)

    def learning(self) -> bool:
        """Tell whether streams may be running that this scheduler has not heard of yet."""
        if self.clock() - self.started >= LEARNING_TIME:
            return False
        return not self.heard_from.issuperset(self.membership.live())

    def part(self) -> float:
        """Return the part of each engine that this scheduler may give out."""
        if not self.membership.owns(scheduling_duty(self.team, self.service)):
            # It stands in for a scheduler that does not answer, and others may do so as well.
            return 1 / max(1, len(self.membership.live()))
        return LEARNING_SHARE if self.learning() else 1.0

    def share(self, account: str) -> float:
        """Return an account's weight."""
        settings = self.catalog.account(self.team, account)
        return settings.share if settings else 1.0

    def expected_wait(self, priority: int = 0, account: str = "") -> float:
        """Estimate how long a new request of an account waits, in seconds."""
        if not len(self.queue):
            return 0.0
        now = self.clock()
        running = sum(len(ledger.streams) for ledger in self.ledgers.values())
        rate = self.places.per_second(running, now)
        if not rate:
            return 0.0
        ahead = self.queue.ahead(priority, account, self.places.tokens)
        ahead += self.reservations.expected(account, now, ahead / rate)
        return (ahead + 1) / rate

    def load(self) -> ServiceLoad:
        """Return how the service stands here, for the other failure domains."""
        ledgers = self.usable(())
        wait = self.expected_wait() if ledgers else math.inf
        free = sum(max(0.0, ledger.budget - ledger.tokens) for ledger in ledgers)
        return ServiceLoad(self.team, self.service, len(self.queue), wait, int(free))

    # Commands.

    def ask(self, daemon: str, request: GrantRequest) -> Answer:
        """Answer a daemon's request for a place; asking again changes nothing."""
        generation = request.generation
        stream = generation.stream
        held = self.find(stream)
        if request.join:
            answer = self._join(daemon, stream, request.avoid)
            if answer is not None:
                return answer
        elif held is not None and held.name not in request.avoid:
            return Granted(stream, held.name, held.address)
        if not self.usable(request.avoid):
            return GrantRefused(stream, "no_engine", "no engine can serve now", MIN_RETRY_AFTER)
        wait = self.expected_wait(generation.priority, generation.account)
        if stream in self.queue:
            return Queued(stream, wait)
        item = Waiting(daemon, request, self.clock())
        returns = self.reservations.redeem(generation.account, item.since)
        self.queue.add(stream, generation.priority, generation.account, item, first=returns)
        for granted_to, granted in self.grant_waiting():
            if granted.stream == stream:
                return granted
            self.tell_later(granted_to, granted)
        if request.wait_limit <= 0:
            self.queue.discard(stream)
            return GrantRefused(stream, "overloaded", "no place is free now", MIN_RETRY_AFTER)
        full = len(self.queue) > MAX_QUEUE
        if full or (wait > request.wait_limit * WAIT_SAFETY and not returns):
            self.queue.discard(stream)
            return self._refuse(request, "the queue is too long", wait)
        return Queued(stream, wait)

    def _refuse(self, request: GrantRequest, detail: str, wait: float) -> GrantRefused:
        generation = request.generation
        now = self.clock()
        excess = wait - request.wait_limit * WAIT_SAFETY
        running = sum(len(ledger.streams) for ledger in self.ledgers.values())
        even = self.places.per_second(running, now) / max(1, self.queue.busy_accounts())
        rate = max(self.places.of_account(generation.account, now), even)
        again = self.reservations.book(generation.account, now, excess, rate)
        return GrantRefused(generation.stream, "overloaded", detail, again)

    def _join(
        self, daemon: str, stream: str, avoid: tuple[str, ...]
    ) -> Granted | Joined | GrantRefused | None:
        """Answer a request whose key has a stream here already; None when it has not."""
        for ledger in self.ledgers.values():
            for name, held in ledger.streams.items():
                if key_part(name) != key_part(stream) or ledger.name in avoid:
                    continue
                if first_id(name) != first_id(stream):
                    return GrantRefused(stream, "key_reused", "the key is taken", 0.0)
                if name == stream and held.daemon == daemon:
                    return Granted(name, ledger.name, ledger.address)
                return Joined(name, ledger.name, ledger.address)
        return None

    def grant_waiting(self) -> Iterator[tuple[str, Granted]]:
        """Grant places to waiting requests, in order, until none fits."""
        progress = True
        while progress:
            progress = False
            for stream, item in list(self.queue.in_order()):
                granted = self._try_grant(stream, item)
                if granted is not None:
                    yield item.daemon, granted
                    progress = True
                    break
                if self._goes_first(item):
                    return

    def _goes_first(self, item: Waiting) -> bool:
        """Tell whether a request has been passed long enough by those that fit better."""
        waited = self.clock() - item.since
        can_be_served = bool(self.usable(item.request.avoid))
        return can_be_served and waited > item.request.wait_limit * BYPASS_LIMIT

    def _try_grant(self, stream: str, item: Waiting) -> Granted | None:
        generation = item.request.generation
        now = self.clock()
        candidate = Stream(generation, item.daemon, seen_at=now, granted_at=now)
        ledgers = self.apart(generation.fingerprint, self.usable(item.request.avoid))
        ledger = choose(ledgers, candidate, self.lengths, self.grants, now, self.prefixes)
        if ledger is None:
            return None
        self.queue.discard(stream)
        self._put(ledger, candidate)
        self.grants += 1
        self.prefixes.note(ledger.name, generation.prefixes, now)
        self.places.note_grant(generation.account, now)
        # Charged in advance, or the accounts' order would be as old as the last reports.
        candidate.charged = min(self.places.tokens, generation.max_tokens)
        cost = generation.prompt_tokens * PROMPT_WEIGHT + candidate.charged
        self._charge(generation.priority, generation.account, cost)
        return Granted(stream, ledger.name, ledger.address)

    def _put(self, ledger: EngineLedger, stream: Stream) -> None:
        name = stream.generation.stream
        self.queue.discard(name)
        found = self.find(name)
        if found is not None:
            take_off(found, name)
        put(ledger, stream)
        held = sum(name in other.streams for other in self.ledgers.values())
        invariants.check(held == 1, "a stream is on one ledger", stream=name, ledgers=held)
        invariants.check(name not in self.queue, "granted streams do not wait", stream=name)
        invariants.check(ledger.tokens >= 0, "promised memory is not negative", engine=ledger.name)

    def _charge(self, priority: int, account: str, tokens: float) -> None:
        self.queue.charge(priority, account, tokens, self.share(account))

    def tell_later(self, daemon: str, answer: Granted | GrantRefused | NotScheduler) -> None:
        """Send a daemon an answer, without waiting for that."""
        task = asyncio.create_task(self.tell(daemon, answer))
        self.telling.add(task)
        task.add_done_callback(self.telling.discard)

    def ended(self, note: StreamEnded) -> None:
        """Take a stream off its engine's ledger, or a request out of the queue."""
        self.queue.discard(note.stream)
        ledger = self.find(note.stream)
        if ledger is not None:
            stream = take_off(ledger, note.stream)
            if note.outcome == "finished":
                self.places.note_end(self.clock() - stream.granted_at, note.generated)
                self.lengths.add(note.account, note.generated)
            unpaid = note.generated - stream.charged
            self._charge(stream.generation.priority, note.account, unpaid)
        if note.outcome == "failed" and note.engine in self.ledgers:
            # A dead engine looks the emptiest: until it answers it would get every request.
            self.ledgers[note.engine].suspect = True
            self.watch.failed(note.engine)
            self.watch.poll([self.ledgers[note.engine]])
        self.serve_queue()

    def drain(self, engine: str, seconds: float) -> None:
        """Give an engine no new work for a time."""
        self.drained_until[engine] = self.clock() + seconds
        self.refresh()

    def serve_queue(self) -> None:
        """Grant what can be granted, and tell the daemons that wait for it."""
        for daemon, granted in self.grant_waiting():
            self.tell_later(daemon, granted)

    def report(self, report: StreamReport) -> None:
        """Bring the ledger in line with what one daemon says it relays."""
        self.heard_from.add(report.daemon)
        for state in report.streams:
            ledger = self.ledgers.get(state.engine)
            if ledger is not None:
                self._take_state(ledger, state, report.daemon)

    def _take_state(self, ledger: EngineLedger, state: StreamState, daemon: str) -> None:
        now, generation = self.clock(), state.generation
        stream = ledger.streams.get(generation.stream)
        if stream is None:
            stream = Stream(generation, daemon, granted_at=now)
            self._put(ledger, stream)
        self._take_progress(ledger, stream, state.generated)

    def progress(self, report: ProgressReport) -> StreamsUnknown:
        """Take how far a daemon's streams have come; returns those not known here."""
        self.heard_from.add(report.daemon)
        unknown = []
        for row in report.streams:
            ledger = self.find(row.stream)
            if ledger is None:
                unknown.append(row.stream)
            else:
                self._take_progress(ledger, ledger.streams[row.stream], row.generated)
        return StreamsUnknown(tuple(unknown))

    def _take_progress(self, ledger: EngineLedger, stream: Stream, generated: int) -> None:
        now, generation = self.clock(), stream.generation
        if generated > stream.generated > 0:
            self.watch.progressed(ledger.name)
            ledger.suspect = False
            pace = (now - stream.seen_at) / (generated - stream.generated)
            pace = min(max(pace, PACE_RANGE[0]), PACE_RANGE[1])
            ledger.pace += (pace - ledger.pace) * PACE_WEIGHT
        if generated > stream.charged:
            self._charge(generation.priority, generation.account, generated - stream.charged)
            stream.charged = generated
        stream.generated = max(stream.generated, generated)
        stream.seen_at = now

    def refresh(self) -> None:
        """Bring the list of engines in line with the settings and the host list."""
        wanted: dict[str, tuple[Host, DeploymentSettings]] = {}
        for deployment in self.catalog.deployments(self.team, self.service):
            for host in self.membership.backends(HostKind.ENGINE):
                if host.domain == self.membership.me.domain and permitted(host, deployment):
                    wanted.setdefault(host.name, (host, deployment))
        for name, ledger in self.ledgers.items():
            stays = self.clock() >= self.drained_until.get(name, 0.0)
            ledger.usable = name in wanted and stays and self.watch.answers(name)
        for name, (host, deployment) in wanted.items():
            self._take_engine(name, host, deployment)
        for name in [n for n, led in self.ledgers.items() if n not in wanted and not led.streams]:
            del self.ledgers[name]
        self._forget()

    def _forget(self) -> None:
        accounts = self.catalog.account_names(self.team)
        self.queue.forget_idle()
        self.queue.keep(accounts)
        self.lengths.keep(accounts)
        self.reservations.expire(self.clock())
        self.watch.keep(self.ledgers)
        self.prefixes.keep(self.ledgers)

    def _take_engine(self, name: str, host: Host, deployment: DeploymentSettings) -> None:
        ledger = self.ledgers.get(name)
        if ledger is None:
            ledger = EngineLedger(name, host.address, 0, 0, 0.0, POLICIES[deployment.policy])
            self.ledgers[name] = ledger
        ledger.address = host.address
        ledger.memory_tokens = deployment.memory_tokens
        ledger.max_batch = deployment.max_batch
        ledger.margin = deployment.memory_margin
        ledger.policy = POLICIES[deployment.policy]
        ledger.decode_batch = deployment.decode_batch
        ledger.spread = deployment.memory_spread
        ledger.affinity_bound = deployment.affinity_bound
        ledger.share = self.part()

    def expire(self) -> None:
        """Drop streams that nobody reports any more, and refuse those who waited too long."""
        now = self.clock()
        settings = self.catalog.service(self.team, self.service)
        window = settings.resume_window if settings else 0.0
        for stream in self.orphans.check(list(self.ledgers.values()), now, GRANT_GRACE, window):
            logs.debug("stream not reported", stream=stream)
        for stream, item in list(self.queue.items()):
            if now - item.since > item.request.wait_limit:
                self.queue.discard(stream)
                refused = self._refuse(item.request, "no place came free in time", 0.0)
                self.tell_later(item.daemon, refused)

    async def run(self) -> None:
        """Poll the engines and serve the queue for as long as the duty is held."""
        while True:
            self.refresh()
            self.watch.poll(self.ledgers.values())
            self.expire()
            self.serve_queue()
            await asyncio.sleep(POLL_INTERVAL)
