"""Exchange of live daemons and loads between failure domains, over a few gateway links."""

import time
from collections.abc import Callable

from attrs import define, evolve, field

from papayacourse import logs
from papayacourse.exceptions import PeerError
from papayacourse.link import Link
from papayacourse.loads import by_cell, changed_loads, total_load
from papayacourse.membership import Membership
from papayacourse.meshmessages import DomainLoads, DomainSummary, Hello, ServiceLoad
from papayacourse.peers import Peers
from papayacourse.ticks import next_tick

SUMMARY_INTERVAL = 1.0  # seconds
FULL_SUMMARY_INTERVAL = 10.0  # seconds after which a full summary is sent even if unchanged
KEEPALIVE_INTERVAL = 2.0  # seconds after which a message is sent even if nothing changed
SUMMARY_MAX_AGE_SECONDS = 6.0


@define
class RemoteDomain:
    """The last known state of another domain.

    Attributes
    ----------
    heard_at : float
        When the last update arrived, in seconds of the monotonic clock.
    relay : str
        The daemon of this domain that was last seen to relay its updates.
    """

    summary: DomainSummary
    heard_at: float
    direct_at: float = float("-inf")
    relay: str = ""
    relayed_at: float = float("-inf")


@define(eq=False)
class Feed:
    """The updates of one domain that one peer has been sent."""

    link: Link | None = None
    sent: DomainSummary | None = None
    full_at: float = float("-inf")
    sent_at: float = float("-inf")

    def next_update(
        self, link: Link | None, summary: DomainSummary, now: float
    ) -> DomainSummary | DomainLoads | None:
        """Return the next update: a full summary, the changed loads, or None if none is due."""
        sent = self.sent
        stale = sent is None or link is not self.link or now - self.full_at > FULL_SUMMARY_INTERVAL
        if stale or sent.live != summary.live or len(sent.loads) > len(summary.loads):
            self.link, self.sent, self.full_at, self.sent_at = link, summary, now, now
            return summary
        changed = changed_loads(sent.loads, summary.loads)
        if not changed and now - self.sent_at < KEEPALIVE_INTERVAL:
            return None
        self.sent, self.sent_at = with_loads(sent, changed), now
        return DomainLoads(summary.domain, changed)


def with_loads(summary: DomainSummary, loads: tuple[ServiceLoad, ...]) -> DomainSummary:
    """Return a summary with the given loads added or replaced."""
    known = by_cell((*summary.loads, *loads))
    return evolve(summary, loads=tuple(known.values()))


