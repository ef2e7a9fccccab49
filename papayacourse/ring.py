"""Orders the daemons of a failure domain on a ring whose neighbours monitor each other."""

from collections.abc import Iterable

from papayacourse.rendezvous import ranked

NEIGHBOURS_PER_SIDE = 3


def neighbours(me: str, names: Iterable[str]) -> set[str]:
    """Return the nearest daemons on either side of one on the ring.

    Parameters
    ----------
    me : str
        The daemon whose neighbours are returned.
    names : iterable of str
        All daemons of the ring, with or without ``me``.

    Returns
    -------
    set of str
        All other daemons if there are at most ``2 * NEIGHBOURS_PER_SIDE``.
    """
    order = ranked("ring", {*names, me})
    place = order.index(me)
    steps = [*range(1, NEIGHBOURS_PER_SIDE + 1), *range(-NEIGHBOURS_PER_SIDE, 0)]
    return {order[(place + step) % len(order)] for step in steps} - {me}
