"""Exchanges settings between daemons, so that one cut off from the platform learns from peers."""

from collections.abc import Callable, Iterable

from attrs import define

from papayacourse import logs
from papayacourse.catalog import BUCKETS, Catalog
from papayacourse.exceptions import PeerError
from papayacourse.meshmessages import (
    Hello,
    SettingsBuckets,
    SettingsDigest,
    SettingsSummary,
    SettingsUpdate,
    SettingsValue,
)
from papayacourse.peers import Peers

CALL_TIMEOUT = 2.0  # seconds
PAGE_BYTES = 256 * 1024  # of texts in one message, far below the largest frame
MAX_PAGES = 256  # of one bucket in one exchange


@define(eq=False)
class SettingsSync:
    """Keeps a catalog in step with the catalogs of linked peers.

    Digests of buckets of paths are compared first, so that a change costs the versions of one
    bucket, not of every path. A deletion is no part of a digest: the peer that still has the
    value differs by that.

    Attributes
    ----------
    on_changed : callable
        Called after a peer's values have come into force here.
    is_busy : bool
        Whether an exchange is in progress; there is one at a time, since the first brings
        what most of the others would.
    """

    peers: Peers
    catalog: Catalog
    on_changed: Callable[[], None]
    is_busy: bool = False

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[SettingsSummary] = self.answer_summary
        self.peers.handlers[SettingsDigest] = self.answer_digest

    async def compare(self, peer: str, digest: int) -> None:
        """Fetch what a peer knows better, when its digest differs from the one here."""
        if digest == self.catalog.digest or self.is_busy:
            return
        self.is_busy = True
        try:
            await self._fetch(peer)
        except PeerError as error:
            logs.debug("settings not exchanged", peer=peer, why=str(error))
        finally:
            self.is_busy = False

    async def _fetch(self, peer: str) -> None:
        summary = SettingsSummary(tuple(self.catalog.digests))
        answer = await self.peers.call(peer, summary, CALL_TIMEOUT)
        if not isinstance(answer, SettingsBuckets):
            raise PeerError(f"{peer} answered a summary with {type(answer).__name__}")
        for number in answer.numbers[:BUCKETS]:
            await self._fetch_bucket(peer, number)
        self.catalog.informed = self.catalog.informed or answer.informed

    async def _fetch_bucket(self, peer: str, number: int) -> None:
        for _ in range(MAX_PAGES):
            ask = SettingsDigest(number, self.catalog.versions(number))
            answer = await self.peers.call(peer, ask, CALL_TIMEOUT)
            if not isinstance(answer, SettingsUpdate):
                raise PeerError(f"{peer} answered a digest with {type(answer).__name__}")
            self._take(answer)
            if not answer.more:
                return

    def _take(self, update: SettingsUpdate) -> None:
        changed = [self.catalog.apply(value) for value in update.values]
        if any(changed):
            self.on_changed()

    async def answer_summary(self, _peer: Hello, ask: SettingsSummary) -> SettingsBuckets:
        """Answer with the buckets of paths that differ."""
        return SettingsBuckets(self.catalog.differing(ask.digests), self.catalog.informed)

    async def answer_digest(self, _peer: Hello, ask: SettingsDigest) -> SettingsUpdate:
        """Answer with the settings values that the peer lacks, as many as fit."""
        return first_page(self.catalog.newer_than(ask.bucket, ask.versions))


def first_page(values: Iterable[SettingsValue]) -> SettingsUpdate:
    """Return the values that fit in one message, and whether there are more."""
    page, size = [], 0
    for value in values:
        size += len(value.path) + len((value.text or "").encode())
        if page and size > PAGE_BYTES:
            return SettingsUpdate(tuple(page), more=True)
        page.append(value)
    return SettingsUpdate(tuple(page))