@define(eq=False)
class Gateways:
    """Sends this domain's summary as a gateway and relays the summaries of other domains.

    Attributes
    ----------
    remotes : dict of str to RemoteDomain
        By domain.
    feeds : dict of (str, str) to Feed
        By peer and domain.
    """

    membership: Membership
    peers: Peers
    clock: Callable[[], float] = time.monotonic
    remotes: dict[str, RemoteDomain] = field(factory=dict)
    feeds: dict[tuple[str, str], Feed] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[DomainSummary] = self.handle_summary
        self.peers.handlers[DomainLoads] = self.handle_loads
        self.membership.remote_live = self.live

    # Queries.

    def fresh_remote(self, domain: str) -> RemoteDomain | None:
        """Return the state of another domain, or None if it is unknown or too old."""
        remote = self.remotes.get(domain)
        if remote is None or self.clock() - remote.heard_at > SUMMARY_MAX_AGE_SECONDS:
            return None
        return remote

    def live(self, domain: str) -> list[str]:
        """Return the live daemons of another domain, or none if its state is too old."""
        remote = self.fresh_remote(domain)
        return [hello.name for hello in remote.summary.live] if remote else []

    def loads(self, domain: str) -> tuple[ServiceLoad, ...]:
        """Return the loads of a domain's services, or none if its state is too old."""
        if domain == self.membership.me.domain:
            return self._own_loads()
        remote = self.fresh_remote(domain)
        return remote.summary.loads if remote else ()

    def load(self, domain: str, team: str, service: str) -> ServiceLoad | None:
        """Return the load of one service in a domain, or None if it is unknown."""
        return total_load(self.cell_loads(domain, team, service))

    def cell_loads(self, domain: str, team: str, service: str) -> list[ServiceLoad]:
        """Return the known loads of a service's cells in a domain."""
        wanted = (team, service)
        return [load for load in self.loads(domain) if (load.team, load.service) == wanted]

    def _own_loads(self) -> tuple[ServiceLoad, ...]:
        found = {}
        for name in sorted(self.membership.live()):
            member = self.membership.members.get(name)
            loads = member.beat.loads if member is not None and member.beat is not None else ()
            found |= by_cell(loads)
        found |= by_cell(self.membership.loads_here())
        return tuple(found[cell] for cell in sorted(found))

    def _own_summary(self) -> DomainSummary:
        me = self.membership.me
        live = sorted(self.membership.live())
        return DomainSummary(me.domain, me.region, tuple(map(self._hello, live)), self._own_loads())

    def _hello(self, name: str) -> Hello:
        me = self.membership.me
        if name == me.name:
            return self.peers.hello
        incarnation = self.membership.members[name].incarnation
        mesh = str(self.peers.addresses[name])
        return Hello(name, incarnation, me.domain, me.region, mesh, b"")

    def _should_relay(self, remote: RemoteDomain) -> bool:
        """Return True if this daemon ranks first among the relays with direct updates."""
        now = self.clock()
        if now - remote.direct_at > SUMMARY_MAX_AGE_SECONDS:
            return False
        other = remote.relay and now - remote.relayed_at < SUMMARY_MAX_AGE_SECONDS
        return not other or self.membership.me.name < remote.relay

    # Commands.

    async def handle_summary(self, peer: Hello, summary: DomainSummary) -> None:
        """Store a summary from its own domain or from a relay in this domain."""
        live = {hello.name for hello in summary.live}
        for hello in summary.live:
            self.membership.add_reported(hello)
        if peer.domain == summary.domain:
            # Its own summary is newer than its last heartbeat on the same link.
            self.membership.update_takes_duties(peer.name, peer.name in live)
        before = self.remotes.get(summary.domain)
        remote = self.remotes[summary.domain] = before or RemoteDomain(summary, self.clock())
        remote.summary = summary
        self._record_source(remote, peer)

    async def handle_loads(self, peer: Hello, news: DomainLoads) -> None:
        """Merge changed loads into the stored summary."""
        remote = self.remotes.get(news.domain)
        if remote is not None:
            remote.summary = with_loads(remote.summary, news.loads)
            self._record_source(remote, peer)

    def _record_source(self, remote: RemoteDomain, peer: Hello) -> None:
        now = self.clock()
        remote.heard_at = now
        if peer.domain == remote.summary.domain:
            remote.direct_at = now
        elif now - remote.relayed_at > SUMMARY_MAX_AGE_SECONDS or peer.name <= remote.relay:
            remote.relay, remote.relayed_at = peer.name, now

    async def run(self) -> None:
        """Send updates periodically and drop unused feeds and unknown domains."""
        while True:
            await next_tick(SUMMARY_INTERVAL)
            served: set[tuple[str, str]] = set()
            far = sorted(self.membership.gateway_links.names)
            if far:
                served |= await self._send_updates(far, self._own_summary())
            for remote in list(self.remotes.values()):
                if self._should_relay(remote):
                    here = [n for n in self.membership.live() if n != self.membership.me.name]
                    served |= await self._send_updates(here, remote.summary)
            for key in set(self.feeds) - served:
                del self.feeds[key]
            for domain in set(self.remotes) - set(self.membership.domains()):
                del self.remotes[domain]

    async def _send_updates(self, names: list[str], summary: DomainSummary) -> set[tuple[str, str]]:
        """Send a domain's next updates to several peers and return the feeds served."""
        for name in names:
            link = self.peers.links.get(name)
            if link is None:
                continue
            feed = self.feeds.setdefault((name, summary.domain), Feed())
            update = feed.next_update(link, summary, self.clock())
            if update is not None:
                try:
                    await self.peers.send(name, update)
                except PeerError as error:
                    logs.debug("domain update not sent", peer=name, why=str(error))
                    feed.sent = None
        return {(name, summary.domain) for name in names}
