"""Divides the engines of a service in a failure domain into cells, each with its own scheduler."""

import math
from collections.abc import Iterable, Mapping

from attrs import frozen

from papayacourse.joins import stream_key
from papayacourse.meshmessages import ServiceLoad
from papayacourse.rendezvous import ranked, scheduling_duty, weight
from papayacourse.types import GenerationRequest

WEIGHTS = 2.0**64  # different rendezvous weights


@frozen(order=True)
class Cell:
    """What one daemon schedules: a part of a service's engines in a failure domain."""

    team: str
    service: str
    number: int = 0

    @property
    def duty(self) -> str:
        """Return the name of the duty of scheduling it."""
        return scheduling_duty(self.team, self.service, self.number)


@frozen
class Layout:
    """How the engines of a service in a failure domain are divided.

    Attributes
    ----------
    cells : dict of str to int
        By engine, the number of its cell.
    memory : dict of int to int
        By cell, the memory of its engines in tokens; every cell is there, also an empty one.
    """

    cells: dict[str, int]
    memory: dict[int, int]


def cell_count(engines: int, size: int) -> int:
    """Return into how many cells engines are divided: one below one and a half times the size."""
    return max(1, int(engines / size + 0.5))


def cell_of(engine: str, count: int) -> int:
    """Return the cell of an engine; another count moves as few engines as can be."""
    return int(ranked(f"cell/{engine}", map(str, range(count)))[0]) if count > 1 else 0


def divide(memory: Mapping[str, int], size: int) -> Layout:
    """Divide engines, given with their memory in tokens, into cells of about a size."""
    count = cell_count(len(memory), size)
    layout = Layout({}, dict.fromkeys(range(count), 0))
    for engine, tokens in memory.items():
        number = cell_of(engine, count)
        layout.cells[engine] = number
        layout.memory[number] += tokens
    return layout


def home_key(generation: GenerationRequest) -> str:
    """Return what decides on the first cell of a request.

    Requests with the same Idempotency-Key share it, since they are to meet, and so do an account's
    prompts that begin alike, since an engine may hold that beginning. A short prompt that comes
    again shares it too, since a refused request was promised its place by that cell.
    """
    kept = stream_key(generation.stream)
    if not kept:
        begins = generation.prefixes[0] if generation.prefixes else generation.fingerprint
        kept = f"{generation.account}/{begins or generation.stream}"
    return f"home/{kept}"


def spread(key: str, parts: Mapping[int, float]) -> list[int]:
    """Order cells for a key by weighted rendezvous; those with a part of 0 are left out.

    Over many keys each cell is first for as many as its part says, and when parts change a key
    changes its cell only as far as it must.
    """
    scores = {}
    for number, part in parts.items():
        if part > 0:
            drawn = (weight(key, str(number)) + 1) / (WEIGHTS + 1)
            scores[number] = -math.log(drawn) / part
    return sorted(scores, key=lambda number: (scores[number], number))


def first_cells(generation: GenerationRequest, layout: Layout) -> list[int]:
    """Return the cells that have engines, in the order in which a request prefers them."""
    return spread(home_key(generation), layout.memory) or [0]


def other_cell(
    generation: GenerationRequest, layout: Layout, asked: int, loads: Iterable[ServiceLoad]
) -> int | None:
    """Return the cell to ask for a place that the first one has not; None when all have queues.

    Parameters
    ----------
    asked : int
        The cell that has no place.
    loads : iterable of ServiceLoad
        How the service's cells stand, as far as they have told.
    """
    free = {number: float(tokens) for number, tokens in layout.memory.items()}
    for load in loads:
        if load.cell in free:
            free[load.cell] = 0.0 if load.queued else float(load.free_tokens)
    free.pop(asked, None)
    return next(iter(spread(generation.stream, free)), None)
