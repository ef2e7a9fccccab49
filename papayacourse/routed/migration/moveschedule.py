"""Schedules the moves of an engine's runs one after another, since they share its link."""

from collections.abc import Iterable, Iterator

from attrs import frozen

from papayacourse.linkclasses import LinkClass
from papayacourse.routed.seams import RunState

MOVE_OVERHEAD = 0.06  # seconds per move in addition to its copy: two calls and the final short copy
MIN_REGION_COPY = 1.5  # seconds; the minimum for a first copy to another region, whatever its size
COPY_TIME_FACTORS = {
    LinkClass.SAME_DOMAIN: 1.0,
    LinkClass.SAME_REGION: 2.0,
    LinkClass.OTHER_REGION: 2.0,
}


@frozen
class MoveSlot:
    """The time slot of a run's move, in seconds since its engine was first seen leaving."""

    run: str
    begin: float
    end: float


def copy_time(tokens: int, rate: float, reach: LinkClass) -> float:
    """Return the time to copy a run over an otherwise idle link, in seconds.

    Parameters
    ----------
    rate : float
        Tokens per second within a failure domain.
    """
    return tokens / rate * COPY_TIME_FACTORS[reach]


def schedule_moves(runs: Iterable[RunState], rate: float, reach: LinkClass) -> Iterator[MoveSlot]:
    """Yield the time slots of the moves of an engine's runs.

    The smallest runs go first, so that the most runs are saved. All daemons that relay runs of the
    engine compute this from the same report, so that their moves don't overlap on the engine's
    link. A move that waits behind another daemon's copy would stall its stream.
    """
    begin = 0.0
    for run in sorted(runs, key=lambda run: (run.tokens, run.name)):
        end = begin + copy_time(run.tokens, rate, reach) + MOVE_OVERHEAD
        yield MoveSlot(run.name, begin, end)
        begin = end
