"""Earlier revisions of settings, a bounded number for each path, in the key-value service."""

import json

from attrs import asdict, frozen
from cattrs import structure
from cattrs.errors import BaseValidationError

from papayacourse import logs
from papayacourse.commits import Commit, CommittedChange
from papayacourse.exceptions import PlatformAnswerLost
from papayacourse.kvstore import Entry, KeyValueStore, Written

HISTORY_ROOT = "/history"  # outside the watched prefix: daemons need none of it
MAX_REVISIONS = 20
MAX_HISTORY_BYTES = 512 * 1024
SWAP_TRIES = 8


@frozen
class Revision:
    """One earlier revision of a path; a deletion has no text."""

    revision: int
    author: str
    at: float
    batch: str
    text: str | None


def bounded(revisions: list[Revision]) -> list[Revision]:
    """Keep the newest revisions that fit."""
    kept = sorted(revisions, key=lambda revision: revision.revision)[-MAX_REVISIONS:]
    while len(kept) > 1 and len(history_text(kept).encode()) > MAX_HISTORY_BYTES:
        kept = kept[1:]
    return kept


def history_text(revisions: list[Revision]) -> str:
    """Write a history for the key-value service."""
    return json.dumps([asdict(revision) for revision in revisions])


async def read_history(store: KeyValueStore, path: str) -> list[Revision]:
    """Return a path's revisions that are still kept, the oldest first."""
    return revisions_in(await store.get(HISTORY_ROOT + path))


def revisions_in(entry: Entry) -> list[Revision]:
    """Read the revisions that a history's key holds; none when somebody has spoilt it."""
    try:
        return structure(json.loads(entry.value or "[]"), list[Revision])
    except (ValueError, TypeError, BaseValidationError):
        logs.error("settings history not readable", key=entry.key, revision=entry.revision)
        return []


async def note_revision(
    store: KeyValueStore, commit: Commit, revision: int, change: CommittedChange
) -> None:
    """Add a revision to a path's history, unless it stands there already.

    Raises
    ------
    PlatformAnswerLost
        When no answer came in several tries; adding it again later is harmless.
    """
    key = HISTORY_ROOT + change.path
    mine = Revision(revision, commit.author, commit.at, commit.batch, change.text)
    for _ in range(SWAP_TRIES):
        entry = await store.get(key)
        known = revisions_in(entry)
        if any(one.revision >= revision for one in known):
            return
        try:
            result = await store.swap(key, history_text(bounded([*known, mine])), entry.revision)
        except PlatformAnswerLost:
            continue
        if isinstance(result, Written):
            return
    raise PlatformAnswerLost(f"{key}: no answer in {SWAP_TRIES} tries")


async def remove_history(store: KeyValueStore, path: str, before: int) -> None:
    """Remove the history of a path that has had no revision from one on."""
    entry = await store.get(HISTORY_ROOT + path)
    newest = max((one.revision for one in revisions_in(entry)), default=0)
    if entry.value is not None and newest < before:
        await store.swap(entry.key, None, entry.revision)
