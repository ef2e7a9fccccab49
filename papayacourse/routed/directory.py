"""Builds the daemon's host list from the entries in the platform's store."""

import time
from collections.abc import Callable, Iterable

from attrs import define, field

from papayacourse import logs
from papayacourse.hostlist import HostListing
from papayacourse.routed.seams import HostSnapshot
from papayacourse.types import Host, HostState

LAPSE_GRACE = 2.2  # seconds after a store outage in which servers renew expired entries


@define(eq=False)
class HostDirectory:
    """Combines the backend servers and daemons in the store into host listings.

    During a store outage, entries expire although their servers are alive. A live server that is
    missing when the store returns stays listed for ``LAPSE_GRACE`` and is removed if it is still
    missing then.

    Attributes
    ----------
    publish : callable
        Called with each new listing.
    lapsed : dict of str to Host
        The servers that were missing when the store returned, by name.
    returned_at : float
        When the store last returned, in seconds of the clock.
    store_is_away : bool
        Whether the last read of the store failed.
    engines_known : bool
        Whether the servers have been read at least once.
    in_force : callable
        Returns the servers of the newest listing known here, whichever daemon published it.
    published_hosts : frozenset of Host or None
        The hosts last published.
    """

    publish: Callable[[HostListing], None]
    clock: Callable[[], float] = time.monotonic
    in_force: Callable[[], Iterable[Host]] = tuple
    engines: HostSnapshot = field(factory=lambda: HostSnapshot(0, ()))
    members: HostSnapshot = field(factory=lambda: HostSnapshot(0, ()))
    lapsed: dict[str, Host] = field(factory=dict)
    returned_at: float = float("-inf")
    store_is_away: bool = False
    engines_known: bool = False
    published_version: int = 0
    published_hosts: frozenset[Host] | None = None

    def record_store_failure(self, why: str) -> None:
        """Record that the store cannot be read."""
        if not self.store_is_away:
            logs.warning("store unavailable", why=why)
        self.store_is_away = True

    def record_store_answer(self) -> None:
        """Record that the store can be read."""
        if self.store_is_away:
            self.returned_at = self.clock()
            logs.info("store available again", lapsed=len(self.lapsed))
        self.store_is_away = False

    def update_engines(self, listed: HostSnapshot) -> None:
        """Apply a listing of the servers and publish the result."""
        self.record_store_answer()
        before = {host.name: host for host in self.in_force()} | self.lapsed
        now = {host.name for host in listed.hosts}
        self._log_changes(before, listed)
        missing = {name: host for name, host in before.items() if name not in now}
        self.lapsed = self._kept(missing)
        self.engines, self.engines_known = listed, True
        self._publish()

    def update_members(self, listed: HostSnapshot) -> None:
        """Apply a listing of the daemons; publish the result once the servers are known."""
        self.members = listed
        if self.engines_known:
            # A listing published before the servers are read would contain none.
            self._publish()

    def expire(self) -> None:
        """Remove servers that are still missing ``LAPSE_GRACE`` after the store returned."""
        if self.lapsed and not self.store_is_away and self.clock() > self.returned_at + LAPSE_GRACE:
            logs.info("servers gone", names=sorted(self.lapsed), why="missing after an outage")
            self.lapsed = {}
            self._publish()

    def _kept(self, missing: dict[str, Host]) -> dict[str, Host]:
        """Return the missing servers that may return: those that were not leaving."""
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
        if frozenset(hosts) == self.published_hosts:
            return
        self.published_hosts = frozenset(hosts)
        revision = max(self.engines.revision, self.members.revision)
        # Listings of one revision differ only in the entries that have expired since.
        self.published_version = max(2 * revision, self.published_version + 1)
        self.publish(HostListing(self.published_version, hosts))
