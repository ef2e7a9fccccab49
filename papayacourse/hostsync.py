"""Keeps the host list up to date: a few daemons read the platform's, the others ask a peer."""

import asyncio
import random
from collections.abc import Callable

from attrs import define, field

from papayacourse import logs
from papayacourse.exceptions import PeerError, PlatformError
from papayacourse.hostlist import HostList, HostListing
from papayacourse.meshmessages import Hello, HostsAsk, HostsUpdate
from papayacourse.peers import Peers
from papayacourse.rendezvous import ranked

POLL_INTERVAL = 2.0  # seconds between readings by a daemon whose turn it is
SPARE_POLL_INTERVAL = 30.0  # seconds between readings by the others
POLLERS = 3  # daemons of a domain that read the platform's list often
ASK_SPREAD = 0.5  # seconds over which daemons spread their questions about a newer list
ASK_TIMEOUT = 5.0  # seconds


@define(eq=False)
class HostSync:
    """The newest host list known here.

    Attributes
    ----------
    me : str
        This daemon's name.
    live : callable
        Returns the live daemons of this domain.
    on_news : callable
        Called after a newer list has been taken.
    listing : HostListing
        The newest list seen, from the platform or from a peer.
    known : bool
        Whether any list has been had.
    """

    me: str
    peers: Peers
    host_list: HostList
    live: Callable[[], list[str]]
    on_news: Callable[[], None]
    listing: HostListing = field(factory=lambda: HostListing(0, ()))
    known: bool = False
    asking: asyncio.Task | None = None
    reads: int = 0

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[HostsAsk] = self.answer

    def is_poller(self) -> bool:
        """Tell whether this daemon reads the platform's list often."""
        return self.me in ranked("hostlist", {*self.live(), self.me})[:POLLERS]

    def take(self, listing: HostListing) -> None:
        """Take a list that is newer than the one known."""
        self.known = True
        if listing.version > self.listing.version:
            self.listing = listing
            self.on_news()

    async def answer(self, _peer: Hello, ask: HostsAsk) -> HostsUpdate | None:
        """Hand the list to a peer that has an older one."""
        if ask.version >= self.listing.version:
            return None
        return HostsUpdate(self.listing.version, self.listing.hosts)

    def peer_has(self, name: str, version: int) -> None:
        """Ask a peer for its list when that is newer, one question at a time."""
        busy = self.asking is not None and not self.asking.done()
        if version > self.listing.version and not busy:
            self.asking = asyncio.create_task(self._ask(name, version))

    async def _ask(self, name: str, version: int) -> None:
        await asyncio.sleep(random.uniform(0.0, ASK_SPREAD))
        if version <= self.listing.version:
            return
        try:
            answer = await self.peers.call(name, HostsAsk(self.listing.version), ASK_TIMEOUT)
        except PeerError as error:
            logs.debug("host list not had from peer", peer=name, why=str(error))
            return
        if isinstance(answer, HostsUpdate):
            self.take(HostListing(answer.version, answer.hosts))

    async def follow(self) -> None:
        """Read the platform's list for ever."""
        while True:
            await self._read()
            for _ in range(int(SPARE_POLL_INTERVAL / POLL_INTERVAL)):
                await asyncio.sleep(POLL_INTERVAL * random.uniform(0.8, 1.2))
                if self.is_poller():
                    break

    async def _read(self) -> None:
        self.reads += 1
        try:
            listing = await self.host_list.get()
        except PlatformError as error:
            logs.warning("host list not read", why=str(error))
            return
        if listing is not None:
            self.take(listing)
