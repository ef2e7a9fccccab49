"""Who is there: the platform's lagging list joined with what daemons hear of each other."""

import asyncio
import random
import time
from collections.abc import Awaitable, Callable, Iterator

from attrs import define, field

from papayacourse import logs
from papayacourse.catalog import Catalog
from papayacourse.exceptions import PeerError
from papayacourse.gatewaylinks import GatewayLinks
from papayacourse.heartbeats import CHECK_INTERVAL, Heartbeats
from papayacourse.hostlist import HostList, HostListing
from papayacourse.hostsync import HostSync
from papayacourse.linkclasses import LinkClass, Place
from papayacourse.liveness import DEAD_AFTER, Watch
from papayacourse.members import Member
from papayacourse.meshmessages import Beat, Heartbeat, Hello, ServiceLoad
from papayacourse.peers import Peers
from papayacourse.rendezvous import ranked
from papayacourse.settingsync import SettingsSync
from papayacourse.ticks import next_tick
from papayacourse.types import Address, Host, HostKind, HostState

FORGET_AFTER = 60.0  # seconds after which a dead daemon that is not listed is forgotten
MAX_SEED_PAUSE = 10.0  # seconds between tries to reach a seed
TOLD_COUNTS = 3.0  # seconds for which a heartbeat counts more than what gateways tell


async def ignore_document(_peer: str, _version: int) -> None:
    """Have no use for settings documents."""


