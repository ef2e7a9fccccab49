"""Keeps all daemons together within the places of servers that fall over when they reject."""

import time
from collections import Counter
from collections.abc import Callable, Collection, Iterable

from attrs import define, field

from papayacourse import logs
from papayacourse.rendezvous import ranked
from papayacourse.types import Host

DEFAULT_SLOTS = 4  # of a server that lists none
SHARE_LIFETIME = 1.0  # seconds for which a share is kept before it is worked out again
REJECTION_PAUSE = 1.0  # seconds without requests after a brittle server rejected one
ROOM_WAIT = 0.2  # seconds until a place is likely to be free


@define
class PlaceShare:
    """The places at a server that this daemon may use, and when that was worked out."""

    places: int
    at: float


@define(eq=False)
class BrittleServers:
    """The servers that said how few rejections they bear, and this daemon's requests there.

    A server's places are divided among all daemons, by an order that each of them knows without
    asking. So their requests never exceed the places, however few may wait. While one server of a
    service is brittle, the others are taken for brittle as well.

    Attributes
    ----------
    me : str
        The name of this daemon.
    daemons : callable
        Returns the names of all daemons, this one included.
    servers : callable
        Returns the servers of a service.
    brittle : dict of str to dict of str to float
        How many rejections in a second each brittle server bears, by service and server.
    running : Counter of str
        The requests of this daemon at each server.
    rejected_at : dict of str to float
        When each brittle server last rejected a request, in seconds of the clock.
    """

    me: str = ""
    daemons: Callable[[], Collection[str]] = tuple
    servers: Callable[[str], Iterable[Host]] = lambda _service: ()
    clock: Callable[[], float] = time.monotonic
    brittle: dict[str, dict[str, float]] = field(factory=dict)
    running: Counter = field(factory=Counter)
    rejected_at: dict[str, float] = field(factory=dict)
    shares: dict[str, PlaceShare] = field(factory=dict)

    # Queries.

    def wait_for(self, server: Host) -> float:
        """Return the time until a server may have room for a request, in seconds; 0 for now."""
        if server.service not in self.brittle:
            return 0.0
        pause = self.rejected_at.get(server.name, float("-inf")) + REJECTION_PAUSE - self.clock()
        full = self.running[server.name] >= self._share(server)
        return max(pause, ROOM_WAIT if full else 0.0, 0.0)

    def _share(self, server: Host) -> int:
        """Return how many places of a server this daemon may use."""
        known, now = self.shares.get(server.name), self.clock()
        if known is None or now - known.at > SHARE_LIFETIME:
            known = self.shares[server.name] = PlaceShare(self._count_places(server), now)
        return known.places

    def _count_places(self, server: Host) -> int:
        names = self.daemons()
        places = divide_places(server, names).get(self.me, 0)
        if places or any(divide_places(s, names).get(self.me) for s in self._siblings(server)):
            return places
        # There are more daemons than places; those without any use one server each, sparingly.
        home = ranked(self.me, [host.name for host in self._siblings(server)])[:1]
        return int(home == [server.name])

    def _siblings(self, server: Host) -> list[Host]:
        return [server, *(s for s in self.servers(server.service) if s.name != server.name)]

    # Commands.

    def record_answer(self, server: Host, bears: float | None, is_certain: bool) -> None:
        """Record how many rejections a server said that it bears; None if it said nothing."""
        known = self.brittle.get(server.service, {})
        if bears is not None:
            if server.name not in known:
                logs.info("server is brittle", server=server.name, rejections=bears)
            self.brittle[server.service] = known | {server.name: bears}
        elif is_certain and known.pop(server.name, None) is not None:
            logs.info("server no longer brittle", server=server.name)
            self._drop_sturdy_services()

    def record_rejection(self, server: Host) -> None:
        """Record that a server rejected a request for want of room."""
        if server.service in self.brittle:
            self.rejected_at[server.name] = self.clock()
            logs.warning("brittle server rejected a request", server=server.name)

    def record_begin(self, server: str) -> None:
        """Record that a request is sent to a server."""
        self.running[server] += 1

    def record_end(self, server: str) -> None:
        """Record that a request sent to a server has ended."""
        self.running[server] -= 1
        if self.running[server] <= 0:
            del self.running[server]

    def forget_unlisted(self, listed: Collection[str]) -> None:
        """Forget servers that are not listed any more."""
        for known in (*self.brittle.values(), self.rejected_at, self.shares):
            for name in known.keys() - set(listed):
                del known[name]
        self._drop_sturdy_services()

    def _drop_sturdy_services(self) -> None:
        self.brittle = {service: servers for service, servers in self.brittle.items() if servers}


def divide_places(server: Host, daemons: Collection[str]) -> dict[str, int]:
    """Return how many places of a server each daemon may use; those without any are left out."""
    each, left = divmod(server.slots or DEFAULT_SLOTS, max(1, len(daemons)))
    order = ranked(server.name, list(daemons))
    shares = {name: each + (number < left) for number, name in enumerate(order)}
    return {name: places for name, places in shares.items() if places}
