"""Works out when each run of an engine is moved, so that moves follow each other on its link."""

from collections.abc import Iterable, Iterator

from attrs import frozen

from papayacourse.linkclasses import LinkClass
from papayacourse.routed.seams import RunState

MOVE_OVERHEAD = 0.06  # seconds of a move besides its copy: two calls and the short rest
REGION_COPY = 1.5  # seconds at least for a first copy to another region, whatever its size
COPY_SLOWNESS = {
    LinkClass.SAME_DOMAIN: 1.0,
    LinkClass.SAME_REGION: 2.0,
    LinkClass.OTHER_REGION: 2.0,
}


@frozen
class Turn:
    """When a run is moved, in seconds from when its engine was seen to be emptied."""

    run: str
    begin: float
    end: float


def copy_time(tokens: int, rate: float, reach: LinkClass) -> float:
    """Return how long a run's copy takes, in seconds, on a link that nothing else uses.

    Parameters
    ----------
    rate : float
        Tokens a second within a failure domain.
    """
    return tokens / rate * COPY_SLOWNESS[reach]


def turns(runs: Iterable[RunState], rate: float, reach: LinkClass) -> Iterator[Turn]:
    """Yield when each run of an engine is moved, the smallest first: so the most are saved.

    All daemons that pass on runs of the engine work this out from the same report, so that their
    moves follow each other on the engine's link. A move that waits behind another daemon's copy
    would make its stream pause.
    """
    begin = 0.0
    for run in sorted(runs, key=lambda run: (run.tokens, run.name)):
        end = begin + copy_time(run.tokens, rate, reach) + MOVE_OVERHEAD
        yield Turn(run.name, begin, end)
        begin = end
