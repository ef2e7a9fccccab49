"""Tells how plain servers are used, by this daemon's calls and by those of other daemons.

This daemon's calls are measured; those of the others are known from reports.
"""

import math
import time
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator

from attrs import define, field

from papayacourse.plainmessages import ServerUse

AVERAGING_TIME = 0.75  # seconds in which the weight of an earlier call falls to 1/e
FRESH_TIME = 1.0  # seconds for which a report counts in full
LIFETIME = 2.0  # seconds from which a report no longer counts
MIN_USE = 0.02  # calls, averaged; servers with fewer are not reported
MAX_REPORTED = 64  # servers in a report, the busiest ones
ACTIVE_TIME = 3.0  # seconds after its last plain call in which a daemon needs others' reports

NEVER = float("-inf")  # seconds of the clock
UNUSED = ServerUse("", 0)  # of a server without calls


def freshness(age: float) -> float:
    """Return the weight of a report, from 1 when it is fresh to 0 when it is too old."""
    return min(1.0, max(0.0, (LIFETIME - age) / (LIFETIME - FRESH_TIME)))


def total(uses: Iterable[ServerUse]) -> dict[str, ServerUse]:
    """Return the summed use of each server."""
    found: dict[str, ServerUse] = {}
    for use in uses:
        known = found.get(use.server)
        found[use.server] = use if known is None else known + use
    return found


def busiest(uses: Iterable[ServerUse]) -> tuple[ServerUse, ...]:
    """Return the uses to report: those of the busiest servers, at most ``MAX_REPORTED``."""
    found = [use for use in uses if use.running + use.ended + use.rejected >= MIN_USE]
    found.sort(key=lambda use: (-use.rejected, -use.running, use.server))
    return tuple(found[:MAX_REPORTED])


@define
class UseMeter:
    """Measures this daemon's calls to one server.

    Attributes
    ----------
    average : ServerUse
        The average use until ``updated_at``.
    updated_at : float
        In seconds of the clock.
    running : int
        The calls in progress now.
    """

    average: ServerUse
    updated_at: float
    running: int = 0

    def update(self, now: float) -> ServerUse:
        """Extend the average until now, and return it."""
        kept = math.exp(-max(0.0, now - self.updated_at) / AVERAGING_TIME)
        use = self.average.scaled(kept)
        self.average = use + ServerUse(use.server, self.running * (1 - kept))
        self.updated_at = now
        return self.average

    def add(self, change: int, use: ServerUse, now: float) -> None:
        """Record that calls begin or end.

        Parameters
        ----------
        change : int
            How many more calls are in progress now; negative if calls end.
        use : ServerUse
            The results of the calls that end.
        """
        self.average = self.update(now) + use
        self.running += change


@define(eq=False)
class ServerUseView:
    """How plain servers are used: by this daemon, and by all others as last heard.

    Attributes
    ----------
    meters : dict of str to UseMeter
        This daemon's calls, by server.
    others : dict of str to ServerUse
        The use by all other daemons, by server, as it was at ``heard_at``.
    heard_at : float
        When other daemons' use was last heard, in seconds of the clock.
    called_at : float
        When a plain call last began here, in seconds of the clock.
    rejections : Counter of str
        How often each server rejected this daemon's calls.
    """

    clock: Callable[[], float] = time.monotonic
    meters: dict[str, UseMeter] = field(factory=dict)
    others: dict[str, ServerUse] = field(factory=dict)
    heard_at: float = NEVER
    called_at: float = NEVER
    rejections: Counter = field(factory=Counter)

    # Queries.

    def is_active(self) -> bool:
        """Return True if plain calls have lately begun here."""
        return self.clock() - self.called_at < ACTIVE_TIME

    def is_informed(self) -> bool:
        """Return True if a report of other daemons' use still counts."""
        return self.clock() - self.heard_at < LIFETIME

    def own(self) -> tuple[ServerUse, ...]:
        """Return this daemon's use of servers, to be reported."""
        now = self.clock()
        return busiest(meter.update(now) for meter in self.meters.values())

    def of(self, server: str) -> ServerUse:
        """Return the use of a server by all daemons.

        Of this daemon, the calls in progress are those of now, not their average.
        """
        meter, others = self.meters.get(server), self.others.get(server)
        if meter is None and others is None:
            return UNUSED
        now, own = self.clock(), ServerUse(server, 0)
        if meter is not None:
            average = meter.update(now)
            own = ServerUse(server, meter.running, average.ended, average.seconds, average.rejected)
        return own + others.scaled(freshness(now - self.heard_at)) if others else own

    def running(self) -> float:
        """Return the plain calls in progress, of all daemons as far as known, for the metrics."""
        return sum(self.of(server).running for server in self.meters.keys() | self.others.keys())

    def rejections_by_server(self) -> Iterator[tuple[int, dict[str, str]]]:
        """Yield how often each server rejected this daemon's calls, for the metrics."""
        yield from ((number, {"server": name}) for name, number in self.rejections.items())

    # Commands.

    def begin(self, server: str) -> None:
        """Record that a call to a server begins."""
        now = self.called_at = self.clock()
        meter = self.meters.setdefault(server, UseMeter(ServerUse(server, 0), now))
        meter.add(1, ServerUse(server, 0), now)

    def end(self, server: str, seconds: float | None, rejected: bool) -> None:
        """Record that a call has ended.

        Parameters
        ----------
        seconds : float or None
            How long the server has taken; None if that is not known.
        rejected : bool
            Whether the server has not run the call for want of room.
        """
        if rejected:
            self.rejections[server] += 1
        ended = 0 if seconds is None else 1
        use = ServerUse(server, 0, ended, seconds or 0.0, float(rejected))
        self.meters[server].add(-1, use, self.clock())

    def hear(self, uses: Iterable[ServerUse]) -> None:
        """Learn how all other daemons use servers."""
        self.others = {use.server: use for use in uses}
        self.heard_at = self.clock()

    def forget_unlisted(self, listed: Collection[str]) -> None:
        """Drop servers that are no longer listed, and on which no call runs."""
        for name in [n for n, meter in self.meters.items() if not meter.running]:
            if name not in listed:
                del self.meters[name]
                del self.rejections[name]
        self.others = {name: use for name, use in self.others.items() if name in listed}
