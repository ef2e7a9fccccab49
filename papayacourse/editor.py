"""Changes operators' settings in the key-value service, checked and by compare-and-swap."""

from attrs import define, frozen
from returns.result import Failure, Success

from papayacourse.exceptions import PlatformAnswerLost, SettingsConflict, SettingsError
from papayacourse.kvstore import Entry, KeyValueStore, Written
from papayacourse.settings import ROOT, SettingsPath, parse_path, parse_setting
from papayacourse.watch import AUTHOR_LINE, settings_value

SWAP_TRIES = 5


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

    async def get(self, path: str) -> Entry:
        """Return a path's entry."""
        return await self.store.get(str(checked_path(path)))

    async def list(self, prefix: str = ROOT) -> tuple[Entry, ...]:
        """Return every path under a prefix that has a value."""
        listing = await self.store.list(prefix)
        return tuple(entry for entry in listing.entries if entry.value is not None)

    async def write(self, change: Change, seen: int | None = None) -> int:
        """Write one change.

        Parameters
        ----------
        change : Change
            What to write.
        seen : int, optional
            The revision that the operator saw; the current one by default.

        Returns
        -------
        int
            The revision written.

        Raises
        ------
        SettingsConflict
            When the path is no longer at that revision.
        """
        key = str(change.path)
        value = None if change.text is None else f"{AUTHOR_LINE}{self.author}\n{change.text}"
        if seen is None:
            seen = (await self.store.get(key)).revision
        for _ in range(SWAP_TRIES):
            try:
                result = await self.store.swap(key, value, seen)
            except PlatformAnswerLost:
                current = await self.store.get(key)
                if current.value == value and current.revision > seen:
                    return current.revision
                continue
            if isinstance(result, Written):
                return result.revision
            raise conflict(key, seen, result.current)
        raise PlatformAnswerLost(f"{key}: no answer in {SWAP_TRIES} tries")


def conflict(key: str, seen: int, current: Entry) -> SettingsConflict:
    """Describe who was first."""
    return SettingsConflict(key, seen, current.revision, settings_value(current).author)
