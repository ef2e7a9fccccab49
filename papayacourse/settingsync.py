"""Exchanges settings between daemons, so that one cut off from the platform learns from peers."""

from collections.abc import Callable

from attrs import define

from papayacourse import logs
from papayacourse.catalog import Catalog
from papayacourse.exceptions import PeerError
from papayacourse.messages import Hello, SettingsDigest, SettingsUpdate
from papayacourse.peers import Peers

CALL_TIMEOUT = 2.0  # seconds


@define(eq=False)
class SettingsSync:
    """Keeps a catalog in step with the catalogs of linked peers.

    Attributes
    ----------
    on_changed : callable
        Called after a peer's values have come into force here.
    """

    peers: Peers
    catalog: Catalog
    on_changed: Callable[[], None]

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[SettingsDigest] = self.answer_digest
        self.peers.handlers[SettingsUpdate] = self.take_settings

    async def compare(self, peer: str, digest: int) -> None:
        """Fetch what a peer knows better, when its digest differs from the one here."""
        if digest == self.catalog.digest:
            return
        try:
            ask = SettingsDigest(self.catalog.versions())
            answer = await self.peers.call(peer, ask, CALL_TIMEOUT)
        except PeerError as error:
            logs.debug("settings not exchanged", peer=peer, why=str(error))
            return
        if isinstance(answer, SettingsUpdate):
            await self.take_settings(None, answer)

    async def answer_digest(self, _peer: Hello, ask: SettingsDigest) -> SettingsUpdate:
        """Answer with the settings values that the peer lacks."""
        return SettingsUpdate(self.catalog.newer_than(ask.versions))

    async def take_settings(self, _peer: Hello | None, update: SettingsUpdate) -> None:
        """Apply settings values that a peer has sent."""
        for value in update.values:
            if self.catalog.apply(value):
                self.on_changed()
