"""Synchronizes settings between daemons, including those partitioned from the platform."""

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
PAGE_BYTES = 256 * 1024  # of text in one message, far below the maximum frame size
MAX_PAGES = 256  # for one bucket in one exchange


@define(eq=False)
class SettingsSync:
    """Synchronizes a catalog with the catalogs of linked peers.

    Peers compare the digests of buckets first, so that a change transfers the versions of one
    bucket instead of all paths. Digests leave out deletions: the digest of a peer that still has
    the value differs anyway.

    Attributes
    ----------
    on_changed : callable
        Called after values from a peer have been applied.
    is_busy : bool
        Whether an exchange is in progress. Only one runs at a time, since the first transfers
        most of what others would.
    """

    peers: Peers
    catalog: Catalog
    on_changed: Callable[[], None]
    is_busy: bool = False

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[SettingsSummary] = self.answer_summary
        self.peers.handlers[SettingsDigest] = self.answer_digest

    async def compare(self, peer: str, digest: int) -> None:
        """Fetch newer settings from a peer if its digest differs from the local one."""
        if digest == self.catalog.digest or self.is_busy:
            return
        self.is_busy = True
        try:
            await self._fetch(peer)
        except PeerError as error:
            logs.debug("failed to exchange settings with peer", peer=peer, why=str(error))
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
            self._apply_update(answer)
            if not answer.more:
                return

    def _apply_update(self, update: SettingsUpdate) -> None:
        changed = [self.catalog.apply(value) for value in update.values]
        if any(changed):
            self.on_changed()

    async def answer_summary(self, _peer: Hello, ask: SettingsSummary) -> SettingsBuckets:
        """Return the buckets whose digests differ from the peer's."""
        return SettingsBuckets(self.catalog.differing_buckets(ask.digests), self.catalog.informed)

    async def answer_digest(self, _peer: Hello, ask: SettingsDigest) -> SettingsUpdate:
        """Return the settings values that the peer lacks, as many as fit in one message."""
        return first_page(self.catalog.missing_values(ask.bucket, ask.versions))


def first_page(values: Iterable[SettingsValue]) -> SettingsUpdate:
    """Return the values that fit in one message and whether more remain."""
    page, size = [], 0
    for value in values:
        size += len(value.path) + len((value.text or "").encode())
        if page and size > PAGE_BYTES:
            return SettingsUpdate(tuple(page), more=True)
        page.append(value)
    return SettingsUpdate(tuple(page))
