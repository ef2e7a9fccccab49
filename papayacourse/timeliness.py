"""Tells on which engines streams keep their targets for the time between two events.

Only streams with such a target count, and only engines whose pace is known can be too slow.
"""

from collections.abc import Iterable, Iterator

from papayacourse.ledger import EngineLedger, Stream
from papayacourse.pace import Line, Paces
from papayacourse.types import GenerationRequest

SAFE_LATENESS = 0.9  # a gap expected closer to its target may well exceed it
SIMILAR_LATENESS = 1.1  # ratio up to which engines on which streams are late count as equals


def lateness(ledger: EngineLedger, candidate: Stream, paces: Paces) -> float:
    """Return how the longest gap to expect compares with the target of the worst-off stream.

    Returns 0 if no stream of the engine has a target, the new one included, or its pace is unknown.
    """
    generations = [stream.generation for stream in ledger.streams.values()]
    targets = [g for g in [candidate.generation, *generations] if g.max_gap > 0]
    line = paces.line(ledger.name) if targets else None
    if line is None:
        return 0.0
    step, pause = step_with_one_more(ledger, line), paces.pause(ledger.name)
    return max(expected_gap(each, step, pause) / each.max_gap for each in targets)


def step_with_one_more(ledger: EngineLedger, line: Line) -> float:
    """Return the seconds per token to expect on an engine with one more stream."""
    return line.at(len(ledger.streams) + 1) + line.deviation


def shortest(ledgers: Iterable[EngineLedger], paces: Paces) -> tuple[float, float]:
    """Return the expected step and pause of the engine where they are shortest; 0 if unknown."""
    lines = ((ledger, paces.line(ledger.name)) for ledger in ledgers)
    found = [
        (step_with_one_more(ledger, line), paces.pause(ledger.name))
        for ledger, line in lines
        if line is not None
    ]
    return min(found, key=sum, default=(0.0, 0.0))


def expected_gap(generation: GenerationRequest, step: float, pause: float) -> float:
    """Return the longest gap between a stream's events to expect, in seconds.

    Parameters
    ----------
    step : float
        The seconds per token.
    pause : float
        By how much an event is late for which the engine also prefills a prompt, in seconds.
    """
    return generation.event_tokens * step + pause


def timely_first(
    ledgers: list[EngineLedger], candidate: Stream, paces: Paces
) -> Iterator[list[EngineLedger]]:
    """Yield the engines in groups: those that keep all targets, then the others, least late first.

    No engine is left out, so that no request waits for pace alone.
    """
    late = {ledger.name: lateness(ledger, candidate, paces) for ledger in ledgers}
    bound = max(SAFE_LATENESS, min(late.values()) * SIMILAR_LATENESS)
    yield [ledger for ledger in ledgers if late[ledger.name] <= bound]
    rest = [ledger for ledger in ledgers if late[ledger.name] > bound]
    for ledger in sorted(rest, key=lambda ledger: late[ledger.name]):
        yield [ledger]
