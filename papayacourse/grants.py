"""The queue of one service: grants places on engines, or refuses requests.

A place is room for one stream on an engine.
"""

import asyncio
import math
import time
from collections.abc import Awaitable, Callable, Iterator

from attrs import define, field

from papayacourse import invariants
from papayacourse.admission import accepts_streams, choose_engine, eligible_engines
from papayacourse.copies import Copies
from papayacourse.crossdomainjoins import JOIN_SETTLING_TIME
from papayacourse.delays import accepts_prompt, record_prompt
from papayacourse.enginelist import EngineList
from papayacourse.estimates import MAX_WAIT_FRACTION, QueuedRequest, WaitEstimator
from papayacourse.exceptions import RequestRefused
from papayacourse.fairshare import PROMPT_WEIGHT, FairQueue
from papayacourse.grantlog import log_granted, log_refused
from papayacourse.joins import first_start_id, stream_key
from papayacourse.ledger import EngineLedger, Stream, remove_stream
from papayacourse.lengths import LengthModel
from papayacourse.meshmessages import ServiceLoad
from papayacourse.reservations import Reservations
from papayacourse.schedulingmessages import (
    TOO_SLOW,
    Granted,
    GrantRefused,
    GrantRequest,
    Joined,
    NotScheduler,
    Queued,
)
from papayacourse.tasks import cancel_all
from papayacourse.timeliness import SAFE_LATENESS, lateness, shortest_step_and_pause
from papayacourse.types import GenerationRequest
from papayacourse.waits import Backlog, ReleaseRate

MAX_BYPASS_FRACTION = 0.5  # of the wait limit; then smaller requests cannot overtake
MIN_RETRY_AFTER_SECONDS = 1.0
MAX_QUEUED_REQUESTS = 10_000
MAX_DEFERRED_FINGERPRINTS = 16  # skipped at once because of the engines that run their copies

Answer = Granted | Joined | Queued | GrantRefused
AnswerSender = Callable[[str, Granted | GrantRefused | NotScheduler], Awaitable[None]]


