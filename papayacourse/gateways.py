"""What failure domains tell each other: their live daemons and loads, over a few links."""

import time
from collections.abc import Callable

from attrs import define, evolve, field

from papayacourse import logs
from papayacourse.exceptions import PeerError
from papayacourse.link import Link
from papayacourse.loads import by_cell, changed_loads, joined
from papayacourse.membership import Membership
from papayacourse.meshmessages import DomainLoads, DomainSummary, Hello, ServiceLoad
from papayacourse.peers import Peers
from papayacourse.ticks import next_tick

SUMMARY_INTERVAL = 1.0  # seconds
FULL_SUMMARY_INTERVAL = 10.0  # seconds after which a summary is sent in full, changed or not
SIGN_OF_LIFE_INTERVAL = 2.0  # seconds after which something is sent, changed or not
FRESH = 6.0  # seconds a summary counts for


@define
class Remote:
    """What is known of another domain.

    Attributes
    ----------
    heard_at : float
        When its last news came, in seconds of the monotonic clock.
    relay : str
        The daemon of this domain that passes its news on, as far as it is seen.
    """

    summary: DomainSummary
    heard_at: float
    direct_at: float = float("-inf")
    relay: str = ""
    relayed_at: float = float("-inf")


@define(eq=False)
class Feed:
    """What one peer has been sent of one domain."""

    link: Link | None = None
    sent: DomainSummary | None = None
    full_at: float = float("-inf")
    sent_at: float = float("-inf")

    def next(
        self, link: Link | None, summary: DomainSummary, now: float
    ) -> DomainSummary | DomainLoads | None:
        """Return what is worth sending now: all of it, what has changed, or nothing."""
        sent = self.sent
        stale = sent is None or link is not self.link or now - self.full_at > FULL_SUMMARY_INTERVAL
        if stale or sent.live != summary.live or len(sent.loads) > len(summary.loads):
            self.link, self.sent, self.full_at, self.sent_at = link, summary, now, now
            return summary
        changed = changed_loads(sent.loads, summary.loads)
        if not changed and now - self.sent_at < SIGN_OF_LIFE_INTERVAL:
            return None
        self.sent, self.sent_at = merged(sent, changed), now
        return DomainLoads(summary.domain, changed)


def merged(summary: DomainSummary, loads: tuple[ServiceLoad, ...]) -> DomainSummary:
    """Return a summary with some loads replaced."""
    known = by_cell((*summary.loads, *loads))
    return evolve(summary, loads=tuple(known.values()))


@define(eq=False)
class Gateways:
    """Sends this domain's summary where this daemon is a gateway, and passes others' on.

    Attributes
    ----------
    remotes : dict of str to Remote
        By domain.
    feeds : dict of (str, str) to Feed
        By peer and domain.
    """

    membership: Membership
    peers: Peers
    clock: Callable[[], float] = time.monotonic
    remotes: dict[str, Remote] = field(factory=dict)
    feeds: dict[tuple[str, str], Feed] = field(factory=dict)

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[DomainSummary] = self.take_summary
        self.peers.handlers[DomainLoads] = self.take_loads
        self.membership.remote_live = self.live

    # Queries.

    def fresh(self, domain: str) -> Remote | None:
        """Return what is known of another domain, unless it is too old."""
        remote = self.remotes.get(domain)
        if remote is None or self.clock() - remote.heard_at > FRESH:
            return None
        return remote

    def live(self, domain: str) -> list[str]:
        """Return the live daemons of another domain, none when its news is too old."""
        remote = self.fresh(domain)
        return [hello.name for hello in remote.summary.live] if remote else []

    def loads(self, domain: str) -> tuple[ServiceLoad, ...]:
        """Return the loads of a domain's services, none when the news is too old."""
        if domain == self.membership.me.domain:
            return self._own_loads()
        remote = self.fresh(domain)
        return remote.summary.loads if remote else ()

    def load(self, domain: str, team: str, service: str) -> ServiceLoad | None:
        """Return the load of one service in a domain, None when it is not known."""
        return joined(self.cell_loads(domain, team, service))

    def cell_loads(self, domain: str, team: str, service: str) -> list[ServiceLoad]:
        """Return the loads of a service's cells in a domain, as far as they are known."""
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

    def _relays(self, remote: Remote) -> bool:
        """Tell whether this daemon passes a domain's news on: one of those that have it first."""
        now = self.clock()
        if now - remote.direct_at > FRESH:
            return False
        other = remote.relay and now - remote.relayed_at < FRESH
        return not other or self.membership.me.name < remote.relay

    # Commands.

    async def take_summary(self, peer: Hello, summary: DomainSummary) -> None:
        """Take a summary from its own domain or from a daemon here that passes it on."""
        live = {hello.name for hello in summary.live}
        for hello in summary.live:
            self.membership.add_reported(hello)
        if peer.domain == summary.domain:
            # What it says of itself is newer than its last heartbeat on the same link.
            self.membership.update_takes_duties(peer.name, peer.name in live)
        before = self.remotes.get(summary.domain)
        remote = self.remotes[summary.domain] = before or Remote(summary, self.clock())
        remote.summary = summary
        self._heard(remote, peer)

    async def take_loads(self, peer: Hello, news: DomainLoads) -> None:
        """Take changed loads."""
        remote = self.remotes.get(news.domain)
        if remote is not None:
            remote.summary = merged(remote.summary, news.loads)
            self._heard(remote, peer)

    def _heard(self, remote: Remote, peer: Hello) -> None:
        now = self.clock()
        remote.heard_at = now
        if peer.domain == remote.summary.domain:
            remote.direct_at = now
        elif now - remote.relayed_at > FRESH or peer.name <= remote.relay:
            remote.relay, remote.relayed_at = peer.name, now

    async def run(self) -> None:
        """Send news for ever."""
        while True:
            await next_tick(SUMMARY_INTERVAL)
            fed: set[tuple[str, str]] = set()
            far = sorted(self.membership.gateway_links.names)
            if far:
                fed |= await self._feed(far, self._own_summary())
            for remote in list(self.remotes.values()):
                if self._relays(remote):
                    here = [n for n in self.membership.live() if n != self.membership.me.name]
                    fed |= await self._feed(here, remote.summary)
            for key in set(self.feeds) - fed:
                del self.feeds[key]
            for domain in set(self.remotes) - set(self.membership.domains()):
                del self.remotes[domain]

    async def _feed(self, names: list[str], summary: DomainSummary) -> set[tuple[str, str]]:
        """Send several peers what is new to them; returns which feeds were served."""
        for name in names:
            link = self.peers.links.get(name)
            if link is None:
                continue
            feed = self.feeds.setdefault((name, summary.domain), Feed())
            news = feed.next(link, summary, self.clock())
            if news is not None:
                try:
                    await self.peers.send(name, news)
                except PeerError as error:
                    logs.debug("domain news not sent", peer=name, why=str(error))
                    feed.sent = None
        return {(name, summary.domain) for name in names}
