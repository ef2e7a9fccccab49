"""Cuts long sequences into parts that one message or call can carry."""

from collections.abc import Iterable, Iterator
from itertools import islice
from typing import TypeVar

Item = TypeVar("Item")


def batched(items: Iterable[Item], size: int) -> Iterator[tuple[Item, ...]]:
    """Yield items in groups of a size, the last one perhaps smaller."""
    rest = iter(items)
    while group := tuple(islice(rest, size)):
        yield group
