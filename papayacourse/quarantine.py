"""Stops requests that crash each engine which runs them, without harming their neighbours."""

import time
from collections.abc import Callable, Collection, Iterator

import xxhash
from attrs import define, field

from papayacourse import logs
from papayacourse.batches import batched
from papayacourse.callmessages import Absolved, Strike, StrikesUpdate
from papayacourse.exceptions import PeerError, RequestRefused
from papayacourse.meshmessages import Hello
from papayacourse.peers import Peers

STRIKES = 2  # different engines that a request may take down
SETTLING_TIME = 1.0  # seconds in which copies that were sent at once have all struck
STRIKES_IN_MESSAGE = 1000
QUARANTINED = "quarantined"  # the reason of a refusal
QUARANTINE_TIME = 600.0  # seconds that a strike counts
MAX_FINGERPRINTS = 10_000


def fingerprint(team: str, service: str, prompt: str) -> str:
    """Return what a request is recognised by when it is sent again."""
    return xxhash.xxh3_128_hexdigest(f"{team}\0{service}\0{prompt}".encode())


@define(eq=False)
class Quarantine:
    """The strikes that this daemon knows of, its own and those of other daemons.

    An engine that dies gives a strike to every request that ran on it. All of them are suspects
    then, and the schedulers run suspects apart from each other, so that the next death strikes
    only one of them a second time. That one is condemned, and the deaths it was there for no
    longer count against the others. A suspect whose answer comes to its end is absolved.

    Attributes
    ----------
    count : callable
        Called for each request that is refused, for metrics.
    count_strikes : callable
        Called with the number of strikes that this daemon gives, for metrics.
    limit : int
        How many different engines a request may take down.
    on_struck : callable
        Called with the fingerprint of a request that this daemon has given a strike.
    on_absolved : callable
        Called with the fingerprint of a request that has been absolved, here or elsewhere.
    strikes : dict of str to dict of str to float
        By fingerprint and engine: when the strike expires, in seconds since 1970.
    condemned : set of str
        The fingerprints that have taken down too many engines.
    absolved_at : dict of str to float
        When requests were absolved lately, in seconds since 1970, the latest last.
    """

    peers: Peers
    count: Callable[[], None] = lambda: None
    count_strikes: Callable[[int], None] = lambda _number: None
    limit: int = STRIKES
    on_struck: Callable[[str], None] = lambda _fingerprint: None
    on_absolved: Callable[[str], None] = lambda _fingerprint: None
    clock: Callable[[], float] = time.time
    strikes: dict[str, dict[str, float]] = field(factory=dict)
    condemned: set[str] = field(factory=set)
    absolved_at: dict[str, float] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[StrikesUpdate] = self.take_strikes
        self.peers.handlers[Absolved] = self.take_absolution

    # Queries.

    def engines(self, request: str) -> set[str]:
        """Return the engines that died while they ran a request, in the last while."""
        now = self.clock()
        return {name for name, end in self.strikes.get(request, {}).items() if end > now}

    def unexplained(self, request: str) -> set[str]:
        """Return those of a request's engines whose death no condemned request explains.

        Who shares as many engines with a condemned request as condemn one is not excused by it,
        since either of them may have taken down all of them.
        """
        engines = self.engines(request)
        if not engines or request in self.condemned:
            return engines
        shared = (engines & self.engines(other) for other in self.condemned)
        return engines.difference(*(both for both in shared if len(both) < self.limit))

    def is_suspect(self, request: str) -> bool:
        """Tell whether a request must run apart from others: one more strike is too many."""
        return len(self.unexplained(request)) >= max(1, self.limit - 1)

    def is_just_struck(self, request: str) -> bool:
        """Tell whether a request's latest strike was given only a moment ago."""
        given_at = max(self.strikes.get(request, {}).values(), default=0.0) - QUARANTINE_TIME
        return 0 <= self.clock() - given_at < SETTLING_TIME

    def is_struck(self, request: str) -> bool:
        """Tell whether an engine has died while a request ran, of which nobody else is to blame."""
        return bool(self.unexplained(request))

    def is_condemned(self, request: str) -> bool:
        """Tell whether a request has taken down too many engines."""
        return request in self.condemned and len(self.engines(request)) >= self.limit

    def check(self, request: str) -> None:
        """Refuse a request that has taken down too many engines.

        Raises
        ------
        RequestRefused
            With the time after which it may be tried again.
        """
        if not self.is_condemned(request):
            return
        self.count()
        left = min(self.strikes[request].values()) - self.clock()
        detail = f"{self.limit} engines died while they ran this request"
        raise RequestRefused(422, QUARANTINED, detail, retry_after=max(left, 1.0))

    def strikes_of(self, request: str) -> tuple[Strike, ...]:
        """Return the strikes of a request that still count."""
        now = self.clock()
        engines = self.strikes.get(request, {})
        return tuple(Strike(request, name, end) for name, end in engines.items() if end > now)

    def known(self) -> Iterator[Strike]:
        """Yield every strike that still counts, for a daemon that has just been met."""
        for request in list(self.strikes):
            yield from self.strikes_of(request)

    def counts(self) -> dict[str, int]:
        """Return how many requests have strikes, and how many must not run, for operators."""
        return {"struck": len(self.strikes), "condemned": len(self.condemned)}

    # Commands.

    def strike(self, engine: str, requests: Collection[str]) -> None:
        """Note that an engine died while it ran some requests, and tell every daemon."""
        expires = self.clock() + QUARANTINE_TIME
        struck = tuple(Strike(request, engine, expires) for request in requests)
        self.count_strikes(len(struck))
        self._take_all(None, struck)
        for strike in struck:
            logs.warning(
                "strike", fingerprint=strike.fingerprint, engine=engine,
                engines=len(self.engines(strike.fingerprint)),
                unexplained=len(self.unexplained(strike.fingerprint)),
                condemned=self.is_condemned(strike.fingerprint),
            )  # fmt: skip
            self.on_struck(strike.fingerprint)

    async def take_strikes(self, peer: Hello | None, update: StrikesUpdate) -> None:
        """Take strikes, and pass on those that are new here."""
        self._take_all(peer, update.strikes)

    def _take_all(self, peer: Hello | None, strikes: tuple[Strike, ...]) -> None:
        before = set(self.condemned)
        new = tuple(strike for strike in strikes if self._take(strike))
        if not new:
            return
        self._forget_old()
        self._spread(StrikesUpdate(new), peer)
        for request in self.condemned - before:
            source = peer.name if peer else "here"
            engines = sorted(self.engines(request))
            logs.warning("request condemned", fingerprint=request, engines=engines, source=source)

    def _take(self, strike: Strike) -> bool:
        given_at = strike.expires - QUARANTINE_TIME
        if given_at <= self.absolved_at.get(strike.fingerprint, float("-inf")):
            return False
        engines = self.strikes.setdefault(strike.fingerprint, {})
        if engines.get(strike.engine, 0.0) >= strike.expires:
            return False
        engines[strike.engine] = strike.expires
        if len(self.unexplained(strike.fingerprint)) >= self.limit:
            self.condemned.add(strike.fingerprint)
        return True

    def _forget_old(self) -> None:
        now = self.clock()
        ends = {request: max(engines.values()) for request, engines in self.strikes.items()}
        surplus = len(ends) - MAX_FINGERPRINTS
        by_end = sorted(ends, key=ends.__getitem__)
        for number, request in enumerate(by_end):
            if ends[request] <= now or number < surplus:
                del self.strikes[request]
                self.condemned.discard(request)

    async def absolve(self, request: str) -> None:
        """Clear a suspect whose answer has come to its end."""
        if request in self.strikes:
            await self.take_absolution(None, Absolved(request, self.clock()))

    async def take_absolution(self, peer: Hello | None, note: Absolved) -> None:
        """Clear a suspect, and pass that on if it was known here."""
        self.condemned.discard(note.fingerprint)
        self._remember(note)
        if self.strikes.pop(note.fingerprint, None) is None:
            return
        logs.info("request absolved", fingerprint=note.fingerprint)
        self._spread(note, peer)
        self.on_absolved(note.fingerprint)

    def _remember(self, note: Absolved) -> None:
        before = self.absolved_at.pop(note.fingerprint, note.at)
        self.absolved_at[note.fingerprint] = max(before, note.at)
        if len(self.absolved_at) > MAX_FINGERPRINTS:
            del self.absolved_at[next(iter(self.absolved_at))]

    async def greet(self, name: str) -> None:
        """Tell a daemon that has just been met every strike."""
        for strikes in batched(self.known(), STRIKES_IN_MESSAGE):
            try:
                await self.peers.send(name, StrikesUpdate(strikes))
            except PeerError as error:
                logs.info("strikes not sent", peer=name, why=str(error))
                return

    def _spread(self, message: StrikesUpdate | Absolved, source: Hello | None) -> None:
        """Tell all peers, or those that its source has not told already."""
        self.peers.send_to_linked(
            [name for name, link in self.peers.links.items() if self._is_untold(link.peer, source)],
            message,
        )

    def _is_untold(self, peer: Hello, source: Hello | None) -> bool:
        if source is None:
            return True
        # Each daemon has a link to all of its own domain.
        here = self.peers.hello.domain
        return peer.name != source.name and not peer.domain == source.domain == here
