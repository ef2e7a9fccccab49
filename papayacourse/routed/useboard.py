"""Sums how the daemons of a failure domain, and other domains, use plain servers."""

import time
from collections.abc import Callable, Iterable, Iterator

from attrs import define, field

from papayacourse.plainmessages import ServerUse
from papayacourse.routed.serveruse import LIFETIME, NEVER, busiest, freshness, total

SUM_INTERVAL = 0.1  # seconds for which a sum of all reports is used


@define
class Report:
    """What a daemon or a domain has reported, and when, in seconds of the clock."""

    uses: tuple[ServerUse, ...]
    at: float

    def weighted(self, now: float) -> Iterator[ServerUse]:
        """Yield the uses, scaled down by the age of the report."""
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
    summed_uses : tuple of ServerUse
        The use of the busiest servers by all daemons, as summed at ``summed_at``.
    summed_reports : dict of str to Report
        The reports of this domain's daemons in that sum, by daemon.
    summed_at : float
        In seconds of the clock.
    """

    clock: Callable[[], float] = time.monotonic
    daemons: dict[str, Report] = field(factory=dict)
    domains: dict[str, Report] = field(factory=dict)
    summed_uses: tuple[ServerUse, ...] = ()
    summed_reports: dict[str, Report] = field(factory=dict)
    summed_at: float = NEVER

    # Queries.

    def has_heard(self, domain: str, seconds: float) -> bool:
        """Return True if another domain has reported within the given number of seconds."""
        report = self.domains.get(domain)
        return report is not None and self.clock() - report.at < seconds

    def of_domain(self) -> tuple[ServerUse, ...]:
        """Return how the daemons of this domain use servers."""
        return busiest(total(self._weighted(self.daemons.values())).values())

    def of_others(self, daemon: str) -> tuple[ServerUse, ...]:
        """Return how all daemons but one of this domain use servers."""
        self._sum_if_old()
        report = self.summed_reports.get(daemon)
        own = total(report.weighted(self.summed_at)) if report else {}
        rest = (
            use + own[use.server].scaled(-1) if use.server in own else use
            for use in self.summed_uses
        )
        return busiest(rest)

    def _weighted(self, reports: Iterable[Report]) -> Iterator[ServerUse]:
        now = self.clock()
        return (use for report in reports for use in report.weighted(now))

    # Commands.

    def record_daemon(self, name: str, uses: Iterable[ServerUse]) -> None:
        """Record how a daemon of this domain uses servers."""
        self.daemons[name] = Report(tuple(uses), self.clock())

    def record_domain(self, name: str, uses: Iterable[ServerUse]) -> None:
        """Record how another domain uses servers."""
        self.domains[name] = Report(tuple(uses), self.clock())

    def _sum_if_old(self) -> None:
        """Sum all reports, unless the last sum is newer than ``SUM_INTERVAL``."""
        now = self.clock()
        if now - self.summed_at < SUM_INTERVAL:
            return
        reports = [*self.daemons.values(), *self.domains.values()]
        self.summed_uses = busiest(total(self._weighted(reports)).values())
        self.summed_reports, self.summed_at = dict(self.daemons), now

    def forget_old(self) -> None:
        """Drop the reports that no longer count."""
        now = self.clock()
        for reports in (self.daemons, self.domains):
            for name in [n for n, report in reports.items() if now - report.at > LIFETIME]:
                del reports[name]
