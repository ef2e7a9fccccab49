"""All settings as the key-value service held them at one moment, and checks against them."""

from collections.abc import Mapping

from attrs import frozen

from papayacourse.commits import (
    COMMIT_KEY,
    Commit,
    CommittedChange,
    Stored,
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
    """All settings as the key-value service held them at one moment.

    Attributes
    ----------
    values : dict of str to SettingsValue
        By path, the newest commit included, deletions too.
    keys : dict of str to Entry
        The paths' own keys.
    """

    values: dict[str, SettingsValue]
    keys: dict[str, Entry]
    commit_entry: Entry
    commit: Commit | None

    @property
    def revision(self) -> int:
        """Return the newest revision of any path."""
        return max((value.revision for value in self.values.values()), default=0)

    def unwritten(self) -> list[CommittedChange]:
        """Return the changes of the newest commit that the paths' own keys lack."""
        if self.commit is None:
            return []
        return [
            change
            for change in self.commit.changes
            if self.stored(change.path).value.revision < self.commit_entry.revision
        ]

    def unremoved(self) -> list[str]:
        """Return the deleted paths whose keys the newest commit removes and that still stand."""
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

    def stored(self, path: str) -> Stored:
        """Return what a path's own key holds."""
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


def check_seen(expected: Mapping[str, int], snapshot: Snapshot) -> None:
    """Raise SettingsConflict when a path has changed since the operator saw it."""
    for path, seen in expected.items():
        current = snapshot.values.get(path)
        if current is not None and current.revision > seen:
            raise SettingsConflict(path, seen, current.revision, current.author)


def check_fit(commit: Commit, snapshot: Snapshot, force: bool) -> None:
    """Raise SettingsError when a commit does not fit the other settings."""
    after = dict(snapshot.values)
    after |= {value.path: value for value in commit_values(commit, 0)}
    faults = new_faults(snapshot.values, after, force)
    if faults:
        raise SettingsError(faults)
