"""Divides the engines of a service in a failure domain into cells, each with its own scheduler."""

import math
from collections.abc import Iterable, Mapping

from attrs import frozen

from papayacourse.joins import stream_key
from papayacourse.meshmessages import ServiceLoad
from papayacourse.rendezvous import ranked, scheduling_duty, weight
from papayacourse.types import GenerationRequest

WEIGHT_COUNT = 2.0**64  # number of distinct rendezvous weights


@frozen(order=True)
class Cell:
    """A part of a service's engines in a failure domain, scheduled by one daemon."""

    team: str
    service: str
    number: int = 0

    @property
    def duty(self) -> str:
        """Return the name of the duty of scheduling this cell."""
        return scheduling_duty(self.team, self.service, self.number)


@frozen
class Layout:
    """How the engines of a service in a failure domain are divided.

    Attributes
    ----------
    cells : dict of str to int
        By engine: the number of its cell.
    memory : dict of int to int
        By cell, including empty ones: the memory of its engines in tokens.
    """

    cells: dict[str, int]
    memory: dict[int, int]


def cell_count(engines: int, size: int) -> int:
    """Return the number of cells; fewer than 1.5 times `size` engines form a single cell."""
    return max(1, int(engines / size + 0.5))


def cell_of(engine: str, count: int) -> int:
    """Return the cell of an engine; a change of `count` moves as few engines as possible."""
    return int(ranked(f"cell/{engine}", map(str, range(count)))[0]) if count > 1 else 0


def divide(memory: Mapping[str, int], size: int) -> Layout:
    """Divide engines into cells of about `size` engines, given each engine's memory in tokens."""
    count = cell_count(len(memory), size)
    layout = Layout({}, dict.fromkeys(range(count), 0))
    for engine, tokens in memory.items():
        number = cell_of(engine, count)
        layout.cells[engine] = number
        layout.memory[number] += tokens
    return layout


def affinity_key(generation: GenerationRequest) -> str:
    """Return the rendezvous key that selects the first cell of a request.

    Requests with the same Idempotency-Key share it so that they are joined, and so do an account's
    prompts with a common prefix, because an engine may have that prefix in its cache. Repeats of a
    short prompt share it too, because the cell that refused a request reserved its place.
    """
    key = stream_key(generation.stream)
    if not key:
        prefix = generation.prefixes[0] if generation.prefixes else generation.fingerprint
        key = f"{generation.account}/{prefix or generation.stream}"
    return f"home/{key}"


def weighted_order(key: str, weights: Mapping[int, float]) -> list[int]:
    """Order cells for a key by weighted rendezvous; cells of weight 0 are left out.

    Each cell is first for a fraction of the keys proportional to its weight, and a change of the
    weights moves as few keys as possible.
    """
    scores = {}
    for number, cell_weight in weights.items():
        if cell_weight > 0:
            uniform = (weight(key, str(number)) + 1) / (WEIGHT_COUNT + 1)
            scores[number] = -math.log(uniform) / cell_weight
    return sorted(scores, key=lambda number: (scores[number], number))


def first_cells(generation: GenerationRequest, layout: Layout) -> list[int]:
    """Return the cells that have engines, in the order of a request's preference."""
    return weighted_order(affinity_key(generation), layout.memory) or [0]


def alternative_cell(
    generation: GenerationRequest, layout: Layout, asked: int, loads: Iterable[ServiceLoad]
) -> int | None:
    """Return the cell to ask after one without a free place; None if no other has room.

    Parameters
    ----------
    asked : int
        The cell that has no free place.
    loads : iterable of ServiceLoad
        The known loads of the service's cells.
    """
    free = {number: float(tokens) for number, tokens in layout.memory.items()}
    for load in loads:
        if load.cell in free:
            free[load.cell] = 0.0 if load.queued else float(load.free_tokens)
    free.pop(asked, None)
    return next(iter(weighted_order(generation.stream, free)), None)
