"""Chooses servers of plain services by distance, load, speed and recent failures.

Costs are in units of load: 1 is the cost of a server whose slots are all in use.
"""

import random
import time
from collections import defaultdict
from collections.abc import Callable, Collection, Iterable, Iterator
from contextlib import contextmanager

from attrs import define, field

from papayacourse import logs
from papayacourse.linkclasses import LinkClass, Place
from papayacourse.plainmessages import ServerUse
from papayacourse.rendezvous import weight
from papayacourse.routed.serveruse import ServerUseView
from papayacourse.types import Host, HostState

FAILURE_RATE_WEIGHT = 0.25  # of the last call in the moving average of failures
POOR_FAILURE_RATE = 0.5  # fraction of failed calls from which a server ranks last
POOR_RECORD_LIFETIME = 3.0  # seconds after the last failure until such a server is tried again
DEFAULT_SLOTS = 4  # of a server that reports none
REJECTION_COST = 0.5  # in units of load, of one recent rejection; more don't cost more
SLOW_TIME = 0.1  # seconds per call beyond those of fast servers that cost one unit of load
# Calls differ, so that servers of the same speed may differ this much in their time per call.
SLOW_FACTOR = 2.0  # times the fastest server's time per call, up to which slowness costs nothing
MAX_SLOWNESS_COST = 1.0  # in units of load
MIN_TIMED = 1.0  # calls from which a server's time per call is known
IDLE_COST = 0.05  # in units of load, added to each cost so that idle servers compare as similar
# Daemons with the same knowledge would otherwise all send to the same server, until they hear of
# each other's calls.
SPREAD = 3.0  # times the lowest cost up to which servers share the calls, cheaper ones more

# In units of load: a full server in this domain ranks equal to an idle one in another region.
LINK_COST = {
    LinkClass.SAME_DOMAIN: 0.0,
    LinkClass.SAME_REGION: 0.2,
    LinkClass.OTHER_REGION: 1.0,
}


# Whether the server ranks last for its failures, whether it is cold, and its cost in units of load.
Cost = tuple[bool, bool, float]


@define
class ServerRecord:
    """The recent calls to a server.

    Attributes
    ----------
    failed : float
        Exponential moving average of failed calls, from 0 to 1.
    failed_at : float
        Time of the last failure, in seconds of the clock.
    """

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


@define
class CallResult:
    """The result of a call to a server, as far as it matters for later choices.

    Attributes
    ----------
    failed : bool
        Whether it has brought no answer.
    rejected : bool
        Whether the server has not run it for want of room.
    reached : bool
        Whether it was sent at all.
    """

    failed: bool = True
    rejected: bool = False
    reached: bool = False


