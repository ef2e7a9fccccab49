"""The form of settings in the key-value service: commits of many paths, and the paths' texts."""

import json
import re
from collections.abc import Iterator

from attrs import asdict, frozen
from cattrs import structure
from cattrs.errors import BaseValidationError

from papayacourse import logs
from papayacourse.kvstore import Entry
from papayacourse.meshmessages import SettingsValue
from papayacourse.settings import ROOT

# Under the watched prefix, so that one watch brings commits too; no team can have this name.
COMMIT_KEY = ROOT + ".commit"
HEADER = re.compile(
    r"# author: (?P<author>[^\n]*)\n# revision: (?P<revision>\d+)\n# time: (?P<time>[\d.]+)\n"
    r"(?P<deleted># deleted\n)?"
)


@frozen
class CommittedChange:
    """One path's new text in a commit; None deletes the path."""

    path: str
    text: str | None


@frozen
class Commit:
    """Changes that come into force together, in one value of the key-value service.

    Attributes
    ----------
    batch : str
        An id that its author drew, to recognise the commit when an answer was lost.
    at : float
        When it was written, in seconds since the epoch.
    removed : tuple of str
        Paths deleted long ago, whose own keys go with this commit.
    """

    batch: str
    author: str
    at: float
    changes: tuple[CommittedChange, ...]
    removed: tuple[str, ...] = ()


@frozen
class Stored:
    """What a path's own key holds: the value, and when it was written (0 when unknown)."""

    value: SettingsValue
    at: float = 0.0


def commit_text(commit: Commit) -> str:
    """Write a commit for the key-value service."""
    return json.dumps(asdict(commit))


def read_commit(entry: Entry) -> Commit | None:
    """Read a commit; None when the key holds none."""
    if entry.value is None:
        return None
    try:
        return structure(json.loads(entry.value), Commit)
    except (ValueError, TypeError, BaseValidationError):
        # Somebody wrote the key by hand; the paths' own keys stay good.
        logs.error("settings commit not readable", revision=entry.revision)
        return None


def stored_text(commit: Commit, revision: int, change: CommittedChange) -> str:
    """Write the value of a path's own key; it carries the revision of its commit."""
    head = f"# author: {commit.author}\n# revision: {revision}\n# time: {commit.at:.3f}\n"
    return head + ("# deleted\n" if change.text is None else change.text)


def read_stored(entry: Entry) -> Stored:
    """Read the value of a path's own key; one without our header was written directly."""
    found = HEADER.match(entry.value) if entry.value is not None else None
    if found is None or not 0 < int(found["revision"]) <= entry.revision:
        return Stored(SettingsValue(entry.key, entry.revision, entry.value))
    text = None if found["deleted"] else entry.value[found.end() :]
    value = SettingsValue(entry.key, int(found["revision"]), text, found["author"])
    return Stored(value, float(found["time"]))


def commit_values(commit: Commit, revision: int) -> Iterator[SettingsValue]:
    """Yield the values that a commit puts in force."""
    for change in commit.changes:
        yield SettingsValue(change.path, revision, change.text, commit.author)


def settings_values(entry: Entry) -> Iterator[SettingsValue]:
    """Yield the settings values that one key of the service holds."""
    if entry.key != COMMIT_KEY:
        yield read_stored(entry).value
        return
    commit = read_commit(entry)
    if commit is not None:
        yield from commit_values(commit, entry.revision)
