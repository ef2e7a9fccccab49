"""Messages between daemons about requests that one serves for the callers of another."""

import enum

from attrs import frozen

from papayacourse.types import HttpMethod, PastSeconds, RelayedBody, RequestTarget

MAX_RELAYED_BODY = 1024 * 1024  # bytes; a request has to fit into one frame


class RelayEnd(enum.StrEnum):
    """What a part of a relayed answer says of the answer's end."""

    NONE = ""
    WHOLE = "whole"  # this is the last part
    BROKEN = "broken"  # the rest is lost
    NOT_SERVED = "not served"  # the request has not run, and another daemon may serve it


@frozen
class RelayRequest:
    """Asks a daemon that reaches servers to serve a caller's request.

    Attributes
    ----------
    number : int
        Identifies the request among those that its sender relays.
    waited : float
        How long ago the sender received it, in seconds.
    """

    number: int
    method: HttpMethod
    target: RequestTarget
    headers: tuple[tuple[str, str], ...]
    body: RelayedBody
    waited: PastSeconds


@frozen
class RelayAccepted:
    """Says that a relayed request is being served; its answer follows in parts."""


@frozen
class RelayDeclined:
    """Says that a relayed request is not served, and why."""

    why: str


@frozen
class RelayPart:
    """The next part of the answer to a relayed request.

    Attributes
    ----------
    number : int
        The number of the request.
    status : int
        The HTTP status in the first part; 0 in later ones.
    headers : tuple of (str, str)
        The headers in the first part.
    """

    number: int
    status: int
    headers: tuple[tuple[str, str], ...]
    data: bytes
    end: RelayEnd


@frozen
class RelayCancelled:
    """Says that the caller of a relayed request has left."""

    number: int
