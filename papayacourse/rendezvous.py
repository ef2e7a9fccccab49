"""Rendezvous hashing: all daemons with the same list choose the same member for a key."""

from collections.abc import Iterable
from functools import lru_cache

import xxhash

RANKING_CACHE_SIZE = 512


def weight(key: str, name: str) -> int:
    """Return the weight of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


@lru_cache(RANKING_CACHE_SIZE)
def ranking(key: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Order names as :func:`ranked` does; cached, as daemons rank the same names for few keys."""
    return tuple(sorted(names, key=lambda name: (-weight(key, name), name)))


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Order names by their rendezvous weight for a key.

    Parameters
    ----------
    key : str
        The key to assign, such as ``scheduler/sound/planner``.
    names : iterable of str
        The candidates.

    Returns
    -------
    list of str
        Best candidate first. Removing a name does not change the order of the rest.
    """
    return list(ranking(key, tuple(names)))


def best_candidate(key: str, names: Iterable[str]) -> str | None:
    """Return the best candidate for a key, or None if there are none."""
    order = ranked(key, names)
    return order[0] if order else None


def scheduling_duty(team: str, service: str, cell: int = 0) -> str:
    """Return the name of the duty of scheduling one cell of a service."""
    return f"scheduler/{team}/{service}/{cell}" if cell else f"scheduler/{team}/{service}"
