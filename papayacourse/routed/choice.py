"""Chooses servers of plain services by distance, load and recent failures."""

import time
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable

from attrs import define, field

from papayacourse.linkclasses import LinkClass, Place
from papayacourse.rendezvous import weight
from papayacourse.types import Host, HostState

FAILURE_RATE_WEIGHT = 0.25  # of the last call in the moving average of failures
POOR_FAILURE_RATE = 0.5  # fraction of failed calls from which a server ranks last
POOR_RECORD_LIFETIME = 3.0  # seconds after the last failure until such a server is tried again
DEFAULT_SLOTS = 4  # of a server that reports none

# In units of load: a full server in this domain ranks equal to an idle one in another region.
LINK_COST = {
    LinkClass.SAME_DOMAIN: 0.0,
    LinkClass.SAME_REGION: 0.5,
    LinkClass.OTHER_REGION: 1.0,
}


@define
class ServerRecord:
    """The recent calls to a server.

    Attributes
    ----------
    running : int
        Number of calls in progress from this daemon.
    failed : float
        Exponential moving average of failed calls, from 0 to 1.
    failed_at : float
        Time of the last failure, in seconds of the clock.
    """

    running: int = 0
    failed: float = 0.0
    failed_at: float = float("-inf")

    def record_result(self, failed: bool, now: float) -> None:
        """Record the result of a call."""
        self.failed += (float(failed) - self.failed) * FAILURE_RATE_WEIGHT
        if failed:
            self.failed_at = now

    def record_unreachable(self) -> None:
        """Record that the server's address refuses connections; it ranks last for now."""
        self.failed = 1.0

    def is_poor(self, now: float) -> bool:
        """Return True if the server ranks last because of recent failures."""
        return self.failed >= POOR_FAILURE_RATE and now - self.failed_at < POOR_RECORD_LIFETIME


@define(eq=False)
class ServerChoice:
    """Chooses among the servers of plain services, by the results of this daemon's own calls.

    Attributes
    ----------
    is_cold : callable
        Returns True for a server that has just started.
    """

    here: Place
    clock: Callable[[], float] = time.monotonic
    records: dict[str, ServerRecord] = field(factory=lambda: defaultdict(ServerRecord))
    is_cold: Callable[[str], bool] = lambda _server: False

    def cost(self, host: Host) -> tuple[bool, bool, float]:
        """Return the cost of sending the next call to a server; the lowest is best.

        Servers that have just started rank after all warm ones, wherever these are.
        """
        record = self.records[host.name]
        load = record.running / (host.slots or DEFAULT_SLOTS)
        link = LINK_COST[self.here.link_to(host.domain, host.region)]
        return record.is_poor(self.clock()), self.is_cold(host.name), link + load

    def choose(
        self, hosts: Iterable[Host], avoid: Collection[str], suspect: str = ""
    ) -> Host | None:
        """Return the best live server that isn't in `avoid`, or None.

        Parameters
        ----------
        suspect : str
            The fingerprint of a request during which a server died. All daemons send it to the
            same server, and other suspects mostly to others, so that another death isn't counted
            against all suspects.
        """
        live = (host for host in hosts if host.state == HostState.LIVE)
        candidates = [host for host in live if host.name not in avoid]
        if suspect:
            return min(candidates, key=lambda host: self._suspect_rank(suspect, host), default=None)
        return min(candidates, key=self.cost, default=None)

    def _suspect_rank(self, suspect: str, host: Host) -> tuple[bool, int]:
        """Return a server's rank for a suspect by rendezvous hashing; poor records rank last."""
        is_poor = self.records[host.name].is_poor(self.clock())
        return is_poor, -weight(suspect, host.name)

    def forget_unlisted(self, names: Collection[str]) -> None:
        """Drop the records of idle servers that are not among the listed names."""
        for name in [n for n, record in self.records.items() if not record.running]:
            if name not in names:
                del self.records[name]
