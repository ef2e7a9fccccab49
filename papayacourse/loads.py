"""Tells which changes of load are worth a message, and joins the loads of cells."""

from collections.abc import Iterable

from papayacourse.cells import Cell
from papayacourse.meshmessages import ServiceLoad

SIGNIFICANT_FRACTION = 0.1  # of a figure, by which it must change to be sent again
SMALL_WAIT = 0.1  # seconds under which a change of the expected wait is not worth a message


def close(before: float, now: float, small: float) -> bool:
    """Tell whether two figures, which may be infinite, are much the same."""
    return before == now or abs(now - before) <= max(
        small, SIGNIFICANT_FRACTION * max(abs(before), abs(now))
    )


def much_the_same(before: ServiceLoad, now: ServiceLoad) -> bool:
    """Tell whether two loads of one cell are much the same."""
    return (
        close(before.queued, now.queued, 0)
        and close(before.expected_wait, now.expected_wait, SMALL_WAIT)
        and close(before.free_tokens, now.free_tokens, 0)
    )


def changed_loads(
    before: tuple[ServiceLoad, ...], now: tuple[ServiceLoad, ...]
) -> tuple[ServiceLoad, ...]:
    """Return the loads that are new or differ much from those before."""
    known = by_cell(before)
    return tuple(
        load
        for cell, load in by_cell(now).items()
        if cell not in known or not much_the_same(known[cell], load)
    )


def by_cell(loads: Iterable[ServiceLoad]) -> dict[Cell, ServiceLoad]:
    """Return loads by the cell that each is of, the last of each."""
    return {Cell(load.team, load.service, load.cell): load for load in loads}


def joined(loads: Iterable[ServiceLoad]) -> ServiceLoad | None:
    """Return the load of a service over its cells; None when there is none."""
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
    """Tell whether loads have changed enough to be sent again."""
    return len(before) != len(now) or bool(changed_loads(before, now))
