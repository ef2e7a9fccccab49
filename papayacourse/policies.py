"""The admission policies by name; all but the first are baselines to compare it with."""

from attrs import frozen


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


@frozen
class MeanLength:
    """Admit while every stream could grow to the mean output length."""


@frozen
class LeastDelay:
    """Choose the engine on which a stream brings the least delay between tokens."""


@frozen
class Emptiest:
    """Choose an engine that holds the prompt's prefix, or else the emptiest."""


EngineChoice = LeastDelay | Emptiest

ENGINE_CHOICES: dict[str, EngineChoice] = {"least-delay": LeastDelay(), "emptiest": Emptiest()}

Policy = Predicted | RoundRobin | LeastOutstanding | ReserveMaximum | MeanLength

POLICIES: dict[str, Policy] = {
    "predicted": Predicted(),
    "round-robin": RoundRobin(),
    "least-outstanding": LeastOutstanding(),
    "reserve-maximum": ReserveMaximum(),
    "mean-length": MeanLength(),
}
