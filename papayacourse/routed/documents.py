"""Holds the settings document in force and fetches newer ones from peers."""

import time
import zlib
from collections.abc import Callable, Collection

from attrs import define, field

from papayacourse import invariants, logs
from papayacourse.exceptions import PeerError, PlatformError
from papayacourse.meshmessages import DocumentAsk, DocumentCopy, Hello
from papayacourse.peers import Peers
from papayacourse.routed.document import Document

ASK_TIMEOUT = 1.0  # seconds
MAX_SOURCE_BYTES = 8 * 1024 * 1024
MAX_LOGGED_NAMES = 20
MAX_LOGGED_NAME = 100  # characters


@define(eq=False)
class Documents:
    """The newest document seen, from the store or a peer.

    Attributes
    ----------
    decode : callable
        Decodes a document from its source; raises PlatformError.
    on_news : callable
        Called with each newer document, before the next request is routed.
    current : Document or None
        The document in force; None before the first.
    since : float
        When it came into force, in seconds of the monotonic clock.
    origin : str
        Where it came from: the store, or which peer; empty before the first.
    offers : dict of str to int
        Versions newer than the one here that peers have announced, by peer.
    packed : bytes
        The compressed document of ``packed_version``, as sent to peers.
    """

    peers: Peers
    decode: Callable[[bytes], Document]
    on_news: Callable[[Document], None]
    clock: Callable[[], float] = time.monotonic
    current: Document | None = None
    since: float = 0.0
    origin: str = ""
    offers: dict[str, int] = field(factory=dict)
    is_asking: bool = False
    packed: bytes = b""
    packed_version: int = 0

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[DocumentAsk] = self.answer

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first document."""
        return self.current.version if self.current else 0

    def age(self) -> float | None:
        """Return for how many seconds the document has been in force; None without one."""
        return self.clock() - self.since if self.current else None

    def apply(self, document: Document, source: str) -> bool:
        """Put a document in force if it is newer; return True if it was."""
        if document.version <= self.version:
            return False
        before, self.current = self.version, document
        self.since, self.origin = self.clock(), source
        invariants.check(self.version > before, "documents_never_revert", before=before)
        self.on_news(document)
        logs.info(
            "document in force", version=document.version, before=before, source=source,
            routes=len(document.routes), accounts=len(document.accounts),
        )  # fmt: skip
        log_refused_accounts(document)
        log_unusable_keys(document)
        return True

    def apply_source(self, source: bytes, origin: str) -> None:
        """Decode a document and put it in force if it is newer; log one that is malformed."""
        try:
            self.apply(self.decode(source), origin)
        except PlatformError as error:
            logs.error("document not readable", source=origin, why=str(error))

    async def answer(self, _peer: Hello, ask: DocumentAsk) -> DocumentCopy | None:
        """Send the document to a peer that has an older one."""
        if ask.version >= self.version:
            return None
        if self.packed_version != self.version:
            self.packed, self.packed_version = zlib.compress(self.current.source), self.version
        return DocumentCopy(self.version, self.packed)

    async def request_if_newer(self, name: str, version: int) -> None:
        """Fetch a peer's document if it is newer, then those of other peers until up to date."""
        if version <= self.version:
            return
        self.offers[name] = version
        if self.is_asking:
            return
        self.is_asking = True
        try:
            while name := self._best_offer():
                await self._ask(name, self.offers.pop(name))
        finally:
            self.is_asking = False

    def _best_offer(self) -> str | None:
        """Return the peer with the newest document, or None if none is newer than this daemon's."""
        self.offers = {name: v for name, v in self.offers.items() if v > self.version}
        return max(self.offers, key=self.offers.get, default=None)

    async def _ask(self, name: str, version: int) -> None:
        try:
            answer = await self.peers.call(name, DocumentAsk(self.version), ASK_TIMEOUT)
            if isinstance(answer, DocumentCopy):
                self.apply_source(decompress(answer.packed), f"peer {name}")
        except PeerError as error:
            # The peer's next heartbeat announces its version again.
            logs.info(
                "could not get document from peer", peer=name, version=version, why=str(error)
            )
        except zlib.error as error:
            logs.error("document not readable", source=f"peer {name}", why=str(error))


def log_unknown_homes(document: Document, regions: Collection[str]) -> None:
    """Log the home regions that no failure domain is in; nothing is served there."""
    holders = (*document.routes, *document.accounts)
    named = {region for holder in holders for region in holder.homes.regions or ()}
    unknown = sorted(named - set(regions))
    if unknown:
        shown = [name[:MAX_LOGGED_NAME] for name in unknown[:MAX_LOGGED_NAMES]]
        logs.warning("home regions not known", regions=shown, count=len(unknown))


def log_refused_accounts(document: Document) -> None:
    """Log which accounts get no answers because their names cannot be sent."""
    names = [account.name for account in document.accounts if not account.can_be_sent]
    if names:
        logs.warning(
            "accounts refused", version=document.version, count=len(names),
            names=[name[:MAX_LOGGED_NAME] for name in names[:MAX_LOGGED_NAMES]],
            why="their names cannot be sent in a header",
        )  # fmt: skip


def log_unusable_keys(document: Document) -> None:
    """Log which accounts have keys that no caller can send."""
    accounts = [account for account in document.accounts if account.unusable_keys]
    for account in accounts[:MAX_LOGGED_NAMES]:
        logs.warning(
            "account keys not usable", version=document.version,
            account=account.name[:MAX_LOGGED_NAME], count=account.unusable_keys,
            why="no header can carry them",
        )  # fmt: skip


def decompress(packed: bytes) -> bytes:
    """Decompress a document; raises zlib.error if the data is malformed."""
    unpacker = zlib.decompressobj()
    return unpacker.decompress(packed, MAX_SOURCE_BYTES)
