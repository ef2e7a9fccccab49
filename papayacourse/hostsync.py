"""Keeps the host list up to date: a few daemons poll the platform, the others ask a peer."""

import asyncio
import random
import time
from collections.abc import Callable
from itertools import islice

from attrs import define, evolve, field

from papayacourse import logs
from papayacourse.exceptions import PeerError, PlatformError
from papayacourse.hostchanges import ChangeLog, apply_changes, difference, digest
from papayacourse.hostlist import HostList, HostListing
from papayacourse.meshmessages import Hello, HostsAsk, HostsChanges, HostsUpdate
from papayacourse.peers import Peers
from papayacourse.rendezvous import ranked

POLL_INTERVAL = 2.0  # seconds between readings by a poller
SPARE_POLL_INTERVAL = 30.0  # seconds between readings by the other daemons
POLLERS_PER_DOMAIN = 3
ASK_SPREAD = 0.5  # seconds over which daemons spread their requests for a newer list
ASK_TIMEOUT = 5.0  # seconds
MAX_LOGGED_HOSTS = 8  # per change


RESTART_READINGS = 5  # consecutive readings that show another list under a known version
# Minimum seconds that they span, so that a lagging replica is not mistaken for a restart.
RESTART_TIME = 10.0


@define(eq=False)
class RestartDetector:
    """Detects that the platform's list was rebuilt and its versions restarted.

    Attributes
    ----------
    readings : int
        Consecutive readings that were behind the known version.
    behind_since : float
        When the first of them was made, in seconds of the clock.
    """

    clock: Callable[[], float] = time.monotonic
    readings: int = 0
    behind_since: float = 0.0

    def record_reading(self, known: int, read: int, same_hosts: bool) -> bool:
        """Record the version of a reading and return True if the list has certainly restarted."""
        if read > known or (read == known and same_hosts):
            self.readings = 0
            return False
        if not self.readings:
            self.behind_since = self.clock()
        self.readings += 1
        lasted = self.clock() - self.behind_since >= RESTART_TIME
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
    on_updated : callable
        Called after a newer list has been applied.
    listing : HostListing
        The newest list received from the platform or a peer.
    known : bool
        Whether any list has been received.
    log : ChangeLog
        The recent changes, for peers that have an older list.
    restarts : RestartDetector
        Detects that the platform's list has restarted.
    last_read : HostListing or None
        The list last read from the platform; `last_digest` is its digest.
    full_lists_sent, changes : int
        Answers to peers since the start: full lists, and changes.
    """

    me: str
    peers: Peers
    host_list: HostList
    live: Callable[[], list[str]]
    on_updated: Callable[[], None]
    listing: HostListing = field(factory=lambda: HostListing(0, ()))
    known: bool = False
    log: ChangeLog = field(factory=ChangeLog)
    restarts: RestartDetector = field(factory=RestartDetector)
    last_read: HostListing | None = None
    last_digest: int = 0
    request_task: asyncio.Task | None = None
    reads: int = 0
    full_lists_sent: int = 0
    changes: int = 0

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[HostsAsk] = self.answer

    def is_poller(self) -> bool:
        """Return True if this daemon polls the platform's list often."""
        return self.me in ranked("hostlist", {*self.live(), self.me})[:POLLERS_PER_DOMAIN]

    def status(self) -> dict:
        """Return the state of the host list, for operators."""
        return {
            "version": self.listing.version,
            "epoch": self.listing.epoch,
            "digest": f"{self.log.listing_digest:016x}",
            "reads": self.reads,
            "wholes_sent": self.full_lists_sent,
            "changes_sent": self.changes,
        }

    def apply_listing(self, listing: HostListing) -> None:
        """Replace the known list if the given one is newer."""
        self.known = True
        if listing.epoch_version > self.listing.epoch_version:
            self.log.add(self.listing, listing)
            self._log_changes(listing)
            self.listing = listing
            self.on_updated()

    def _log_changes(self, listing: HostListing) -> None:
        changed = difference(self.listing, listing).changed
        named = islice(changed.items(), MAX_LOGGED_HOSTS)
        states = {name: host.state.value if host else "gone" for name, host in named}
        logs.info(
            "host list taken", version=listing.version, epoch=listing.epoch, changed=states,
            not_named=max(0, len(changed) - MAX_LOGGED_HOSTS),
        )  # fmt: skip

    def apply_reading(self, read: HostListing) -> None:
        """Apply a list read from the platform, which has no epochs."""
        listing = evolve(read, epoch=self.listing.epoch)
        same_hosts = self.last_digest == self.log.listing_digest
        if self.restarts.record_reading(self.listing.version, read.version, same_hosts):
            listing = evolve(read, epoch=self.listing.epoch + 1)
            logs.warning("host list started anew", version=read.version, epoch=listing.epoch)
        self.apply_listing(listing)

    async def answer(self, _peer: Hello, ask: HostsAsk) -> HostsUpdate | HostsChanges | None:
        """Return the changes since a peer's older list, or else the full list."""
        if (ask.epoch, ask.version) >= self.listing.epoch_version:
            return None
        known = ask.epoch == self.listing.epoch and not ask.whole
        changes = self.log.since(self.listing, ask.version) if known else None
        if changes is not None:
            self.changes += 1
            return changes
        self.full_lists_sent += 1
        return HostsUpdate(self.listing.version, self.listing.hosts, self.listing.epoch)

    def changed_since(self, version: int) -> HostsChanges | None:
        """Return the changes since a version of this epoch; None if there are none or unknown."""
        if version == self.listing.version:
            return None
        return self.log.since(self.listing, version)

    def apply_offered_changes(self, changes: HostsChanges) -> None:
        """Apply changes that a peer has pushed, if they fit the list here."""
        if (changes.epoch, changes.version) <= self.listing.epoch_version:
            return
        listing = apply_changes(self.listing, changes)
        if listing is not None and changes.epoch == self.listing.epoch:
            self.apply_listing(listing)

    def request_if_newer(
        self, name: str, epoch_version: tuple[int, int], spread: float = ASK_SPREAD
    ) -> None:
        """Request a peer's list if it is newer, with one request in flight at a time.

        Parameters
        ----------
        spread : float
            Seconds over which this request is randomly delayed, to spread the load.
        """
        busy = self.request_task is not None and not self.request_task.done()
        if epoch_version > self.listing.epoch_version and not busy:
            self.request_task = asyncio.create_task(self._ask(name, epoch_version, spread))

    async def _ask(self, name: str, epoch_version: tuple[int, int], spread: float) -> None:
        await asyncio.sleep(random.uniform(0.0, spread))
        for whole in (False, True):
            if epoch_version <= self.listing.epoch_version:
                return
            epoch, version = self.listing.epoch_version
            try:
                answer = await self.peers.call(name, HostsAsk(version, epoch, whole), ASK_TIMEOUT)
            except PeerError as error:
                logs.debug("host list not received from peer", peer=name, why=str(error))
                return
            match answer:
                case HostsUpdate():
                    self.apply_listing(HostListing(answer.version, answer.hosts, answer.epoch))
                case HostsChanges():
                    self._apply_changes(answer)

    def _apply_changes(self, news: HostsChanges) -> None:
        listing = apply_changes(self.listing, news)
        if listing is None:
            logs.info("host list changes do not match the digest", version=news.version)
        else:
            self.apply_listing(listing)

    async def poll(self) -> None:
        """Read the platform's list periodically."""
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
            self.apply_reading(self.last_read)
