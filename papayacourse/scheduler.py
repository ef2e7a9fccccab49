"""Grants places on the engines of one service in this failure domain."""

import asyncio
import time
from collections.abc import Awaitable, Callable, Iterator
from fnmatch import fnmatchcase

from attrs import define, field

from papayacourse import engines, logs
from papayacourse.admission import POLICIES, EngineLedger, Stream, choose
from papayacourse.catalog import Catalog
from papayacourse.exceptions import BackendError
from papayacourse.fairshare import PROMPT_WEIGHT, FairQueue
from papayacourse.joins import first_id, key_part
from papayacourse.lengths import LengthModel
from papayacourse.membership import Membership
from papayacourse.messages import (
    Granted,
    GrantRefused,
    GrantRequest,
    Joined,
    NotScheduler,
    Queued,
    ServiceLoad,
    StreamEnded,
    StreamReport,
)
from papayacourse.orphans import Orphans
from papayacourse.settings import DeploymentSettings
from papayacourse.tasks import cancel_all
from papayacourse.types import Host, HostKind, HostState

POLL_INTERVAL = 0.5  # seconds between load reports
UNUSABLE_AFTER = 3  # load reports missed in a row
GRANT_GRACE = 4.0  # seconds a granted stream may go unreported
LEARNING_TIME = 2.0  # seconds in which a new scheduler hears of the streams there are
LEARNING_SHARE = 0.5  # part of each engine that it gives out meanwhile
PACE = 0.044  # seconds between tokens, to estimate how fast places come free
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


