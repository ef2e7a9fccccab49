"""Follows the platform's store: the settings document, the servers and the daemons listed."""

import asyncio
import random
from collections.abc import Callable

from attrs import define

from papayacourse import logs
from papayacourse.exceptions import PlatformError
from papayacourse.routed.directory import Directory
from papayacourse.routed.documents import Documents
from papayacourse.routed.keptstrikes import StoredStrikes
from papayacourse.routed.seams import Store, StoreUpdate
from papayacourse.ticks import next_tick
from papayacourse.types import Host

RETRY_PAUSE = 0.25  # seconds on average after the store could not be asked
DUTY_CHECK = 0.25  # seconds between looks at whether others follow the store
MAX_RETRY_PAUSE = 0.6  # seconds, so that a store that is back is noticed well within its bounds
LISTING_INTERVAL = 8.0  # seconds between renewals of this daemon's own entry
RELISTING_PAUSE = 0.5  # seconds until an entry that has lapsed is made anew
ENTRY_TTL = 24.0  # seconds that the entry outlives its last renewal
BURST_PAUSE = 0.2  # seconds in which more changes are gathered into one answer
STORE_SILENCE = 1.0  # seconds without a change after which the store says so


@define(eq=False)
class StoreFollower:
    """Keeps a daemon in step with the store, through outages.

    Attributes
    ----------
    me : Host
        This daemon, as it is to be listed.
    should_follow : callable
        Tells whether this daemon has to follow the store, and not another one for it.
    on_contact : callable
        Called after each answer of the store that is followed, changed or not.
    follows : bool
        Whether it does, and reaches the store.
    """

    store: Store
    documents: Documents
    directory: Directory
    stored_strikes: StoredStrikes
    me: Host
    should_follow: Callable[[], bool] = lambda: True
    on_contact: Callable[[], None] = lambda: None
    follows: bool = False

    async def follow(self) -> None:
        """Follow the store whenever this daemon has to, for ever."""
        pause = RETRY_PAUSE
        while True:
            if not self.should_follow():
                await next_tick(DUTY_CHECK)
                continue
            try:
                await self._follow()
                pause = RETRY_PAUSE
            except PlatformError as error:
                logs.info("store not followed", why=str(error))
                self.directory.store_lost(str(error))
                await asyncio.sleep(pause * random.uniform(0.5, 1.0))
                pause = min(MAX_RETRY_PAUSE, pause * 1.5)

    async def _follow(self) -> None:
        """Take what the store has, for as long as this daemon has to."""
        try:
            async for news in self.store.follow(STORE_SILENCE):
                await self._take(news)
                if not self.follows:
                    logs.info("following the store")
                self.follows = True
                self.on_contact()
                if not self.should_follow():
                    logs.info("store followed by others")
                    return
                if news != StoreUpdate():
                    await asyncio.sleep(BURST_PAUSE)
        finally:
            self.follows = False

    async def _take(self, news: StoreUpdate) -> None:
        self.directory.store_answers()
        if news.strikes is not None:
            # Before the document, which makes a daemon ready that has just started.
            await self.stored_strikes.take(news.strikes)
        if news.document is not None:
            self.documents.take_source(news.document, "store")
        if news.members is not None:
            self.directory.take_members(news.members)
        if news.engines is not None:
            self.directory.take_engines(news.engines)

    async def stay_listed(self) -> None:
        """Keep this daemon's entry alive, for ever."""
        while True:
            pause = LISTING_INTERVAL
            try:
                if not await self.store.list_member(self.me, ENTRY_TTL):
                    logs.info("entry lapsed", ttl=ENTRY_TTL)
                    pause = RELISTING_PAUSE
            except PlatformError as error:
                logs.info("entry not renewed", why=str(error))
                pause = LISTING_INTERVAL / 4
            await asyncio.sleep(pause * random.uniform(0.8, 1.2))

    async def leave(self) -> None:
        """Take this daemon's entry away, if the store can be had."""
        try:
            await self.store.unlist()
        except PlatformError as error:
            logs.info("entry left to lapse", why=str(error))
