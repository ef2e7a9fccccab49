"""The backend servers that the platform's store lists, as the host list of this daemon."""

import time
from collections.abc import Callable, Iterable

from attrs import define, field

from papayacourse import logs
from papayacourse.hostlist import HostListing
from papayacourse.routed.seams import HostSnapshot
from papayacourse.types import Host, HostState

LAPSE_GRACE = 2.2  # seconds after an outage of the store in which lapsed entries come back


@define(eq=False)
class Directory:
    """Joins backend servers and daemons listed in the store into host listings.

    Entries lapse while the store is away although their servers live. One that is missing when
    the store comes back keeps its place for a while, and is taken for gone if it stays missing.

    Attributes
    ----------
    publish : callable
        Takes each new listing.
    lapsed : dict of str to Host
        The servers that were missing when the store came back.
    returned_at : float
        When the store last came back, in seconds of the clock.
    is_away : bool
        Whether the store could not be read at the last try.
    known : bool
        Whether the servers have been read at all.
    in_force : callable
        Returns the servers of the newest listing known here, whoever has published it.
    shown : frozenset of Host or None
        What was last published.
    """

    publish: Callable[[HostListing], None]
    clock: Callable[[], float] = time.monotonic
    in_force: Callable[[], Iterable[Host]] = tuple
    engines: HostSnapshot = field(factory=lambda: HostSnapshot(0, ()))
    members: HostSnapshot = field(factory=lambda: HostSnapshot(0, ()))
    lapsed: dict[str, Host] = field(factory=dict)
    returned_at: float = float("-inf")
    is_away: bool = False
    known: bool = False
    published: int = 0
    shown: frozenset[Host] | None = None

    def store_lost(self, why: str) -> None:
        """Note that the store cannot be read."""
        if not self.is_away:
            logs.warning("store lost", why=why)
        self.is_away = True

    def store_answers(self) -> None:
        """Note that the store can be read."""
        if self.is_away:
            self.returned_at = self.clock()
            logs.info("store regained", lapsed=len(self.lapsed))
        self.is_away = False

    def take_engines(self, listed: HostSnapshot) -> None:
        """Take the servers that are listed now."""
        self.store_answers()
        before = {host.name: host for host in self.in_force()} | self.lapsed
        now = {host.name for host in listed.hosts}
        self._log_changes(before, listed)
        missing = {name: host for name, host in before.items() if name not in now}
        self.lapsed = self._kept(missing)
        self.engines, self.known = listed, True
        self._publish()

    def take_members(self, listed: HostSnapshot) -> None:
        """Take the daemons that are listed now."""
        self.members = listed
        if self.known:
            # Without the servers a listing would look as if there were none.
            self._publish()

    def expire(self) -> None:
        """Take servers for gone that stayed missing after the store came back."""
        if self.lapsed and not self.is_away and self.clock() > self.returned_at + LAPSE_GRACE:
            logs.info("servers gone", names=sorted(self.lapsed), why="missing after an outage")
            self.lapsed = {}
            self._publish()

    def _kept(self, missing: dict[str, Host]) -> dict[str, Host]:
        """Return the missing servers that may come back: those that had not said they leave."""
        if self.clock() > self.returned_at + LAPSE_GRACE:
            return {}
        return {name: host for name, host in missing.items() if host.state == HostState.LIVE}

    def _log_changes(self, before: dict[str, Host], listed: HostSnapshot) -> None:
        for host in listed.hosts:
            if before.get(host.name) != host:
                logs.info(
                    "server listed", server=host.name, address=host.address, state=host.state.value,
                    domain=host.domain, revision=listed.revision,
                )  # fmt: skip
        for name in before.keys() - {host.name for host in listed.hosts}:
            logs.info("server not listed", server=name, revision=listed.revision)

    def _publish(self) -> None:
        hosts = (*self.engines.hosts, *self.lapsed.values(), *self.members.hosts)
        if frozenset(hosts) == self.shown:
            return
        self.shown = frozenset(hosts)
        revision = max(self.engines.revision, self.members.revision)
        # Two listings of one revision differ only in what has lapsed since.
        self.published = max(2 * revision, self.published + 1)
        self.publish(HostListing(self.published, hosts))
