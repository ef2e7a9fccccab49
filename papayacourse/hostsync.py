"""Keeps the host list up to date: a few daemons read the platform's, the others ask a peer."""

import asyncio
import random
import time
from collections.abc import Callable
from itertools import islice

from attrs import define, evolve, field

from papayacourse import logs
from papayacourse.exceptions import PeerError, PlatformError
from papayacourse.hostchanges import ChangeLog, applied, difference, digest
from papayacourse.hostlist import HostList, HostListing
from papayacourse.meshmessages import Hello, HostsAsk, HostsChanges, HostsUpdate
from papayacourse.peers import Peers
from papayacourse.rendezvous import ranked

POLL_INTERVAL = 2.0  # seconds between readings by a daemon whose turn it is
SPARE_POLL_INTERVAL = 30.0  # seconds between readings by the others
POLLERS = 3  # daemons of a domain that read the platform's list often
ASK_SPREAD = 0.5  # seconds over which daemons spread their questions about a newer list
ASK_TIMEOUT = 5.0  # seconds
MAX_NAMED = 8  # hosts named in the log of one change


RESTART_READINGS = 5  # readings in a row that show another list under a version long known
RESTART_TIME = 10.0  # seconds that they must span, so that a lagging replica is not taken for one


@define(eq=False)
class RestartWatch:
    """Notices that the platform's list has been rebuilt and counts its versions from the start.

    Attributes
    ----------
    readings : int
        Readings in a row that were behind what is known.
    since : float
        When the first of them was, in seconds of the clock.
    """

    clock: Callable[[], float] = time.monotonic
    readings: int = 0
    since: float = 0.0

    def seen(self, known: int, read: int, same_hosts: bool) -> bool:
        """Note the version of a reading; returns whether the list has certainly started anew."""
        if read > known or (read == known and same_hosts):
            self.readings = 0
            return False
        if not self.readings:
            self.since = self.clock()
        self.readings += 1
        lasted = self.clock() - self.since >= RESTART_TIME
        if self.readings < RESTART_READINGS or not lasted:
            return False
        self.readings = 0
        return True


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
    log : ChangeLog
        What has changed lately, for peers that know an older list.
    restarts : RestartWatch
        Notices that the platform's list has started anew.
    last_read : HostListing or None
        The list as the platform last gave it, with its digest.
    wholes, changes : int
        Answers handed to peers since the start: whole lists, and changes.
    """

    me: str
    peers: Peers
    host_list: HostList
    live: Callable[[], list[str]]
    on_news: Callable[[], None]
    listing: HostListing = field(factory=lambda: HostListing(0, ()))
    known: bool = False
    log: ChangeLog = field(factory=ChangeLog)
    restarts: RestartWatch = field(factory=RestartWatch)
    last_read: HostListing | None = None
    last_digest: int = 0
    asking: asyncio.Task | None = None
    reads: int = 0
    wholes: int = 0
    changes: int = 0

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[HostsAsk] = self.answer

    def is_poller(self) -> bool:
        """Tell whether this daemon reads the platform's list often."""
        return self.me in ranked("hostlist", {*self.live(), self.me})[:POLLERS]

    def status(self) -> dict:
        """Return what is known of the host list, for operators."""
        return {
            "version": self.listing.version,
            "epoch": self.listing.epoch,
            "digest": f"{self.log.whole:016x}",
            "reads": self.reads,
            "wholes_sent": self.wholes,
            "changes_sent": self.changes,
        }

    def take(self, listing: HostListing) -> None:
        """Take a list that is newer than the one known."""
        self.known = True
        if listing.age > self.listing.age:
            self.log.add(self.listing, listing)
            self._log_taken(listing)
            self.listing = listing
            self.on_news()

    def _log_taken(self, listing: HostListing) -> None:
        changed = difference(self.listing, listing).changed
        named = islice(changed.items(), MAX_NAMED)
        states = {name: host.state.value if host else "gone" for name, host in named}
        logs.info(
            "host list taken", version=listing.version, epoch=listing.epoch, changed=states,
            not_named=max(0, len(changed) - MAX_NAMED),
        )  # fmt: skip

    def take_reading(self, read: HostListing) -> None:
        """Take a list as the platform gave it, which does not know of epochs."""
        listing = evolve(read, epoch=self.listing.epoch)
        same_hosts = self.last_digest == self.log.whole
        if self.restarts.seen(self.listing.version, read.version, same_hosts):
            listing = evolve(read, epoch=self.listing.epoch + 1)
            logs.warning("host list started anew", version=read.version, epoch=listing.epoch)
        self.take(listing)

    async def answer(self, _peer: Hello, ask: HostsAsk) -> HostsUpdate | HostsChanges | None:
        """Hand a peer that has an older list what has changed since, or the whole of it."""
        if (ask.epoch, ask.version) >= self.listing.age:
            return None
        known = ask.epoch == self.listing.epoch and not ask.whole
        changes = self.log.since(self.listing, ask.version) if known else None
        if changes is not None:
            self.changes += 1
            return changes
        self.wholes += 1
        return HostsUpdate(self.listing.version, self.listing.hosts, self.listing.epoch)

    def changed_since(self, version: int) -> HostsChanges | None:
        """Return what has changed since a version of this epoch; None if nothing or not known."""
        if version == self.listing.version:
            return None
        return self.log.since(self.listing, version)

    def offered(self, changes: HostsChanges) -> None:
        """Take changes that a peer has sent without being asked, if they fit the list here."""
        if (changes.epoch, changes.version) <= self.listing.age:
            return
        listing = applied(self.listing, changes)
        if listing is not None and changes.epoch == self.listing.epoch:
            self.take(listing)

    def peer_has(self, name: str, age: tuple[int, int], spread: float = ASK_SPREAD) -> None:
        """Ask a peer for its list when that is newer, one question at a time.

        Parameters
        ----------
        spread : float
            Seconds over which this daemon's question is spread among those of others.
        """
        busy = self.asking is not None and not self.asking.done()
        if age > self.listing.age and not busy:
            self.asking = asyncio.create_task(self._ask(name, age, spread))

    async def _ask(self, name: str, age: tuple[int, int], spread: float) -> None:
        await asyncio.sleep(random.uniform(0.0, spread))
        for whole in (False, True):
            if age <= self.listing.age:
                return
            epoch, version = self.listing.age
            try:
                answer = await self.peers.call(name, HostsAsk(version, epoch, whole), ASK_TIMEOUT)
            except PeerError as error:
                logs.debug("host list not had from peer", peer=name, why=str(error))
                return
            match answer:
                case HostsUpdate():
                    self.take(HostListing(answer.version, answer.hosts, answer.epoch))
                case HostsChanges():
                    self._take_changes(answer)

    def _take_changes(self, news: HostsChanges) -> None:
        listing = applied(self.listing, news)
        if listing is None:
            logs.info("changes of the host list do not fit", version=news.version)
        else:
            self.take(listing)

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
            self.last_read, self.last_digest = listing, digest(listing.hosts)
        if self.last_read is not None:
            self.take_reading(self.last_read)
