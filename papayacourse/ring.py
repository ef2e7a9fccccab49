"""Puts the daemons of a failure domain on a ring, on which neighbours watch each other."""

from collections.abc import Iterable

from papayacourse.rendezvous import ranked

REACH = 3  # neighbours before a daemon, and as many after it


def neighbours(me: str, names: Iterable[str]) -> set[str]:
    """Return the daemons nearest to one on the ring, on either side.

    Parameters
    ----------
    me : str
        The daemon whose neighbours are wanted.
    names : iterable of str
        All daemons of the ring; whether ``me`` is among them makes no difference.

    Returns
    -------
    set of str
        All others where there are no more than ``2 * REACH``.
    """
    order = ranked("ring", {*names, me})
    place = order.index(me)
    steps = [*range(1, REACH + 1), *range(-REACH, 0)]
    return {order[(place + step) % len(order)] for step in steps} - {me}
