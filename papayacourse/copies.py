"""Limits the engines on which copies of one request run before it has shown itself harmless."""

import time
from collections.abc import Callable, Collection, Iterator

from attrs import define, field

from papayacourse.ledger import EngineLedger

MOST_ENGINES = 2  # for copies of one request of which none has come to its end
HARMLESS_TIME = 600.0  # seconds that an answer which came to its end counts
MAX_HARMLESS = 10_000  # fingerprints


@define(eq=False)
class Copies:
    """Where the copies of each request run on one scheduler's engines.

    A request that crashes engines is not known before the first death, and its copies may all
    be running by then. So copies run on the engine that has one already, and on no third until
    an answer has come to its end. The second one is not used where other failure domains may
    run copies too, since nobody counts their engines together.

    Attributes
    ----------
    ledgers : dict of str to EngineLedger
        The scheduler's engines, by name.
    domains : callable
        Returns the failure domains that are known.
    is_suspect : callable
        Tells by a request's fingerprint whether an engine has died while it ran.
    is_just_struck : callable
        Tells whether that was only a moment ago.
    harmless : dict of str to float
        The fingerprints of requests that have come to their end lately, the latest last, and
        until when that counts.
    """

    ledgers: dict[str, EngineLedger]
    domains: Callable[[], Collection[str]]
    clock: Callable[[], float] = time.monotonic
    is_suspect: Callable[[str], bool] = lambda _fingerprint: False
    is_just_struck: Callable[[str], bool] = lambda _fingerprint: False
    harmless: dict[str, float] = field(factory=dict)

    # Queries.

    def choices(
        self, fingerprint: str, ledgers: list[EngineLedger]
    ) -> Iterator[list[EngineLedger]]:
        """Yield the engines on which a request may run, those to be tried first in front."""
        if self.is_suspect(fingerprint):
            yield self._apart(fingerprint, ledgers)
            return
        there = set() if self.is_harmless(fingerprint) else self._running(fingerprint)
        if there:
            yield [ledger for ledger in ledgers if ledger.name in there]
        if len(there) < self._most_engines(there):
            yield [ledger for ledger in ledgers if ledger.name not in there]

    def are_confined(self, fingerprint: str, ledgers: list[EngineLedger]) -> bool:
        """Tell whether a request may not run on some of the engines, for what it may do there."""
        return sum(map(len, self.choices(fingerprint, ledgers))) < len(ledgers)

    def is_harmless(self, fingerprint: str) -> bool:
        """Tell whether a copy has come to its end lately; requests unnamed are not told apart."""
        return not fingerprint or self.harmless.get(fingerprint, 0.0) > self.clock()

    def _most_engines(self, there: set[str]) -> int:
        # Whoever has no copy running may have one engine in any case.
        return max(1, MOST_ENGINES // len(self.domains())) if there else MOST_ENGINES

    def _running(self, fingerprint: str) -> set[str]:
        return {name for name, led in self.ledgers.items() if fingerprint in led.fingerprints}

    def _apart(self, fingerprint: str, ledgers: list[EngineLedger]) -> list[EngineLedger]:
        """Return the engines without a suspect, or none while the same suspect runs.

        Suspects run apart, so that an engine's death strikes only one of them again; the same
        suspect does not run twice at once. Copies of it in another failure domain may be about to
        bring the strike that condemns it, so it waits a moment for that.
        """
        elsewhere = len(self.domains()) > 1 and self.is_just_struck(fingerprint)
        if elsewhere or self._running(fingerprint):
            return []
        return [led for led in ledgers if not any(map(self.is_suspect, led.fingerprints))]

    # Commands.

    def note_end(self, fingerprint: str) -> None:
        """Note that an answer has come to its end."""
        self.harmless.pop(fingerprint, None)
        self.harmless[fingerprint] = self.clock() + HARMLESS_TIME
        if len(self.harmless) > MAX_HARMLESS:
            del self.harmless[next(iter(self.harmless))]
