"""Consistent snapshots of all settings in the key-value service, and checks against them."""

from collections.abc import Mapping

from attrs import frozen

from papayacourse.commits import (
    COMMIT_KEY,
    Commit,
    CommittedChange,
    StoredValue,
    commit_values,
    read_commit,
    read_stored,
)
from papayacourse.exceptions import SettingsConflict, SettingsError
from papayacourse.kvstore import Entry, KeyValueStore
from papayacourse.meshmessages import SettingsValue
from papayacourse.settings import ROOT
from papayacourse.settingschecks import new_faults


@frozen
class Snapshot:
    """A consistent snapshot of all settings in the key-value service.

    Attributes
    ----------
    values : dict of str to SettingsValue
        Values by path, including the newest commit and deletions.
    keys : dict of str to Entry
        Entries of the paths' own keys, by path.
    """

    values: dict[str, SettingsValue]
    keys: dict[str, Entry]
    commit_entry: Entry
    commit: Commit | None

    @property
    def revision(self) -> int:
        """Return the highest revision of any path."""
        return max((value.revision for value in self.values.values()), default=0)

    def unwritten(self) -> list[CommittedChange]:
        """Return the newest commit's changes that are not yet in the paths' own keys."""
        if self.commit is None:
            return []
        return [
            change
            for change in self.commit.changes
            if self.stored(change.path).value.revision < self.commit_entry.revision
        ]

    def pending_removals(self) -> list[str]:
        """Return the paths whose keys the newest commit removes but that still exist."""
        return [
            path
            for path in (self.commit.removed if self.commit else ())
            if path in self.keys
            and self.keys[path].value is not None
            and self.stored(path).value.revision < self.commit_entry.revision
        ]

    def deleted_before(self, at: float) -> list[str]:
        """Return the paths that were deleted before a time and still have a key."""
        return [
            path
            for path, entry in self.keys.items()
            if entry.value is not None
            and self.values[path].text is None
            and self.stored(path).at < at
        ]

    def stored(self, path: str) -> StoredValue:
        """Return the value stored in a path's own key."""
        return read_stored(self.keys.get(path, Entry(path, None, 0)))


async def read_snapshot(store: KeyValueStore) -> Snapshot:
    """Read all settings in one call."""
    listing = await store.list(ROOT)
    keys = {entry.key: entry for entry in listing.entries}
    commit_entry = keys.pop(COMMIT_KEY, Entry(COMMIT_KEY, None, 0))
    values = {entry.key: read_stored(entry).value for entry in keys.values()}
    commit = read_commit(commit_entry)
    for value in commit_values(commit, commit_entry.revision) if commit else ():
        if value.path not in values or values[value.path].revision < value.revision:
            values[value.path] = value
    return Snapshot(values, keys, commit_entry, commit)


def check_unchanged(expected: Mapping[str, int], snapshot: Snapshot) -> None:
    """Raise SettingsConflict if a path has changed since the operator read it."""
    for path, seen in expected.items():
        current = snapshot.values.get(path)
        if current is not None and current.revision > seen:
            raise SettingsConflict(path, seen, current.revision, current.author)


def check_consistency(commit: Commit, snapshot: Snapshot, force: bool) -> None:
    """Raise SettingsError if a commit is inconsistent with the other settings."""
    after = dict(snapshot.values)
    after |= {value.path: value for value in commit_values(commit, 0)}
    faults = new_faults(snapshot.values, after, force)
    if faults:
        raise SettingsError(faults)
