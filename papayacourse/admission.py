"""Decides whether one more generation of unknown length fits on an engine."""

from collections.abc import Iterable

import numpy as np

from papayacourse.delays import expected_delay, expected_output
from papayacourse.ledger import (
    INITIAL_SECONDS_PER_TOKEN,
    EngineLedger,
    Stream,
    bring_up_to_date,
    forecasts,
    is_fresh,
    renew,
)
from papayacourse.lengths import LengthModel
from papayacourse.policies import (
    Emptiest,
    LeastDelay,
    LeastOutstanding,
    MeanLength,
    Predicted,
    ReserveMaximum,
    RoundRobin,
)
from papayacourse.prefixes import PrefixIndex


def reserved(streams: Iterable[Stream]) -> int:
    """Return the memory that streams take if each grows to its longest, in tokens."""
    return sum(s.generation.prompt_tokens + s.generation.max_tokens for s in streams)


def mean_memory(streams: Iterable[Stream], mean: float) -> float:
    """Return the memory that streams take if each grows to the mean length, in tokens."""
    return sum(s.generation.prompt_tokens + max(s.generated, mean) for s in streams)


def batch_limit(ledger: EngineLedger) -> int:
    """Return the most streams that may run on an engine at once."""
    limit = ledger.max_batch
    if isinstance(ledger.policy, Predicted) and ledger.decode_batch:
        limit = min(limit, ledger.decode_batch)
    return max(1, int(limit * ledger.share))


def may_take(ledger: EngineLedger) -> bool:
    """Tell whether an engine takes streams at all, whatever their size."""
    if isinstance(ledger.policy, Predicted) and ledger.held:
        return False
    return ledger.usable and not ledger.suspect and len(ledger.streams) < batch_limit(ledger)


def peaks(
    ledgers: list[EngineLedger], candidate: Stream, lengths: LengthModel, now: float
) -> np.ndarray:
    """Predict the highest memory use of each engine with one more stream, in tokens."""
    together = [bring_up_to_date(ledger, lengths, now) for ledger in ledgers]
    mean = np.array([forecast.mean for forecast in together]) + candidate.forecast.mean
    variance = np.array([f.variance for f in together]) + candidate.forecast.variance
    foreign = np.array([ledger.foreign_tokens for ledger in ledgers])
    spread = np.array([ledger.spread for ledger in ledgers])[:, None]
    return np.max(mean + spread * np.sqrt(variance), axis=1) + foreign


def fitting(
    ledgers: list[EngineLedger], candidate: Stream, lengths: LengthModel, now: float
) -> list[EngineLedger]:
    """Return the engines on which one more stream may start under their policy."""
    open_ledgers = [ledger for ledger in ledgers if may_take(ledger)]
    if not open_ledgers:
        return []
    match open_ledgers[0].policy:
        case Predicted():
            by_template = open_ledgers[0].by_template
            alone = forecasts([candidate], lengths, now, INITIAL_SECONDS_PER_TOKEN, by_template)
            candidate.forecast = alone.row(0)
            found = peaks(open_ledgers, candidate, lengths, now)
            return [
                ledger
                for ledger, peak in zip(open_ledgers, found, strict=True)
                if peak <= ledger.budget or not ledger.streams
            ]
        case ReserveMaximum() | MeanLength():
            return [led for led in open_ledgers if reserve_fits(led, candidate, lengths)]
        case RoundRobin() | LeastOutstanding():
            return open_ledgers


def reserve_fits(ledger: EngineLedger, candidate: Stream, lengths: LengthModel) -> bool:
    """Tell whether a stream fits when each is given one length in advance."""
    together = [*ledger.streams.values(), candidate]
    match ledger.policy:
        case MeanLength():
            wanted = mean_memory(together, lengths.service.mean())
        case _:
            wanted = reserved(together)
    return not ledger.streams or wanted <= ledger.memory_tokens * ledger.share


def choose(
    ledgers: list[EngineLedger],
    candidate: Stream,
    lengths: LengthModel,
    turn: int,
    now: float = 0.0,
    prefixes: PrefixIndex | None = None,
) -> EngineLedger | None:
    """Choose the engine for a stream, or None when it must wait.

    Parameters
    ----------
    ledgers : list of EngineLedger
        The engines it may use, in a fixed order.
    candidate : Stream
        The stream.
    lengths : LengthModel
        What is known about output lengths.
    turn : int
        Counts grants, for the policy that goes round.
    now : float
        Seconds of the monotonic clock.
    prefixes : PrefixIndex, optional
        Which engine probably holds which prefix.
    """
    found = fitting(ledgers, candidate, lengths, now)
    if not found:
        return None
    match found[0].policy:
        case RoundRobin():
            return found[turn % len(found)]
        case LeastOutstanding():
            return min(found, key=lambda ledger: len(ledger.streams))
        case Predicted():
            return verified(found, candidate, lengths, now, prefixes)
        case ReserveMaximum() | MeanLength():
            return min(found, key=lambda ledger: ledger.tokens / ledger.memory_tokens)


def verified(
    ledgers: list[EngineLedger],
    candidate: Stream,
    lengths: LengthModel,
    now: float,
    prefixes: PrefixIndex | None,
) -> EngineLedger | None:
    """Return the best engine on which the stream fits by a fresh forecast.

    Streams grow, so an old forecast is too low: good enough to compare engines, not to fill one.
    """
    left = list(ledgers)
    while left:
        ledger = nearest(left, candidate, lengths, now, prefixes)
        if is_fresh(ledger, now):
            return ledger
        renew(ledger, lengths, now)
        if not ledger.streams or peaks([ledger], candidate, lengths, now)[0] <= ledger.budget:
            return ledger
        left.remove(ledger)
    return None


def nearest(
    ledgers: list[EngineLedger],
    candidate: Stream,
    lengths: LengthModel,
    now: float,
    prefixes: PrefixIndex | None,
) -> EngineLedger:
    """Return the engine to be preferred of those on which a stream fits."""
    fullness = {
        ledger.name: (ledger.forecast.mean[0] + ledger.foreign_tokens) / ledger.memory_tokens
        for ledger in ledgers
    }
    wanted = candidate.generation.prefixes
    bounds = {ledger.name: ledger.affinity_bound for ledger in ledgers}
    if prefixes is None or not wanted or None in bounds.values():
        return min(ledgers, key=lambda ledger: fullness[ledger.name])
    least = min(fullness.values())
    near = [ledger for ledger in ledgers if fullness[ledger.name] <= least + ledger.affinity_bound]
    first = ledgers[0]
    match first.choice:
        case Emptiest():
            held = {ledger.name: prefixes.held(ledger.name, wanted, now) for ledger in near}
            return min(near, key=lambda ledger: (-held[ledger.name], fullness[ledger.name]))
        case LeastDelay():
            output = expected_output(candidate, lengths, first.by_template)
            delays = {
                ledger.name: expected_delay(ledger, candidate, output, prefixes, now)
                for ledger in near
            }
            return min(near, key=lambda ledger: (delays[ledger.name], fullness[ledger.name]))
