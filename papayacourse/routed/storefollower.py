"""Follows the platform's store: the settings document, the servers and the daemons listed."""

import asyncio
import random
from collections.abc import Callable

from attrs import define

from papayacourse import logs
from papayacourse.exceptions import PlatformError
from papayacourse.hostlist import HostListing
from papayacourse.routed.directory import HostDirectory
from papayacourse.routed.documents import Documents
from papayacourse.routed.keptstrikes import StoredStrikes
from papayacourse.routed.seams import Store, StoreUpdate
from papayacourse.ticks import next_tick
from papayacourse.types import Host

RETRY_DELAY = 0.25  # seconds, upper bound of the first delay after a failed call to the store
FOLLOW_CHECK_INTERVAL = 0.25  # seconds between checks whether this daemon has to follow the store
MAX_RETRY_DELAY = 0.6  # seconds; short enough to notice in time that the store is back
RENEWAL_INTERVAL = 8.0  # seconds between renewals of this daemon's own entry
RECREATE_DELAY = 0.5  # seconds until an expired entry is created again
ENTRY_TTL = 24.0  # seconds from the last renewal until the entry expires
BATCH_DELAY = 0.2  # seconds in which further changes are batched into one answer
WATCH_TIMEOUT = 1.0  # seconds after which the store answers without a change


@define(eq=False)
class StoreFollower:
    """Keeps a daemon up to date with the store and follows it again after outages.

    Attributes
    ----------
    me : Host
        This daemon, as listed in the store.
    should_follow : callable
        Returns True if this daemon has to follow the store itself.
    on_contact : callable
        Called after each answer of the watch, with or without a change.
    follows : bool
        Whether this daemon follows the store and reaches it.
    retry_delay : float
        Upper bound of the delay after the next failed call, in seconds.
    """

    store: Store
    documents: Documents
    directory: HostDirectory
    stored_strikes: StoredStrikes
    me: Host
    should_follow: Callable[[], bool] = lambda: True
    on_contact: Callable[[], None] = lambda: None
    follows: bool = False
    retry_delay: float = RETRY_DELAY

    async def follow(self) -> None:
        """Follow the store while this daemon has to; run until cancelled."""
        while True:
            if not self.should_follow():
                await next_tick(FOLLOW_CHECK_INTERVAL)
                continue
            try:
                await self._follow()
            except PlatformError as error:
                logs.info("could not follow the store", why=str(error))
                self.directory.contact.record_failure(str(error))
                await asyncio.sleep(self.retry_delay * random.uniform(0.5, 1.0))
                self.retry_delay = min(MAX_RETRY_DELAY, self.retry_delay * 1.5)

    async def _follow(self) -> None:
        """Apply the store's updates for as long as this daemon has to follow it."""
        known = self.directory.in_force()
        try:
            async for news in self.store.follow(WATCH_TIMEOUT):
                if not news.is_complete and self.directory.is_outdated(known, news.position):
                    logs.info("reading the store anew", known=known.version, epoch=known.epoch)
                    return
                await self._apply(known, news)
                if not self.follows:
                    logs.info(
                        "following the store", era=news.position.era,
                        revision=news.position.revision,
                    )  # fmt: skip
                self.follows, self.retry_delay = True, RETRY_DELAY
                self.on_contact()
                if not self.should_follow():
                    logs.info("store followed by others")
                    return
                if news.has_changes:
                    await asyncio.sleep(BATCH_DELAY)
                known = self.directory.in_force()
        finally:
            self.follows = False

    async def _apply(self, known: HostListing, news: StoreUpdate) -> None:
        if news.strikes is not None:
            # Before the document, which makes a starting daemon ready.
            await self.stored_strikes.take(news.strikes, news.position.era)
        if news.document is not None:
            self.documents.apply_source(news.document, "store")
        self.directory.update(known, news)

    async def stay_listed(self) -> None:
        """Renew this daemon's entry periodically; run until cancelled."""
        while True:
            pause = RENEWAL_INTERVAL
            try:
                if not await self.store.list_member(self.me, ENTRY_TTL):
                    logs.info("entry lapsed", ttl=ENTRY_TTL)
                    pause = RECREATE_DELAY
            except PlatformError as error:
                logs.info("entry not renewed", why=str(error))
                pause = RENEWAL_INTERVAL / 4
            await asyncio.sleep(pause * random.uniform(0.8, 1.2))

    async def remove_entry(self) -> None:
        """Remove this daemon's entry if the store is reachable."""
        try:
            await self.store.unlist()
        except PlatformError as error:
            logs.info("could not remove entry; it expires with its lease", why=str(error))
