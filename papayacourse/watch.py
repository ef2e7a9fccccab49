"""Follows the operators' settings in the key-value service."""

import asyncio

from attrs import define

from papayacourse import logs
from papayacourse.catalog import Catalog
from papayacourse.exceptions import PlatformError
from papayacourse.kvstore import Entry, KeyValueStore, Listing
from papayacourse.messages import SettingsValue
from papayacourse.settings import ROOT

WATCH_TIME = 30.0  # seconds that one watch waits
WATCH_PAUSE = 0.5  # seconds between watches, so that a burst of changes costs few calls
RETRY_PAUSE = 1.0  # seconds after the platform could not be asked
AUTHOR_LINE = "# author: "


def settings_value(entry: Entry) -> SettingsValue:
    """Turn a key's entry into a settings value; its first line may name who wrote it."""
    author = ""
    if entry.value is not None and entry.value.startswith(AUTHOR_LINE):
        author = entry.value.splitlines()[0].removeprefix(AUTHOR_LINE)
    return SettingsValue(entry.key, entry.revision, entry.value, author)


@define
class SettingsWatch:
    """Keeps a catalog in step with the key-value service."""

    store: KeyValueStore
    catalog: Catalog
    revision: int = 0

    async def run(self) -> None:
        """Follow for ever, through outages."""
        while True:
            try:
                if self.revision == 0:
                    self.take(await self.store.list(ROOT))
                self.take(await self.store.watch(ROOT, self.revision, WATCH_TIME))
                await asyncio.sleep(WATCH_PAUSE)
            except PlatformError as error:
                logs.warning("settings not watched", why=str(error))
                await asyncio.sleep(RETRY_PAUSE)

    def take(self, listing: Listing) -> None:
        """Apply what a list or a watch brought."""
        for entry in listing.entries:
            self.catalog.apply(settings_value(entry))
        self.revision = max(self.revision, listing.revision)
