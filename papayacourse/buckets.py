"""The stored form of non-repeatable calls: each bucket is an append-only log in segments.

A bucket's segments are values of the key-value service, ``/records/TEAM/BUCKET/NUMBER``. Rows are
only ever added, to the last segment, by compare-and-swap; a segment that has grown long is sealed
in the same swap and the next one is begun. A sealed segment changes once more: when all of its rows
have expired, and those of every segment before it, it is replaced by tombstones, a short hash of
each key. Tombstones are deleted ``record_forget_after`` seconds, a setting of the team, after their
newest row; only then could a key run again.
"""

import base64
import hashlib
import json
from collections.abc import Iterable

import cbor2
from attrs import define, evolve, field, frozen

from papayacourse.kvstore import Entry

BUCKETS = 4  # for each team
SEGMENT_BYTES = 32 * 1024  # packed; a longer one is sealed
MAX_KEPT_ANSWER = 2048  # bytes of headers and body
KEY_BYTES = 16
TOMBSTONE_BYTES = 10


@frozen
class Intent:
    """A call is about to be sent; the nonce proves whose intent it is."""

    key: bytes
    nonce: bytes
    request: bytes
    created: float
    expires: float


@frozen
class Outcome:
    """A call was answered; an answer too long to keep has no body here."""

    key: bytes
    nonce: bytes
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


@frozen
class Release:
    """An intent is withdrawn by its writer; nothing was sent."""

    key: bytes
    nonce: bytes


Row = Intent | Outcome | Release
ROW_CLASSES = (Intent, Outcome, Release)


@frozen
class Record:
    """What a bucket knows of one key within its retention."""

    intent: Intent
    outcome: Outcome | None = None


@frozen
class Tombstone:
    """What is left of a key after its retention: whether its call is known to have run."""

    ran: bool


@frozen
class Segment:
    """One value of a bucket.

    Attributes
    ----------
    ran, unknown : bytes
        Tombstones of keys that ran, and of those whose outcome nobody knows.
    newest : float
        When the newest intent of the tombstones was written, in seconds of the epoch.
    """

    number: int
    rows: tuple[Row, ...] = ()
    sealed: bool = False
    ran: bytes = b""
    unknown: bytes = b""
    newest: float = 0.0

    @property
    def compact(self) -> bool:
        """Tell whether only tombstones are left."""
        return self.sealed and not self.rows

    def expired(self, now: float) -> bool:
        """Tell whether no intent here is within its retention."""
        return all(not isinstance(row, Intent) or row.expires < now for row in self.rows)


def key_hash(team: str, service: str, account: str, key: str) -> bytes:
    """Return what a record is kept under."""
    return hashlib.sha256(json.dumps([team, service, account, key]).encode()).digest()[:KEY_BYTES]


def bucket_of(key: bytes) -> int:
    """Return the number of the bucket that holds a key."""
    return key[0] % BUCKETS


def bucket_prefix(team: str, bucket: int) -> str:
    """Return what the keys of a bucket's segments start with."""
    return f"/records/{team}/{bucket:02d}/"


def segment_key(prefix: str, number: int) -> str:
    """Return the key-value key of a segment."""
    return f"{prefix}{number:08d}"


def pack(segment: Segment) -> str:
    """Write a segment as text for the key-value service."""
    rows = [[ROW_CLASSES.index(type(row)), *_fields(row)] for row in segment.rows]
    body = [segment.number, rows, segment.sealed, segment.ran, segment.unknown, segment.newest]
    return base64.b64encode(cbor2.dumps(body)).decode()


def _fields(row: Row) -> list:
    return [getattr(row, name) for name in row.__slots__ if name != "__weakref__"]


def unpack(entry: Entry) -> Segment:
    """Read a segment."""
    number, rows, *rest = cbor2.loads(base64.b64decode(entry.value))
    return Segment(number, tuple(_row(*raw) for raw in rows), *rest)


def _row(kind: int, *fields) -> Row:
    if ROW_CLASSES[kind] is Outcome:
        key, nonce, status, headers, body = fields
        return Outcome(key, nonce, status, tuple((name, value) for name, value in headers), body)
    return ROW_CLASSES[kind](*fields)


def split_tombstones(packed: bytes) -> Iterable[bytes]:
    """Yield the tombstones of a segment one by one."""
    return (packed[at : at + TOMBSTONE_BYTES] for at in range(0, len(packed), TOMBSTONE_BYTES))


@define(eq=False)
class Ledger:
    """What the rows of a bucket add up to, taken in their order."""

    records: dict[bytes, Record] = field(factory=dict)
    ran: set[bytes] = field(factory=set)
    unknown: set[bytes] = field(factory=set)

    def find(self, key: bytes) -> Record | Tombstone | None:
        """Return what is known of a key."""
        if key in self.records:
            return self.records[key]
        short = key[:TOMBSTONE_BYTES]
        if short in self.ran:
            return Tombstone(ran=True)
        return Tombstone(ran=False) if short in self.unknown else None

    def take(self, segment: Segment) -> None:
        """Add a whole segment."""
        self.ran.update(split_tombstones(segment.ran))
        self.unknown.update(split_tombstones(segment.unknown))
        for row in segment.rows:
            self.add(row)

    def add(self, row: Row) -> None:
        """Add one row; one that does not fit what stands is ignored."""
        record = self.records.get(row.key)
        match row:
            case Intent():
                if self.find(row.key) is None:
                    self.records[row.key] = Record(row)
            case Outcome():
                if record is not None and record.intent.nonce == row.nonce:
                    self.records[row.key] = evolve(record, outcome=record.outcome or row)
            case Release():
                if record is not None and record.intent.nonce == row.nonce and not record.outcome:
                    del self.records[row.key]

    def compacted(self, segment: Segment) -> Segment:
        """Return the tombstones of a sealed segment whose rows have expired."""
        intents = [row for row in segment.rows if isinstance(row, Intent)]
        held = [row for row in intents if self._stands(row)]
        done = [row.key[:TOMBSTONE_BYTES] for row in held if self.records[row.key].outcome]
        open_ = [row.key[:TOMBSTONE_BYTES] for row in held if not self.records[row.key].outcome]
        newest = max((row.created for row in intents), default=0.0)
        return Segment(segment.number, (), True, b"".join(done), b"".join(open_), newest)

    def _stands(self, row: Intent) -> bool:
        record = self.records.get(row.key)
        return record is not None and record.intent == row

    def forget_rows(self, segment: Segment, tombstones: Segment) -> None:
        """Replace a segment's records by its tombstones."""
        for row in segment.rows:
            if isinstance(row, Intent) and self._stands(row):
                del self.records[row.key]
        self.take(tombstones)

    def forget_tombstones(self, segment: Segment) -> None:
        """Drop the tombstones of a segment that is deleted."""
        self.ran.difference_update(split_tombstones(segment.ran))
        self.unknown.difference_update(split_tombstones(segment.unknown))