@define(eq=False)
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
    missed: dict[str, int] = field(factory=dict)
    leaving: set[str] = field(factory=set)
    drained_until: dict[str, float] = field(factory=dict)
    grants: int = 0
    recent_wait: float = 0.0
    started: float = 0.0
    task: asyncio.Task | None = None
    telling: set[asyncio.Task] = field(factory=set)
    orphans: Orphans = field(factory=Orphans)
    is_suspect: Callable[[str], bool] = lambda _fingerprint: False

    def __attrs_post_init__(self) -> None:
        self.started = self.clock()
        self.refresh()

    async def __aenter__(self) -> "Scheduler":
        self.task = asyncio.create_task(self.run())
        return self

    async def __aexit__(self, kind, error, traceback) -> None:
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

    def expected_wait(self) -> float:
        """Estimate how long a new request waits, in seconds."""
        return self.recent_wait if len(self.queue) else 0.0

    def load(self) -> ServiceLoad:
        """Return how the service stands in this domain."""
        free = sum(led.budget - led.tokens for led in self.ledgers.values() if led.usable)
        return ServiceLoad(
            self.team, self.service, len(self.queue), self.expected_wait(), max(0, int(free))
        )

    # Commands.

    def ask(self, daemon: str, request: GrantRequest) -> Answer:
        """Answer a daemon's request for a place; asking again changes nothing."""
        stream = request.generation.stream
        held = self.find(stream)
        if request.join:
            answer = self._join(daemon, stream, request.avoid)
            if answer is not None:
                return answer
        elif held is not None and held.name not in request.avoid:
            return Granted(stream, held.name, held.address)
        if not self.usable(request.avoid):
            return GrantRefused(stream, "no_engine", "no engine can serve now", MIN_RETRY_AFTER)
        wait = self.expected_wait()
        if wait > request.wait_limit or len(self.queue) >= MAX_QUEUE:
            return GrantRefused(stream, "overloaded", "the queue is too long", wait)
        generation = request.generation
        item = Waiting(daemon, request, self.clock())
        self.queue.discard(stream)
        self.queue.add(stream, generation.priority, generation.account, item)
        for granted_to, granted in self.grant_waiting():
            if granted.stream == stream:
                return granted
            self.tell_later(granted_to, granted)
        return Queued(stream, wait)

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

    def _try_grant(self, stream: str, item: Waiting) -> Granted | None:
        generation = item.request.generation
        candidate = Stream(generation, item.daemon, seen_at=self.clock())
        ledgers = self.apart(generation.fingerprint, self.usable(item.request.avoid))
        ledger = choose(ledgers, candidate, self.lengths, self.grants)
        if ledger is None:
            return None
        self.queue.discard(stream)
        ledger.streams[stream] = candidate
        self.grants += 1
        self._charge(
            generation.priority, generation.account, generation.prompt_tokens * PROMPT_WEIGHT
        )
        waited = self.clock() - item.since
        self.recent_wait += (waited - self.recent_wait) * 0.1
        return Granted(stream, ledger.name, ledger.address)

    def _charge(self, priority: int, account: str, tokens: float) -> None:
        settings = self.catalog.account(self.team, account)
        self.queue.charge(priority, account, tokens, settings.share if settings else 1.0)

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
            stream = ledger.streams.pop(note.stream)
            if note.outcome == "finished":
                self.lengths.add(note.account, note.generated)
            self._charge(
                stream.generation.priority, note.account, note.generated - stream.generated
            )
        if note.outcome == "failed" and note.engine in self.ledgers:
            self.missed[note.engine] = self.missed.get(note.engine, 0) + 1
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
        now = self.clock()
        for state in report.streams:
            generation = state.generation
            ledger = self.ledgers.get(state.engine)
            if ledger is None:
                continue
            stream = ledger.streams.get(generation.stream)
            if stream is None:
                stream = ledger.streams[generation.stream] = Stream(generation, report.daemon)
            self._charge(
                generation.priority, generation.account, state.generated - stream.generated
            )
            stream.generated = max(stream.generated, state.generated)
            stream.seen_at = now

    def refresh(self) -> None:
        """Bring the list of engines in line with the settings and the host list."""
        wanted: dict[str, tuple[Host, DeploymentSettings]] = {}
        for deployment in self.catalog.deployments(self.team, self.service):
            for host in self.membership.backends(HostKind.ENGINE):
                if host.domain == self.membership.me.domain and permitted(host, deployment):
                    wanted.setdefault(host.name, (host, deployment))
        for name, ledger in self.ledgers.items():
            answers = self.missed.get(name, 0) < UNUSABLE_AFTER
            stays = name not in self.leaving and self.clock() >= self.drained_until.get(name, 0)
            ledger.usable = name in wanted and answers and stays
        for name, (host, deployment) in wanted.items():
            self._take_engine(name, host, deployment)
        for name in [n for n, led in self.ledgers.items() if n not in wanted and not led.streams]:
            del self.ledgers[name]

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
        learning = self.clock() - self.started < LEARNING_TIME
        ledger.share = LEARNING_SHARE if learning else 1.0

    def expire(self) -> None:
        """Drop streams that nobody reports any more, and refuse those who waited too long."""
        now = self.clock()
        settings = self.catalog.service(self.team, self.service)
        window = settings.resume_window if settings else 0.0
        for stream in self.orphans.check(list(self.ledgers.values()), now, GRANT_GRACE, window):
            logs.debug("stream not reported", stream=stream)
        for queue in self.queue.accounts.values():
            for stream, item in list(queue.waiting.items()):
                if now - item.since > item.request.wait_limit:
                    del queue.waiting[stream]
                    detail = "no place came free in time"
                    refused = GrantRefused(stream, "overloaded", detail, MIN_RETRY_AFTER)
                    self.tell_later(item.daemon, refused)

    async def run(self) -> None:
        """Poll the engines and serve the queue for as long as the duty is held."""
        while True:
            self.refresh()
            polls = [self._poll(ledger) for ledger in self.ledgers.values()]
            await asyncio.gather(*polls)
            self.expire()
            self.serve_queue()
            await asyncio.sleep(POLL_INTERVAL)

    async def _poll(self, ledger: EngineLedger) -> None:
        try:
            load = await engines.load(ledger.address)
        except BackendError as error:
            self.missed[ledger.name] = self.missed.get(ledger.name, 0) + 1
            if self.missed[ledger.name] == UNUSABLE_AFTER:
                logs.warning("engine unusable", engine=ledger.name, why=str(error))
            return
        self.missed[ledger.name] = 0
        if load.leaving:
            self.leaving.add(ledger.name)
            ledger.usable = False
        else:
            self.leaving.discard(ledger.name)
