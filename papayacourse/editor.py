"""Validates operators' changes to settings and commits them to the key-value service.

Every change, of one or more paths, is one commit: a single value that holds all the changes and
is written by one compare-and-swap on the commit key. It is in force from that write on. The
paths' own keys are written afterwards by the commit's author or, if the author stopped before
finishing, by the next committer. This always happens before the commit key is written again.
"""

import asyncio
import random
import secrets
import time
from collections.abc import Callable, Mapping, Sequence

from attrs import define, evolve, frozen
from returns.result import Failure, Success

from papayacourse.commits import (
    COMMIT_KEY,
    Commit,
    CommittedChange,
    commit_text,
    read_commit,
    read_stored,
    stored_text,
)
from papayacourse.exceptions import (
    PlatformAnswerLost,
    PlatformError,
    SettingsError,
    SettingsOutcomeUnknown,
)
from papayacourse.history import Revision, add_revision, read_history, remove_history
from papayacourse.kvstore import Entry, KeyValueStore, SwapConflict, Written
from papayacourse.meshmessages import SettingsValue
from papayacourse.settings import ROOT, SettingsPath
from papayacourse.settingsparser import parse_path, parse_setting
from papayacourse.snapshot import Snapshot, check_consistency, check_unchanged, read_snapshot
from papayacourse.types import Fault

MAX_COMMIT_ATTEMPTS = 12
MAX_RETRY_PAUSE_SECONDS = 0.05  # for each attempt made
MAX_SWAP_ATTEMPTS = 5
MAX_COMMIT_BYTES = 960 * 1024  # the key-value service limits values to one megabyte
MAX_REMOVED = 50  # deleted paths whose keys one commit removes
DELETED_KEY_RETENTION_SECONDS = 7 * 24 * 3600.0


@frozen
class Change:
    """A new text for one path, or None to delete it."""

    path: SettingsPath
    text: str | None


def checked_path(text: str) -> SettingsPath:
    """Parse a path, or raise SettingsError."""
    match parse_path(text):
        case Success(path):
            return path
        case Failure(faults):
            raise SettingsError(faults)
    raise AssertionError("a Result is either a success or a failure")


def checked_change(path: str, text: str | None) -> Change:
    """Validate a path and its text and return the change, or raise SettingsError."""
    where = checked_path(path)
    if text is not None:
        match parse_setting(where, text):
            case Failure(faults):
                raise SettingsError(faults)
    return Change(where, text)


