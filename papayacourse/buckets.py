"""Storage format of non-repeatable calls: each bucket is an append-only log in segments.

A bucket's segments are values of the key-value service, ``/records/TEAM/BUCKET/NUMBER``. Rows are
only appended, to the last segment, by compare-and-swap. A segment over the size limit is sealed in
the same swap, and the next one starts. A sealed segment changes once more: when all rows in it and
in every earlier segment have expired, it is replaced by tombstones, a short hash of each key.
Tombstones are deleted ``record_forget_after`` seconds (a team setting) after their newest row; only
then could a key run again.
"""

import base64
import hashlib
import json
from collections.abc import Iterable
from types import NoneType

import attrs
import cbor2
from attrs import define, evolve, field, frozen

from papayacourse.exceptions import PlatformUnavailable
from papayacourse.kvstore import Entry

BUCKETS_PER_TEAM = 4
SEGMENT_BYTES = 32 * 1024  # packed; a longer segment is sealed
MAX_RECORDED_ANSWER_BYTES = 2048  # headers and body
KEY_BYTES = 16
TOMBSTONE_BYTES = 10


@frozen
class Intent:
    """A call is about to be sent; the nonce identifies the writer of the intent."""

    key: bytes
    nonce: bytes
    request: bytes
    created: float
    expires: float


@frozen
class Outcome:
    """A call was answered; ``body`` is None if the answer was too long to keep."""

    key: bytes
    nonce: bytes
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None


@frozen
class Release:
    """The writer of an intent withdrew it; nothing was sent."""

    key: bytes
    nonce: bytes


Row = Intent | Outcome | Release
ROW_CLASSES = (Intent, Outcome, Release)
MAX_NUMBER = 2**53  # of a number in a segment
NUMBERS = frozenset({int, float})
FIELD_TYPES = {
    bytes: {bytes},
    bytes | None: {bytes, NoneType},
    bool: {bool},
    int: {int},
    float: {float, int},
    tuple[tuple[str, str], ...]: {tuple},
    tuple[Row, ...]: {tuple},
}


@frozen
class Record:
    """The intent and outcome of a key within its retention."""

    intent: Intent
    outcome: Outcome | None = None


@frozen
class Tombstone:
    """Marks a key past its retention; ``ran`` is True if its call is known to have run."""

    ran: bool


@frozen
class Segment:
    """One value of a bucket's log.

    Attributes
    ----------
    ran, unknown : bytes
        Tombstones of keys whose calls ran, and of keys with an unknown outcome.
    newest : float
        Creation time of the newest intent among the tombstones, in seconds of the epoch.
    """

    number: int
    rows: tuple[Row, ...] = ()
    sealed: bool = False
    ran: bytes = b""
    unknown: bytes = b""
    newest: float = 0.0

    @property
    def is_compacted(self) -> bool:
        """Return True if only tombstones are left."""
        return self.sealed and not self.rows

    def is_expired(self, now: float) -> bool:
        """Return True if no intent in the segment is within its retention."""
        return all(not isinstance(row, Intent) or row.expires < now for row in self.rows)


CHECKED_FIELDS = {
    cls: tuple((spec.name, FIELD_TYPES[spec.type]) for spec in attrs.fields(cls))
    for cls in (*ROW_CLASSES, Segment)
}


def key_hash(team: str, service: str, account: str, key: str) -> bytes:
    """Return the hash under which a call's record is stored."""
    return hashlib.sha256(json.dumps([team, service, account, key]).encode()).digest()[:KEY_BYTES]


def bucket_of(key: bytes) -> int:
    """Return the number of the bucket that holds a key."""
    return key[0] % BUCKETS_PER_TEAM


def bucket_prefix(team: str, bucket: int) -> str:
    """Return the key prefix of a bucket's segments."""
    return f"/records/{team}/{bucket:02d}/"


def segment_key(prefix: str, number: int) -> str:
    """Return the key-value key of a segment."""
    return f"{prefix}{number:08d}"


def pack(segment: Segment) -> str:
    """Encode a segment as text for the key-value service."""
    rows = [[ROW_CLASSES.index(type(row)), *_row_fields(row)] for row in segment.rows]
    body = [segment.number, rows, segment.sealed, segment.ran, segment.unknown, segment.newest]
    return base64.b64encode(cbor2.dumps(body)).decode()


