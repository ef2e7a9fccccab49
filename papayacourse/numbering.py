"""Short numbers for streams, by which daemons report progress to schedulers."""

import itertools
from collections.abc import Callable, Iterable, Iterator

from attrs import define, field, frozen

from papayacourse.cells import Cell
from papayacourse.meshmessages import Hello
from papayacourse.schedulingmessages import ProgressReport

SPARE_NUMBERS = 16  # numbers kept beyond twice those reported before unused ones are looked for


@define
class StreamNumbers:
    """Gives each stream of this process a number, and no number twice.

    Since a number stands for one stream for ever, whoever reads it may know nothing of it, but
    never takes it for another stream's.
    """

    given: dict[str, int] = field(factory=dict)
    unused: Iterator[int] = field(factory=lambda: itertools.count(1))

    def of(self, stream: str) -> int:
        """Return a stream's number."""
        if stream not in self.given:
            self.given[stream] = next(self.unused)
        return self.given[stream]

    def drop(self, stream: str) -> None:
        """Forget a stream that has ended."""
        self.given.pop(stream, None)


@frozen
class Progress:
    """How far one stream has come, in tokens."""

    stream: str
    generated: int


@define
class NumberedStreams:
    """The streams that one process has numbered."""

    incarnation: int
    streams: dict[int, str] = field(factory=dict)


@define
class KnownNumbers:
    """What a scheduler knows of the numbers that daemons have given.

    Attributes
    ----------
    is_alive : callable
        Tells by name whether a daemon lives; what the others have numbered is forgotten.
    daemons : dict of str to NumberedStreams
        By the daemon's name; a daemon that has started again begins with none.
    """

    is_alive: Callable[[str], bool]
    daemons: dict[str, NumberedStreams] = field(factory=dict)

    def of(self, peer: Hello) -> dict[int, str]:
        """Return the streams known of a daemon's present process, by their numbers."""
        known = self.daemons.get(peer.name)
        if known is None or known.incarnation != peer.incarnation:
            self.daemons = {n: k for n, k in self.daemons.items() if self.is_alive(n)}
            known = self.daemons[peer.name] = NumberedStreams(peer.incarnation)
        return known.streams

    def keep(self, peer: Hello, reported: int, has_stream: Callable[[str], bool]) -> None:
        """Forget numbers of streams no longer in use, once they are many beside those reported."""
        streams = self.of(peer)
        if len(streams) > 2 * reported + SPARE_NUMBERS:
            for number in [n for n, stream in streams.items() if not has_stream(stream)]:
                del streams[number]


def write_progress(cell: Cell, rows: Iterable[tuple[int, int]]) -> ProgressReport:
    """Put (number, generated) pairs into a report."""
    rows = sorted(rows)
    numbers = [number for number, _ in rows]
    steps = [after - before for before, after in zip([0, *numbers], numbers, strict=False)]
    generated = tuple(done for _, done in rows)
    return ProgressReport(cell.team, cell.service, tuple(steps), generated, cell.number)


def read_progress(report: ProgressReport) -> Iterator[tuple[int, int]]:
    """Yield the (number, generated) pairs of a report."""
    return zip(itertools.accumulate(report.steps), report.generated, strict=True)
