"""Keeps the requests of all daemons together within the pace of servers that have just started.

A cold server serves slowly, and crashes when requests come much faster than its pace, the requests
per second that it bears. That bound is for all daemons together, also for those that can reach no
other daemon. So each cold server has a few daemons, which every daemon derives from the list of
hosts by rendezvous hashing; the others send it nothing until it is warm. Each of the chosen daemons
sends at its part of the pace, and an idle time lets it send at most one request at once.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator

from attrs import define, field

from papayacourse import logs
from papayacourse.rendezvous import ranked
from papayacourse.routed.document import ColdStart
from papayacourse.types import Host

USED_FRACTION = 0.6  # of the pace; requests may come closer together than they were sent
RATE_PER_DAEMON = 2  # requests per second of the used pace for each chosen daemon
MIN_RATE = 0.1  # requests per second
NEVER = float("-inf")  # seconds of the clock
LATER_END = 0.5  # seconds by which an entry must mean a later end to be listed; it is read late
TIME_STEP = 0.001  # seconds by which a listed time is changed so that the list is a new one


@define
class ColdServer:
    """A cold server, and this daemon's part of its pace.

    Attributes
    ----------
    until : float
        When it is warm, in seconds of the clock.
    rate : float
        The requests per second that this daemon may send; 0 for none.
    last_sent_at : float
        When this daemon last sent a request, or learned of the server, in seconds of the clock.
    """

    until: float
    rate: float
    last_sent_at: float

    def next_in(self, now: float) -> float:
        """Return in how many seconds this daemon may send the next request; 0 for now."""
        if not self.rate:
            return max(0.0, self.until - now)
        return max(0.0, min(self.last_sent_at + 1 / self.rate, self.until) - now)


@define(eq=False)
class ColdServers:
    """The servers that are cold, as far as they or the list of hosts have said.

    Attributes
    ----------
    me : str
        The name of this daemon.
    daemons : callable
        Returns the names of all listed daemons, whether this one hears them or not.
    cold_start : callable
        Returns how long the servers of a service are cold and what rate they bear then; None for
        servers that are never cold.
    known : dict of str to ColdServer
        The cold servers, by name.
    listed : dict of str to float
        For how long each server in the list was cold when its entry was read, in seconds.
    declined : Counter of str
        How often each server was passed over because it is cold.
    """

    me: str = ""
    daemons: Callable[[], Collection[str]] = tuple
    cold_start: Callable[[str], ColdStart | None] = lambda _service: None
    clock: Callable[[], float] = time.monotonic
    known: dict[str, ColdServer] = field(factory=dict)
    listed: dict[str, float] = field(factory=dict)
    declined: Counter = field(factory=Counter)

    # Queries.

    def is_cold(self, server: str) -> bool:
        """Return True if a server is cold."""
        cold = self.known.get(server)
        return cold is not None and cold.until > self.clock()

    def wait_for(self, server: str) -> float:
        """Return in how many seconds this daemon may send a server a request; 0 for now."""
        cold = self.known.get(server)
        return cold.next_in(self.clock()) if cold is not None else 0.0

    def declined_by_server(self) -> Iterator[tuple[int, dict[str, str]]]:
        """Yield how often each server was passed over, for the metrics."""
        yield from ((number, {"server": name}) for name, number in self.declined.items())

    def count(self) -> float:
        """Return the number of cold servers, for the metrics."""
        return float(sum(map(self.is_cold, self.known)))

    async def wait_for_turn(self, server: str, patience: float) -> bool:
        """Wait until this daemon may send a server a request; return False if that is too late.

        Parameters
        ----------
        patience : float
            The longest wait, in seconds.
        """
        deadline = self.clock() + patience
        while wait := self.wait_for(server):
            if self.clock() + wait > deadline:
                return False
            await asyncio.sleep(wait)
        return True

    # Commands.

    def apply_listing(self, hosts: Iterable[Host]) -> None:
        """Learn from the list of hosts which servers are cold."""
        listed = {host.name: host for host in hosts}
        for name, host in listed.items():
            if host.cold != self.listed.get(name, 0.0):
                self._record(host, host.cold, "the list")
        paced = {name: host for name, host in listed.items() if self.cold_start(host.service)}
        self.listed = {name: host.cold for name, host in paced.items() if host.cold}
        for found in (self.known, self.declined):
            for name in found.keys() - listed.keys():
                del found[name]

    def record_answer(self, server: Host, seconds: float | None) -> None:
        """Learn from a server's answer for how long it stays cold; None if it doesn't say."""
        if seconds is not None:
            self._record(server, seconds, "its answer")

    def _record(self, server: Host, seconds: float, source: str) -> None:
        start = self.cold_start(server.service)
        if start is None:
            return
        now, known = self.clock(), self.known.get(server.name)
        until = now + min(seconds, start.duration)
        if known is not None and known.until > now:
            known.until = until
            return
        if until <= now:
            return
        rate = self._own_rate(server.name, start.rate)
        self.known[server.name] = ColdServer(until, rate, now)
        logs.info(
            "server cold", server=server.name, seconds=round(until - now, 2), source=source,
            rate=round(rate, 2),
        )  # fmt: skip

    def _own_rate(self, server: str, pace: float) -> float:
        """Return the requests per second that this daemon may send to a cold server.

        Parameters
        ----------
        pace : float
            The requests per second that the server bears from all daemons.
        """
        used = USED_FRACTION * pace
        number = max(1, int(used / RATE_PER_DAEMON))
        chosen = ranked(f"cold/{server}", sorted(self.daemons()))[:number]
        if self.me not in chosen:
            return 0.0
        # Several daemons may each send one saved-up request in the same second, which the rate
        # leaves room for. A single one needs none: a server bears a few requests beyond its pace.
        rate = used - len(chosen) if len(chosen) > 1 else used
        return max(rate / len(chosen), MIN_RATE)

    def record_send(self, server: str) -> None:
        """Record that a request is sent to a server, cold or not."""
        cold = self.known.get(server)
        if cold is None:
            return
        cold.last_sent_at = self.clock()
        if cold.until <= cold.last_sent_at:
            del self.known[server]

    def record_declined(self, server: str) -> None:
        """Count that a server was passed over because it is cold."""
        self.declined[server] += 1


@define(eq=False)
class ColdListing:
    """Decides which cold times of servers' entries need a new list of hosts.

    The cold time is how much longer a server is cold. Its entry counts it down, which each daemon
    can do by itself. A new list is needed only when a server turns cold, stays cold for longer than
    was listed, or turns warm.

    Attributes
    ----------
    published : dict of str to (float, float)
        The cold time in the list and the end that it means, in seconds of the clock, by server.
    entries : dict of str to (float, float)
        The cold time in the entry and the end that it meant when the entry was read, by server.
    """

    clock: Callable[[], float] = time.monotonic
    published: dict[str, tuple[float, float]] = field(factory=dict)
    entries: dict[str, tuple[float, float]] = field(factory=dict)

    def value(self, server: str, seconds: float) -> float:
        """Return the cold time to list for a server whose entry says ``seconds``."""
        now = self.clock()
        value, until = self.published.get(server, (0.0, NEVER))
        if seconds > 0 and self._end_by_entry(server, seconds) > until + LATER_END:
            self.list_as_cold(server, seconds)
            return self.published[server][0]
        if not seconds and until <= now:
            self.published.pop(server, None)
            self.entries.pop(server, None)
            return 0.0
        return value

    def _end_by_entry(self, server: str, seconds: float) -> float:
        """Return when a server is warm by its entry, counted from when that time was first read."""
        if self.entries.get(server, (0.0, NEVER))[0] != seconds:
            self.entries[server] = (seconds, self.clock() + seconds)
        return self.entries[server][1]

    def list_as_cold(self, server: str, seconds: float) -> None:
        """List a server as cold for a time, whatever its entry says."""
        if self.published.get(server, (0.0, NEVER))[0] == seconds:
            # A list that did not change would not be passed on.
            seconds += TIME_STEP
        self.published[server] = (seconds, self.clock() + seconds)

    def forget_unlisted(self, listed: Collection[str]) -> None:
        """Forget the servers that are not among the listed names."""
        for found in (self.published, self.entries):
            for server in found.keys() - set(listed):
                del found[server]
