"""Messages between daemons about the load of the servers of plain services."""

from attrs import frozen


@frozen
class ServerUse:
    """The calls of some daemons to a server, averaged over about the last second.

    Attributes
    ----------
    running : float
        The calls in progress.
    ended : float
        The calls that have ended; older ones count less.
    seconds : float
        How long these took together.
    rejected : float
        The calls that the server has not run for want of room; older ones count less.
    """

    server: str
    running: float
    ended: float = 0.0
    seconds: float = 0.0
    rejected: float = 0.0

    def __add__(self, other: "ServerUse") -> "ServerUse":
        """Return the use by both groups of daemons."""
        return ServerUse(
            self.server,
            self.running + other.running,
            self.ended + other.ended,
            self.seconds + other.seconds,
            self.rejected + other.rejected,
        )

    def scaled(self, factor: float) -> "ServerUse":
        """Return this use at a fraction of its weight."""
        return ServerUse(
            self.server,
            self.running * factor,
            self.ended * factor,
            self.seconds * factor,
            self.rejected * factor,
        )


@frozen
class ServerUses:
    """Reports how servers are used, and is answered by how others use them.

    Attributes
    ----------
    of_domain : bool
        Whether all daemons of the sender's failure domain are meant, rather than the sender.
    """

    uses: tuple[ServerUse, ...]
    of_domain: bool = False
