"""Messages about non-repeatable calls and about requests that crash engines."""

from attrs import frozen


@frozen
class Strike:
    """A request was in flight on an engine that died."""

    fingerprint: str
    engine: str
    expires: float


@frozen
class StrikesUpdate:
    """Sends strikes to a peer."""

    strikes: tuple[Strike, ...]


@frozen
class Absolved:
    """A request that was in flight on an engine that died has since completed.

    Attributes
    ----------
    at : float
        The Unix time, in seconds; earlier strikes no longer count, including those still in
        transit.
    """

    fingerprint: str
    at: float


@frozen
class RunOnce:
    """Asks the daemon that keeps a record's bucket to run a non-repeatable call."""

    team: str
    service: str
    account: str
    key: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen
class CallAnswer:
    """The answer of a backend server, or a refusal in the same format."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen
class CallRefused:
    """The final answer to a call that was not served, with the fields of a RequestRefused."""

    status: int
    reason: str
    detail: str
    ran: str
    retry_after: float | None
