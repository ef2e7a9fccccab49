"""The queue of one service: grants places, refuses, and estimates waits."""

import asyncio
import math
import time
from collections.abc import Awaitable, Callable, Iterator

from attrs import define, field

from papayacourse import invariants
from papayacourse.admission import choose
from papayacourse.copies import Copies
from papayacourse.delays import note_prompt, takes_prompt
from papayacourse.enginelist import EngineList
from papayacourse.estimates import WAIT_SAFETY, Waiting, Waits
from papayacourse.exceptions import RequestRefused
from papayacourse.fairshare import PROMPT_WEIGHT, FairQueue
from papayacourse.farjoins import SETTLING_TIME
from papayacourse.grantlog import log_granted, log_refused
from papayacourse.joins import first_id, key_part
from papayacourse.ledger import EngineLedger, Stream, take_off
from papayacourse.lengths import LengthModel
from papayacourse.meshmessages import ServiceLoad
from papayacourse.reservations import Reservations
from papayacourse.schedulingmessages import (
    Granted,
    GrantRefused,
    GrantRequest,
    Joined,
    NotScheduler,
    Queued,
)
from papayacourse.tasks import cancel_all
from papayacourse.types import GenerationRequest
from papayacourse.waits import Backlog, PlaceRate

BYPASS_LIMIT = 0.5  # part of the wait limit after which nothing smaller goes before a request
MIN_RETRY_AFTER = 1.0  # seconds
MAX_QUEUE = 10_000  # requests
MAX_HELD_BACK = 16  # requests passed over at once for where their copies run

Answer = Granted | Joined | Queued | GrantRefused
Tell = Callable[[str, Granted | GrantRefused | NotScheduler], Awaitable[None]]


