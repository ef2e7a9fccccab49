"""Who is there: the platform's lagging list joined with heartbeats between daemons."""

import asyncio
import time
from collections.abc import Callable, Iterator

from attrs import define, field

from papayacourse import logs
from papayacourse.catalog import Catalog
from papayacourse.exceptions import PeerError, PlatformError
from papayacourse.hostlist import HostList, HostListing
from papayacourse.messages import Heartbeat, Hello, HostsUpdate
from papayacourse.peers import Peers
from papayacourse.rendezvous import ranked
from papayacourse.settingsync import SettingsSync
from papayacourse.types import Address, Host, HostKind

HEARTBEAT_INTERVAL = 1.0  # seconds
DEAD_AFTER = 3.0  # seconds without a heartbeat
HOST_LIST_INTERVAL = 2.0  # seconds
CROSS_LINKS = 2  # daemons of each other domain that one gateway keeps a link to
GATEWAYS = 2  # daemons of a domain that keep links to another one


@define
class Member:
    """A daemon that has been heard of."""

    name: str
    domain: str
    region: str
    incarnation: int = 0
    last_heard: float = float("-inf")
    leaving: bool = False


@define(eq=False)
class Membership:
    """Keeps the list of members and the links they need.

    Attributes
    ----------
    members : dict of str to Member
        Every other daemon known, alive or not.
    hosts : HostListing
        The newest host list seen, from the platform or from a peer.
    """

    me: Hello
    peers: Peers
    catalog: Catalog
    host_list: HostList
    seeds: tuple[Address, ...] = ()
    clock: Callable[[], float] = time.monotonic
    members: dict[str, Member] = field(factory=dict)
    hosts: HostListing = field(factory=lambda: HostListing(0, ()))
    leaving: bool = False
    beating: dict[str, asyncio.Task] = field(factory=dict)
    changed: asyncio.Event = field(factory=asyncio.Event)
    settings: SettingsSync = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.peers.on_met = self.met
        self.peers.handlers[Heartbeat] = self.heard
        self.peers.handlers[HostsUpdate] = self.take_hosts
        self.settings = SettingsSync(self.peers, self.catalog, self.changed.set)

    # Queries.

    def is_alive(self, name: str) -> bool:
        """Tell whether a daemon has been heard lately."""
        if name == self.me.name:
            return True
        member = self.members.get(name)
        return member is not None and self.clock() - member.last_heard < DEAD_AFTER

    def live(self, domain: str | None = None) -> list[str]:
        """Return the daemons of a domain that live and stay; this one's domain by default."""
        domain = domain or self.me.domain
        found = [m.name for m in self.members.values() if m.domain == domain and not m.leaving]
        found = [name for name in found if self.is_alive(name)]
        if domain == self.me.domain and not self.leaving:
            found.append(self.me.name)
        return found

    def owners(self, duty: str, domain: str | None = None) -> list[str]:
        """Return the live daemons of a domain in the order in which they should hold a duty."""
        return ranked(duty, self.live(domain))

    def owns(self, duty: str) -> bool:
        """Tell whether this daemon should hold a duty of its domain."""
        return self.owners(duty)[:1] == [self.me.name]

    def backends(self, kind: HostKind) -> Iterator[Host]:
        """Yield the backend servers of a kind that the newest host list has."""
        return (host for host in self.hosts.hosts if host.kind == kind)

    # Commands.

    def met(self, hello: Hello) -> None:
        """Note a daemon whose link has just come up."""
        known = self.members.get(hello.name)
        if known is None or hello.incarnation >= known.incarnation:
            now = self.clock()
            self.members[hello.name] = Member(
                hello.name, hello.domain, hello.region, hello.incarnation, now
            )
            self.peers.addresses[hello.name] = Address.parse(hello.mesh)
            self._keep_beating(hello.name)
            self.changed.set()

    async def heard(self, peer: Hello, beat: Heartbeat) -> None:
        """Note a heartbeat, and ask for what the peer knows better."""
        member = self.members.get(peer.name)
        if member is None or beat.incarnation < member.incarnation:
            return
        member.last_heard = self.clock()
        if member.leaving != beat.leaving:
            member.leaving = beat.leaving
            self.changed.set()
        await self.settings.compare(peer.name, beat.settings_digest)

    async def take_hosts(self, _peer: Hello | None, update: HostsUpdate) -> None:
        """Take a host list that is newer than the one known."""
        if update.version <= self.hosts.version:
            return
        self.hosts = HostListing(update.version, update.hosts)
        for host in update.hosts:
            if host.kind == HostKind.ENTRY and host.name != self.me.name and host.mesh:
                self.peers.addresses[host.name] = Address.parse(host.mesh)
                self._note_listed(host)
        self.changed.set()

    def _note_listed(self, host: Host) -> None:
        if host.name not in self.members:
            self.members[host.name] = Member(host.name, host.domain, host.region)
        self._keep_beating(host.name)

    def _keep_beating(self, name: str) -> None:
        if name not in self.beating and self._needs_link(name):
            self.beating[name] = asyncio.create_task(self._beat(name))

    def _needs_link(self, name: str) -> bool:
        """Tell whether this daemon keeps a link to a peer: all of its domain, a few elsewhere."""
        member = self.members[name]
        if member.domain == self.me.domain:
            return True
        mine = [m.name for m in self.members.values() if m.domain == self.me.domain]
        theirs = [m.name for m in self.members.values() if m.domain == member.domain]
        pair = f"gateway/{self.me.domain}/{member.domain}"
        is_gateway = self.me.name in ranked(pair, [*mine, self.me.name])[:GATEWAYS]
        return is_gateway and name in ranked(pair, theirs)[:CROSS_LINKS]

    async def _beat(self, name: str) -> None:
        """Send one peer a heartbeat each second, for as long as it is listed."""
        try:
            while name in self.members and self._needs_link(name):
                try:
                    await self.peers.send(name, self._heartbeat())
                except PeerError as error:
                    logs.debug("heartbeat not sent", peer=name, why=str(error))
                await asyncio.sleep(HEARTBEAT_INTERVAL)
        finally:
            self.beating.pop(name, None)

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self.me.name,
            self.me.incarnation,
            self.leaving,
            self.catalog.digest,
            self.hosts.version,
        )

    async def leave(self) -> None:
        """Tell every linked peer at once that this daemon takes no new duty."""
        self.leaving = True
        for name in list(self.peers.links):
            try:
                await self.peers.send(name, self._heartbeat())
            except PeerError as error:
                logs.debug("leaving note not sent", peer=name, why=str(error))

    async def follow_host_list(self) -> None:
        """Read the platform's list for ever, and hand each new version to the peers."""
        while True:
            try:
                listing = await self.host_list.get()
                if listing.version > self.hosts.version:
                    await self.take_hosts(None, HostsUpdate(listing.version, listing.hosts))
                    await self._spread_hosts()
            except PlatformError as error:
                logs.warning("host list not read", why=str(error))
            await asyncio.sleep(HOST_LIST_INTERVAL)

    async def _spread_hosts(self) -> None:
        update = HostsUpdate(self.hosts.version, self.hosts.hosts)
        for name in list(self.peers.links):
            try:
                await self.peers.send(name, update)
            except PeerError as error:
                logs.debug("host list not sent", peer=name, why=str(error))

    async def greet_seeds(self) -> None:
        """Dial the seed addresses until each has answered once."""
        waiting = set(self.seeds)
        while waiting:
            for seed in list(waiting):
                try:
                    await self.peers.dial(seed)
                    waiting.discard(seed)
                except PeerError as error:
                    logs.debug("seed not reached", seed=str(seed), why=str(error))
            await asyncio.sleep(HEARTBEAT_INTERVAL)
