"""Follows the platform's store: the settings document, the servers and the daemons listed."""

import asyncio
import random
from collections.abc import Awaitable, Callable

from attrs import define

from papayacourse import logs
from papayacourse.exceptions import PlatformError
from papayacourse.routed.directory import Directory
from papayacourse.routed.documents import Documents
from papayacourse.routed.seams import Store
from papayacourse.types import Host

RETRY_PAUSE = 0.25  # seconds on average after the store could not be asked
MAX_RETRY_PAUSE = 0.6  # seconds, so that a store that is back is noticed well within its bounds
MEMBERS_INTERVAL = 15.0  # seconds between readings of the daemons listed; peers tell sooner
FIRST_INTERVAL = 2.0  # seconds, after the first reading, while all daemons start
LISTING_INTERVAL = 4.0  # seconds between renewals of this daemon's own entry, which lasts 12
BURST_PAUSE = 0.2  # seconds in which more changes of servers are gathered into one answer


@define(eq=False)
class StoreFollower:
    """Keeps a daemon in step with the store, through outages.

    Attributes
    ----------
    me : Host
        This daemon, as it is to be listed.
    should_follow : callable
        Tells whether this daemon has to follow the servers, and not another one for it.
    follows : bool
        Whether it does, and reaches the store.
    """

    store: Store
    documents: Documents
    directory: Directory
    me: Host
    should_follow: Callable[[], bool] = lambda: True
    follows: bool = False

    async def follow_document(self) -> None:
        """Take each newer document, for ever."""
        await self._for_ever("document", self._take_documents)

    async def follow_engines(self) -> None:
        """Take each change of the servers listed, for ever."""
        await self._for_ever("servers", self._take_engines)

    async def follow_members(self) -> None:
        """Read which daemons are listed, now and then."""
        pause = FIRST_INTERVAL
        while True:
            try:
                self.directory.take_members(await self.store.members())
            except PlatformError as error:
                logs.info("store not read", what="members", why=str(error))
            await asyncio.sleep(pause * random.uniform(0.8, 1.2))
            pause = min(MEMBERS_INTERVAL, pause * 2)

    async def stay_listed(self) -> None:
        """Keep this daemon's entry alive, for ever."""
        while True:
            try:
                await self.store.keep_listed(self.me)
            except PlatformError as error:
                logs.info("entry not renewed", why=str(error))
            await asyncio.sleep(LISTING_INTERVAL * random.uniform(0.8, 1.2))

    async def leave(self) -> None:
        """Take this daemon's entry away, if the store can be had."""
        try:
            await self.store.unlist()
        except PlatformError as error:
            logs.info("entry left to lapse", why=str(error))

    async def _take_documents(self) -> None:
        async for document in self.store.follow_document():
            self.documents.take(document, "store")

    async def _take_engines(self) -> None:
        if not self.should_follow():
            return
        try:
            async for listed in self.store.follow_engines():
                self.directory.take_engines(listed)
                if not self.follows:
                    logs.info("following servers", revision=listed.revision)
                self.follows = True
                await asyncio.sleep(BURST_PAUSE)
                if not self.should_follow():
                    logs.info("servers followed by others")
                    return
        finally:
            self.follows = False

    async def _for_ever(self, what: str, follow: Callable[[], Awaitable[None]]) -> None:
        pause = RETRY_PAUSE
        while True:
            try:
                await follow()
                pause = RETRY_PAUSE
            except PlatformError as error:
                logs.info("store not followed", what=what, why=str(error))
                self.directory.store_lost(str(error))
            await asyncio.sleep(pause * random.uniform(0.5, 1.0))
            pause = min(MAX_RETRY_PAUSE, pause * 1.5)
