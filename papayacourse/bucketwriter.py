"""Writes one bucket of records, batching updates into one compare-and-swap at a time."""

import asyncio
import time
from collections.abc import Iterator
from itertools import islice

from attrs import define, evolve, field

from papayacourse import logs
from papayacourse.buckets import (
    SEGMENT_BYTES,
    BucketState,
    Intent,
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
from papayacourse.kvstore import Entry, KeyValueStore, SwapConflict, Written
from papayacourse.settings import TeamSettings

MAX_SWAP_ATTEMPTS = 40  # swaps of one batch
MAX_LOST_ANSWERS = 3  # lost answers to swaps of one batch
LOST_ANSWER_DELAY = 0.2  # seconds
COLLISION_DELAY = 0.005  # seconds, times the number of the attempt
WRITE_INTERVAL = 0.02  # seconds between writes of one bucket
MAX_ROWS_PER_WRITE = 200
MAX_COMPACTIONS = 2  # per sealed segment, or per write while the bucket is full


@define(eq=False)
class Update:
    """A row to be written, or None to read what other daemons have written."""

    row: Row | None
    done: asyncio.Future


@define
class SealedSegment:
    """A sealed segment as stored in the key-value service."""

    segment: Segment
    revision: int
    size: int


@define(eq=False)
class BucketWriter:
    """A bucket as last seen by this daemon; a task runs only while updates wait.

    The local copy may be stale. A write based on a stale copy loses its swap, and the value
    returned by the swap brings the copy up to date.
    """

    store: KeyValueStore
    prefix: str
    limits: TeamSettings = field(factory=TeamSettings)
    state: BucketState = field(factory=BucketState)
    open: Segment = field(factory=lambda: Segment(0))
    revision: int = 0
    sealed: dict[int, SealedSegment] = field(factory=dict)
    loaded: bool = False
    waiting: list[Update] = field(factory=list)
    task: asyncio.Task | None = None
    next_write: float = 0.0
    last_used: float = field(factory=time.monotonic)

    @property
    def is_idle(self) -> bool:
        """Return True if no update waits to be written."""
        return self.task is None

    def find(self, key: bytes) -> Record | Tombstone | None:
        """Return the record or tombstone of a key, as last seen, or None."""
        return self.state.find(key)

    def size(self) -> int:
        """Return the total size of the sealed segments, in bytes."""
        return sum(sealed.size for sealed in self.sealed.values())

    def is_full(self) -> bool:
        """Return True if there is no room for another intent."""
        return self.size() > self.limits.record_bytes

    async def append(self, row: Row) -> Record | Tombstone | None:
        """Append a row, unless it is an intent for a known key; return the record in force.

        Raises
        ------
        PlatformUnavailable
            If the row was certainly not written.
        PlatformAnswerLost
            If the row may have been written.
        BucketFull
            If there is no room for another intent.
        """
        return await self._submit(row)

    async def refresh(self) -> None:
        """Read what other daemons have written."""
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
                batch, self.waiting = (
                    self.waiting[:MAX_ROWS_PER_WRITE],
                    self.waiting[MAX_ROWS_PER_WRITE:],
                )
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
        """Write a batch and resolve its futures."""
        lost_answers = 0
        for number in range(MAX_SWAP_ATTEMPTS):
            try:
                await self._catch_up(batch if number == 0 else [])
                rows = self._rows_to_write(batch)
                if not rows:
                    return
                resolve_written(batch, await self._swap(rows))
            except PlatformAnswerLost:
                # Repeating the swap settles it: if the lost one took effect, this one finds its
                # rows; once this one takes effect, the lost one can no longer do so.
                lost_answers += 1
                if lost_answers >= MAX_LOST_ANSWERS:
                    raise
                await asyncio.sleep(LOST_ANSWER_DELAY)
            except PlatformError as error:
                if lost_answers:
                    raise PlatformAnswerLost(str(error)) from error
                raise
            else:
                await asyncio.sleep(COLLISION_DELAY * number)
        raise self._contention_error(lost_answers)

    def _contention_error(self, lost_answers: int) -> PlatformError:
        text = f"{self.prefix} could not be changed in {MAX_SWAP_ATTEMPTS} tries"
        return PlatformAnswerLost(text) if lost_answers else PlatformUnavailable(text)

    async def _catch_up(self, batch: list[Update]) -> None:
        if not self.loaded:
            await self._load()
        elif any(update.row is None for update in batch):
            await self._refresh()

    async def _refresh(self) -> None:
        """Read rows added by other daemons, following the log past newly sealed segments."""
        while self.loaded:
            entry = await self.store.get(segment_key(self.prefix, self.open.number))
            if entry.revision == self.revision:
                return
            self._apply_entry(entry)
            if self.revision:
                return
        await self._load()

    async def _load(self) -> None:
        try:
            listing = await self.store.list(self.prefix)
        except PlatformAnswerLost as error:
            # A read has no effect, even if its answer is lost.
            raise PlatformUnavailable(str(error)) from error
        self.state, self.sealed = BucketState(), {}
        self.open, self.revision = Segment(0), 0
        for entry in sorted(listing.entries, key=lambda entry: entry.key):
            if entry.value is not None:
                segment = unpack(entry)
                self.state.add_segment(segment)
                self._set_newest(segment, entry.revision, len(entry.value))
        self.loaded = True

    def _set_newest(self, segment: Segment, revision: int, size: int) -> None:
        """Set the newest segment; a sealed segment is followed by a new open one."""
        if segment.sealed:
            self.sealed[segment.number] = SealedSegment(segment, revision, size)
            self.open, self.revision = Segment(segment.number + 1), 0
        else:
            self.open, self.revision = segment, revision

    def _apply_entry(self, entry: Entry) -> tuple[Row, ...]:
        """Apply rows that other daemons added to the open segment, and return them."""
        segment = unpack(entry) if entry.value is not None else Segment(self.open.number)
        known = len(self.open.rows)
        if segment.rows[:known] != self.open.rows or segment.is_compacted or entry.value is None:
            # Another daemon compacted or deleted the segment: reload the bucket.
            self.loaded = False
            return ()
        for row in segment.rows[known:]:
            self.state.add(row)
        self._set_newest(segment, entry.revision, len(entry.value))
        return segment.rows[known:]

    def _rows_to_write(self, batch: list[Update]) -> tuple[Row, ...]:
        """Return the rows still to be written; resolve updates that need no write."""
        rows: list[Row] = []
        chosen_keys: set[bytes] = set()
        for update in batch:
            if update.done.done():
                continue
            match update.row:
                case Intent(key=key) if self.find(key) is not None:
                    update.done.set_result(self.find(key))
                case Intent() if self.is_full():
                    update.done.set_exception(BucketFull(f"{self.prefix} is full"))
                case Intent(key=key) if key in chosen_keys:
                    # This write has an intent for the key already; the next attempt finds it.
                    pass
                case Intent() | Outcome() | Release() as row:
                    chosen_keys.add(row.key)
                    rows.append(row)
                case _:
                    update.done.set_result(None)
        return tuple(rows)

    async def _swap(self, rows: tuple[Row, ...]) -> tuple[Row, ...]:
        """Try to write rows; return those known to be written."""
        wanted = evolve(self.open, rows=self.open.rows + rows)
        text = pack(wanted)
        if len(text) > SEGMENT_BYTES:
            wanted = evolve(wanted, sealed=True)
            text = pack(wanted)
        self.next_write = time.monotonic() + WRITE_INTERVAL
        match await self.store.swap(segment_key(self.prefix, wanted.number), text, self.revision):
            case Written(revision=revision):
                for row in rows:
                    self.state.add(row)
                self._set_newest(wanted, revision, len(text))
                return rows
            case SwapConflict(current=current):
                return tuple(row for row in self._apply_entry(current) if row in rows)

    async def _compact(self, now: float) -> None:
        """Compact or delete a few old segments."""
        if next(self._compactable(now), None) is None:
            return
        try:
            # Tombstones record whether calls ran, so the newest outcomes must be known.
            await self._refresh()
            for old in list(islice(self._compactable(now), MAX_COMPACTIONS)):
                await self._compact_one(old)
        except PlatformError as error:
            self.loaded = False
            logs.warning("segment not compacted", bucket=self.prefix, why=str(error))

    def _compactable(self, now: float) -> Iterator[SealedSegment]:
        """Yield the segments that may be compacted or deleted, oldest first.

        A segment's outcomes and releases belong to intents in it or in earlier segments, so no
        segment is compacted before the earlier ones.
        """
        for old in self.sealed.values():
            segment = old.segment
            if segment.is_compacted:
                # The last segment marks the log's position, so it is kept until another follows.
                is_last = not self.revision and segment.number == self.open.number - 1
                if segment.newest + self.limits.record_forget_after < now and not is_last:
                    yield old
            elif segment.is_expired(now):
                yield old
            else:
                return

    async def _compact_one(self, old: SealedSegment) -> None:
        segment = old.segment
        key = segment_key(self.prefix, segment.number)
        tombstones = None if segment.is_compacted else self.state.tombstones_for(segment)
        text = None if tombstones is None else pack(tombstones)
        match await self.store.swap(key, text, old.revision):
            case SwapConflict():
                self.loaded = False
            case Written() if tombstones is None:
                self.state.forget_tombstones(segment)
                del self.sealed[segment.number]
            case Written(revision=revision):
                self.state.forget_rows(segment, tombstones)
                self.sealed[segment.number] = SealedSegment(tombstones, revision, len(text))


def resolve_written(batch: list[Update], written: tuple[Row, ...]) -> None:
    """Resolve the updates of written outcomes and releases.

    Intents are resolved from the bucket's state, which has the intent in force.
    """
    for update in batch:
        if not isinstance(update.row, Intent) and update.row in written and not update.done.done():
            update.done.set_result(None)
