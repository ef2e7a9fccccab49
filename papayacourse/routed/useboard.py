"""Sums how the daemons of a failure domain, and other domains, use plain servers."""

import time
from collections.abc import Callable, Iterable, Iterator

from attrs import define, field

from papayacourse.plainmessages import ServerUse
from papayacourse.routed.serveruse import LIFETIME, busiest, freshness, total


@define
class Report:
    """What a daemon or a domain has reported, and when, in seconds of the clock."""

    uses: tuple[ServerUse, ...]
    at: float

    def weighted(self, now: float) -> Iterator[ServerUse]:
        """Yield the uses, which count less as the report ages."""
        factor = freshness(now - self.at)
        yield from (use.scaled(factor) for use in self.uses)


@define(eq=False)
class UseBoard:
    """The newest reports of a domain's daemons and of the other domains.

    Attributes
    ----------
    daemons : dict of str to Report
        By daemon of this domain.
    domains : dict of str to Report
        By other domain.
    """

    clock: Callable[[], float] = time.monotonic
    daemons: dict[str, Report] = field(factory=dict)
    domains: dict[str, Report] = field(factory=dict)

    def record_daemon(self, name: str, uses: Iterable[ServerUse]) -> None:
        """Record how a daemon of this domain uses servers."""
        self.daemons[name] = Report(tuple(uses), self.clock())

    def record_domain(self, name: str, uses: Iterable[ServerUse]) -> None:
        """Record how another domain uses servers."""
        self.domains[name] = Report(tuple(uses), self.clock())

    def has_heard(self, domain: str, seconds: float) -> bool:
        """Return True if another domain has reported within the last seconds."""
        report = self.domains.get(domain)
        return report is not None and self.clock() - report.at < seconds

    def of_domain(self) -> tuple[ServerUse, ...]:
        """Return how the daemons of this domain use servers."""
        now = self.clock()
        uses = (use for report in self.daemons.values() for use in report.weighted(now))
        return busiest(total(uses).values())

    def of_others(self, daemon: str) -> tuple[ServerUse, ...]:
        """Return how all daemons but one use servers."""
        now = self.clock()
        reports = [report for name, report in self.daemons.items() if name != daemon]
        reports += self.domains.values()
        uses = (use for report in reports for use in report.weighted(now))
        return busiest(total(uses).values())

    def forget_old(self) -> None:
        """Drop the reports that count no more."""
        now = self.clock()
        for reports in (self.daemons, self.domains):
            for name in [n for n, report in reports.items() if now - report.at > LIFETIME]:
                del reports[name]
