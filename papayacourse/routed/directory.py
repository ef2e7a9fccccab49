"""Builds the daemon's host list from the entries in the platform's store."""

import time
from collections.abc import Callable, Iterator

from attrs import define, evolve, field

from papayacourse import logs
from papayacourse.hostlist import HostListing
from papayacourse.routed.coldservers import ColdListing
from papayacourse.routed.document import ColdStart
from papayacourse.routed.listnumbering import ListNumbering
from papayacourse.routed.seams import StorePosition, StoreUpdate
from papayacourse.routed.storecontact import StoreContact
from papayacourse.types import Host, HostKind, HostState


@define(eq=False)
class HostDirectory:
    """Combines the backend servers and daemons in the store into host listings.

    During a store outage, entries expire although their servers are alive. A live server that is
    missing when the store returns stays listed for ``RETURN_GRACE`` and is removed if it is still
    missing then. A store that returns from an older copy may also list a leaving server as live;
    it stays leaving for as long, until its entry has been written again. Without a proven outage
    or an older copy, the store's entries are true at once: see `StoreContact`.

    The servers of a failure domain that the operator drains are listed as leaving until the
    operator takes it back; see docs/design/drained-domains.md.

    Attributes
    ----------
    publish : callable
        Called with each new listing.
    lapsed : dict of str to Host
        The servers that were missing when the store returned, by name.
    left : frozenset of str
        The names of servers that were leaving before the store returned, and are live there.
    contact : StoreContact
        When the store answered, and when it was last away.
    engines_known : bool
        Whether the servers have been read at least once.
    drained : frozenset of str
        The failure domains whose servers are listed as leaving, because the operator drains them.
    reported_drained : frozenset of str
        The failure domains that the store lists as drained; an older copy of it may lack some.
    cold_start : callable
        Returns how the servers of a service start; None for servers that are never cold.
    cold_listing : ColdListing
        The cold times in the listings that are published.
    in_force : callable
        Returns the newest listing known here, whichever daemon published it.
    numbering : ListNumbering
        Numbers the listings that are published.
    era, revision : int
        The store's era and revision of the content here.
    published_hosts : frozenset of Host or None
        The hosts last published in the current epoch.
    """

    publish: Callable[[HostListing], None]
    clock: Callable[[], float] = time.monotonic
    in_force: Callable[[], HostListing] = lambda: HostListing(0, ())
    numbering: ListNumbering = field(factory=ListNumbering)
    era: int = 0
    revision: int = 0
    engines: tuple[Host, ...] = ()
    drained: frozenset[str] = frozenset()
    reported_drained: frozenset[str] = frozenset()
    cold_start: Callable[[str], ColdStart | None] = lambda _service: None
    cold_listing: ColdListing = field(init=False)
    members: tuple[Host, ...] = ()
    lapsed: dict[str, Host] = field(factory=dict)
    left: frozenset[str] = frozenset()
    contact: StoreContact = field(init=False)
    engines_known: bool = False
    published_hosts: frozenset[Host] | None = None

    def __attrs_post_init__(self) -> None:
        self.cold_listing = ColdListing(self.clock)
        self.contact = StoreContact(self.clock)

    def is_outdated(self, known: HostListing, position: StorePosition) -> bool:
        """Return True if an answer of the store cannot continue the content here.

        Parameters
        ----------
        known : HostListing
            The listing that was in force before the store was asked.
        """
        return self.numbering.is_outdated(known, position.revision)

    def update(self, known: HostListing, news: StoreUpdate) -> None:
        """Apply an update of the store and publish the result.

        Parameters
        ----------
        known : HostListing
            The listing that was in force before the store was asked.
        """
        self.contact.record_answer()
        if news.is_complete:
            self._begin(known, news)
        self.revision = news.position.revision
        if news.members is not None:
            self.members = news.members
        if news.engines is not None:
            self._update_engines(news.engines)
        if news.drained is not None:
            # After the servers, since those of a domain that is taken back are listed as cold.
            self._update_drained(news.drained, news.is_complete)
        changes = (news.members, news.engines, news.drained)
        # A listing published before the servers are read would contain none.
        if self.engines_known and any(part is not None for part in changes):
            self._publish()

    def _begin(self, known: HostListing, news: StoreUpdate) -> None:
        """Continue with content that has been read as a whole."""
        epoch, position = self.numbering.epoch, news.position
        has_returned = self.engines_known and position.era != self.era
        self.numbering.begin(known, position.revision, has_returned)
        if self._is_older_copy(position) or self.numbering.epoch > known.epoch:
            self.contact.record_older_copy()
        self.era = position.era
        if self.numbering.epoch != epoch:
            self.published_hosts = None

    def _is_older_copy(self, position: StorePosition) -> bool:
        """Return True if the store has lost content that was read before."""
        has_new_era = bool(self.era) and position.era != self.era
        return has_new_era or (self.engines_known and position.revision < self.revision)

    def _update_drained(self, reported: frozenset[str], is_complete: bool) -> None:
        """Apply which domains the store lists as drained; a store just returned may lack some."""
        taken_back = frozenset() if is_complete else self.reported_drained - reported
        self.reported_drained = reported
        if is_complete:
            # Other daemons may have followed the store meanwhile.
            self.drained = frozenset(h.domain for h in self.in_force().hosts if h.is_drained)
        kept = self.drained - taken_back if self.contact.may_be_old() else frozenset()
        self._set_drained(reported | kept)

    def _set_drained(self, domains: frozenset[str]) -> None:
        """Drain the given domains and take back all others; publishes nothing."""
        for domain in sorted(domains - self.drained):
            logs.info("domain drained", domain=domain, revision=self.revision)
        for domain in sorted(self.drained - domains):
            logs.info("domain taken back", domain=domain, revision=self.revision)
            self._list_as_cold(domain)
        self.drained = domains

    def _list_as_cold(self, domain: str) -> None:
        """List the servers of a domain that is taken back as cold.

        They may have started meanwhile, and many requests come at once when a domain is taken back.
        """
        for host in self.engines:
            start = self.cold_start(host.service)
            if host.domain == domain and start is not None:
                self.cold_listing.list_as_cold(host.name, start.duration)

    def _update_engines(self, entries: tuple[Host, ...]) -> None:
        servers = (host for host in self.in_force().hosts if host.kind == HostKind.ENGINE)
        before = {host.name: as_entry(host) for host in servers} | self.lapsed
        now = {host.name for host in entries}
        self._log_changes(before, entries)
        missing = {name: host for name, host in before.items() if name not in now}
        self.lapsed = self._possibly_returning(missing)
        self.left = self._still_leaving(before, entries)
        self.engines, self.engines_known = entries, True
        self.cold_listing.forget_unlisted(now | self.lapsed.keys())

    def expire(self) -> None:
        """Follow the store alone again once ``RETURN_GRACE`` has passed since it returned.

        Servers that are still missing are removed, servers that it lists as live are live, and
        domains that it doesn't list as drained are taken back.
        """
        is_drained_by_store = self.drained == self.reported_drained
        if not (self.lapsed or self.left) and is_drained_by_store:
            return
        if self.contact.is_away() or self.contact.may_be_old():
            return
        if self.lapsed:
            logs.info("servers gone", names=sorted(self.lapsed), why="missing after an outage")
        if self.left:
            logs.info(
                "servers live again", names=sorted(self.left), why="so listed after an outage"
            )
        self.lapsed, self.left = {}, frozenset()
        self._set_drained(self.reported_drained)
        self._publish()

    def _possibly_returning(self, missing: dict[str, Host]) -> dict[str, Host]:
        """Return the missing servers that may return: those that were not leaving."""
        if not self.contact.may_be_old():
            return {}
        return {name: host for name, host in missing.items() if host.state == HostState.LIVE}

    def _still_leaving(self, before: dict[str, Host], listed: tuple[Host, ...]) -> frozenset[str]:
        """Return the servers that were leaving and are listed as live by a store just returned."""
        if not self.contact.may_be_old():
            return frozenset()
        leaving = {name for name, host in before.items() if host.state == HostState.LEAVING}
        live = {host.name for host in listed if host.state == HostState.LIVE}
        return frozenset(leaving & live)

    def _servers(self) -> Iterator[Host]:
        """Yield the servers to publish."""
        for host in map(self._with_listed_cold, (*self.engines, *self.lapsed.values())):
            if host.domain in self.drained and host.state == HostState.LIVE:
                yield evolve(host, state=HostState.LEAVING, is_drained=True)
            elif host.name in self.left:
                yield evolve(host, state=HostState.LEAVING)
            else:
                yield host

    def _with_listed_cold(self, host: Host) -> Host:
        """Return a server with the cold time to list; 0 if the service's servers are never cold.

        Entries count down, so their own times would make a new listing each second.
        """
        is_paced = self.cold_start(host.service) is not None
        listed = self.cold_listing.value(host.name, host.cold) if is_paced else 0.0
        return host if host.cold == listed else evolve(host, cold=listed)

    def _log_changes(self, before: dict[str, Host], listed: tuple[Host, ...]) -> None:
        for host in map(as_entry, listed):
            if before.get(host.name) != host:
                logs.info(
                    "server listed", server=host.name, address=host.address, state=host.state.value,
                    domain=host.domain, revision=self.revision,
                )  # fmt: skip
        for name in before.keys() - {host.name for host in listed}:
            logs.info("server not listed", server=name, revision=self.revision)

    def _publish(self) -> None:
        hosts = (*self._servers(), *self.members)
        # Another daemon's listing may be in force, which the store has left behind.
        if frozenset(hosts) == self.published_hosts == frozenset(self.in_force().hosts):
            return
        self.published_hosts = frozenset(hosts)
        # Listings of one revision differ only in the entries that have expired since.
        version = self.numbering.next_version(self.revision)
        self.publish(HostListing(version, hosts, self.numbering.epoch))


def as_entry(host: Host) -> Host:
    """Return a server as in its entry, without the drain of its domain and without a cold time."""
    state = HostState.LIVE if host.is_drained else host.state
    return evolve(host, state=state, is_drained=False, cold=0.0)
