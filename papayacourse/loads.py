"""Detects changes of load that are worth a message, and sums the loads of cells."""

from collections.abc import Iterable

from papayacourse.cells import Cell
from papayacourse.meshmessages import ServiceLoad

SIGNIFICANT_FRACTION = 0.1  # of a value, by which it must change to be sent again
MIN_PACE_CHANGE = 0.005  # seconds; smaller changes of an engine's pace are not sent
MIN_WAIT_CHANGE = 0.1  # seconds; smaller changes of the expected wait are not sent


def is_close(before: float, now: float, small: float) -> bool:
    """Return True if two values, which may be infinite, differ little."""
    return before == now or abs(now - before) <= max(
        small, SIGNIFICANT_FRACTION * max(abs(before), abs(now))
    )


def is_similar(before: ServiceLoad, now: ServiceLoad) -> bool:
    """Return True if two loads of one cell differ little."""
    return (
        is_close(before.queued, now.queued, 0)
        and is_close(before.expected_wait, now.expected_wait, MIN_WAIT_CHANGE)
        and is_close(before.free_tokens, now.free_tokens, 0)
        and is_close(before.step, now.step, MIN_PACE_CHANGE)
        and is_close(before.pause, now.pause, MIN_PACE_CHANGE)
    )


def changed_loads(
    before: tuple[ServiceLoad, ...], now: tuple[ServiceLoad, ...]
) -> tuple[ServiceLoad, ...]:
    """Return the loads that are new or differ significantly from the previous ones."""
    known = by_cell(before)
    return tuple(
        load
        for cell, load in by_cell(now).items()
        if cell not in known or not is_similar(known[cell], load)
    )


def by_cell(loads: Iterable[ServiceLoad]) -> dict[Cell, ServiceLoad]:
    """Return the last load of each cell, by cell."""
    return {Cell(load.team, load.service, load.cell): load for load in loads}


def total_load(loads: Iterable[ServiceLoad]) -> ServiceLoad | None:
    """Return the load of a service summed over its cells, with the least wait, or None."""
    loads = list(loads)
    if not loads:
        return None
    return ServiceLoad(
        loads[0].team,
        loads[0].service,
        sum(load.queued for load in loads),
        min(load.expected_wait for load in loads),
        sum(load.free_tokens for load in loads),
    )


def significant_change(before: tuple[ServiceLoad, ...], now: tuple[ServiceLoad, ...]) -> bool:
    """Return True if loads have changed enough to be sent again."""
    return len(before) != len(now) or bool(changed_loads(before, now))
