"""The admission policies and engine choices by name.

All policies except the first are baselines to compare it with.
"""

from attrs import frozen


@frozen
class Predicted:
    """Admit while the predicted peak memory use stays below the engine's memory."""


@frozen
class RoundRobin:
    """Admit on each engine in turn, up to the batch limit."""


@frozen
class LeastOutstanding:
    """Admit on the engine with the fewest streams, up to the batch limit."""


@frozen
class ReserveMaximum:
    """Admit while there is memory for every stream to generate its maximum output."""


@frozen
class MeanLength:
    """Admit while there is memory for every stream to generate the mean output."""


@frozen
class LeastDelay:
    """Choose the engine on which a stream adds the least delay between tokens."""


@frozen
class Emptiest:
    """Choose an engine that has the prompt's prefix in its cache, or else the emptiest."""


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
