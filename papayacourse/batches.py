"""Splits long sequences into batches that fit one message or call."""

from collections.abc import Iterable, Iterator
from itertools import islice
from typing import TypeVar

Item = TypeVar("Item")


def batched(items: Iterable[Item], size: int) -> Iterator[tuple[Item, ...]]:
    """Yield batches of `size` items; the last one may be smaller."""
    rest = iter(items)
    while group := tuple(islice(rest, size)):
        yield group
