"""Commands that run only after their whole command line has been parsed."""

import asyncio
import sys
from collections.abc import Callable

from papayacourse.exceptions import (
    BackendError,
    ConfigError,
    NotInForce,
    PapayacourseError,
    PlatformAnswerLost,
    PlatformUnavailable,
    SettingsConflict,
    SettingsError,
    SettingsOutcomeUnknown,
    UsageError,
)
from papayacourse.types import Address

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_CONFLICT = 3
EXIT_NOT_IN_FORCE = 4
EXIT_PLATFORM_UNAVAILABLE = 5
EXIT_OUTCOME_UNKNOWN = 6


class Invocation:
    """A command with its arguments, not yet run.

    Fire calls a command before it checks the remaining arguments, so a misspelt flag would be
    reported only after a change was written. Fire also offers the members of a returned object
    as further commands; ``__dir__`` hides them.
    """

    def __init__(self, work: Callable):
        self.work = work

    def __dir__(self) -> list[str]:
        return []


def run(invocation: Invocation) -> int:
    """Run a command; expected errors become lines on standard error and an exit status."""
    try:
        result = invocation.work()
        if asyncio.iscoroutine(result):
            result = asyncio.run(result)
        return result or 0
    except (PapayacourseError, OSError, UnicodeDecodeError) as error:
        for line in str(error).splitlines() or [type(error).__name__]:
            print(f"papayacourse: {line}", file=sys.stderr)
        return exit_status(error)
    except KeyboardInterrupt:
        return EXIT_FAILED


def exit_status(error: Exception) -> int:
    """Return the exit status for an error."""
    match error:
        case ConfigError() | SettingsError() | UsageError():
            return EXIT_BAD_INPUT
        case SettingsConflict():
            return EXIT_CONFLICT
        case NotInForce():
            return EXIT_NOT_IN_FORCE
        case PlatformUnavailable() | PlatformAnswerLost() | BackendError():
            return EXIT_PLATFORM_UNAVAILABLE
        case SettingsOutcomeUnknown():
            return EXIT_OUTCOME_UNKNOWN
    return EXIT_FAILED


def address(text, flag: str) -> Address:
    """Parse an address given on the command line."""
    try:
        return Address.parse(str(text))
    except ValueError:
        raise UsageError(f"{flag} HOST:PORT is needed, not {str(text)!r}") from None


def whole_number(value, flag: str) -> int | None:
    """Validate a non-negative integer from the command line; None if it was not given."""
    if value is not None and (isinstance(value, bool) or not isinstance(value, int) or value < 0):
        raise UsageError(f"{flag} needs a whole number, not {value!r}")
    return value


def switch(value, flag: str) -> bool:
    """Validate a flag that takes no value."""
    if not isinstance(value, bool):
        raise UsageError(f"{flag} takes no value, but was given {value!r}")
    return value