@define(eq=False)
class ServerChoice:
    """Chooses among the servers of plain services, by what all daemons' calls have shown.

    Attributes
    ----------
    is_cold : callable
        Returns True for a server that has just started.
    records : dict of str to ServerRecord
        The failures of this daemon's own calls, by server.
    use : ServerUseView
        How servers are used, by this daemon and by all others as far as known.
    draw : callable
        Returns one of several equal servers, given their weights.
    """

    here: Place
    clock: Callable[[], float] = time.monotonic
    records: dict[str, ServerRecord] = field(factory=lambda: defaultdict(ServerRecord))
    is_cold: Callable[[str], bool] = lambda _server: False
    use: ServerUseView = field(factory=ServerUseView)
    draw: Callable[[list[Host], list[float]], list[Host]] = random.choices

    # Queries.

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
        if not candidates:
            return None
        if suspect:
            return min(candidates, key=lambda host: self._suspect_rank(suspect, host))
        return self._draw_best(candidates)

    def _draw_best(self, candidates: list[Host]) -> Host:
        """Return one of the servers that cost about the least, the cheaper ones more often."""
        uses = {host.name: self.use.of(host.name) for host in candidates}
        slow_from = SLOW_FACTOR * fastest_time(uses.values())
        costs = {host.name: self._cost(host, uses[host.name], slow_from) for host in candidates}
        cheapest = self._about_cheapest(candidates, costs)
        weights = [slots(host) / (costs[host.name][-1] + IDLE_COST) for host in cheapest]
        chosen = self.draw(cheapest, weights)[0]
        self._log_detour(chosen, candidates, uses[chosen.name])
        return chosen

    def _about_cheapest(self, candidates: list[Host], costs: dict[str, Cost]) -> list[Host]:
        """Return the servers that share the calls.

        For a daemon that knows only its own calls, these are just the servers of the lowest cost.
        """
        lowest = min(costs.values())
        best_rank = lowest[:-1]
        limit = (lowest[-1] + IDLE_COST) * (SPREAD if self.use.is_informed() else 1.0)
        return [
            host
            for host in candidates
            if costs[host.name][:-1] == best_rank and costs[host.name][-1] + IDLE_COST <= limit
        ]

    def _link_cost(self, host: Host) -> float:
        return LINK_COST[self.here.link_to(host.domain, host.region)]

    def _log_detour(self, chosen: Host, candidates: list[Host], use: ServerUse) -> None:
        """Log it if a nearer server than the chosen one was passed over."""
        nearest = min(candidates, key=self._link_cost)
        if self._link_cost(chosen) == self._link_cost(nearest):
            return
        nearer = self.use.of(nearest.name)
        logs.info(
            "nearer server passed over", server=chosen.name, load=round(load(chosen, use), 2),
            nearer=nearest.name, nearer_load=round(load(nearest, nearer), 2),
            nearer_rejected=round(nearer.rejected, 2), nearer_time=round(time_per_call(nearer), 3),
            informed=self.use.is_informed(),
        )  # fmt: skip

    def _cost(self, host: Host, use: ServerUse, slow_from: float) -> Cost:
        """Return the cost of sending the next call to a server; the lowest is best.

        Servers that have just started rank after all warm ones, wherever these are.

        Parameters
        ----------
        slow_from : float
            The time per call from which slowness costs, in seconds.
        """
        rejection = REJECTION_COST * min(1.0, use.rejected)
        slowness = min(MAX_SLOWNESS_COST, max(0.0, time_per_call(use) - slow_from) / SLOW_TIME)
        is_poor = self.records[host.name].is_poor(self.clock())
        return (
            is_poor,
            self.is_cold(host.name),
            self._link_cost(host) + load(host, use) + rejection + slowness,
        )

    def _suspect_rank(self, suspect: str, host: Host) -> tuple[bool, int]:
        """Return a server's rank for a suspect by rendezvous hashing; poor records rank last."""
        is_poor = self.records[host.name].is_poor(self.clock())
        return is_poor, -weight(suspect, host.name)

    # Commands.

    @contextmanager
    def watch_call(self, host: Host) -> Iterator[CallResult]:
        """Record the call to a server that is made in the context.

        Yields its result, which the caller fills in.
        """
        result = CallResult()
        self.use.begin(host.name)
        began = self.use.clock()
        try:
            yield result
        finally:
            # The network to another region takes longer than most calls, so the time of such a
            # call says little about the server.
            is_far = self.here.link_to(host.domain, host.region) == LinkClass.OTHER_REGION
            is_timed = result.reached and not result.rejected and not is_far
            seconds = self.use.clock() - began if is_timed else None
            self.use.end(host.name, seconds, result.rejected)
            self.records[host.name].record_result(result.failed, self.clock())

    def forget_unlisted(self, names: Collection[str]) -> None:
        """Drop what is known of idle servers that are not among the listed names."""
        self.use.forget_unlisted(names)
        for name in self.records.keys() - names - self.use.meters.keys():
            del self.records[name]


def slots(host: Host) -> int:
    """Return how many calls a server runs at once."""
    return host.slots or DEFAULT_SLOTS


def load(host: Host, use: ServerUse) -> float:
    """Return the calls at a server as a fraction of its slots."""
    return use.running / slots(host)


def time_per_call(use: ServerUse) -> float:
    """Return how long a server takes for a call, in seconds; 0 if that is not known."""
    return use.seconds / use.ended if use.ended >= MIN_TIMED else 0.0


def fastest_time(uses: Iterable[ServerUse]) -> float:
    """Return the time per call of the fastest server, in seconds; 0 if none is known."""
    return min(filter(None, map(time_per_call, uses)), default=0.0)
