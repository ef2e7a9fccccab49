"""Quarantines requests that crash the engines running them, but not the requests beside them."""

import time
from collections.abc import Callable, Collection, Iterator, Sequence

import xxhash
from attrs import define, evolve, field

from papayacourse import logs, partblame
from papayacourse.batches import batched
from papayacourse.callmessages import Absolved, Strike, StrikesUpdate
from papayacourse.exceptions import PeerError, RequestRefused
from papayacourse.meshmessages import Hello
from papayacourse.partblame import PartBlame
from papayacourse.peers import Peers

STRIKE_LIMIT = 2  # different engines whose deaths condemn a request
STRIKE_SETTLING_TIME = 1.0  # seconds after which copies sent together have crashed their engines
STRIKES_PER_MESSAGE = 1000
QUARANTINED = "quarantined"  # reason of the refusal
STRIKE_LIFETIME = 600.0  # seconds for which a strike counts
CLOCK_TOLERANCE = 10.0  # seconds by which the clocks of two daemons may differ
MAX_FINGERPRINTS = 10_000


def fingerprint(team: str, service: str, prompt: str) -> str:
    """Return the fingerprint by which a repeated request is recognised."""
    return xxhash.xxh3_128_hexdigest(f"{team}\0{service}\0{prompt}".encode())