@define
class Editor:
    """Reads and writes settings for one operator."""

    store: KeyValueStore
    author: str
    clock: Callable[[], float] = time.time

    # Queries.

    async def get(self, path: str) -> SettingsValue:
        """Return a path's newest value, with revision 0 if it never had one."""
        key = str(checked_path(path))
        return (await read_snapshot(self.store)).values.get(key, SettingsValue(key, 0, None))

    async def list(self, prefix: str = ROOT) -> list[SettingsValue]:
        """Return the values of all paths under a prefix, ordered by path."""
        values = (await read_snapshot(self.store)).values
        return [
            values[path]
            for path in sorted(values)
            if path.startswith(prefix) and values[path].text is not None
        ]

    async def history(self, path: str) -> Sequence[Revision]:
        """Return a path's retained revisions, oldest first."""
        return await read_history(self.store, str(checked_path(path)))

    # Commands.

    async def write(
        self, changes: Sequence[Change], seen: int | None = None, force: bool = False
    ) -> int:
        """Commit changes atomically: all come into force together, or none does.

        Parameters
        ----------
        changes : sequence of Change
            The changes, with each path at most once.
        seen : int, optional
            The revision that the operator read; no path may have changed since. By default, the
            revisions at the start of this call.
        force : bool
            Whether to accept names of services that do not exist.

        Returns
        -------
        int
            The revision of the commit.

        Raises
        ------
        SettingsConflict
            If a path has changed since it was read; nothing is written.
        SettingsError
            If the changes are invalid or inconsistent with other settings; nothing is written.
        SettingsOutcomeUnknown
            If the platform's answer was lost and the outcome could not be determined.
        """
        commit = self._build_commit(changes)
        snapshot = await read_snapshot(self.store)
        expected = self._expected_revisions(changes, snapshot, seen)
        maybe_written = False
        for attempt in range(MAX_COMMIT_ATTEMPTS):
            # Random jitter keeps concurrent operators from retrying in lockstep.
            await asyncio.sleep(random.uniform(0, attempt * MAX_RETRY_PAUSE_SECONDS))
            try:
                done = await self._try_commit(commit, expected, snapshot, force, maybe_written)
                if done is not None:
                    return done
                snapshot = await read_snapshot(self.store)
            except PlatformAnswerLost as error:
                maybe_written = True
                snapshot = await self._after_lost_answer(error)
            except PlatformError as error:
                if maybe_written:
                    raise SettingsOutcomeUnknown(str(error)) from error
                raise
        if maybe_written:
            raise SettingsOutcomeUnknown(f"no clear answer in {MAX_COMMIT_ATTEMPTS} tries")
        raise PlatformError(
            f"others kept committing in {MAX_COMMIT_ATTEMPTS} tries; nothing is written"
        )

    async def _after_lost_answer(self, error: PlatformAnswerLost) -> Snapshot:
        try:
            return await read_snapshot(self.store)
        except PlatformError as second:
            raise SettingsOutcomeUnknown(str(error)) from second

    def _build_commit(self, changes: Sequence[Change]) -> Commit:
        paths = [str(change.path) for change in changes]
        twice = sorted({path for path in paths if paths.count(path) > 1})
        if twice:
            raise SettingsError([Fault(path, "", "", "given twice") for path in twice])
        listed = tuple(CommittedChange(str(change.path), change.text) for change in changes)
        commit = Commit(secrets.token_hex(8), self.author, round(self.clock(), 3), listed)
        if len(commit_text(commit).encode()) > MAX_COMMIT_BYTES:
            what = f"longer than {MAX_COMMIT_BYTES} bytes together; apply fewer paths at once"
            raise SettingsError([Fault("settings", "", "", what)])
        return commit

    def _expected_revisions(
        self, changes: Sequence[Change], snapshot: Snapshot, seen: int | None
    ) -> dict[str, int]:
        """Return the highest revision that each path may have for the commit to go ahead."""
        revisions = {path: value.revision for path, value in snapshot.values.items()}
        paths = [str(change.path) for change in changes]
        return {path: revisions.get(path, 0) if seen is None else seen for path in paths}

    async def _try_commit(
        self,
        commit: Commit,
        expected: Mapping[str, int],
        snapshot: Snapshot,
        force: bool,
        maybe_written: bool,
    ) -> int | None:
        """Attempt a commit once and return its revision, or None if another commit came first."""
        written = await self._find_commit(commit, snapshot) if maybe_written else None
        if written is None:
            check_unchanged(expected, snapshot)
            check_consistency(commit, snapshot, force)
            await self._write_back(snapshot)
            commit = evolve(commit, removed=self._removable(commit, snapshot))
            base = snapshot.commit_entry.revision
            result = await self.store.swap(COMMIT_KEY, commit_text(commit), base)
            match result:
                case Written(revision):
                    written = revision
                case SwapConflict(current):
                    found = read_commit(current)
                    if found is None or found.batch != commit.batch:
                        return None
                    written = current.revision
        await self._finish_commit(commit, written, snapshot)
        return written

    async def _find_commit(self, commit: Commit, snapshot: Snapshot) -> int | None:
        """Return the revision of a commit whose answer was lost, or None if not committed."""
        if snapshot.commit is not None and snapshot.commit.batch == commit.batch:
            return snapshot.commit_entry.revision
        # Any later committer has first written this commit to the history.
        for revision in await read_history(self.store, commit.changes[0].path):
            if revision.batch == commit.batch:
                return revision.revision
        return None

    async def _finish_commit(self, commit: Commit, revision: int, before: Snapshot) -> None:
        """Write the paths' own keys; a failure is harmless because the commit is in force."""
        entry = Entry(COMMIT_KEY, commit_text(commit), revision)
        try:
            await self._write_back(evolve(before, commit=commit, commit_entry=entry))
        except PlatformError:
            # The next commit completes the write-back.
            return

    async def _write_back(self, snapshot: Snapshot) -> None:
        """Write the newest commit to the paths' own keys and histories."""
        revision = snapshot.commit_entry.revision
        for change in snapshot.unwritten():
            await add_revision(self.store, snapshot.commit, revision, change)
            text = stored_text(snapshot.commit, revision, change)
            await self._write_key(snapshot.keys.get(change.path), change.path, text, revision)
        for path in snapshot.pending_removals():
            await self._remove_key(snapshot.keys[path], revision)

    async def _write_key(self, known: Entry | None, path: str, text: str, revision: int) -> None:
        expected = known.revision if known else 0
        for _ in range(MAX_SWAP_ATTEMPTS):
            try:
                result = await self.store.swap(path, text, expected)
            except PlatformAnswerLost:
                continue
            if isinstance(result, Written):
                return
            current = result.current
            if read_stored(current).value.revision >= revision:
                return
            expected = current.revision
        raise PlatformAnswerLost(f"{path}: no answer in {MAX_SWAP_ATTEMPTS} tries")

    def _removable(self, commit: Commit, snapshot: Snapshot) -> tuple[str, ...]:
        changed = {change.path for change in commit.changes}
        old = snapshot.deleted_before(self.clock() - DELETED_KEY_RETENTION_SECONDS)
        return tuple(path for path in old if path not in changed)[:MAX_REMOVED]

    async def _remove_key(self, known: Entry, revision: int) -> None:
        # Removals belong to a commit so that none can follow a later commit that writes the path
        # again: the key's revision would exceed that commit's revision and hide it.
        await remove_history(self.store, known.key, revision)
        try:
            await self.store.swap(known.key, None, known.revision)
        except PlatformAnswerLost:
            await self.store.swap(known.key, None, known.revision)
