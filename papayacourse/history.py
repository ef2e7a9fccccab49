"""Revision history of settings in the key-value service, bounded for each path."""

import json

from attrs import asdict, frozen
from cattrs import structure
from cattrs.errors import BaseValidationError

from papayacourse import jsontext, logs
from papayacourse.commits import Commit, CommittedChange
from papayacourse.exceptions import PlatformAnswerLost
from papayacourse.kvstore import Entry, KeyValueStore, Written

HISTORY_ROOT = "/history"  # outside the watched prefix: daemons do not follow histories
MAX_REVISIONS = 20
MAX_HISTORY_BYTES = 512 * 1024
MAX_SWAP_ATTEMPTS = 8
MAX_REVISION = 2**63 - 1


@frozen
class Revision:
    """One revision of a path; ``text`` is None for a deletion."""

    revision: int
    author: str
    at: float
    batch: str
    text: str | None


def truncate_revisions(revisions: list[Revision]) -> list[Revision]:
    """Return the newest revisions that fit the limits on number and size."""
    kept = sorted(revisions, key=lambda revision: revision.revision)[-MAX_REVISIONS:]
    while len(kept) > 1 and len(history_text(kept).encode()) > MAX_HISTORY_BYTES:
        kept = kept[1:]
    return kept


def history_text(revisions: list[Revision]) -> str:
    """Encode a history for the key-value service."""
    return json.dumps([asdict(revision) for revision in revisions])


async def read_history(store: KeyValueStore, path: str) -> list[Revision]:
    """Return a path's retained revisions, oldest first."""
    return parse_revisions(await store.get(HISTORY_ROOT + path))


def parse_revisions(entry: Entry) -> list[Revision]:
    """Decode the revisions in a history entry; return none if it is malformed.

    Revisions whose number cannot be one are left out.
    """
    try:
        found = structure(jsontext.parse(entry.value or "[]"), list[Revision])
    except (ValueError, TypeError, BaseValidationError):
        logs.error("settings history not readable", key=entry.key, revision=entry.revision)
        return []
    return [one for one in found if 0 < one.revision <= MAX_REVISION]


async def add_revision(
    store: KeyValueStore, commit: Commit, revision: int, change: CommittedChange
) -> None:
    """Add a revision to a path's history if it is not there yet.

    Raises
    ------
    PlatformAnswerLost
        If no attempt was answered; adding the revision again later is harmless.
    """
    key = HISTORY_ROOT + change.path
    mine = Revision(revision, commit.author, commit.at, commit.batch, change.text)
    for _ in range(MAX_SWAP_ATTEMPTS):
        entry = await store.get(key)
        known = parse_revisions(entry)
        if any(one.revision >= revision for one in known):
            return
        try:
            result = await store.swap(
                key, history_text(truncate_revisions([*known, mine])), entry.revision
            )
        except PlatformAnswerLost:
            continue
        if isinstance(result, Written):
            return
    raise PlatformAnswerLost(f"{key}: no answer in {MAX_SWAP_ATTEMPTS} tries")


async def remove_history(store: KeyValueStore, path: str, before: int) -> None:
    """Remove a path's history if all its revisions are below a given one."""
    entry = await store.get(HISTORY_ROOT + path)
    newest = max((one.revision for one in parse_revisions(entry)), default=0)
    if entry.value is not None and newest < before:
        await store.swap(entry.key, None, entry.revision)
