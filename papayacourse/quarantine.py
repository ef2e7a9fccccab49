"""Stops requests that crash each engine which runs them, without harming their neighbours."""

import time
from collections.abc import Callable

import xxhash
from attrs import define, field

from papayacourse import logs
from papayacourse.callmessages import Absolved, Strike, StrikesUpdate
from papayacourse.exceptions import PeerError, RequestRefused
from papayacourse.meshmessages import Hello
from papayacourse.peers import Peers

STRIKES = 2  # different engines that a request may take down
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
    strikes : dict of str to dict of str to float
        By fingerprint and engine: when the strike expires, in seconds since 1970.
    condemned : set of str
        The fingerprints that have taken down too many engines.
    """

    peers: Peers
    count: Callable[[], None] = lambda: None
    clock: Callable[[], float] = time.time
    strikes: dict[str, dict[str, float]] = field(factory=dict)
    condemned: set[str] = field(factory=set)

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

        Who shares two engines with a condemned request is not excused by it, since either of
        them may have taken down both.
        """
        engines = self.engines(request)
        if not engines or request in self.condemned:
            return engines
        shared = (engines & self.engines(other) for other in self.condemned)
        return engines.difference(*(both for both in shared if len(both) == 1))

    def is_suspect(self, request: str) -> bool:
        """Tell whether a request must run apart from other suspects."""
        return bool(self.unexplained(request))

    def check(self, request: str) -> None:
        """Refuse a request that has taken down too many engines.

        Raises
        ------
        RequestRefused
            With the time after which it may be tried again.
        """
        if request not in self.condemned or len(self.engines(request)) < STRIKES:
            return
        self.count()
        left = min(self.strikes[request].values()) - self.clock()
        detail = f"{STRIKES} engines died while they ran this request"
        raise RequestRefused(422, "quarantined", detail, retry_after=max(left, 1.0))

    def known(self) -> tuple[Strike, ...]:
        """Return every strike that still counts, for a daemon that has just been met."""
        now = self.clock()
        return tuple(
            Strike(request, engine, end)
            for request, engines in self.strikes.items()
            for engine, end in engines.items()
            if end > now
        )

    def counts(self) -> dict[str, int]:
        """Return how many requests have strikes, and how many must not run, for operators."""
        return {"struck": len(self.strikes), "condemned": len(self.condemned)}

    # Commands.

    async def strike(self, request: str, engine: str) -> None:
        """Note that an engine died while it ran a request, and tell every daemon."""
        struck = Strike(request, engine, self.clock() + QUARANTINE_TIME)
        logs.warning("strike", fingerprint=request, engine=engine)
        await self.take_strikes(None, StrikesUpdate((struck,)))

    async def take_strikes(self, peer: Hello | None, update: StrikesUpdate) -> None:
        """Take strikes, and pass on those that are new here."""
        new = tuple(strike for strike in update.strikes if self._take(strike))
        if new:
            self._forget_old()
            await self._spread(StrikesUpdate(new), peer)

    def _take(self, strike: Strike) -> bool:
        engines = self.strikes.setdefault(strike.fingerprint, {})
        if engines.get(strike.engine, 0.0) >= strike.expires:
            return False
        engines[strike.engine] = strike.expires
        if len(self.unexplained(strike.fingerprint)) >= STRIKES:
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
            await self.take_absolution(None, Absolved(request))

    async def take_absolution(self, peer: Hello | None, note: Absolved) -> None:
        """Clear a suspect, and pass that on if it was known here."""
        self.condemned.discard(note.fingerprint)
        if self.strikes.pop(note.fingerprint, None) is not None:
            await self._spread(note, peer)

    async def greet(self, name: str) -> None:
        """Tell a daemon that has just been met every strike."""
        known = self.known()
        if known:
            await self._send(name, StrikesUpdate(known))

    async def _spread(self, message: StrikesUpdate | Absolved, source: Hello | None) -> None:
        for name in list(self.peers.links):
            if source is None or name != source.name:
                await self._send(name, message)

    async def _send(self, name: str, message: StrikesUpdate | Absolved) -> None:
        try:
            await self.peers.send(name, message)
        except PeerError as error:
            logs.debug("strikes not sent", peer=name, why=str(error))