@define(eq=False)
class Quarantine:
    """The known strikes against requests, recorded here and by other daemons.

    An engine's death adds a strike to every request that ran on it and makes them suspects. The
    schedulers run suspects on separate engines, so that the next death adds a second strike to
    only one of them. That one is condemned, and the deaths of its engines no longer count against
    the others. A suspect whose answer completes is absolved.

    The parts of prompts get strikes as well, under the fingerprints of `partblame`, which decides
    whom to blame.

    Attributes
    ----------
    count : callable
        Called for each refused request, for metrics.
    count_strikes : callable
        Called with the number of new strikes that this daemon records, for metrics.
    limit : int
        The number of different engines whose deaths condemn a request.
    on_struck : callable
        Called with the fingerprint of each request that gets a strike from this daemon.
    on_absolved : callable
        Called with the fingerprint of each absolved request, whichever daemon absolved it.
    strikes : dict of str to dict of str to float
        Expiry times by fingerprint and engine, in seconds since 1970.
    condemned : set of str
        The fingerprints of requests that have reached the limit.
    absolved_at : dict of str to float
        When requests were last absolved, in seconds since 1970, the latest last.
    blame : PartBlame
        Tells which parts of prompts crash engines.
    condemned_parts : set of str
        The marks of parts for which requests have been refused.
    """

    peers: Peers
    count: Callable[[], None] = lambda: None
    count_strikes: Callable[[int], None] = lambda _number: None
    limit: int = STRIKE_LIMIT
    on_struck: Callable[[str], None] = lambda _fingerprint: None
    on_absolved: Callable[[str], None] = lambda _fingerprint: None
    clock: Callable[[], float] = time.time
    strikes: dict[str, dict[str, float]] = field(factory=dict)
    condemned: set[str] = field(factory=set)
    absolved_at: dict[str, float] = field(factory=dict)
    blame: PartBlame = field(init=False)
    condemned_parts: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[StrikesUpdate] = self.handle_strikes
        self.peers.handlers[Absolved] = self.handle_absolution
        self.blame = PartBlame(self.clock)

    # Queries.

    def engines(self, request: str) -> set[str]:
        """Return the engines of a request's unexpired strikes."""
        now = self.clock()
        return {name for name, end in self.strikes.get(request, {}).items() if end > now}

    def unexplained(self, request: str) -> set[str]:
        """Return the engines of a request whose deaths no condemned request explains.

        A condemned request that shares ``limit`` or more engines with this one explains none of
        them, since either request may have crashed all of them.
        """
        engines = self.engines(request)
        if not engines or request in self.condemned:
            return engines
        shared = (engines & self.engines(other) for other in self.condemned)
        return engines.difference(*(both for both in shared if len(both) < self.limit))

    def is_suspect(self, request: str) -> bool:
        """Return True if one more strike condemns a request, which then must run apart."""
        return len(self.unexplained(request)) >= max(1, self.limit - 1)

    def was_struck_recently(self, request: str) -> bool:
        """Return True if a request's latest strike is less than ``STRIKE_SETTLING_TIME`` old."""
        given_at = max(self.strikes.get(request, {}).values(), default=0.0) - STRIKE_LIFETIME
        return 0 <= self.clock() - given_at < STRIKE_SETTLING_TIME

    def is_struck(self, request: str) -> bool:
        """Return True if a request has a strike that no condemned request explains."""
        return bool(self.unexplained(request))

    def is_condemned(self, request: str) -> bool:
        """Return True if a request is condemned by unexpired strikes."""
        return request in self.condemned and len(self.engines(request)) >= self.limit

    def check(self, request: str) -> None:
        """Refuse a condemned request.

        Raises
        ------
        RequestRefused
            If the request is condemned, with the time in seconds after which to retry.
        """
        if not self.is_condemned(request):
            return
        self.count()
        left = min(self.strikes[request].values()) - self.clock()
        detail = f"{self.limit} engines died while they ran this request"
        raise RequestRefused(422, QUARANTINED, detail, retry_after=max(left, 1.0))

    def is_part_condemned(self, marks: Sequence[str]) -> bool:
        """Return True if a part of a request's prompt crashes engines."""
        return bool(self.blame.culprits(marks))

    def check_parts(self, marks: Sequence[str], names: Sequence[str]) -> None:
        """Refuse a request if a part of its prompt crashes engines.

        Parameters
        ----------
        marks : sequence of str
            The marks of the request, its own first, then those of its parts.
        names : sequence of str
            The names of the same parts.

        Raises
        ------
        RequestRefused
            If a part is to blame, with the time in seconds after which to retry.
        """
        culprits = self.blame.culprits(marks)
        if not culprits:
            return
        self.count()
        blamed = [name for mark, name in zip(marks[1:], names, strict=True) if mark in culprits]
        engines = self.blame.engines(culprits[0])
        if not self.condemned_parts.issuperset(culprits):
            self.condemned_parts.update(culprits)
            logs.warning("parts condemned", parts=blamed, marks=culprits, engines=engines)
        detail = f"engines died as they began to answer prompts with {' and '.join(blamed)}"
        left = max(self.blame.time_left(culprits[0]), 1.0)
        raise RequestRefused(422, QUARANTINED, detail, retry_after=left)

    def strikes_of(self, request: str) -> tuple[Strike, ...]:
        """Return the unexpired strikes of a request."""
        now = self.clock()
        engines = self.strikes.get(request, {})
        return tuple(Strike(request, name, end) for name, end in engines.items() if end > now)

    def known_strikes(self) -> Iterator[Strike]:
        """Yield every unexpired strike."""
        for request in list(self.strikes):
            yield from self.strikes_of(request)

    def counts(self) -> dict[str, int]:
        """Return the numbers of requests with strikes and of condemned ones, for operators."""
        return {"struck": len(self.strikes), "condemned": len(self.condemned)}

    # Commands.

    def strike(self, engine: str, requests: Collection[str]) -> None:
        """Record an engine's death against the requests it ran, and notify all daemons."""
        expires = self.clock() + STRIKE_LIFETIME
        struck = tuple(Strike(request, engine, expires) for request in requests)
        self.count_strikes(len(struck))
        self._apply_strikes(None, struck)
        for strike in struck:
            logs.warning(
                "strike", fingerprint=strike.fingerprint, engine=engine,
                engines=len(self.engines(strike.fingerprint)),
                unexplained=len(self.unexplained(strike.fingerprint)),
                condemned=self.is_condemned(strike.fingerprint),
            )  # fmt: skip
            self.on_struck(strike.fingerprint)

    async def handle_strikes(self, peer: Hello | None, update: StrikesUpdate) -> None:
        """Record strikes from a peer and forward the new ones."""
        self._apply_strikes(peer, update.strikes)

    def _apply_strikes(self, peer: Hello | None, strikes: tuple[Strike, ...]) -> None:
        before = set(self.condemned)
        bounded = map(self._with_bounded_end, strikes)
        new = tuple(strike for strike in bounded if self._apply_strike(strike))
        if not new:
            return
        self._remove_expired()
        self._broadcast(StrikesUpdate(new), peer)
        for request in self.condemned - before:
            source = peer.name if peer else "here"
            engines = sorted(self.engines(request))
            logs.warning("request condemned", fingerprint=request, engines=engines, source=source)

    def _with_bounded_end(self, strike: Strike) -> Strike:
        """Return a strike that counts no longer than one that is given now, but for clocks."""
        latest = self.clock() + STRIKE_LIFETIME
        if strike.expires <= latest + CLOCK_TOLERANCE:
            return strike
        return evolve(strike, expires=latest)

    def _apply_strike(self, strike: Strike) -> bool:
        given_at = strike.expires - STRIKE_LIFETIME
        if given_at <= self.absolved_at.get(strike.fingerprint, float("-inf")):
            return False
        engines = self.strikes.setdefault(strike.fingerprint, {})
        if engines.get(strike.engine, 0.0) >= strike.expires:
            return False
        engines[strike.engine] = strike.expires
        marks = partblame.decode(strike.fingerprint)
        if marks:
            self.blame.record_death(strike.engine, marks, given_at)
            return True
        if len(self.unexplained(strike.fingerprint)) >= self.limit:
            self.condemned.add(strike.fingerprint)
        return True

    def _remove_expired(self) -> None:
        now = self.clock()
        ends = {request: max(engines.values()) for request, engines in self.strikes.items()}
        surplus = len(ends) - MAX_FINGERPRINTS
        by_end = sorted(ends, key=ends.__getitem__)
        for number, request in enumerate(by_end):
            if ends[request] <= now or number < surplus:
                del self.strikes[request]
                self.condemned.discard(request)

    async def clear_suspect(self, request: str) -> None:
        """Absolve a request whose answer has completed."""
        if request in self.strikes:
            await self.handle_absolution(None, Absolved(request, self.clock()))

    def record_served(self, fingerprint: str) -> None:
        """Record that an answer to a prompt with these parts is under way."""
        self._record_served(None, partblame.decode(fingerprint), self.clock())

    def _record_served(self, source: Hello | None, marks: Sequence[str], at: float) -> None:
        cleared = self.blame.record_served(marks, at)
        if not cleared:
            return
        self.condemned_parts.difference_update(cleared)
        logs.info("parts cleared", marks=cleared, source=source.name if source else "here")
        self._broadcast(Absolved(partblame.KIND + ",".join(cleared), at), source)

    async def handle_absolution(self, peer: Hello | None, note: Absolved) -> None:
        """Remove an absolved request's strikes, and notify other daemons if it had any here."""
        marks = partblame.decode(note.fingerprint)
        if marks:
            self._record_served(peer, marks, note.at)
            return
        self.condemned.discard(note.fingerprint)
        self._record_absolution(note)
        if self.strikes.pop(note.fingerprint, None) is None:
            return
        logs.info("request absolved", fingerprint=note.fingerprint)
        self._broadcast(note, peer)
        self.on_absolved(note.fingerprint)

    def _record_absolution(self, note: Absolved) -> None:
        before = self.absolved_at.pop(note.fingerprint, note.at)
        self.absolved_at[note.fingerprint] = max(before, note.at)
        if len(self.absolved_at) > MAX_FINGERPRINTS:
            del self.absolved_at[next(iter(self.absolved_at))]

    async def send_known_strikes(self, name: str) -> None:
        """Send every unexpired strike to a newly connected daemon."""
        for strikes in batched(self.known_strikes(), STRIKES_PER_MESSAGE):
            try:
                await self.peers.send(name, StrikesUpdate(strikes))
            except PeerError as error:
                logs.info("sending strikes failed", peer=name, why=str(error))
                return

    def _broadcast(self, message: StrikesUpdate | Absolved, source: Hello | None) -> None:
        """Send a message to all peers, or to those that its source has not sent it to."""
        self.peers.send_to_linked(
            [
                name
                for name, link in self.peers.links.items()
                if self._needs_message(link.peer, source)
            ],
            message,
        )

    def _needs_message(self, peer: Hello, source: Hello | None) -> bool:
        if source is None:
            return True
        # Each daemon has links to all others of its domain, so the source has sent it to those.
        here = self.peers.hello.domain
        return peer.name != source.name and not peer.domain == source.domain == here
