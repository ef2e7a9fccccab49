"""Invariant checks, always enabled; a violation is counted and logged."""

import os
from collections.abc import Callable

from papayacourse import logs

EXIT_INVARIANT_VIOLATED = 70


def ignore_violation(_name: str) -> None:
    """Ignore the violation; used until ``start`` sets a counter."""


fatal = False
count: Callable[[str], None] = ignore_violation


def start(is_fatal: bool, counter: Callable[[str], None]) -> None:
    """Configure how violations are handled.

    Parameters
    ----------
    is_fatal : bool
        True if a violation ends the process at once, as in tests.
    counter : callable
        Called with the invariant's name, for metrics.
    """
    global fatal, count
    fatal, count = is_fatal, counter


def check(holds: bool, name: str, **fields) -> bool:
    """Report a violation unless the invariant holds; return ``holds``."""
    if not holds:
        count(name)
        logs.error("invariant violated", invariant=name, **fields)
        if fatal:
            # State with a violated invariant can't be trusted, so skip all clean-up too.
            os._exit(EXIT_INVARIANT_VIOLATED)
    return holds
