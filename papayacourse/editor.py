"""Changes operators' settings in the key-value service, checked and by compare-and-swap.

Every change, of one path or of many, is one commit: a single value, written by one
compare-and-swap on the commit key, that holds all the changes. From then on it is in force.
The paths' own keys are written afterwards, by its author or, when that one has stopped halfway,
by whoever commits next, always before the commit key is written again.
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
from papayacourse.history import Revision, note_revision, read_history, remove_history
from papayacourse.kvstore import Entry, KeyValueStore, SwapConflict, Written
from papayacourse.meshmessages import SettingsValue
from papayacourse.settings import ROOT, SettingsPath
from papayacourse.settingsparser import parse_path, parse_setting
from papayacourse.snapshot import Snapshot, check_fit, check_seen, read_snapshot
from papayacourse.types import Fault

COMMIT_TRIES = 12
TRY_PAUSE = 0.05  # seconds
SWAP_TRIES = 5
MAX_COMMIT_BYTES = 960 * 1024  # the key-value service holds values up to a megabyte
MAX_REMOVED = 50  # paths whose keys go with one commit
KEEP_DELETED = 7 * 24 * 3600.0  # seconds that a deleted path's key stays in the service


@frozen
class Change:
    """A new text for one path, or None to delete it."""

    path: SettingsPath
    text: str | None


def checked_path(text: str) -> SettingsPath:
    """Return a path, or raise SettingsError."""
    match parse_path(text):
        case Success(path):
            return path
        case Failure(faults):
            raise SettingsError(faults)
    raise AssertionError("a Result is either a success or a failure")


def checked(path: str, text: str | None) -> Change:
    """Return a change whose text has been checked, or raise SettingsError."""
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
        """Return a path's newest value; revision 0 when it never had one."""
        key = str(checked_path(path))
        return (await read_snapshot(self.store)).values.get(key, SettingsValue(key, 0, None))

    async def list(self, prefix: str = ROOT) -> list[SettingsValue]:
        """Return every path under a prefix that has a value."""
        values = (await read_snapshot(self.store)).values
        return [
            values[path]
            for path in sorted(values)
            if path.startswith(prefix) and values[path].text is not None
        ]

    async def history(self, path: str) -> Sequence[Revision]:
        """Return a path's revisions that are still kept, the oldest first."""
        return await read_history(self.store, str(checked_path(path)))

    # Commands.

    async def write(
        self, changes: Sequence[Change], seen: int | None = None, force: bool = False
    ) -> int:
        """Write changes that come into force together, or none of them.

        Parameters
        ----------
        changes : sequence of Change
            What to write, each path once.
        seen : int, optional
            The revision that the operator saw; no path may have changed since. By default what
            is there when the command starts.
        force : bool
            Whether names of services that do not exist are let pass.

        Returns
        -------
        int
            The revision of all the changes.

        Raises
        ------
        SettingsConflict
            When somebody else has changed a path since; nothing is written.
        SettingsError
            When the changes do not fit the other settings; nothing is written.
        SettingsOutcomeUnknown
            When the platform's answer was lost and it could not be asked again.
        """
        commit = self._commit(changes)
        snapshot = await read_snapshot(self.store)
        expected = self._expected(changes, snapshot, seen)
        maybe_written = False
        for tried in range(COMMIT_TRIES):
            # Operators who race would otherwise keep step with each other.
            await asyncio.sleep(random.uniform(0, tried * TRY_PAUSE))
            try:
                done = await self._try(commit, expected, snapshot, force, maybe_written)
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
            raise SettingsOutcomeUnknown(f"no clear answer in {COMMIT_TRIES} tries")
        raise PlatformError(f"others kept committing in {COMMIT_TRIES} tries; nothing is written")

    async def _after_lost_answer(self, error: PlatformAnswerLost) -> Snapshot:
        try:
            return await read_snapshot(self.store)
        except PlatformError as second:
            raise SettingsOutcomeUnknown(str(error)) from second

    def _commit(self, changes: Sequence[Change]) -> Commit:
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

    def _expected(
        self, changes: Sequence[Change], snapshot: Snapshot, seen: int | None
    ) -> dict[str, int]:
        """Return the newest revision that each path may have."""
        revisions = {path: value.revision for path, value in snapshot.values.items()}
        paths = [str(change.path) for change in changes]
        return {path: revisions.get(path, 0) if seen is None else seen for path in paths}

    async def _try(
        self,
        commit: Commit,
        expected: Mapping[str, int],
        snapshot: Snapshot,
        force: bool,
        maybe_written: bool,
    ) -> int | None:
        """Commit once; None when somebody else came first and it has to be looked at again."""
        written = await self._found(commit, snapshot) if maybe_written else None
        if written is None:
            check_seen(expected, snapshot)
            check_fit(commit, snapshot, force)
            await self._settle(snapshot)
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
        await self._finish(commit, written, snapshot)
        return written

    async def _found(self, commit: Commit, snapshot: Snapshot) -> int | None:
        """Return the revision of a commit whose answer was lost, if it took effect."""
        if snapshot.commit is not None and snapshot.commit.batch == commit.batch:
            return snapshot.commit_entry.revision
        # Whoever committed after it has written its history first.
        for revision in await read_history(self.store, commit.changes[0].path):
            if revision.batch == commit.batch:
                return revision.revision
        return None

    async def _finish(self, commit: Commit, revision: int, before: Snapshot) -> None:
        """Write the paths' own keys; it is in force already, so a failure here is harmless."""
        entry = Entry(COMMIT_KEY, commit_text(commit), revision)
        try:
            await self._settle(evolve(before, commit=commit, commit_entry=entry))
        except PlatformError:
            # The next commit finishes it.
            return

    async def _settle(self, snapshot: Snapshot) -> None:
        """Write the newest commit into the paths' own keys and their histories."""
        revision = snapshot.commit_entry.revision
        for change in snapshot.unwritten():
            await note_revision(self.store, snapshot.commit, revision, change)
            text = stored_text(snapshot.commit, revision, change)
            await self._store(snapshot.keys.get(change.path), change.path, text, revision)
        for path in snapshot.unremoved():
            await self._remove(snapshot.keys[path], revision)

    async def _store(self, known: Entry | None, path: str, text: str, revision: int) -> None:
        expected = known.revision if known else 0
        for _ in range(SWAP_TRIES):
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
        raise PlatformAnswerLost(f"{path}: no answer in {SWAP_TRIES} tries")

    def _removable(self, commit: Commit, snapshot: Snapshot) -> tuple[str, ...]:
        changed = {change.path for change in commit.changes}
        old = snapshot.deleted_before(self.clock() - KEEP_DELETED)
        return tuple(path for path in old if path not in changed)[:MAX_REMOVED]

    async def _remove(self, known: Entry, revision: int) -> None:
        # Part of a commit, so that it cannot come after a later commit that writes the path
        # again: the key's revision would then be above that commit's, and hide it.
        await remove_history(self.store, known.key, revision)
        try:
            await self.store.swap(known.key, None, known.revision)
        except PlatformAnswerLost:
            await self.store.swap(known.key, None, known.revision)
