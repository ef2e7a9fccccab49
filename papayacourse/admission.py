"""Admission control: whether an engine has room for a generation of unknown output length."""

from collections.abc import Iterable

from papayacourse.delays import expected_delay, expected_output
from papayacourse.lazymodule import LazyModule
from papayacourse.ledger import (
    INITIAL_SECONDS_PER_TOKEN,
    EngineLedger,
    Stream,
    current_forecast,
    is_forecast_fresh,
    predict_memory,
    renew_forecast,
)
from papayacourse.lengths import LengthModel
from papayacourse.pace import Paces
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
from papayacourse.timeliness import timely_first

np = LazyModule("numpy")


def maximum_memory(streams: Iterable[Stream]) -> int:
    """Return the memory that streams need if each generates its maximum output, in tokens."""
    return sum(s.generation.prompt_tokens + s.generation.max_tokens for s in streams)


def mean_memory(streams: Iterable[Stream], mean: float) -> float:
    """Return the memory that streams need if each generates the mean output, in tokens."""
    return sum(s.generation.prompt_tokens + max(s.generated, mean) for s in streams)


def batch_limit(ledger: EngineLedger) -> int:
    """Return the maximum number of concurrent streams on an engine."""
    limit = ledger.max_batch
    if isinstance(ledger.policy, Predicted) and ledger.decode_batch:
        limit = min(limit, ledger.decode_batch)
    return max(1, int(limit * ledger.share))


def accepts_streams(ledger: EngineLedger) -> bool:
    """Return True if an engine accepts new streams, whatever their size."""
    if isinstance(ledger.policy, Predicted) and ledger.memory_exceeded:
        return False
    return ledger.usable and not ledger.suspect and len(ledger.streams) < batch_limit(ledger)


def peaks(
    ledgers: list[EngineLedger], candidate: Stream, lengths: LengthModel, now: float
) -> "np.ndarray":
    """Predict the peak memory use of each engine with one more stream, in tokens."""
    together = [current_forecast(ledger, lengths, now) for ledger in ledgers]
    mean = np.array([forecast.mean for forecast in together]) + candidate.forecast.mean
    variance = np.array([f.variance for f in together]) + candidate.forecast.variance
    unattributed = np.array([ledger.unattributed_tokens for ledger in ledgers])
    spread = np.array([ledger.spread for ledger in ledgers])[:, None]
    return np.max(mean + spread * np.sqrt(variance), axis=1) + unattributed


def eligible_engines(
    ledgers: list[EngineLedger], candidate: Stream, lengths: LengthModel, now: float
) -> list[EngineLedger]:
    """Return the engines that may start one more stream under their policy."""
    open_ledgers = [ledger for ledger in ledgers if accepts_streams(ledger)]
    if not open_ledgers:
        return []
    match open_ledgers[0].policy:
        case Predicted():
            by_template = open_ledgers[0].by_template
            forecast = predict_memory(
                [candidate], lengths, now, INITIAL_SECONDS_PER_TOKEN, by_template
            )
            candidate.forecast = forecast.row(0)
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
    """Return True if a stream fits when a fixed output length is reserved for each stream."""
    together = [*ledger.streams.values(), candidate]
    match ledger.policy:
        case MeanLength():
            wanted = mean_memory(together, lengths.service.mean())
        case _:
            wanted = maximum_memory(together)
    return not ledger.streams or wanted <= ledger.memory_tokens * ledger.share


def choose_engine(
    ledgers: list[EngineLedger],
    candidate: Stream,
    lengths: LengthModel,
    turn: int,
    now: float = 0.0,
    prefixes: PrefixIndex | None = None,
    paces: Paces | None = None,
) -> EngineLedger | None:
    """Choose the engine for a stream; return None if the stream must wait.

    Parameters
    ----------
    ledgers : list of EngineLedger
        The candidate engines, in a fixed order.
    candidate : Stream
        The stream to place.
    lengths : LengthModel
        The model that predicts output lengths.
    turn : int
        Number of grants so far, for the round-robin policy.
    now : float
        Time of the monotonic clock, in seconds.
    prefixes : PrefixIndex, optional
        The prefixes that each engine probably has in its cache.
    paces : Paces, optional
        The paces of the engines; those on which all streams keep their targets are preferred.
    """
    found = eligible_engines(ledgers, candidate, lengths, now)
    if not found:
        return None
    groups = [found] if paces is None else timely_first(found, candidate, paces)
    chosen = (choose_by_policy(each, candidate, lengths, turn, now, prefixes) for each in groups)
    return next((ledger for ledger in chosen if ledger is not None), None)


def choose_by_policy(
    found: list[EngineLedger],
    candidate: Stream,
    lengths: LengthModel,
    turn: int,
    now: float,
    prefixes: PrefixIndex | None,
) -> EngineLedger | None:
    """Choose by their policy among engines that may start a stream; return None if none has room.

    For the parameters, see ``choose_engine``.
    """
    match found[0].policy:
        case RoundRobin():
            return found[turn % len(found)]
        case LeastOutstanding():
            return min(found, key=lambda ledger: len(ledger.streams))
        case Predicted():
            return choose_by_fresh_forecast(found, candidate, lengths, now, prefixes)
        case ReserveMaximum() | MeanLength():
            return min(found, key=lambda ledger: ledger.tokens / ledger.memory_tokens)


def choose_by_fresh_forecast(
    ledgers: list[EngineLedger],
    candidate: Stream,
    lengths: LengthModel,
    now: float,
    prefixes: PrefixIndex | None,
) -> EngineLedger | None:
    """Return the preferred engine on which the stream fits according to a fresh forecast.

    Streams grow, so an old forecast underestimates memory use. It is accurate enough to compare
    engines, but not to fill one.
    """
    left = list(ledgers)
    while left:
        ledger = preferred_engine(left, candidate, lengths, now, prefixes)
        if is_forecast_fresh(ledger, now):
            return ledger
        renew_forecast(ledger, lengths, now)
        if not ledger.streams or peaks([ledger], candidate, lengths, now)[0] <= ledger.budget:
            return ledger
        left.remove(ledger)
    return None


def preferred_engine(
    ledgers: list[EngineLedger],
    candidate: Stream,
    lengths: LengthModel,
    now: float,
    prefixes: PrefixIndex | None,
) -> EngineLedger:
    """Return the preferred engine among those on which a stream fits."""
    fullness = {
        ledger.name: (ledger.forecast.mean[0] + ledger.unattributed_tokens) / ledger.memory_tokens
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
            cached = {
                ledger.name: prefixes.count_cached(ledger.name, wanted, now) for ledger in near
            }
            return min(near, key=lambda ledger: (-cached[ledger.name], fullness[ledger.name]))
        case LeastDelay():
            output = expected_output(candidate, lengths, first.by_template)
            delays = {
                ledger.name: expected_delay(ledger, candidate, output, prefixes, now)
                for ledger in near
            }
            return min(near, key=lambda ledger: (delays[ledger.name], fullness[ledger.name]))