@define(eq=False)
class Membership:
    """Keeps the list of members and the links they need.

    Attributes
    ----------
    members : dict of str to Member
        Every other daemon known, alive or not.
    loads_here : callable
        Returns the loads of the services that this daemon schedules.
    informed : callable
        Tells whether this daemon knows enough to take duties: settings and hosts.
    document_version : callable
        Returns the version of the settings document in force here; 0 without one.
    peer_document : callable
        Called with a peer's name and the version of its document.
    remote_live : callable
        Returns the live daemons of another domain, as its own gateways tell.
    far_links : GatewayLinks
        The daemons of other domains that this one keeps links to.
    hears_versions : callable
        Tells whether this domain's daemons hear of newer settings and hosts without heartbeats.
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
    peer_document: Callable[[str, int], Awaitable[None]] = ignore_document
    remote_live: Callable[[str], list[str]] = lambda _domain: []
    host_sync: HostSync = field(init=False)
    far_links: GatewayLinks = field(init=False)
    hears_versions: Callable[[], bool] = lambda: False
    heartbeats: Heartbeats = field(init=False)
    watch: Watch = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.far_links = GatewayLinks(self)
        self.host_sync = HostSync(
            self.me.name, self.peers, self.host_list, self.live, self._hosts_changed
        )
        self.watch = Watch(self.me, self.peers, self.members, self.changed.set, self.clock)
        self.heartbeats = Heartbeats(
            self.peers,
            self._heartbeat,
            self._needs_link,
            self.watch.expects_beats,
            self._try_other_address,
            self._hears_versions,
        )
        self.peers.on_connected = self.met
        self.peers.handlers[Heartbeat] = self.heard
        self.peers.handlers[Beat] = self.beaten
        self.peers.on_frame = self.heard_from
        self.settings = SettingsSync(self.peers, self.catalog, self.changed.set)

    # Queries.

    @property
    def hosts(self) -> HostListing:
        """Return the newest host list seen, from the platform or from a peer."""
        return self.host_sync.listing

    def is_leaving(self, backend: str) -> bool:
        """Tell whether the newest host list says that a backend server is to leave."""
        host = self.hosts.by_name.get(backend)
        return host is not None and host.state == HostState.LEAVING

    def link_to(self, backend: str) -> LinkClass | None:
        """Return the class of the link to a backend server; None when it is not listed."""
        host = self.hosts.by_name.get(backend)
        if host is None:
            return None
        return Place(self.me.domain, self.me.region).link_to(host.domain, host.region)

    def is_alive(self, name: str) -> bool:
        """Tell whether a daemon lives, as far as is known."""
        if name == self.me.name:
            return True
        member = self.members.get(name)
        if member is None:
            return False
        if member.domain == self.me.domain:
            return member.answers
        heard = self.clock() - member.last_heard < DEAD_AFTER
        return heard or name in self.remote_live(member.domain)

    def stays(self, member: Member) -> bool:
        """Tell whether a daemon may be given duties: nobody has said that it leaves."""
        return not member.leaving and not member.listed_leaving

    def live(self, domain: str | None = None) -> list[str]:
        """Return the daemons of a domain that live and stay; this one's domain by default."""
        domain = domain or self.me.domain
        relayed = set() if domain == self.me.domain else set(self.remote_live(domain))
        members = (member for member in self.members.values() if member.domain == domain)
        found = [member.name for member in members if self._serves(member, relayed)]
        if domain == self.me.domain and self.takes_duties():
            found.append(self.me.name)
        return found

    def _serves(self, member: Member, relayed: set[str]) -> bool:
        """Tell whether a daemon lives and stays, by what was last heard of it.

        Its own heartbeats end once this daemon is no gateway to it any more. From then on what
        its domain's gateways tell is newer, also where it last said that it takes no duties yet.
        """
        told_lately = self.clock() - member.told_at < TOLD_COUNTS
        if member.name in relayed and not told_lately:
            return not member.listed_leaving
        return self.stays(member) and self.is_alive(member.name)

    def takes_duties(self) -> bool:
        """Tell whether this daemon may be given duties."""
        return not self.leaving and not self.listed_leaving and self.informed()

    def domains(self) -> dict[str, str]:
        """Return every domain known, this one's included, each with its region."""
        known = {member.domain: member.region for member in self.members.values()}
        return known | {self.me.domain: self.me.region}

    def owners(self, duty: str, domain: str | None = None) -> list[str]:
        """Return the live daemons of a domain in the order in which they should hold a duty."""
        return ranked(duty, self.live(domain))

    def owns(self, duty: str) -> bool:
        """Tell whether this daemon should hold a duty of its domain."""
        return self.owners(duty)[:1] == [self.me.name]

    def backends(self, kind: HostKind) -> Iterator[Host]:
        """Yield the backend servers of a kind that the newest host list has."""
        return iter(self.hosts.by_kind.get(kind, ()))

    # Commands.

    def met(self, hello: Hello) -> None:
        """Note a daemon whose link has just come up."""
        if hello.name == self.me.name:
            # One of the seeds is this daemon's own address.
            return
        known = self.members.get(hello.name)
        now = self.clock()
        # A replaced host's clock may be behind, so an older number counts once the newer is dead.
        if known is None or hello.incarnation >= known.incarnation or not self.is_alive(hello.name):
            member = Member(hello.name, hello.domain, hello.region, hello.incarnation, now)
            if known is not None:
                member.listed, member.listed_mesh = known.listed, known.listed_mesh
                member.listed_leaving = known.listed_leaving
                if known.incarnation == hello.incarnation:
                    member.leaving, member.beat = known.leaving, known.beat
            self.members[hello.name] = member
            self.peers.addresses[hello.name] = Address.parse(hello.mesh)
            self.heartbeats.keep(hello.name)
            self.changed.set()

    def learn(self, hello: Hello) -> None:
        """Note a daemon that another one has told of."""
        if hello.name != self.me.name and hello.name not in self.members:
            self.members[hello.name] = Member(
                hello.name, hello.domain, hello.region, hello.incarnation
            )
        if hello.name != self.me.name and hello.name not in self.peers.links:
            self.peers.addresses[hello.name] = Address.parse(hello.mesh)

    def suspect(self, name: str) -> None:
        """Take a daemon that did not answer in time for dead until it is heard again."""
        member = self.members.get(name)
        if member is not None:
            member.suspected = self.clock()
            self.changed.set()

    def heard_from(self, peer: Hello) -> None:
        """Take any frame of a peer's present process for a sign of life."""
        member = self.members.get(peer.name)
        if member is not None and peer.incarnation >= member.incarnation:
            member.last_heard = self.clock()

    async def heard(self, peer: Hello, beat: Heartbeat) -> None:
        """Note a heartbeat, and ask for what the peer knows better."""
        member = self.members.get(peer.name)
        if member is None or beat.incarnation < member.incarnation:
            return
        member.beat, member.told_at = beat, self.clock()
        if member.leaving != beat.leaving:
            member.leaving = beat.leaving
            self.changed.set()
        await self._compare(member)

    def told_of_duties(self, name: str, takes_duties: bool) -> None:
        """Note whether a daemon has just said of itself that it takes duties."""
        member = self.members.get(name)
        if member is not None and member.leaving == takes_duties:
            member.leaving = not takes_duties
            self.changed.set()

    async def beaten(self, _peer: Hello, _beat: Beat) -> None:
        """Take a beat, which says no more than any frame does."""

    async def _compare(self, member: Member) -> None:
        """Ask a peer for what its last heartbeat says that it knows better."""
        told = (member.beat.hosts_epoch, member.beat.hosts_version)
        self.host_sync.peer_has(member.name, told)
        await self.peer_document(member.name, member.beat.document_version)
        await self.settings.compare(member.name, member.beat.settings_digest)

    async def catch_up(self) -> None:
        """Ask a peer that knows better, again and again, for what an earlier try did not bring."""
        while True:
            await next_tick(CHECK_INTERVAL)
            told = [m for m in self.members.values() if m.beat and self.is_alive(m.name)]
            for member in random.sample(told, len(told)):
                await self._compare(member)

    def _hosts_changed(self) -> None:
        """Join the newest host list with the members."""
        entries = {h.name: h for h in self.hosts.hosts if h.kind == HostKind.ENTRY and h.mesh}
        mine = entries.pop(self.me.name, None)
        self.listed_leaving = mine is not None and mine.state == HostState.LEAVING
        for member in self.members.values():
            if member.name not in entries:
                member.listed = member.listed_leaving = False
        for host in entries.values():
            self._note_listed(host)
        self.changed.set()

    def _note_listed(self, host: Host) -> None:
        member = self.members.setdefault(host.name, Member(host.name, host.domain, host.region))
        member.listed = True
        member.listed_leaving = host.state == HostState.LEAVING
        if member.listed_mesh != host.mesh:
            member.listed_mesh = host.mesh
            # The list lags: what a live daemon said itself is newer.
            if not self.is_alive(host.name):
                self.peers.addresses[host.name] = Address.parse(host.mesh)
        self.heartbeats.keep(host.name)

    def _needs_link(self, name: str) -> bool:
        """Tell whether this daemon keeps a link to a peer: all of its domain, a few elsewhere."""
        return name in self.far_links.names or self._is_near(name)

    def _is_near(self, name: str) -> bool:
        member = self.members.get(name)
        return member is not None and member.domain == self.me.domain

    def _hears_versions(self, name: str) -> bool:
        """Tell whether a peer hears of newer settings and hosts without heartbeats from here."""
        return self._is_near(name) and self.hears_versions()

    async def tend(self) -> None:
        """Forget daemons long gone, and keep the links that are needed, for ever."""
        took_duties = False
        while True:
            await next_tick(CHECK_INTERVAL)
            if self.takes_duties() != took_duties:
                # Peers that get no heartbeats from here would go on believing the opposite.
                took_duties = not took_duties
                self.heartbeats.tell_all()
            for member in list(self.members.values()):
                if self._is_gone(member):
                    del self.members[member.name]
                    self.peers.addresses.pop(member.name, None)
                    logs.info("daemon forgotten", daemon=member.name)
            self.far_links.refresh()
            for name in self.members:
                self.heartbeats.keep(name)

    def _is_gone(self, member: Member) -> bool:
        if member.listed or self.is_alive(member.name):
            return False
        return self.clock() - max(member.last_heard, member.known_since) > FORGET_AFTER

    def _try_other_address(self, name: str) -> None:
        """Take the listed address of a daemon that does not answer at the one it gave."""
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
        """Tell every linked peer at once that this daemon takes no new duty."""
        self.leaving = True
        self.heartbeats.tell_all()

    async def greet_seeds(self) -> None:
        """Dial the seed addresses until each has answered once."""
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
            pause = min(MAX_SEED_PAUSE, pause * 2)
