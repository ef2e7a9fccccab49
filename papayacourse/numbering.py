"""Assigns short numbers to streams, to identify them in progress reports."""

import itertools
from collections.abc import Callable, Iterable, Iterator

from attrs import define, field, frozen

from papayacourse.cells import Cell
from papayacourse.meshmessages import Hello
from papayacourse.schedulingmessages import ProgressReport

MILLISECOND = 0.001  # seconds
SPARE_NUMBERS = 16  # numbers kept, beyond twice those reported, before unused ones are dropped


@define
class StreamNumbers:
    """Assigns each stream of this process a number that is never reused.

    A reader may not know a number, but never mistakes it for another stream's.
    """

    assigned: dict[str, int] = field(factory=dict)
    next_numbers: Iterator[int] = field(factory=lambda: itertools.count(1))

    def of(self, stream: str) -> int:
        """Return a stream's number."""
        if stream not in self.assigned:
            self.assigned[stream] = next(self.next_numbers)
        return self.assigned[stream]

    def drop(self, stream: str) -> None:
        """Drop a stream that has ended."""
        self.assigned.pop(stream, None)


@frozen
class Progress:
    """The progress of one stream.

    Attributes
    ----------
    generated : int
        Tokens since its start.
    longest_gap : float
        The longest gap between two events that its engine made since the last report, in seconds.
    """

    stream: str
    generated: int
    longest_gap: float = 0.0


@define
class NumberedStreams:
    """The streams that one process has numbered, by number."""

    incarnation: int
    streams: dict[int, str] = field(factory=dict)


@define
class KnownNumbers:
    """The numbers assigned by each daemon, as known to a scheduler.

    Attributes
    ----------
    is_alive : callable
        Returns True if the named daemon is alive; the numbers of others are dropped.
    daemons : dict of str to NumberedStreams
        By the daemon's name; a restarted daemon starts with none.
    """

    is_alive: Callable[[str], bool]
    daemons: dict[str, NumberedStreams] = field(factory=dict)

    def of(self, peer: Hello) -> dict[int, str]:
        """Return the known streams of a daemon's current process, by number."""
        known = self.daemons.get(peer.name)
        if known is None or known.incarnation != peer.incarnation:
            self.daemons = {n: k for n, k in self.daemons.items() if self.is_alive(n)}
            known = self.daemons[peer.name] = NumberedStreams(peer.incarnation)
        return known.streams

    def drop_unused(self, peer: Hello, reported: int, has_stream: Callable[[str], bool]) -> None:
        """Drop the numbers of unused streams once they far outnumber those reported."""
        streams = self.of(peer)
        if len(streams) > 2 * reported + SPARE_NUMBERS:
            for number in [n for n, stream in streams.items() if not has_stream(stream)]:
                del streams[number]


@frozen
class ProgressRow:
    """One stream in a progress report; see ``Progress``."""

    number: int
    generated: int
    longest_gap: float = 0.0


def encode_progress(cell: Cell, rows: Iterable[ProgressRow]) -> ProgressReport:
    """Encode rows as a report, with the numbers delta-encoded."""
    rows = sorted(rows, key=lambda row: row.number)
    numbers = [row.number for row in rows]
    steps = [after - before for before, after in zip([0, *numbers], numbers, strict=False)]
    generated = tuple(row.generated for row in rows)
    gaps = tuple(round(row.longest_gap / MILLISECOND) for row in rows)
    return ProgressReport(
        cell.team, cell.service, tuple(steps), generated, cell.number, gaps if any(gaps) else ()
    )


def decode_progress(report: ProgressReport) -> Iterator[ProgressRow]:
    """Decode the rows of a report."""
    numbers = itertools.accumulate(report.steps)
    gaps = report.gaps or (0,) * len(report.generated)
    for number, generated, gap in zip(numbers, report.generated, gaps, strict=True):
        yield ProgressRow(number, generated, gap * MILLISECOND)
