"""Encoding of settings in the key-value service: commits, and the values of paths' own keys."""

import json
import re
from collections.abc import Iterator

from attrs import asdict, frozen
from cattrs import structure
from cattrs.errors import BaseValidationError

from papayacourse import jsontext, logs
from papayacourse.kvstore import Entry
from papayacourse.meshmessages import SettingsValue
from papayacourse.settings import ROOT

# Under the watched prefix, so that the same watch returns commits; not a valid team name.
COMMIT_KEY = ROOT + ".commit"
HEADER = re.compile(
    r"# author: (?P<author>[^\n]*)\n# revision: (?P<revision>[0-9]{1,18})\n"
    r"# time: (?P<time>[0-9]{1,18}\.[0-9]{1,9})\n(?P<deleted># deleted\n)?"
)


@frozen
class CommittedChange:
    """One path's new text in a commit, or None to delete the path."""

    path: str
    text: str | None


@frozen
class Commit:
    """Changes that come into force together, stored in one value of the key-value service.

    Attributes
    ----------
    batch : str
        A random id that identifies the commit after an answer was lost.
    at : float
        The time of the commit, in seconds since the epoch.
    removed : tuple of str
        Paths deleted long ago, whose own keys this commit removes.
    """

    batch: str
    author: str
    at: float
    changes: tuple[CommittedChange, ...]
    removed: tuple[str, ...] = ()


@frozen
class StoredValue:
    """The value in a path's own key and the time it was written (0 if unknown)."""

    value: SettingsValue
    at: float = 0.0


def commit_text(commit: Commit) -> str:
    """Encode a commit for the key-value service."""
    return json.dumps(asdict(commit))


def read_commit(entry: Entry) -> Commit | None:
    """Decode a commit; return None if the key holds no valid commit."""
    if entry.value is None:
        return None
    try:
        return structure(jsontext.parse(entry.value), Commit)
    except (ValueError, TypeError, BaseValidationError):
        # The key was written by hand; the paths' own keys remain valid.
        logs.error("settings commit not readable", revision=entry.revision)
        return None


def stored_text(commit: Commit, revision: int, change: CommittedChange) -> str:
    """Encode the value of a path's own key, with a header that holds its commit's revision."""
    head = f"# author: {commit.author}\n# revision: {revision}\n# time: {commit.at:.3f}\n"
    return head + ("# deleted\n" if change.text is None else change.text)


def read_stored(entry: Entry) -> StoredValue:
    """Decode the value of a path's own key; one without a header was written directly."""
    found = HEADER.match(entry.value) if entry.value is not None else None
    if found is None or not 0 < int(found["revision"]) <= entry.revision:
        return StoredValue(SettingsValue(entry.key, entry.revision, entry.value))
    text = None if found["deleted"] else entry.value[found.end() :]
    value = SettingsValue(entry.key, int(found["revision"]), text, found["author"])
    return StoredValue(value, float(found["time"]))


def commit_values(commit: Commit, revision: int) -> Iterator[SettingsValue]:
    """Yield the values that a commit puts in force."""
    for change in commit.changes:
        yield SettingsValue(change.path, revision, change.text, commit.author)


def settings_values(entry: Entry) -> Iterator[SettingsValue]:
    """Yield the settings values that an entry of the key-value service holds."""
    if entry.key != COMMIT_KEY:
        yield read_stored(entry).value
        return
    commit = read_commit(entry)
    if commit is not None:
        yield from commit_values(commit, entry.revision)