@define(eq=False, slots=False)
class GrantQueue:
    """What waits for a place on the engines of one service.

    Attributes
    ----------
    engines : EngineList
        Where the places are.
    tell : callable
        Sends a daemon a grant or a refusal that it has been waiting for.
    copies : Copies
        On which engines copies of one request may run.
    check_quarantine : callable
        Raises RequestRefused for the fingerprint of a request that must not run again.
    """

    engines: EngineList
    tell: Tell
    clock: Callable[[], float] = time.monotonic
    lengths: LengthModel = field(factory=LengthModel)
    queue: FairQueue = field(factory=FairQueue)
    reservations: Reservations = field(factory=Reservations)
    places: PlaceRate = field(factory=PlaceRate)
    backlog: Backlog = field(factory=Backlog)
    grants: int = 0
    telling: set[asyncio.Task] = field(factory=set)
    copies: Copies = field(init=False)
    check_quarantine: Callable[[str], None] = lambda _fingerprint: None

    def __attrs_post_init__(self) -> None:
        self.copies = Copies(self.engines.ledgers, self.engines.membership.domains, self.clock)
        self.waits = Waits(
            self.queue,
            self.reservations,
            self.places,
            self.backlog,
            self.engines.running,
            lambda: len(self.engines.usable(())),
            self.clock,
        )

    async def close(self) -> None:
        """Tell nobody anything more."""
        await cancel_all(self.telling)

    # Queries.

    def load(self) -> ServiceLoad:
        """Return how the service stands here, for the other failure domains."""
        ledgers = self.engines.usable(())
        wait = self.waits.expected() if ledgers else math.inf
        free = sum(max(0.0, ledger.budget - ledger.tokens) for ledger in ledgers)
        team, service = self.engines.cell.team, self.engines.cell.service
        return ServiceLoad(
            team, service, len(self.queue), wait, int(free), self.engines.cell.number
        )

    # Commands.

    def ask(self, daemon: str, request: GrantRequest) -> Answer:
        """Answer a daemon's request for a place; asking again changes nothing."""
        generation = request.generation
        stream = generation.stream
        held = self.engines.find(stream)
        if request.join:
            answer = self.join(daemon, stream, request.avoid)
            if answer is not None:
                return answer
        elif held is not None and held.name not in request.avoid:
            return Granted(stream, held.name, held.address)
        elif held is not None:
            # It moves on from there, so it is no other copy of itself.
            take_off(held, stream)
        self._take_news()
        if not self.engines.usable(request.avoid):
            return GrantRefused(stream, "no_engine", "no engine can serve now", MIN_RETRY_AFTER)
        if stream in self.queue:
            return self._queued(generation)
        item = Waiting(daemon, request, self.clock())
        returns = self.reservations.redeem(generation.account, item.since)
        self._wait(item, returns)
        for granted_to, granted in self.grant_waiting():
            if granted.stream == stream:
                return granted
            self.tell_later(granted_to, granted)
        self.queue.discard(stream)
        if request.wait_limit <= 0:
            self._log_refused(request, "no place is free now")
            return GrantRefused(stream, "overloaded", "no place is free now", MIN_RETRY_AFTER)
        needed = self.waits.needed(item, returns)
        if len(self.queue) >= MAX_QUEUE or self.waits.too_long(item, needed):
            return self._refuse(request, "the queue is too long", needed)
        self._wait(item, returns)
        return self._queued(generation)

    def _take_news(self) -> None:
        """Bring the engines in line first: one that has been told to leave gets nothing more."""
        if self.engines.is_stale():
            self.engines.refresh()

    def _wait(self, item: Waiting, returns: bool) -> None:
        generation = item.request.generation
        priority, account = generation.priority, generation.account
        self.queue.add(generation.stream, priority, account, item, first=returns)

    def _queued(self, generation: GenerationRequest) -> Queued:
        wait = self.waits.expected(generation.priority, generation.account)
        return Queued(generation.stream, wait)

    def _refuse(self, request: GrantRequest, detail: str, needed: int) -> GrantRefused:
        """Refuse a request, and promise it a place when so many others have come free."""
        generation = request.generation
        now = self.clock()
        rate = self.waits.promised_rate(generation.account, now)
        wait = needed / self.waits.rate(now) if rate else 0.0
        excess = wait - request.wait_limit * WAIT_SAFETY
        again = self.reservations.book(generation.account, now, excess, rate)
        self._log_refused(request, detail, places_needed=needed, retry_after=again)
        return GrantRefused(generation.stream, "overloaded", detail, again)

    def _log_refused(self, request: GrantRequest, why: str, **inputs) -> None:
        usable = self.engines.usable(request.avoid)
        log_refused(request, usable, why, queue=len(self.queue), **inputs)

    def join(
        self, daemon: str, stream: str, avoid: tuple[str, ...]
    ) -> Granted | Joined | GrantRefused | None:
        """Answer a request whose key has a stream here already; None when it has not."""
        for ledger in self.engines.ledgers.values():
            for name, held in ledger.streams.items():
                if key_part(name) != key_part(stream) or ledger.name in avoid:
                    continue
                if first_id(name) != first_id(stream):
                    return GrantRefused(stream, "key_reused", "the key is taken", 0.0)
                if name == stream and held.daemon == daemon:
                    return Granted(name, ledger.name, ledger.address)
                settled = self.clock() - held.granted_at >= SETTLING_TIME
                alone = len(self.engines.membership.domains()) == 1
                return Joined(name, ledger.name, ledger.address, settled or alone)
        return None

    def grant_waiting(self) -> Iterator[tuple[str, Granted]]:
        """Grant places to waiting requests, in order, until none fits."""
        self._refuse_quarantined()
        held_back: set[str] = set()
        while (found := self._grant_next(held_back)) is not None:
            yield found

    def _grant_next(self, held_back: set[str]) -> tuple[str, Granted] | None:
        """Grant the next place; notes the fingerprints whose copies wait for their own engines."""
        unfit: set[str] = set()
        heads = iter(self._heads(held_back))
        while (head := next(heads, None)) is not None:
            stream, item = head
            granted = None if stream in unfit else self._try_grant(stream, item)
            if granted is not None:
                return item.daemon, granted
            unfit.add(stream)
            if len(held_back) < MAX_HELD_BACK and self._is_confined(item):
                # Nobody behind it has to wait for its engines.
                held_back.add(item.request.generation.fingerprint)
                heads = iter(self._heads(held_back))
            elif self._goes_first(item):
                return None
        return None

    def _is_confined(self, item: Waiting) -> bool:
        ledgers = self.engines.usable(item.request.avoid)
        return self.copies.are_confined(item.request.generation.fingerprint, ledgers)

    def _heads(self, held_back: set[str]) -> list[tuple[str, Waiting]]:
        """Return the head of each account's queue, the one to be served next first.

        Who was let into the queue has been told that it will be served in time, so who has
        waited for long goes before later requests of its priority.
        """
        is_held_back = lambda item: item.request.generation.fingerprint in held_back  # noqa: E731
        heads = list(self.queue.in_order(is_held_back))
        heads.sort(key=lambda pair: (-pair[1].request.generation.priority, self._turn(pair[1])))
        return heads

    def _turn(self, item: Waiting) -> float:
        waited = self.clock() - item.since
        return item.since if waited > item.request.wait_limit * BYPASS_LIMIT else math.inf

    def _goes_first(self, item: Waiting) -> bool:
        """Tell whether a request has been passed long enough by those that fit better."""
        waited = self.clock() - item.since
        can_be_served = bool(self.engines.usable(item.request.avoid))
        return can_be_served and waited > item.request.wait_limit * BYPASS_LIMIT

    def _try_grant(self, stream: str, item: Waiting) -> Granted | None:
        generation = item.request.generation
        now = self.clock()
        candidate = Stream(generation, item.daemon, seen_at=now, granted_at=now)
        ledger = self._choose(candidate, self.engines.usable(item.request.avoid), now)
        if ledger is None:
            return None
        self.queue.discard(stream)
        log_granted(ledger, candidate, now - item.since)
        self.put(ledger, candidate)
        self.grants += 1
        note_prompt(ledger, candidate, self.engines.prefixes, now)
        self.places.note_grant(generation.account, now, generation.prompt_tokens)
        self.backlog.note_grant(now)
        # Charged in advance, or the accounts' order would be as old as the last reports.
        candidate.charged = min(self.places.tokens, generation.max_tokens)
        cost = generation.prompt_tokens * PROMPT_WEIGHT + candidate.charged
        self.charge(generation.priority, generation.account, cost)
        return Granted(stream, ledger.name, ledger.address)

    def _choose(
        self, candidate: Stream, usable: list[EngineLedger], now: float
    ) -> EngineLedger | None:
        prefixes, generation = self.engines.prefixes, candidate.generation
        quick = [led for led in usable if takes_prompt(led, generation, prefixes, now)]
        for ledgers in self.copies.choices(generation.fingerprint, quick):
            ledger = choose(ledgers, candidate, self.lengths, self.grants, now, prefixes)
            if ledger is not None:
                return ledger
        return None

    def put(self, ledger: EngineLedger, stream: Stream) -> None:
        """Put a stream on an engine's ledger, and no longer in the queue."""
        name = stream.generation.stream
        self.queue.discard(name)
        self.engines.put(ledger, stream)
        invariants.check(name not in self.queue, "granted streams do not wait", stream=name)

    def charge(self, priority: int, account: str, tokens: float) -> None:
        """Count tokens served to an account; less than none gives back what it did not use."""
        self.queue.charge(priority, account, tokens, self.engines.share(account))

    def tell_later(self, daemon: str, answer: Granted | GrantRefused | NotScheduler) -> None:
        """Send a daemon an answer, without waiting for that."""
        task = asyncio.create_task(self.tell(daemon, answer))
        self.telling.add(task)
        task.add_done_callback(self.telling.discard)

    def serve(self) -> None:
        """Grant what can be granted, and tell the daemons that wait for it."""
        self._take_news()
        for daemon, granted in self.grant_waiting():
            self.tell_later(daemon, granted)

    def _refuse_quarantined(self) -> None:
        """Refuse what has been found out while it waited, before a place comes free for it."""
        for stream, item in list(self.queue.items()):
            try:
                self.check_quarantine(item.request.generation.fingerprint)
            except RequestRefused as refused:
                self.queue.discard(stream)
                why = GrantRefused(stream, refused.reason, refused.detail, refused.retry_after)
                self.tell_later(item.daemon, why)

    def look(self) -> None:
        """Refuse those who have waited too long, or will have."""
        now = self.clock()
        self.refuse_late()
        self._refuse_hopeless(now)
        self.backlog.look(len(self.queue), now)

    def _refuse_hopeless(self, now: float) -> None:
        for stream, item, before in list(self.waits.hopeless(now)):
            self.queue.discard(stream)
            refused = self._refuse(item.request, "the queue is too slow", before)
            self.tell_later(item.daemon, refused)

    def refuse_late(self) -> None:
        """Refuse those who waited too long."""
        now = self.clock()
        for stream, item in list(self.queue.items()):
            if now - item.since > item.request.wait_limit:
                self.queue.discard(stream)
                refused = self._refuse(item.request, "no place came free in time", 0)
                self.tell_later(item.daemon, refused)

    def forget(self, accounts: set[str]) -> None:
        """Forget the accounts that are no longer there, and what is past."""
        self.queue.forget_idle()
        self.queue.keep(accounts)
        self.lengths.keep(accounts)
        self.reservations.expire(self.clock())
