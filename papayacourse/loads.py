"""Tells which changes of load are worth a message."""

from papayacourse.meshmessages import ServiceLoad

SIGNIFICANT_FRACTION = 0.1  # of a figure, by which it must change to be sent again
SMALL_WAIT = 0.1  # seconds under which a change of the expected wait is not worth a message


def close(before: float, now: float, small: float) -> bool:
    """Tell whether two figures, which may be infinite, are much the same."""
    return before == now or abs(now - before) <= max(
        small, SIGNIFICANT_FRACTION * max(abs(before), abs(now))
    )


def much_the_same(before: ServiceLoad, now: ServiceLoad) -> bool:
    """Tell whether two loads of one service are much the same."""
    return (
        close(before.queued, now.queued, 0)
        and close(before.expected_wait, now.expected_wait, SMALL_WAIT)
        and close(before.free_tokens, now.free_tokens, 0)
    )


def changed_loads(
    before: tuple[ServiceLoad, ...], now: tuple[ServiceLoad, ...]
) -> tuple[ServiceLoad, ...]:
    """Return the loads that are new or differ much from those before."""
    known = {(load.team, load.service): load for load in before}
    return tuple(
        load
        for load in now
        if (load.team, load.service) not in known
        or not much_the_same(known[load.team, load.service], load)
    )


def significant_change(before: tuple[ServiceLoad, ...], now: tuple[ServiceLoad, ...]) -> bool:
    """Tell whether loads have changed enough to be sent again."""
    return len(before) != len(now) or bool(changed_loads(before, now))
