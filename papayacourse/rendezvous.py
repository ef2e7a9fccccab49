"""Chooses one member for a key so that all daemons with the same list choose alike."""

from collections.abc import Iterable
from functools import lru_cache

import xxhash

RANKINGS = 512  # kept


def weight(key: str, name: str) -> int:
    """Return the weight of a name for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())


@lru_cache(RANKINGS)
def ranking(key: str, names: tuple[str, ...]) -> tuple[str, ...]:
    """Order names as :func:`ranked` does; daemons ask for few duties of the same names."""
    return tuple(sorted(names, key=lambda name: (-weight(key, name), name)))


def ranked(key: str, names: Iterable[str]) -> list[str]:
    """Order names by their rendezvous weight for a key.

    Parameters
    ----------
    key : str
        What is to be placed, such as ``scheduler/sound/planner``.
    names : iterable of str
        The candidates.

    Returns
    -------
    list of str
        Best candidate first. Removing a name leaves the order of the rest as it was.
    """
    return list(ranking(key, tuple(names)))


def chosen(key: str, names: Iterable[str]) -> str | None:
    """Return the best candidate for a key, or None when there are none."""
    order = ranked(key, names)
    return order[0] if order else None


def scheduling_duty(team: str, service: str, cell: int = 0) -> str:
    """Name the duty of scheduling one cell of a service."""
    return f"scheduler/{team}/{service}/{cell}" if cell else f"scheduler/{team}/{service}"
