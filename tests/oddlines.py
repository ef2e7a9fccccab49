"""Writes log lines with odd values to standard output, in a process of its own.

Each line has a number; the last line has the type ``end`` and says how many there were.
"""

import math
import sys
from collections import UserDict

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from papayacourse import logs
from tests.oddtexts import odd_texts


class Silent:
    """An object that does not describe itself."""

    def __repr__(self) -> str:
        raise RuntimeError("no description")


class HalfDescribed:
    """An object whose description cannot be encoded."""

    def __repr__(self) -> str:
        return "\udc80"


class SilentError(Exception):
    """An exception that does not describe itself."""

    __repr__ = __str__ = Silent.__repr__


def cycle() -> list:
    """Return a list that holds itself."""
    found: list = [1]
    found.append(found)
    return found


def deep(levels: int) -> list:
    """Return a list in lists."""
    found: list = []
    for _ in range(levels):
        found = [found]
    return found


ODD = {
    "half a character": "\ud800",
    "a big integer": 2**64,
    "a huge integer": 10**5000,
    "no number": math.nan,
    "an endless number": -math.inf,
    "bytes": b"\xff\0",
    "a set": {"\udfff", 1},
    "a frozen set of bytes": frozenset({b"\xff"}),
    "a silent object": Silent(),
    "a half described object": HalfDescribed(),
    "an exception": ValueError("\ud800"),
    "a silent exception": SilentError("x"),
    "names that are no text": {1: "a", (2, b"b"): "c", None: "\ud800"},
    "a name of half a character": {"\ud800": 1},
    "a cycle": cycle(),
    "a deep list": deep(5000),
    "a long text": "x" * 10_000_000,
    "a long text of halves": "\ud800" * 200_000,
    "long bytes": b"\xff" * 10_000_000,
    "a long list": list(range(200_000)),
    "a long object": {str(number): number for number in range(100_000)},
    "a wide tree": [[["\0" * 50] * 50] * 50] * 50,
    "a long name of a long text": {"\0" * 1_000_000: "\0" * 1_000_000},
    "long names": {"\ud800" * 1000 + str(number): "\0" * 1000 for number in range(1000)},
    "another mapping": UserDict(a="\ud800"),
}


def odd_value(name: str):
    """Return an odd value; strategies that held the values themselves could not be shown."""
    return ODD[name]


texts = odd_texts(max_size=30)
scalars = st.one_of(
    st.none(), st.booleans(), st.integers(), st.floats(), st.binary(), texts, st.complex_numbers(),
    st.integers(2**63, 2**80), st.integers(-(2**80), -(2**60)),
    st.sampled_from(list(ODD)).map(odd_value), st.builds(ValueError, texts), st.datetimes(),
    st.uuids(),
)  # fmt: skip
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner) | st.dictionaries(st.none() | texts | st.integers(), inner),
    max_leaves=8,
)


def write_named() -> int:
    """Write one line for each odd value, and one failure for each that is an exception."""
    written = 0
    for name, value in ODD.items():
        written += 1
        logs.info("odd", number=written, name=name, value=value, after="sound")
        if isinstance(value, Exception):
            written += 1
            logs.failure("odd", value, number=written, name=name, after="sound")
    return written


def write_random(count: int) -> int:
    """Write lines with random values, the same each time."""
    written = 0

    def write(value) -> None:
        nonlocal written
        written += 1
        logs.info("odd", number=written, name="random", value=value, after="sound")

    run = settings(max_examples=count, deadline=None, database=None, derandomize=True,
                   suppress_health_check=list(HealthCheck))  # fmt: skip
    run(given(values)(write))()
    return written


def main(kind: str, count: int) -> None:
    """Write lines and their number."""
    logs.start("debug", "odd-1")
    logs.bind("id-1")
    written = write_named() if kind == "named" else write_random(count)
    logs.info("end", number=written)


if __name__ == "__main__":
    main(sys.argv[1], int(sys.argv[2]))
