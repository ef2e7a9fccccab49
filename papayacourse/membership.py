"""Cluster membership: merges the platform's lagging host list with heartbeats and gossip."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterator

from attrs import define, field

from papayacourse import logs
from papayacourse.catalog import Catalog
from papayacourse.exceptions import MalformedMessage, PeerError
from papayacourse.gatewaylinks import GatewayLinks
from papayacourse.handshake import mesh_address
from papayacourse.heartbeats import CHECK_INTERVAL, Heartbeats
from papayacourse.hostlist import HostList, HostListing
from papayacourse.hostsync import HostSync
from papayacourse.linkclasses import LinkClass, Place
from papayacourse.liveness import DEAD_AFTER, FailureDetector
from papayacourse.members import Member
from papayacourse.meshmessages import Beat, Heartbeat, Hello, ServiceLoad
from papayacourse.peers import Peers
from papayacourse.rendezvous import ranked
from papayacourse.settingsync import SettingsSync
from papayacourse.ticks import next_tick
from papayacourse.types import Address, Host, HostKind, HostState

REMOVE_AFTER_SECONDS = 60.0  # for a dead daemon that is not in the host list
MAX_SEED_RETRY_SECONDS = 10.0
HEARTBEAT_PRECEDENCE_SECONDS = 3.0  # a newer heartbeat overrides the gateways' summary


async def ignore_document(_peer: str, _version: int) -> None:
    """Ignore a document version; the default where no settings documents are used."""


@define(eq=False)
class Membership:
    """Tracks the known daemons and decides which of them need a link.

    Attributes
    ----------
    members : dict of str to Member
        Every other known daemon, alive or not, by name.
    loads_here : callable
        Returns the loads of the services that this daemon schedules.
    informed : callable
        Returns True if this daemon has the settings and hosts that duties require.
    document_version : callable
        Returns the version of the active settings document, or 0 if there is none.
    compare_document : callable
        Called with a peer's name and the version of its settings document.
    remote_live : callable
        Returns the live daemons of another domain, as reported by its gateways.
    gateway_links : GatewayLinks
        The links that this daemon keeps as a gateway to other domains.
    pushes_versions : callable
        Returns True if newer settings and hosts are pushed to this domain's daemons, so that
        heartbeats need not announce them.
    on_listing : callable
        Called with each newer host list.
    """

    me: Hello
    peers: Peers
    catalog: Catalog
    host_list: HostList
    seeds: tuple[Address, ...] = ()
    clock: Callable[[], float] = time.monotonic
    members: dict[str, Member] = field(factory=dict)
    leaving: bool = False
    listed_leaving: bool = False
    changed: asyncio.Event = field(factory=asyncio.Event)
    settings: SettingsSync = field(init=False)
    loads_here: Callable[[], tuple[ServiceLoad, ...]] = tuple
    informed: Callable[[], bool] = lambda: True
    document_version: Callable[[], int] = lambda: 0
    compare_document: Callable[[str, int], Awaitable[None]] = ignore_document
    remote_live: Callable[[str], list[str]] = lambda _domain: []
    host_sync: HostSync = field(init=False)
    gateway_links: GatewayLinks = field(init=False)
    pushes_versions: Callable[[], bool] = lambda: False
    on_listing: Callable[[HostListing], None] = lambda _listing: None
    heartbeats: Heartbeats = field(init=False)
    failure_detector: FailureDetector = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.gateway_links = GatewayLinks(self)
        self.host_sync = HostSync(
            self.me.name, self.peers, self.host_list, self.live, self._hosts_changed
        )
        self.failure_detector = FailureDetector(
            self.me, self.peers, self.members, self.changed.set, self.clock
        )
        self.heartbeats = Heartbeats(
            self.peers,
            self._heartbeat,
            self._needs_link,
            self.failure_detector.expects_beats,
            self._use_listed_address,
            self._gets_pushed_versions,
        )
        self.peers.on_connected = self.handle_connected
        self.peers.handlers[Heartbeat] = self.handle_heartbeat
        self.peers.handlers[Beat] = self.handle_beat
        self.peers.on_frame = self.record_frame
        self.settings = SettingsSync(self.peers, self.catalog, self.changed.set)

    # Queries.

    @property
    def hosts(self) -> HostListing:
        """Return the newest host list received from the platform or a peer."""
        return self.host_sync.listing

    def is_leaving(self, backend: str) -> bool:
        """Return True if the newest host list marks a backend server as leaving."""
        host = self.hosts.by_name.get(backend)
        return host is not None and host.state == HostState.LEAVING

    def link_to(self, backend: str) -> LinkClass | None:
        """Return the class of the link to a backend server; None when it is not listed."""
        host = self.hosts.by_name.get(backend)
        if host is None:
            return None
        return Place(self.me.domain, self.me.region).link_to(host.domain, host.region)

    def is_alive(self, name: str) -> bool:
        """Return True if a daemon is believed to be alive."""
        if name == self.me.name:
            return True
        member = self.members.get(name)
        if member is None:
            return False
        if member.domain == self.me.domain:
            return member.answers
        is_recent = self.clock() - member.last_heard < DEAD_AFTER
        return is_recent or name in self.remote_live(member.domain)

    def may_take_duties(self, member: Member) -> bool:
        """Return True if neither the daemon nor the host list has announced that it leaves."""
        return not member.leaving and not member.listed_leaving

    def live(self, domain: str | None = None) -> list[str]:
        """Return the live daemons of a domain (default: own) that may take duties."""
        domain = domain or self.me.domain
        relayed = set() if domain == self.me.domain else set(self.remote_live(domain))
        members = (member for member in self.members.values() if member.domain == domain)
        found = [member.name for member in members if self._is_available(member, relayed)]
        if domain == self.me.domain and self.takes_duties():
            found.append(self.me.name)
        return found

    def _is_available(self, member: Member, relayed: set[str]) -> bool:
        """Return True if a daemon is alive and may take duties, by the newest information.

        A remote daemon sends heartbeats only while this daemon is a gateway to it. Afterwards
        its domain's gateways have newer information, even if its last heartbeat said that it
        takes no duties yet.
        """
        has_recent_heartbeat = self.clock() - member.heartbeat_at < HEARTBEAT_PRECEDENCE_SECONDS
        if member.name in relayed and not has_recent_heartbeat:
            return not member.listed_leaving
        return self.may_take_duties(member) and self.is_alive(member.name)

    def takes_duties(self) -> bool:
        """Return True if this daemon may be given duties."""
        return not self.leaving and not self.listed_leaving and self.informed()

    def domains(self) -> dict[str, str]:
        """Return the region of every known domain, including this one."""
        known = {member.domain: member.region for member in self.members.values()}
        return known | {self.me.domain: self.me.region}

    def owners(self, duty: str, domain: str | None = None) -> list[str]:
        """Return the live daemons of a domain, ranked as owners of a duty."""
        return ranked(duty, self.live(domain))

    def owns(self, duty: str) -> bool:
        """Return True if this daemon ranks first for a duty of its domain."""
        return self.owners(duty)[:1] == [self.me.name]

    def backends(self, kind: HostKind) -> Iterator[Host]:
        """Yield the backend servers of a kind in the newest host list."""
        return iter(self.hosts.by_kind.get(kind, ()))

    # Commands.

    def handle_connected(self, hello: Hello) -> None:
        """Add or update a daemon whose link has just been established."""
        if hello.name == self.me.name:
            # One of the seeds may be this daemon's own address.
            return
        known = self.members.get(hello.name)
        now = self.clock()
        # The clock of a replaced host may be behind, so a lower incarnation is accepted once the
        # daemon with the higher one is dead.
        if known is None or hello.incarnation >= known.incarnation or not self.is_alive(hello.name):
            member = Member(hello.name, hello.domain, hello.region, hello.incarnation, now)
            if known is not None:
                member.listed, member.listed_mesh = known.listed, known.listed_mesh
                member.listed_leaving = known.listed_leaving
                if known.incarnation == hello.incarnation:
                    member.leaving, member.beat = known.leaving, known.beat
            self.members[hello.name] = member
            self.peers.addresses[hello.name] = mesh_address(hello)
            self.heartbeats.add_peer(hello.name)
            self.changed.set()

    def add_reported(self, hello: Hello) -> None:
        """Add a daemon that a peer has reported."""
        try:
            address = mesh_address(hello)
        except MalformedMessage as error:
            logs.warning("reported daemon refused", daemon=hello.name, why=str(error))
            return
        if hello.name != self.me.name and hello.name not in self.members:
            self.members[hello.name] = Member(
                hello.name, hello.domain, hello.region, hello.incarnation
            )
        if hello.name != self.me.name and hello.name not in self.peers.links:
            self.peers.addresses[hello.name] = address

    def suspect(self, name: str) -> None:
        """Treat a daemon that timed out as dead until its next frame arrives."""
        member = self.members.get(name)
        if member is not None:
            member.suspected = self.clock()
            self.changed.set()

    def record_frame(self, peer: Hello) -> None:
        """Record the time of a frame from the current incarnation of a peer."""
        member = self.members.get(peer.name)
        if member is not None and peer.incarnation >= member.incarnation:
            member.last_heard = self.clock()

    async def handle_heartbeat(self, peer: Hello, beat: Heartbeat) -> None:
        """Store a heartbeat and request newer settings and hosts from its sender."""
        member = self.members.get(peer.name)
        if member is None or beat.incarnation < member.incarnation:
            return
        member.beat, member.heartbeat_at = beat, self.clock()
        if member.leaving != beat.leaving:
            member.leaving = beat.leaving
            self.changed.set()
        await self._fetch_newer(member)

    def update_takes_duties(self, name: str, takes_duties: bool) -> None:
        """Record whether a daemon has just announced that it takes duties."""
        member = self.members.get(name)
        if member is not None and member.leaving == takes_duties:
            member.leaving = not takes_duties
            self.changed.set()

    async def handle_beat(self, _peer: Hello, _beat: Beat) -> None:
        """Ignore a beat: `record_frame` counts it like any other frame."""

    async def _fetch_newer(self, member: Member) -> None:
        """Request the hosts and settings that are newer at a peer, by its last heartbeat."""
        epoch_version = (member.beat.hosts_epoch, member.beat.hosts_version)
        self.host_sync.request_if_newer(member.name, epoch_version)
        await self.compare_document(member.name, member.beat.document_version)
        await self.settings.compare(member.name, member.beat.settings_digest)

    async def catch_up(self) -> None:
        """Periodically repeat requests for newer hosts and settings that have failed."""
        while True:
            await next_tick(CHECK_INTERVAL)
            with_heartbeat = [m for m in self.members.values() if m.beat and self.is_alive(m.name)]
            for member in random.sample(with_heartbeat, len(with_heartbeat)):
                await self._fetch_newer(member)

    def _hosts_changed(self) -> None:
        """Merge the newest host list into the members."""
        listed = self.hosts.by_kind.get(HostKind.ENTRY, ())
        entries = {host.name: host for host in listed if host.mesh}
        mine = entries.pop(self.me.name, None)
        self.listed_leaving = mine is not None and mine.state == HostState.LEAVING
        for member in self.members.values():
            if member.name not in entries:
                member.listed = member.listed_leaving = False
        for host in entries.values():
            self._add_listed(host)
        self.changed.set()
        self.on_listing(self.hosts)

    def _add_listed(self, host: Host) -> None:
        member = self.members.setdefault(host.name, Member(host.name, host.domain, host.region))
        member.listed = True
        member.listed_leaving = host.state == HostState.LEAVING
        if member.listed_mesh != host.mesh:
            member.listed_mesh = host.mesh
            # The host list lags, so the address that a live daemon announced is newer.
            if not self.is_alive(host.name):
                self.peers.addresses[host.name] = Address.parse(host.mesh)
        self.heartbeats.add_peer(host.name)

    def _needs_link(self, name: str) -> bool:
        """Return True if this daemon keeps a link to a peer: own domain, or a gateway link."""
        return name in self.gateway_links.names or self._is_in_own_domain(name)

    def _is_in_own_domain(self, name: str) -> bool:
        member = self.members.get(name)
        return member is not None and member.domain == self.me.domain

    def _gets_pushed_versions(self, name: str) -> bool:
        """Return True if newer settings and hosts are pushed to a peer."""
        return self._is_in_own_domain(name) and self.pushes_versions()

    async def maintain_members(self) -> None:
        """Periodically remove expired daemons and refresh the required links."""
        took_duties = False
        while True:
            await next_tick(CHECK_INTERVAL)
            if self.takes_duties() != took_duties:
                # Peers that get no regular heartbeats from here would keep the old value.
                took_duties = not took_duties
                self.heartbeats.send_to_all()
            for member in list(self.members.values()):
                if self._is_expired(member):
                    del self.members[member.name]
                    self.peers.addresses.pop(member.name, None)
                    logs.info("daemon forgotten", daemon=member.name)
            self.gateway_links.refresh()
            for name in self.members:
                self.heartbeats.add_peer(name)

    def _is_expired(self, member: Member) -> bool:
        if member.listed or self.is_alive(member.name):
            return False
        return self.clock() - max(member.last_heard, member.known_since) > REMOVE_AFTER_SECONDS

    def _use_listed_address(self, name: str) -> None:
        """Fall back to the listed address of a daemon that is unreachable at its announced one."""
        member = self.members.get(name)
        if member is not None and member.listed_mesh and not self.is_alive(name):
            self.peers.addresses[name] = Address.parse(member.listed_mesh)

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self.me.name,
            self.me.incarnation,
            not self.takes_duties(),
            self.catalog.digest,
            self.hosts.version,
            self.loads_here(),
            self.hosts.epoch,
            on_ring=True,
            document_version=self.document_version(),
        )

    async def leave(self) -> None:
        """Announce to every linked peer that this daemon takes no new duties."""
        self.leaving = True
        self.heartbeats.send_to_all()

    async def connect_to_seeds(self) -> None:
        """Dial the seed addresses until each has answered once, with back-off."""
        waiting = set(self.seeds)
        pause = CHECK_INTERVAL
        while waiting:
            for seed in list(waiting):
                try:
                    await self.peers.dial(seed)
                    waiting.discard(seed)
                except PeerError as error:
                    logs.debug("seed not reached", seed=str(seed), why=str(error))
            await asyncio.sleep(pause * random.uniform(0.5, 1.5))
            pause = min(MAX_SEED_RETRY_SECONDS, pause * 2)
