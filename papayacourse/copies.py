"""Limits the engines that run copies of one request until a copy has completed."""

import time
from collections.abc import Callable, Collection, Iterator

from attrs import define, field

from papayacourse.ledger import EngineLedger

MAX_ENGINES = 2  # for copies of a request of which none has completed
HARMLESS_TIME = 600.0  # seconds for which a completed answer counts
MAX_HARMLESS = 10_000  # fingerprints


@define(eq=False)
class Copies:
    """Chooses the engines of one scheduler that may run copies of a request.

    A request that crashes engines is only recognised after the first death, when all of its copies
    may be running already. Copies therefore go to an engine that runs one, and to at most
    ``MAX_ENGINES`` engines until one copy has completed. With several failure domains each uses one
    engine only, since nobody counts the engines across domains.

    Attributes
    ----------
    ledgers : dict of str to EngineLedger
        The scheduler's engines, by name.
    domains : callable
        Returns the known failure domains.
    is_suspect : callable
        Returns True if engine deaths make the request with a fingerprint a suspect.
    was_struck_recently : callable
        Returns True if its latest strike is only moments old.
    harmless : dict of str to float
        The expiry times of recently completed requests, by fingerprint, the latest last.
    """

    ledgers: dict[str, EngineLedger]
    domains: Callable[[], Collection[str]]
    clock: Callable[[], float] = time.monotonic
    is_suspect: Callable[[str], bool] = lambda _fingerprint: False
    was_struck_recently: Callable[[str], bool] = lambda _fingerprint: False
    harmless: dict[str, float] = field(factory=dict)

    # Queries.

    def candidate_groups(
        self, fingerprint: str, ledgers: list[EngineLedger]
    ) -> Iterator[list[EngineLedger]]:
        """Yield the groups of engines on which a request may run, the preferred group first."""
        if self.is_suspect(fingerprint):
            yield self._without_suspects(fingerprint, ledgers)
            return
        running_on = set() if self.is_harmless(fingerprint) else self._engines_running(fingerprint)
        if running_on:
            yield [ledger for ledger in ledgers if ledger.name in running_on]
        if len(running_on) < self._most_engines(running_on):
            yield [ledger for ledger in ledgers if ledger.name not in running_on]

    def are_confined(self, fingerprint: str, ledgers: list[EngineLedger]) -> bool:
        """Return True if a request is kept off some of the engines because it might crash them."""
        return sum(map(len, self.candidate_groups(fingerprint, ledgers))) < len(ledgers)

    def is_harmless(self, fingerprint: str) -> bool:
        """Return True if a copy has completed recently, or the request has no fingerprint."""
        return not fingerprint or self.harmless.get(fingerprint, 0.0) > self.clock()

    def _most_engines(self, running_on: set[str]) -> int:
        # A request without running copies always gets one engine.
        return max(1, MAX_ENGINES // len(self.domains())) if running_on else MAX_ENGINES

    def _engines_running(self, fingerprint: str) -> set[str]:
        return {name for name, led in self.ledgers.items() if fingerprint in led.fingerprints}

    def _without_suspects(
        self, fingerprint: str, ledgers: list[EngineLedger]
    ) -> list[EngineLedger]:
        """Return the engines that run no suspect, or none while the same suspect runs.

        Suspects run on separate engines, so that an engine's death gives only one of them another
        strike. The same suspect does not run twice at once. After a recent strike it also waits for
        copies in other failure domains, whose strikes may be about to condemn it.
        """
        elsewhere = len(self.domains()) > 1 and self.was_struck_recently(fingerprint)
        if elsewhere or self._engines_running(fingerprint):
            return []
        return [led for led in ledgers if not any(map(self.is_suspect, led.fingerprints))]

    # Commands.

    def record_completion(self, fingerprint: str) -> None:
        """Record that a copy of a request has completed."""
        self.harmless.pop(fingerprint, None)
        self.harmless[fingerprint] = self.clock() + HARMLESS_TIME
        if len(self.harmless) > MAX_HARMLESS:
            del self.harmless[next(iter(self.harmless))]
