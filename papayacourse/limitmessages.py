"""Messages between daemons about the limits that servers set for all daemons together."""

from attrs import frozen


@frozen
class LimitNotice:
    """What a server last said of its limit, as far as the sender knows.

    Attributes
    ----------
    rate : float or None
        The requests per second that it takes from all daemons together; None for no limit.
    age : float
        How long ago it said so, in seconds.
    """

    server: str
    rate: float | None
    age: float


@frozen
class LimitNotices:
    """Reports the limits of servers that have begun or ceased to have one."""

    notices: tuple[LimitNotice, ...]


@frozen
class ShareLoan:
    """The shares of one server's limit that are lent; 0 takes back what was lent before."""

    notice: LimitNotice
    shares: int


@frozen
class LendShares:
    """Lends shares of servers' limits to a daemon for a short time; renewed regularly.

    Attributes
    ----------
    from_domain : bool
        True if the shares are those of a whole failure domain, lent to a daemon of another one.
    """

    loans: tuple[ShareLoan, ...]
    from_domain: bool


@frozen
class SharesLent:
    """Answers LendShares.

    Attributes
    ----------
    held_for : tuple of float
        For each loan, for how many seconds its shares may still be in use elsewhere.
    notices : tuple of LimitNotice
        The limits that the holder knows otherwise than the lender.
    """

    held_for: tuple[float, ...]
    notices: tuple[LimitNotice, ...]


@frozen
class SendPermitRequest:
    """Asks the holder of lent shares for permission to send one request to a server.

    Attributes
    ----------
    forwards : int
        How often the question may still be forwarded.
    saves_run : bool
        Whether the request continues a run that would be lost without it.
    """

    notice: LimitNotice
    forwards: int
    saves_run: bool = False


@frozen
class SendPermit:
    """Answers SendPermitRequest.

    Attributes
    ----------
    wait : float
        If not granted: the seconds until the next request can be sent.
    interval : float
        The seconds between requests after that.
    notices : tuple of LimitNotice
        What the holder knows of this server's limit.
    """

    granted: bool
    wait: float = 0.0
    interval: float = 0.0
    notices: tuple[LimitNotice, ...] = ()
