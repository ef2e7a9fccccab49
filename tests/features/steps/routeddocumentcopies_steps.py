"""Steps about copies of the settings document that other daemons send."""

import asyncio
import sys
import tracemalloc
import zlib

from attrs import define, field
from behave import given, then, when

from papayacourse import logs
from papayacourse.exceptions import PeerTimeout
from papayacourse.meshmessages import DocumentAsk, DocumentCopy
from papayacourse.routed.documents import Documents
from tests.oddvalues import check_loggable, encoded
from tests.routedfleet import ROOT, document

sys.path.append(str(ROOT / "platform"))

from userplatform.documents import read_document

GIGABYTE = 1 << 30
MOST_MEMORY = 200 * 1024 * 1024  # bytes
UNREADABLE = {"zlib", "half", "bomb", "deep", "odd"}


def bomb() -> bytes:
    """Return a gigabyte of blanks, compressed."""
    packer, blanks = zlib.compressobj(), b" " * (1 << 20)
    return b"".join(packer.compress(blanks) for _ in range(GIGABYTE >> 20)) + packer.flush()


def copy_of(version: int) -> DocumentCopy:
    """Return a sound copy of a version."""
    return DocumentCopy(version, zlib.compress(encoded(document(version))))


COPIES = {
    "bytes that are no zlib": lambda: DocumentCopy(90, b"no zlib"),
    "half of a copy": lambda: DocumentCopy(80, copy_of(80).packed[:100]),
    "a gigabyte in a few bytes": lambda: DocumentCopy(70, bomb()),
    "a copy that is nested deeply": lambda: DocumentCopy(60, zlib.compress(b"[" * 1_000_000)),
    "a malformed document": lambda: DocumentCopy(
        50, zlib.compress(encoded(document(50) | {"Routes": [{"Name": []}]}))
    ),
    "nothing": lambda: None,
    "document 4": lambda: copy_of(4),
    "document 15": lambda: copy_of(15),
    "document 19": lambda: copy_of(19),
}


@define(eq=False)
class CannedPeers:
    """Peers that answer each call as they were told."""

    answers: dict = field(factory=dict)
    handlers: dict = field(factory=dict)
    asked: list = field(factory=list)

    async def call(self, name: str, _message: DocumentAsk, _timeout: float):
        """Return a peer's copy."""
        self.asked.append(name)
        await asyncio.sleep(0)
        if name not in self.answers:
            raise PeerTimeout(f"{name} did not answer")
        return self.answers[name]


@given("a daemon with document 5 whose peers announce newer ones")
def daemon_with_document(context):
    context.peers = CannedPeers()
    context.documents = Documents(context.peers, read_document, lambda _document: None)
    context.documents.apply_source(encoded(document(5)), "store")


@when("its peers send these copies")
def send_copies(context):
    rows = [(row["peer"], int(row["announces"]), row["sends"]) for row in context.table]
    context.peers.answers = {n: COPIES[sends]() for n, _, sends in rows if sends in COPIES}
    context.written, write = [], logs.write

    def record(_level, event, **fields) -> None:
        check_loggable(event=event, **fields)
        context.written.append((event, fields))

    async def announce() -> None:
        asks = (context.documents.request_if_newer(name, version) for name, version, _ in rows)
        await asyncio.gather(*asks)

    logs.write = record
    tracemalloc.start()
    try:
        asyncio.run(announce())
        context.peak = tracemalloc.get_traced_memory()[1]
    finally:
        tracemalloc.stop()
        logs.write = write


@then("document {version:d} is in force there, and each peer was asked once")
def in_force_there(context, version):
    assert context.documents.version == version, context.written
    assert sorted(context.peers.asked) == sorted({*context.peers.answers, "lost"})
    assert context.peak < MOST_MEMORY, context.peak


@then("each copy that cannot be read is logged with its peer")
def unreadable_logged(context):
    found = {f["source"] for event, f in context.written if event == "document not readable"}
    assert found == {f"peer {name}" for name in UNREADABLE}, found
