"""Follows the operators' settings in the key-value service."""

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

WATCH_TIME = 30.0  # seconds that one watch waits
WATCH_PAUSE = 1.0  # seconds between watches, so that a burst of changes costs few calls
RETRY_PAUSE = 1.0  # seconds after the platform could not be asked


@define
class SettingsWatch:
    """Keeps a catalog in step with the key-value service.

    Attributes
    ----------
    revision : int
        The service's revision up to which everything is known; 0 when all must be read anew.
    looked_up : dict of str to int
        Paths whose earlier values have been looked for, and the bad revision that made it needed.
    """

    store: KeyValueStore
    catalog: Catalog
    revision: int = 0
    looked_up: dict[str, int] = field(factory=dict)

    async def run(self) -> None:
        """Follow for ever, through outages."""
        while True:
            try:
                await self._follow()
                await asyncio.sleep(WATCH_PAUSE)
            except PlatformError as error:
                if isinstance(error, PlatformCompacted):
                    self.revision = 0
                logs.warning("settings not watched", why=str(error))
                await asyncio.sleep(RETRY_PAUSE)

    async def _follow(self) -> None:
        if self.revision == 0:
            listing = await self.store.list(ROOT)
            paths = self.take(listing)
            self.catalog.take_all(paths, listing.revision)
        else:
            self.take(await self.store.watch(ROOT, self.revision, WATCH_TIME))
        await self._restore()

    def take(self, listing: Listing) -> set[str]:
        """Apply what a list or a watch brought; returns its paths."""
        values = [value for entry in listing.entries for value in settings_values(entry)]
        for value in sorted(values, key=lambda value: value.revision):
            self.catalog.apply(value, from_platform=True)
        self.revision = max(self.revision, listing.revision)
        self.catalog.known_to(self.revision)
        return {value.path for value in values}

    async def _restore(self) -> None:
        """Find the last good value of paths whose bad one this daemon met first."""
        for path, bad in list(self.catalog.rejected.items()):
            if path in self.catalog.revisions or self.looked_up.get(path) == bad.revision:
                continue
            for earlier in reversed(await read_history(self.store, path)):
                value = SettingsValue(path, earlier.revision, earlier.text, earlier.author)
                if value.revision < bad.revision and self.catalog.restore(value):
                    break
            self.looked_up[path] = bad.revision
