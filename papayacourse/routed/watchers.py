"""Decides which daemon follows the platform's store and relays updates to its domain.

The follower notifies the others on every contact with the store, so its silence means that it lost
the store or has gone.
"""

import time
from collections.abc import Callable

from attrs import define, field

from papayacourse.hostsync import HostSync
from papayacourse.membership import Membership
from papayacourse.meshmessages import Hello, PlatformNews
from papayacourse.peers import Peers
from papayacourse.rendezvous import ranked, weight
from papayacourse.routed.documents import Documents

SECOND_RANK_TIMEOUT = 1.3  # seconds of silence until the second in rank follows
NEWS_TIMEOUT = 1.8  # seconds of silence until any daemon follows
DUTY = "store"


@define(eq=False)
class Watchers:
    """Tracks which daemons follow the store.

    Attributes
    ----------
    follows : callable
        Returns True if this daemon follows the store and reaches it.
    on_heard : callable
        Called when another daemon reports a contact with the store.
    heard_at : dict of str to float
        When each follower last reported, in seconds of the clock.
    sent_version : int
        The version of the host list that was last sent to the others.
    """

    membership: Membership
    peers: Peers
    documents: Documents
    follows: Callable[[], bool]
    on_heard: Callable[[], None] = lambda: None
    clock: Callable[[], float] = time.monotonic
    heard_at: dict[str, float] = field(factory=dict)
    sent_version: int = 0

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[PlatformNews] = self.heard
        self.membership.pushes_versions = self.hears_store_updates

    # Queries.

    @property
    def host_sync(self) -> HostSync:
        """Return the synchronization of the host list that is relayed."""
        return self.membership.host_sync

    def should_follow(self) -> bool:
        """Return True if this daemon has to follow the store."""
        me = self.membership.me.name
        first, second = [*ranked(DUTY, sorted({*self.membership.live(), me})), ""][:2]
        if me == first:
            return True
        timeout = SECOND_RANK_TIMEOUT if me == second else NEWS_TIMEOUT
        return not any(ranks_before(name, me) for name in self._heard_within(timeout))

    def hears_store_updates(self) -> bool:
        """Return True if this daemon learns of store updates at once, itself or from a follower."""
        return self.follows() or bool(self._heard_within(NEWS_TIMEOUT))

    def _heard_within(self, seconds: float) -> list[str]:
        """Return the other daemons that reported contact with the store in the last ``seconds``."""
        since = self.clock() - seconds
        return [name for name, at in self.heard_at.items() if at > since]

    # Commands.

    async def heard(self, peer: Hello, news: PlatformNews) -> None:
        """Record a follower's report, and ask it at once for newer versions."""
        lately = self._heard_within(NEWS_TIMEOUT)
        self.heard_at = {name: self.heard_at[name] for name in lately}
        self.heard_at[peer.name] = self.clock()
        self.on_heard()
        if news.changes is not None:
            self.host_sync.apply_offered_changes(news.changes)
        self.host_sync.request_if_newer(peer.name, (news.epoch, news.version), spread=0.0)
        await self.documents.request_if_newer(peer.name, news.document_version)

    def tell(self) -> None:
        """Notify the daemons of this domain of updates, after a contact with the store."""
        if self.should_follow():
            self._notify_domain()

    def _notify_domain(self) -> None:
        epoch, version = self.host_sync.listing.epoch_version
        changes = self.host_sync.changed_since(self.sent_version)
        self.sent_version = version
        me = self.membership.me
        near = (m.name for m in self.membership.members.values() if m.domain == me.domain)
        self.peers.send_to_linked(
            near, PlatformNews(epoch, version, self.documents.version, changes)
        )


def ranks_before(name: str, other: str) -> bool:
    """Return True if a daemon ranks before another as follower of the store."""
    return (-weight(DUTY, name), name) < (-weight(DUTY, other), other)
