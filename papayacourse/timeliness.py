"""Predicts on which engines streams keep their targets for the gap between two events.

Only streams with such a target count, and only engines whose pace is known can be too slow. A step
is the time that an engine takes for one token of each stream, in seconds.
"""

from collections.abc import Iterable, Iterator

from papayacourse.ledger import EngineLedger, Stream
from papayacourse.pace import Line, Paces
from papayacourse.types import GenerationRequest

SAFE_LATENESS = 0.9  # a gap expected closer to its target may well exceed it
SIMILAR_LATENESS = 1.1  # ratio to the least lateness up to which engines count as equal


def lateness(ledger: EngineLedger, candidate: Stream, paces: Paces) -> float:
    """Return the highest ratio of a stream's expected longest gap to its target.

    The candidate counts like the streams that run on the engine. Returns 0 if none of them has a
    target, or the pace of the engine is unknown.
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
    return line.seconds_per_token(len(ledger.streams) + 1) + line.deviation


def shortest_step_and_pause(ledgers: Iterable[EngineLedger], paces: Paces) -> tuple[float, float]:
    """Return the expected step and pause of the engine where their sum is least, in seconds.

    Both are 0 if the pace of no engine is known.
    """
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
        How much longer an event takes while the engine also prefills a prompt, in seconds.
    """
    return generation.event_tokens * step + pause


def timely_first(
    ledgers: list[EngineLedger], candidate: Stream, paces: Paces
) -> Iterator[list[EngineLedger]]:
    """Yield the engines in groups, from which an engine is to be chosen in this order.

    The first group keeps all targets, or is the least late if no engine does. Each further group
    is one of the other engines, the least late first. No engine is left out, so that no request
    waits only because engines are slow.
    """
    lateness_by_name = {ledger.name: lateness(ledger, candidate, paces) for ledger in ledgers}
    bound = max(SAFE_LATENESS, min(lateness_by_name.values()) * SIMILAR_LATENESS)
    yield [ledger for ledger in ledgers if lateness_by_name[ledger.name] <= bound]
    rest = [ledger for ledger in ledgers if lateness_by_name[ledger.name] > bound]
    for ledger in sorted(rest, key=lambda ledger: lateness_by_name[ledger.name]):
        yield [ledger]
