"""Checks, always on, of what must hold inside the program; a violation is counted and logged."""

import os
from collections.abc import Callable

from papayacourse import logs

EXIT_VIOLATED = 70


def count_nothing(_name: str) -> None:
    """Count nothing, until the daemon says where to."""


fatal = False
count: Callable[[str], None] = count_nothing


def start(is_fatal: bool, counter: Callable[[str], None]) -> None:
    """Say what a violation does.

    Parameters
    ----------
    is_fatal : bool
        Whether the process ends at once, as it does in tests.
    counter : callable
        Called with the invariant's name, for metrics.
    """
    global fatal, count
    fatal, count = is_fatal, counter


def check(holds: bool, name: str, **fields) -> bool:
    """Report a violation unless the invariant holds; returns whether it holds."""
    if not holds:
        count(name)
        logs.error("invariant violated", invariant=name, **fields)
        if fatal:
            # Nothing that a violated invariant touches can be trusted, clean-up included.
            os._exit(EXIT_VIOLATED)
    return holds
