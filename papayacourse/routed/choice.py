"""Chooses a plain service's server: near, with a free place, and with a good record."""

import time
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable

from attrs import define, field

from papayacourse.linkclasses import LinkClass, Place
from papayacourse.rendezvous import weight
from papayacourse.types import Host, HostState

RECORD_WEIGHT = 0.25  # of the last call in a server's record
POOR_RECORD = 0.5  # part of failed calls from which a server comes last
RECORD_LIFE = 3.0  # seconds after which a poor record is tried again
DEFAULT_SLOTS = 4  # places of a server that does not say

LINK_COST = {
    LinkClass.SAME_DOMAIN: 0.0,
    LinkClass.SAME_REGION: 0.5,
    LinkClass.OTHER_REGION: 1.0,
}  # in servers' fullness: a full one next door is as good as an empty one far away


@define
class Record:
    """How the last calls to a server went.

    Attributes
    ----------
    running : int
        Calls in progress from here.
    failed : float
        The part of its last calls that failed, later ones counting more.
    failed_at : float
        When one last failed, in seconds of the clock.
    """

    running: int = 0
    failed: float = 0.0
    failed_at: float = float("-inf")

    def note(self, failed: bool, now: float) -> None:
        """Count a call that has ended."""
        self.failed += (float(failed) - self.failed) * RECORD_WEIGHT
        if failed:
            self.failed_at = now

    def gone(self) -> None:
        """Note that nobody listens at the server's address; the next call may go there later."""
        self.failed = 1.0

    def is_poor(self, now: float) -> bool:
        """Tell whether the server is to be left alone for now."""
        return self.failed >= POOR_RECORD and now - self.failed_at < RECORD_LIFE


@define(eq=False)
class ServerChoice:
    """Chooses among the servers of plain services, by this daemon's own calls."""

    here: Place
    clock: Callable[[], float] = time.monotonic
    records: dict[str, Record] = field(factory=lambda: defaultdict(Record))

    def cost(self, host: Host) -> tuple[bool, float]:
        """Return how bad it is to send the next call to a server; the least is best."""
        record = self.records[host.name]
        fullness = record.running / (host.slots or DEFAULT_SLOTS)
        link = LINK_COST[self.here.link_to(host.domain, host.region)]
        return record.is_poor(self.clock()), link + fullness

    def choose(
        self, hosts: Iterable[Host], avoid: Collection[str], suspect: str = ""
    ) -> Host | None:
        """Return the best server that stays and is not to be avoided, or None.

        Parameters
        ----------
        suspect : str
            The fingerprint of a request under which a server has ended. All daemons send it to
            the same server, and other suspects mostly to others, so that a further end is not
            counted against all of them.
        """
        staying = (host for host in hosts if host.state == HostState.LIVE)
        fit = [host for host in staying if host.name not in avoid]
        if suspect:
            return min(fit, key=lambda host: self._distance(suspect, host), default=None)
        return min(fit, key=self.cost, default=None)

    def _distance(self, suspect: str, host: Host) -> tuple[bool, int]:
        """Return how far behind a server is in a suspect's own order; a poor record is last."""
        is_poor = self.records[host.name].is_poor(self.clock())
        return is_poor, -weight(suspect, host.name)

    def keep(self, names: Collection[str]) -> None:
        """Forget the servers that are no longer listed."""
        for name in [n for n, record in self.records.items() if not record.running]:
            if name not in names:
                del self.records[name]
