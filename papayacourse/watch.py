"""Watches the operators' settings in the key-value service."""

import asyncio

from attrs import define, field

from papayacourse import logs
from papayacourse.catalog import Catalog
from papayacourse.commits import settings_values
from papayacourse.exceptions import PlatformCompacted, PlatformError
from papayacourse.history import read_history
from papayacourse.kvstore import KeyValueStore, Listing
from papayacourse.meshmessages import SettingsValue
from papayacourse.settings import ROOT

WATCH_TIMEOUT_SECONDS = 30.0
WATCH_PAUSE_SECONDS = 1.0  # between watches, so that a burst of changes needs few calls
RETRY_PAUSE_SECONDS = 1.0  # after a failed call to the platform


@define
class SettingsWatch:
    """Synchronizes a catalog with the key-value service.

    Attributes
    ----------
    revision : int
        The service's revision up to which all changes are known; 0 forces a full listing.
    looked_up : dict of str to int
        For each path whose history has been searched, the rejected revision that required it.
    """

    store: KeyValueStore
    catalog: Catalog
    revision: int = 0
    looked_up: dict[str, int] = field(factory=dict)

    async def run(self) -> None:
        """Watch until cancelled, and retry after failures of the platform."""
        while True:
            try:
                await self._follow()
                await asyncio.sleep(WATCH_PAUSE_SECONDS)
            except PlatformError as error:
                if isinstance(error, PlatformCompacted):
                    self.revision = 0
                logs.warning("failed to watch settings", why=str(error))
                await asyncio.sleep(RETRY_PAUSE_SECONDS)

    async def _follow(self) -> None:
        if self.revision == 0:
            listing = await self.store.list(ROOT)
            paths = self.apply_listing(listing)
            self.catalog.apply_full_listing(paths, listing.revision)
        else:
            self.apply_listing(await self.store.watch(ROOT, self.revision, WATCH_TIMEOUT_SECONDS))
        await self._restore()

    def apply_listing(self, listing: Listing) -> set[str]:
        """Apply the entries of a list or a watch, and return the paths of their values."""
        values = [value for entry in listing.entries for value in settings_values(entry)]
        for value in sorted(values, key=lambda value: value.revision):
            self.catalog.apply(value, from_platform=True)
        self.revision = max(self.revision, listing.revision)
        self.catalog.record_complete_to(self.revision)
        return {value.path for value in values}

    async def _restore(self) -> None:
        """Restore the last valid value of paths for which only a rejected one was received."""
        for path, bad in list(self.catalog.rejected.items()):
            if path in self.catalog.revisions or self.looked_up.get(path) == bad.revision:
                continue
            for earlier in reversed(await read_history(self.store, path)):
                value = SettingsValue(path, earlier.revision, earlier.text, earlier.author)
                if value.revision < bad.revision and self.catalog.restore(value):
                    break
            self.looked_up[path] = bad.revision
