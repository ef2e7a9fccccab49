"""Writes one bucket of records: gathers all updates into one compare-and-swap at a time."""

import asyncio
import time
from collections.abc import Iterator
from itertools import islice

from attrs import define, evolve, field

from papayacourse import logs
from papayacourse.buckets import (
    SEGMENT_BYTES,
    Intent,
    Ledger,
    Outcome,
    Record,
    Release,
    Row,
    Segment,
    Tombstone,
    pack,
    segment_key,
    unpack,
)
from papayacourse.exceptions import (
    BucketFull,
    PlatformAnswerLost,
    PlatformError,
    PlatformUnavailable,
)
from papayacourse.kvstore import Entry, KeyValueStore, Lost, Written
from papayacourse.settings import TeamSettings

SWAP_TRIES = 40  # swaps that found another value, for one batch
LOST_TRIES = 3  # swaps whose answer was lost, for one batch
LOST_PAUSE = 0.2  # seconds
COLLISION_PAUSE = 0.005  # seconds, times the number of the try
WRITE_INTERVAL = 0.02  # seconds between two writes of one bucket
MAX_ROWS = 200  # in one write
COMPACTIONS = 2  # old segments made smaller for each one sealed, or for each write when full


@define(eq=False)
class Update:
    """A row that waits to be written, or None to read what others have written."""

    row: Row | None
    done: asyncio.Future


@define
class SealedSegment:
    """A sealed segment as the key-value service has it."""

    segment: Segment
    revision: int
    size: int


