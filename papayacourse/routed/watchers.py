"""Decides which daemon follows the platform's store; it tells the others of its domain.

The follower tells the others each time that it has heard from the store, so that its silence means
that it has lost the store, or is gone.
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

SPARE_TIMEOUT = 1.3  # seconds without a word after which the daemon next in rank follows itself
NEWS_TIMEOUT = 1.8  # seconds after which any daemon does
DUTY = "store"


@define(eq=False)
class Watchers:
    """Who follows the store, as far as this daemon knows.

    Attributes
    ----------
    follows : callable
        Tells whether this daemon follows the store and reaches it.
    on_heard : callable
        Called when another daemon says that it has just heard from the store.
    heard_at : dict of str to float
        When each follower last said something, in seconds of the clock.
    told : int
        The version of the host list that the others were told of last.
    """

    membership: Membership
    peers: Peers
    documents: Documents
    follows: Callable[[], bool]
    on_heard: Callable[[], None] = lambda: None
    clock: Callable[[], float] = time.monotonic
    heard_at: dict[str, float] = field(factory=dict)
    told: int = 0

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[PlatformNews] = self.heard
        self.membership.hears_versions = self.is_told

    # Queries.

    @property
    def host_sync(self) -> HostSync:
        """Return the host list that is told of."""
        return self.membership.host_sync

    def should_follow(self) -> bool:
        """Tell whether this daemon has to follow the store."""
        me = self.membership.me.name
        first, second = [*ranked(DUTY, sorted({*self.membership.live(), me})), ""][:2]
        if me == first:
            return True
        patience = SPARE_TIMEOUT if me == second else NEWS_TIMEOUT
        return not any(comes_before(name, me) for name in self._heard_within(patience))

    def is_told(self) -> bool:
        """Tell whether this domain hears at once what is new in the store."""
        return self.follows() or bool(self._heard_within(NEWS_TIMEOUT))

    def _heard_within(self, seconds: float) -> list[str]:
        """Return the other daemons that have said lately that they follow the store."""
        since = self.clock() - seconds
        return [name for name, at in self.heard_at.items() if at > since]

    # Commands.

    async def heard(self, peer: Hello, news: PlatformNews) -> None:
        """Take a follower's word, and ask it at once for what it knows better."""
        lately = self._heard_within(NEWS_TIMEOUT)
        self.heard_at = {name: self.heard_at[name] for name in lately}
        self.heard_at[peer.name] = self.clock()
        self.on_heard()
        if news.changes is not None:
            self.host_sync.offered(news.changes)
        self.host_sync.peer_has(peer.name, (news.epoch, news.version), spread=0.0)
        await self.documents.peer_has(peer.name, news.document_version)

    def tell(self) -> None:
        """Tell the daemons of this domain what is new: the store has just been heard from."""
        if self.should_follow():
            self._tell_all()

    def _tell_all(self) -> None:
        epoch, version = self.host_sync.listing.age
        changes = self.host_sync.changed_since(self.told)
        self.told = version
        me = self.membership.me
        near = (m.name for m in self.membership.members.values() if m.domain == me.domain)
        self.peers.send_to_linked(
            near, PlatformNews(epoch, version, self.documents.version, changes)
        )


def comes_before(name: str, other: str) -> bool:
    """Tell whether a daemon follows the store rather than another one."""
    return (-weight(DUTY, name), name) < (-weight(DUTY, other), other)
