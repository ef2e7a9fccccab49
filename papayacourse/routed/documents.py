"""The settings document in force here, and how daemons hand a newer one on to each other."""

import time
from collections.abc import Callable

from attrs import define, field

from papayacourse import invariants, logs
from papayacourse.exceptions import PeerError, PlatformError
from papayacourse.meshmessages import DocumentAsk, DocumentCopy, Hello
from papayacourse.peers import Peers
from papayacourse.routed.document import Document

ASK_TIMEOUT = 1.0  # seconds


@define(eq=False)
class Documents:
    """Holds the newest document seen, from the store or from a peer.

    Attributes
    ----------
    decode : callable
        Reads a document from the text that a peer has handed on; raises PlatformError.
    on_news : callable
        Called with each newer document, before the next request is routed.
    current : Document or None
        What is in force; None before the first.
    since : float
        When it came, in seconds of the monotonic clock.
    """

    peers: Peers
    decode: Callable[[bytes], Document]
    on_news: Callable[[Document], None]
    clock: Callable[[], float] = time.monotonic
    current: Document | None = None
    since: float = 0.0
    asking: set[str] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[DocumentAsk] = self.answer

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first document."""
        return self.current.version if self.current else 0

    def age(self) -> float | None:
        """Return how long the document has been in force here, in seconds; None without one."""
        return self.clock() - self.since if self.current else None

    def take(self, document: Document, source: str) -> bool:
        """Put a document in force if it is newer; tells whether it was."""
        if document.version <= self.version:
            return False
        before, self.current = self.version, document
        self.since = self.clock()
        invariants.check(self.version > before, "documents_never_revert", before=before)
        self.on_news(document)
        logs.info(
            "document in force", version=document.version, before=before, source=source,
            routes=len(document.routes), accounts=len(document.accounts),
        )  # fmt: skip
        return True

    async def answer(self, _peer: Hello, ask: DocumentAsk) -> DocumentCopy | None:
        """Hand the document to a peer that has an older one."""
        if ask.version >= self.version:
            return None
        return DocumentCopy(self.version, self.current.source)

    async def peer_has(self, name: str, version: int) -> None:
        """Ask a peer for its document when that is newer."""
        if version <= self.version or name in self.asking:
            return
        self.asking.add(name)
        try:
            answer = await self.peers.call(name, DocumentAsk(self.version), ASK_TIMEOUT)
            if isinstance(answer, DocumentCopy):
                self.take(self.decode(answer.source), f"peer {name}")
        except (PeerError, PlatformError) as error:
            # The next heartbeat says again what the peer has.
            logs.info("document not had from peer", peer=name, version=version, why=str(error))
        finally:
            self.asking.discard(name)
