"""Decides which daemons follow the servers in the store; they tell the others of their domain."""

import asyncio
import time
from collections.abc import Callable

from attrs import define, field

from papayacourse import logs
from papayacourse.exceptions import PeerError
from papayacourse.membership import Membership
from papayacourse.meshmessages import Hello, HostsNews
from papayacourse.peers import Peers
from papayacourse.rendezvous import ranked

WATCHERS = 2  # daemons of a failure domain that follow the store
NEWS_INTERVAL = 0.8  # seconds between two words of a watcher, news or not
NEWS_TIMEOUT = 1.8  # seconds without a word of any watcher after which a daemon follows itself
DUTY = "servers"


@define(eq=False)
class Watchers:
    """Who follows the store, as far as this daemon knows.

    Attributes
    ----------
    follows : callable
        Tells whether this daemon follows the store and reaches it.
    heard_at : float
        When a watcher last said something, in seconds of the clock.
    told : (int, int)
        The age of the list that the others were told of last.
    """

    membership: Membership
    peers: Peers
    follows: Callable[[], bool]
    clock: Callable[[], float] = time.monotonic
    heard_at: float = float("-inf")
    told: tuple[int, int] = (0, 0)
    changed: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[HostsNews] = self.heard

    def should_follow(self) -> bool:
        """Tell whether this daemon has to follow the store."""
        me = self.membership.me.name
        if me in ranked(DUTY, {*self.membership.live(), me})[:WATCHERS]:
            return True
        return self.clock() - self.heard_at > NEWS_TIMEOUT

    async def heard(self, peer: Hello, news: HostsNews) -> None:
        """Take a watcher's word, and ask it for a newer list at once."""
        self.heard_at = self.clock()
        self.membership.host_sync.peer_has(peer.name, (news.epoch, news.version), spread=0.0)

    def note_change(self) -> None:
        """Let the others know at once that there is a newer list."""
        self.changed.set()

    async def tell(self) -> None:
        """Tell the daemons of this domain what there is, for ever."""
        while True:
            try:
                await asyncio.wait_for(self.changed.wait(), NEWS_INTERVAL)
            except TimeoutError:
                pass
            self.changed.clear()
            if self.follows():
                await self._tell_all()

    async def _tell_all(self) -> None:
        epoch, version = self.membership.host_sync.listing.age
        me = self.membership.me
        for member in list(self.membership.members.values()):
            if member.domain != me.domain or member.name not in self.peers.links:
                continue
            try:
                self.peers.tell(member.name, HostsNews(epoch, version))
            except PeerError as error:
                logs.debug("news of hosts not told", peer=member.name, why=str(error))