@define(eq=False, slots=False)
class GrantQueue:
    """The requests that wait for a place on the engines of one service.

    Attributes
    ----------
    engines : EngineList
        The engines that places are granted on.
    send_answer : callable
        Sends a waiting daemon its grant or refusal.
    copies : Copies
        Decides which engines may run copies of the same request.
    check_quarantine : callable
        Raises RequestRefused for the fingerprint of a quarantined request.
    """

    engines: EngineList
    send_answer: AnswerSender
    clock: Callable[[], float] = time.monotonic
    lengths: LengthModel = field(factory=LengthModel)
    queue: FairQueue = field(factory=FairQueue)
    reservations: Reservations = field(factory=Reservations)
    places: ReleaseRate = field(factory=ReleaseRate)
    backlog: Backlog = field(factory=Backlog)
    grants: int = 0
    pending_sends: set[asyncio.Task] = field(factory=set)
    copies: Copies = field(init=False)
    check_quarantine: Callable[[str], None] = lambda _fingerprint: None

    def __attrs_post_init__(self) -> None:
        self.copies = Copies(self.engines.ledgers, self.engines.membership.domains, self.clock)
        self.waits = WaitEstimator(
            self.queue,
            self.reservations,
            self.places,
            self.backlog,
            self.engines.running,
            lambda: len(self.engines.usable(())),
            self.clock,
        )

    async def close(self) -> None:
        """Cancel the answers that have not been sent."""
        await cancel_all(self.pending_sends)

    # Queries.

    def load(self) -> ServiceLoad:
        """Return the load of the service in this cell, for the other failure domains."""
        ledgers = self.engines.usable(())
        wait = self.waits.expected_wait() if ledgers else math.inf
        free = sum(max(0.0, ledger.budget - ledger.tokens) for ledger in ledgers)
        cell = self.engines.cell
        step, pause = shortest_step_and_pause(filter(accepts_streams, ledgers), self.engines.paces)
        return ServiceLoad(
            cell.team, cell.service, len(self.queue), wait, int(free), cell.number, step, pause
        )

    def keeps_targets(self, daemon: str, request: GrantRequest) -> bool:
        """Return True if an engine has room for a request and is fast enough for its streams."""
        now, prefixes = self.clock(), self.engines.prefixes
        candidate = Stream(request.generation, daemon, seen_at=now, granted_at=now)
        usable = self.engines.usable(request.avoid)
        ready = [led for led in usable if accepts_prompt(led, request.generation, prefixes, now)]
        return any(
            lateness(ledger, candidate, self.engines.paces) <= SAFE_LATENESS
            for ledger in eligible_engines(ready, candidate, self.lengths, now)
        )

    # Commands.

    def request_grant(self, daemon: str, request: GrantRequest) -> Answer:
        """Answer a daemon's request for a place; repeated requests are idempotent."""
        generation = request.generation
        stream = generation.stream
        current = self.engines.find(stream)
        if request.join:
            answer = self.join(daemon, stream, request.avoid)
            if answer is not None:
                return answer
        elif current is not None and current.name not in request.avoid:
            return Granted(stream, current.name, current.address)
        elif current is not None:
            # The stream moves to another engine. It must not count as a copy of itself.
            remove_stream(current, stream)
        self._refresh_engines()
        if not self.engines.usable(request.avoid):
            return GrantRefused(
                stream, "no_engine", "no engine can serve now", MIN_RETRY_AFTER_SECONDS
            )
        if request.only_in_time and not self.keeps_targets(daemon, request):
            self._log_refused(request, TOO_SLOW)
            return GrantRefused(stream, TOO_SLOW, "no engine keeps the targets of its streams", 0.0)
        if stream in self.queue:
            return self._queued_answer(generation)
        item = QueuedRequest(daemon, request, self.clock())
        has_reservation = self.reservations.redeem(generation.account, item.queued_at)
        self._enqueue(item, has_reservation)
        for granted_to, granted in self.grant_waiting():
            if granted.stream == stream:
                return granted
            self.send_later(granted_to, granted)
        self.queue.discard(stream)
        if request.wait_limit <= 0:
            self._log_refused(request, "no place is free now")
            return GrantRefused(
                stream, "overloaded", "no place is free now", MIN_RETRY_AFTER_SECONDS
            )
        needed = self.waits.needed_places(item, has_reservation)
        if len(self.queue) >= MAX_QUEUED_REQUESTS or self.waits.exceeds_limit(item, needed):
            return self._refuse(request, "the queue is too long", needed)
        self._enqueue(item, has_reservation)
        return self._queued_answer(generation)

    def _refresh_engines(self) -> None:
        """Refresh the engines if outdated, so that a leaving engine gets no new streams."""
        if self.engines.is_stale():
            self.engines.refresh()

    def _enqueue(self, item: QueuedRequest, has_reservation: bool) -> None:
        generation = item.request.generation
        priority, account = generation.priority, generation.account
        self.queue.add(generation.stream, priority, account, item, first=has_reservation)

    def _queued_answer(self, generation: GenerationRequest) -> Queued:
        wait = self.waits.expected_wait(generation.priority, generation.account)
        return Queued(generation.stream, wait)

    def _refuse(self, request: GrantRequest, detail: str, needed: int) -> GrantRefused:
        """Refuse a request, and reserve a place for its retry after ``needed`` places are free."""
        generation = request.generation
        now = self.clock()
        rate = self.waits.promised_rate(generation.account, now)
        wait = needed / self.waits.rate(now) if rate else 0.0
        excess = wait - request.wait_limit * MAX_WAIT_FRACTION
        retry_after = self.reservations.reserve(generation.account, now, excess, rate)
        self._log_refused(request, detail, places_needed=needed, retry_after=retry_after)
        return GrantRefused(generation.stream, "overloaded", detail, retry_after)

    def _log_refused(self, request: GrantRequest, why: str, **inputs) -> None:
        usable = self.engines.usable(request.avoid)
        log_refused(request, usable, why, queue=len(self.queue), **inputs)

    def join(
        self, daemon: str, stream: str, avoid: tuple[str, ...]
    ) -> Granted | Joined | GrantRefused | None:
        """Answer a request whose key already has a stream here; return None if it has none."""
        for ledger in self.engines.ledgers.values():
            for name, current in ledger.streams.items():
                if stream_key(name) != stream_key(stream) or ledger.name in avoid:
                    continue
                if first_start_id(name) != first_start_id(stream):
                    return GrantRefused(stream, "key_reused", "the key is taken", 0.0)
                if name == stream and current.daemon == daemon:
                    return Granted(name, ledger.name, ledger.address)
                settled = self.clock() - current.granted_at >= JOIN_SETTLING_TIME
                is_single_domain = len(self.engines.membership.domains()) == 1
                return Joined(name, ledger.name, ledger.address, settled or is_single_domain)
        return None

    def grant_waiting(self) -> Iterator[tuple[str, Granted]]:
        """Grant places to waiting requests, in order, until none fits."""
        self._refuse_quarantined()
        deferred: set[str] = set()
        while (found := self._grant_next(deferred)) is not None:
            yield found

    def _grant_next(self, deferred: set[str]) -> tuple[str, Granted] | None:
        """Grant the next place; add fingerprints confined to certain engines to ``deferred``."""
        unfit: set[str] = set()
        heads = iter(self._queue_heads(deferred))
        while (head := next(heads, None)) is not None:
            stream, item = head
            granted = None if stream in unfit else self._try_grant(stream, item)
            if granted is not None:
                return item.daemon, granted
            unfit.add(stream)
            if len(deferred) < MAX_DEFERRED_FINGERPRINTS and self._is_confined(item):
                # Requests behind it need not wait for the engines that it may use.
                deferred.add(item.request.generation.fingerprint)
                heads = iter(self._queue_heads(deferred))
            elif self._may_block_others(item):
                return None
        return None

    def _is_confined(self, item: QueuedRequest) -> bool:
        ledgers = self.engines.usable(item.request.avoid)
        return self.copies.are_confined(item.request.generation.fingerprint, ledgers)

    def _queue_heads(self, deferred: set[str]) -> list[tuple[str, QueuedRequest]]:
        """Return the head of each account's queue, in the order of service.

        A request is queued only if it is expected to be served in time. So one that has waited
        for long goes before later requests of the same priority.
        """
        is_deferred = lambda item: item.request.generation.fingerprint in deferred  # noqa: E731
        heads = list(self.queue.queue_heads(is_deferred))
        heads.sort(
            key=lambda pair: (-pair[1].request.generation.priority, self._wait_order(pair[1]))
        )
        return heads

    def _wait_order(self, item: QueuedRequest) -> float:
        waited = self.clock() - item.queued_at
        return (
            item.queued_at if waited > item.request.wait_limit * MAX_BYPASS_FRACTION else math.inf
        )

    def _may_block_others(self, item: QueuedRequest) -> bool:
        """Return True if a request has waited so long that smaller ones may not overtake it."""
        waited = self.clock() - item.queued_at
        can_be_served = bool(self.engines.usable(item.request.avoid))
        return can_be_served and waited > item.request.wait_limit * MAX_BYPASS_FRACTION

    def _try_grant(self, stream: str, item: QueuedRequest) -> Granted | None:
        generation = item.request.generation
        now = self.clock()
        candidate = Stream(generation, item.daemon, seen_at=now, granted_at=now)
        ledger = self._choose_engine(candidate, self.engines.usable(item.request.avoid), now)
        if ledger is None:
            return None
        self.queue.discard(stream)
        self._log_granted(ledger, candidate, now - item.queued_at)
        self.add_stream(ledger, candidate)
        self.grants += 1
        record_prompt(ledger, candidate, self.engines.prefixes, now)
        self.places.record_grant(generation.account, now, generation.prompt_tokens)
        self.backlog.record_grant(now)
        # Charged in advance: progress reports come too late to order the accounts by.
        candidate.charged_tokens = min(self.places.tokens, generation.max_tokens)
        cost = generation.prompt_tokens * PROMPT_WEIGHT + candidate.charged_tokens
        self.charge(generation.priority, generation.account, cost)
        return Granted(stream, ledger.name, ledger.address)

    def _log_granted(self, ledger: EngineLedger, stream: Stream, waited: float) -> None:
        paces = self.engines.paces
        late, pause = lateness(ledger, stream, paces), paces.pause(ledger.name)
        log_granted(ledger, stream, waited, lateness=round(late, 2), pause=round(pause, 3))

    def _choose_engine(
        self, candidate: Stream, usable: list[EngineLedger], now: float
    ) -> EngineLedger | None:
        prefixes, generation = self.engines.prefixes, candidate.generation
        responsive = [led for led in usable if accepts_prompt(led, generation, prefixes, now)]
        for ledgers in self.copies.candidate_groups(generation.fingerprint, responsive):
            ledger = choose_engine(
                ledgers, candidate, self.lengths, self.grants, now, prefixes, self.engines.paces
            )
            if ledger is not None:
                return ledger
        return None

    def add_stream(self, ledger: EngineLedger, stream: Stream) -> None:
        """Add a stream to an engine's ledger, and remove it from the queue."""
        name = stream.generation.stream
        self.queue.discard(name)
        self.engines.add_stream(ledger, stream)
        invariants.check(name not in self.queue, "granted streams do not wait", stream=name)

    def charge(self, priority: int, account: str, tokens: float) -> None:
        """Charge tokens to an account; a negative number refunds unused ones."""
        self.queue.charge(priority, account, tokens, self.engines.share(account))

    def send_later(self, daemon: str, answer: Granted | GrantRefused | NotScheduler) -> None:
        """Send a daemon an answer in the background."""
        task = asyncio.create_task(self.send_answer(daemon, answer))
        self.pending_sends.add(task)
        task.add_done_callback(self.pending_sends.discard)

    def serve(self) -> None:
        """Grant the places that are free, and answer the daemons that wait for them."""
        self._refresh_engines()
        for daemon, granted in self.grant_waiting():
            self.send_later(daemon, granted)

    def _refuse_quarantined(self) -> None:
        """Refuse requests quarantined while they waited, before they get a place."""
        for stream, item in list(self.queue.items()):
            try:
                self.check_quarantine(item.request.generation.fingerprint)
            except RequestRefused as refused:
                self.queue.discard(stream)
                why = GrantRefused(stream, refused.reason, refused.detail, refused.retry_after)
                self.send_later(item.daemon, why)

    def refuse_overdue(self) -> None:
        """Refuse the requests that have exceeded their wait limit, or are expected to."""
        now = self.clock()
        self.refuse_timed_out()
        self._refuse_expected_timeouts(now)
        self.backlog.record_sample(len(self.queue), now)

    def _refuse_expected_timeouts(self, now: float) -> None:
        for stream, item, before in list(self.waits.expected_timeouts(now)):
            self.queue.discard(stream)
            refused = self._refuse(item.request, "the queue is too slow", before)
            self.send_later(item.daemon, refused)

    def refuse_timed_out(self) -> None:
        """Refuse the requests that have exceeded their wait limit."""
        now = self.clock()
        for stream, item in list(self.queue.items()):
            if now - item.queued_at > item.request.wait_limit:
                self.queue.discard(stream)
                refused = self._refuse(item.request, "no place came free in time", 0)
                self.send_later(item.daemon, refused)

    def prune(self, accounts: set[str]) -> None:
        """Forget removed and idle accounts, and expired reservations."""
        self.queue.drop_idle_accounts()
        self.queue.retain_accounts(accounts)
        self.lengths.retain_accounts(accounts)
        self.reservations.expire(self.clock())
