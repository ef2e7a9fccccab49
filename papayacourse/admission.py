"""Decides whether one more generation of unknown length fits on an engine."""

from collections.abc import Iterable

import numpy as np
from attrs import define, field, frozen

from papayacourse.lengths import LengthModel
from papayacourse.types import GenerationRequest

# How far ahead memory is predicted, in decode steps. Beyond the horizon streams that end make
# room for those that grow, or the queue stops admitting in time.
HORIZON = np.array([1, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096])
SPREAD = 1.0  # standard deviations kept above the mean


@frozen
class Predicted:
    """Admit while the predicted peak of memory stays under the engine's memory."""


@frozen
class RoundRobin:
    """Admit on the engines in turn, up to the batch limit."""


@frozen
class LeastOutstanding:
    """Admit on the engine with the fewest streams, up to the batch limit."""


@frozen
class ReserveMaximum:
    """Admit while every stream could grow to the longest output it asked for."""


Policy = Predicted | RoundRobin | LeastOutstanding | ReserveMaximum

POLICIES: dict[str, Policy] = {
    "predicted": Predicted(),
    "round-robin": RoundRobin(),
    "least-outstanding": LeastOutstanding(),
    "reserve-maximum": ReserveMaximum(),
}


@define
class Stream:
    """One generation on an engine, as the scheduler knows it.

    Attributes
    ----------
    generated : int
        Output tokens so far.
    daemon : str
        The entry daemon that relays it.
    seen_at : float
        When it was granted or last reported, in seconds of the monotonic clock.
    """

    generation: GenerationRequest
    daemon: str
    generated: int = 0
    seen_at: float = 0.0

    @property
    def tokens(self) -> int:
        """Return the memory it takes now, in tokens."""
        return self.generation.prompt_tokens + self.generated


@define
class EngineLedger:
    """What has been promised on one engine.

    Attributes
    ----------
    memory_tokens : int
        The engine's memory.
    max_batch : int
        The most streams at once.
    margin : float
        The fraction of memory kept free.
    share : float
        The part of the engine that may be given out; below 1 while a new scheduler learns.
    """

    name: str
    address: str
    memory_tokens: int
    max_batch: int
    margin: float
    policy: Policy
    share: float = 1.0
    usable: bool = True
    foreign_tokens: int = 0
    streams: dict[str, Stream] = field(factory=dict)

    @property
    def budget(self) -> float:
        """Return the memory that admission may plan with, in tokens."""
        return self.memory_tokens * (1 - self.margin) * self.share

    @property
    def tokens(self) -> int:
        """Return the memory its streams take now, in tokens."""
        return sum(stream.tokens for stream in self.streams.values()) + self.foreign_tokens


def predicted_peak(streams: Iterable[Stream], lengths: LengthModel) -> float:
    """Predict the highest memory use of an engine over the horizon.

    Each stream holds its prompt and output until it ends, so its expected memory ``t`` steps
    ahead is its size then, times the probability that it still runs.

    Parameters
    ----------
    streams : iterable of Stream
        The streams on the engine, the candidate included.
    lengths : LengthModel
        What is known about output lengths.

    Returns
    -------
    float
        The largest mean plus spread over the horizon, in tokens.
    """
    mean = np.zeros(len(HORIZON))
    variance = np.zeros(len(HORIZON))
    for stream in streams:
        alive = lengths.of(stream.generation.account).remaining(stream.generated, HORIZON)
        alive = np.where(stream.generated + HORIZON > stream.generation.max_tokens, 0.0, alive)
        size = stream.tokens + HORIZON
        mean += alive * size
        variance += alive * (1 - alive) * size * size
    return float(np.max(mean + SPREAD * np.sqrt(variance)))


def reserved(streams: Iterable[Stream]) -> int:
    """Return the memory that streams take if each grows to its longest, in tokens."""
    return sum(s.generation.prompt_tokens + s.generation.max_tokens for s in streams)


def fits(ledger: EngineLedger, candidate: Stream, lengths: LengthModel) -> bool:
    """Tell whether one more stream may start on an engine under its policy."""
    if not ledger.usable or len(ledger.streams) >= max(1, int(ledger.max_batch * ledger.share)):
        return False
    if not ledger.streams:
        return candidate.tokens < ledger.memory_tokens
    together = [*ledger.streams.values(), candidate]
    match ledger.policy:
        case Predicted():
            now = sum(stream.tokens for stream in together) + ledger.foreign_tokens
            peak = predicted_peak(together, lengths) + ledger.foreign_tokens
            return max(now, peak) <= ledger.budget
        case ReserveMaximum():
            return reserved(together) <= ledger.memory_tokens * ledger.share
        case RoundRobin() | LeastOutstanding():
            return True


def choose(
    ledgers: list[EngineLedger], candidate: Stream, lengths: LengthModel, turn: int
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
    """
    fitting = [ledger for ledger in ledgers if fits(ledger, candidate, lengths)]
    if not fitting:
        return None
    match fitting[0].policy:
        case RoundRobin():
            return fitting[turn % len(fitting)]
        case LeastOutstanding():
            return min(fitting, key=lambda ledger: len(ledger.streams))
        case Predicted() | ReserveMaximum():
            return min(fitting, key=lambda ledger: ledger.tokens / ledger.memory_tokens)