@define(eq=False)
class BucketWriter:
    """One bucket as this daemon knows it; a task runs only while updates wait.

    What is known may be old. A write built on old knowledge loses its swap, and the value found
    there brings the knowledge up to date.
    """

    store: KeyValueStore
    prefix: str
    limits: TeamSettings = field(factory=TeamSettings)
    ledger: Ledger = field(factory=Ledger)
    open: Segment = field(factory=lambda: Segment(0))
    revision: int = 0
    sealed: dict[int, SealedSegment] = field(factory=dict)
    loaded: bool = False
    waiting: list[Update] = field(factory=list)
    task: asyncio.Task | None = None
    next_write: float = 0.0
    last_used: float = field(factory=time.monotonic)

    # Queries.

    @property
    def idle(self) -> bool:
        """Tell whether nothing waits to be written."""
        return self.task is None

    def find(self, key: bytes) -> Record | Tombstone | None:
        """Return what was last known of a key."""
        return self.ledger.find(key)

    def size(self) -> int:
        """Return the bytes of the bucket's sealed segments."""
        return sum(sealed.size for sealed in self.sealed.values())

    def is_full(self) -> bool:
        """Tell whether there is no room for another intent."""
        return self.size() > self.limits.record_bytes

    # Commands.

    async def append(self, row: Row) -> Record | Tombstone | None:
        """Add a row, unless it is an intent for a key already known; returns what stands then.

        Raises
        ------
        PlatformUnavailable
            When the row was certainly not written.
        PlatformAnswerLost
            When it may have been.
        BucketFull
            When there is no room for another intent.
        """
        return await self._submit(row)

    async def refresh(self) -> None:
        """Read what others have written."""
        await self._submit(None)

    async def _submit(self, row: Row | None) -> Record | Tombstone | None:
        self.last_used = time.monotonic()
        update = Update(row, asyncio.get_running_loop().create_future())
        self.waiting.append(update)
        if self.task is None:
            self.task = asyncio.create_task(self._run())
        return await update.done

    async def _run(self) -> None:
        try:
            while self.waiting:
                await asyncio.sleep(self.next_write - time.monotonic())
                batch, self.waiting = self.waiting[:MAX_ROWS], self.waiting[MAX_ROWS:]
                sealed = len(self.sealed)
                try:
                    if self.is_full():
                        await self._compact(self.store.clock.earliest())
                        sealed = len(self.sealed)
                    await self._write(batch)
                except Exception as error:
                    self._fail(batch, error)
                if len(self.sealed) > sealed:
                    await self._compact(self.store.clock.earliest())
        finally:
            self.task = None

    def _fail(self, batch: list[Update], error: Exception) -> None:
        if not isinstance(error, PlatformError):
            logs.failure("bucket not written", error, bucket=self.prefix)
            error = PlatformAnswerLost(f"{self.prefix}: {type(error).__name__}")
        self.loaded = False
        for update in batch:
            if not update.done.done():
                update.done.set_exception(error)

    async def _write(self, batch: list[Update]) -> None:
        """Write a batch; its futures get their results."""
        doubt = 0
        for number in range(SWAP_TRIES):
            try:
                await self._catch_up(batch if number == 0 else [])
                rows = self._choose(batch)
                if not rows:
                    return
                settle(batch, await self._swap(rows))
            except PlatformAnswerLost:
                # The same swap again tells: had the lost one taken effect, this one finds the
                # rows there; and once this one has taken effect, a late one cannot any more.
                doubt += 1
                if doubt >= LOST_TRIES:
                    raise
                await asyncio.sleep(LOST_PAUSE)
            except PlatformError as error:
                if doubt:
                    raise PlatformAnswerLost(str(error)) from error
                raise
            else:
                await asyncio.sleep(COLLISION_PAUSE * number)
        raise self._collided(doubt)

    def _collided(self, doubt: int) -> PlatformError:
        text = f"{self.prefix} could not be changed in {SWAP_TRIES} tries"
        return PlatformAnswerLost(text) if doubt else PlatformUnavailable(text)

    async def _catch_up(self, batch: list[Update]) -> None:
        if not self.loaded:
            await self._load()
        elif any(update.row is None for update in batch):
            await self._refresh()

    async def _refresh(self) -> None:
        """Take what others have added, past every segment that they have sealed."""
        while self.loaded:
            entry = await self.store.get(segment_key(self.prefix, self.open.number))
            if entry.revision == self.revision:
                return
            self._adopt(entry)
            if self.revision:
                return
        await self._load()

    async def _load(self) -> None:
        try:
            listing = await self.store.list(self.prefix)
        except PlatformAnswerLost as error:
            # A read changes nothing, whatever became of its answer.
            raise PlatformUnavailable(str(error)) from error
        self.ledger, self.sealed = Ledger(), {}
        self.open, self.revision = Segment(0), 0
        for entry in sorted(listing.entries, key=lambda entry: entry.key):
            if entry.value is not None:
                segment = unpack(entry)
                self.ledger.take(segment)
                self._stand_at(segment, entry.revision, len(entry.value))
        self.loaded = True

    def _stand_at(self, segment: Segment, revision: int, size: int) -> None:
        """Note the newest segment; behind a sealed one the next begins."""
        if segment.sealed:
            self.sealed[segment.number] = SealedSegment(segment, revision, size)
            self.open, self.revision = Segment(segment.number + 1), 0
        else:
            self.open, self.revision = segment, revision

    def _adopt(self, entry: Entry) -> tuple[Row, ...]:
        """Take the rows that another daemon has added to the open segment; returns them."""
        segment = unpack(entry) if entry.value is not None else Segment(self.open.number)
        known = len(self.open.rows)
        if segment.rows[:known] != self.open.rows or segment.compact or entry.value is None:
            # Expired and made smaller, or deleted, by others: start from what stands now.
            self.loaded = False
            return ()
        for row in segment.rows[known:]:
            self.ledger.add(row)
        self._stand_at(segment, entry.revision, len(entry.value))
        return segment.rows[known:]

    def _choose(self, batch: list[Update]) -> tuple[Row, ...]:
        """Return the rows still to be written; settles the updates that need no write."""
        rows: list[Row] = []
        taken: set[bytes] = set()
        for update in batch:
            if update.done.done():
                continue
            match update.row:
                case Intent(key=key) if self.find(key) is not None:
                    update.done.set_result(self.find(key))
                case Intent() if self.is_full():
                    update.done.set_exception(BucketFull(f"{self.prefix} is full"))
                case Intent(key=key) if key in taken:
                    # Another intent for the key is in this very write; it is found the next time.
                    pass
                case Intent() | Outcome() | Release() as row:
                    taken.add(row.key)
                    rows.append(row)
                case _:
                    update.done.set_result(None)
        return tuple(rows)

    async def _swap(self, rows: tuple[Row, ...]) -> tuple[Row, ...]:
        """Try to write rows; returns those that are known to be written."""
        wanted = evolve(self.open, rows=self.open.rows + rows)
        text = pack(wanted)
        if len(text) > SEGMENT_BYTES:
            wanted = evolve(wanted, sealed=True)
            text = pack(wanted)
        self.next_write = time.monotonic() + WRITE_INTERVAL
        match await self.store.swap(segment_key(self.prefix, wanted.number), text, self.revision):
            case Written(revision=revision):
                for row in rows:
                    self.ledger.add(row)
                self._stand_at(wanted, revision, len(text))
                return rows
            case Lost(current=current):
                return tuple(row for row in self._adopt(current) if row in rows)

    async def _compact(self, now: float) -> None:
        """Make a few old segments smaller, or delete them."""
        if next(self._due(now), None) is None:
            return
        try:
            # A tombstone tells whether the call ran, so the newest outcomes have to be known.
            await self._refresh()
            for old in list(islice(self._due(now), COMPACTIONS)):
                await self._compact_one(old)
        except PlatformError as error:
            self.loaded = False
            logs.warning("segment not compacted", bucket=self.prefix, why=str(error))

    def _due(self, now: float) -> Iterator[SealedSegment]:
        """Yield the segments that may be made smaller or deleted, oldest first.

        A segment's outcomes and releases belong to intents in it and before it, so none is made
        smaller before those in front of it.
        """
        for old in self.sealed.values():
            segment = old.segment
            if segment.compact:
                # The last segment says where the log goes on, so there must be one behind this.
                is_last = not self.revision and segment.number == self.open.number - 1
                if segment.newest + self.limits.record_forget_after < now and not is_last:
                    yield old
            elif segment.expired(now):
                yield old
            else:
                return

    async def _compact_one(self, old: SealedSegment) -> None:
        segment = old.segment
        key = segment_key(self.prefix, segment.number)
        tombstones = None if segment.compact else self.ledger.compacted(segment)
        text = None if tombstones is None else pack(tombstones)
        match await self.store.swap(key, text, old.revision):
            case Lost():
                self.loaded = False
            case Written() if tombstones is None:
                self.ledger.forget_tombstones(segment)
                del self.sealed[segment.number]
            case Written(revision=revision):
                self.ledger.forget_rows(segment, tombstones)
                self.sealed[segment.number] = SealedSegment(tombstones, revision, len(text))


def settle(batch: list[Update], written: tuple[Row, ...]) -> None:
    """Give the outcomes and releases that are written their results.

    An intent gets its result from the ledger, which tells whose intent stands.
    """
    for update in batch:
        if not isinstance(update.row, Intent) and update.row in written and not update.done.done():
            update.done.set_result(None)