def _row_fields(row: Row) -> list:
    return [getattr(row, name) for name in row.__slots__ if name != "__weakref__"]


def unpack(entry: Entry) -> Segment:
    """Decode a segment from its entry.

    Raises
    ------
    PlatformUnavailable
        If the entry holds no segment of its number; its keys cannot be looked up.
    """
    try:
        number, rows, sealed, ran, unknown, newest = cbor2.loads(
            base64.b64decode(entry.value, validate=True)
        )
        segment = Segment(
            number, tuple(_unpack_row(*raw) for raw in rows), sealed, ran, unknown, newest
        )
        _check_types(segment)
    except (TypeError, ValueError, LookupError, RecursionError, cbor2.CBORError) as error:
        why = f"{entry.key} holds no segment: {type(error).__name__}"
        raise PlatformUnavailable(why) from error
    if not entry.key.endswith(f"/{number:08d}"):
        raise PlatformUnavailable(f"{entry.key} holds another segment")
    return segment


def _unpack_row(kind: int, *fields) -> Row:
    row_class = ROW_CLASSES[range(len(ROW_CLASSES)).index(kind)]
    if row_class is Outcome:
        key, nonce, status, headers, body = fields
        row = Outcome(key, nonce, status, tuple((name, value) for name, value in headers), body)
        if not all(type(text) is str for header in row.headers for text in header):
            raise TypeError("a header is no text")
    else:
        row = row_class(*fields)
    _check_types(row)
    return row


def _check_types(part: Row | Segment) -> None:
    """Raise TypeError unless each field holds what its class says."""
    for name, types in CHECKED_FIELDS[type(part)]:
        value = getattr(part, name)
        kind = type(value)
        if kind not in types or (kind in NUMBERS and not 0 <= value <= MAX_NUMBER):
            raise TypeError(f"{name} holds another type or is out of range")


def split_tombstones(packed: bytes) -> Iterable[bytes]:
    """Return an iterable over packed tombstones."""
    return (packed[at : at + TOMBSTONE_BYTES] for at in range(0, len(packed), TOMBSTONE_BYTES))


@define(eq=False)
class BucketState:
    """The state of a bucket after its rows are applied in order."""

    records: dict[bytes, Record] = field(factory=dict)
    ran: set[bytes] = field(factory=set)
    unknown: set[bytes] = field(factory=set)

    def find(self, key: bytes) -> Record | Tombstone | None:
        """Return the record or tombstone of a key, or None."""
        if key in self.records:
            return self.records[key]
        tombstone = key[:TOMBSTONE_BYTES]
        if tombstone in self.ran:
            return Tombstone(ran=True)
        return Tombstone(ran=False) if tombstone in self.unknown else None

    def add_segment(self, segment: Segment) -> None:
        """Apply all rows and tombstones of a segment."""
        self.ran.update(split_tombstones(segment.ran))
        self.unknown.update(split_tombstones(segment.unknown))
        for row in segment.rows:
            self.add(row)

    def add(self, row: Row) -> None:
        """Apply one row; ignore it if it conflicts with the record in force."""
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

    def tombstones_for(self, segment: Segment) -> Segment:
        """Return the tombstone segment that replaces a sealed segment of expired rows."""
        intents = [row for row in segment.rows if isinstance(row, Intent)]
        held = [row for row in intents if self._is_in_force(row)]
        done = [row.key[:TOMBSTONE_BYTES] for row in held if self.records[row.key].outcome]
        open_ = [row.key[:TOMBSTONE_BYTES] for row in held if not self.records[row.key].outcome]
        newest = max((row.created for row in intents), default=0.0)
        return Segment(segment.number, (), True, b"".join(done), b"".join(open_), newest)

    def _is_in_force(self, row: Intent) -> bool:
        record = self.records.get(row.key)
        return record is not None and record.intent == row

    def forget_rows(self, segment: Segment, tombstones: Segment) -> None:
        """Replace a segment's records with its tombstones."""
        for row in segment.rows:
            if isinstance(row, Intent) and self._is_in_force(row):
                del self.records[row.key]
        self.add_segment(tombstones)

    def forget_tombstones(self, segment: Segment) -> None:
        """Drop the tombstones of a deleted segment."""
        self.ran.difference_update(split_tombstones(segment.ran))
        self.unknown.difference_update(split_tombstones(segment.unknown))
