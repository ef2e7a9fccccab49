"""Small typed values that several modules share."""

import enum
import re
from typing import NewType

from attrs import field, frozen, validators

HOST = re.compile(r"[A-Za-z0-9._:%\[\]-]{1,255}")  # of names and of addresses
UnboundedSeconds = NewType("UnboundedSeconds", float)  # may be infinite, for what never comes
PastSeconds = NewType("PastSeconds", float)  # how long ago something was; never below zero
HttpMethod = NewType("HttpMethod", str)  # a token of HTTP
RequestTarget = NewType("RequestTarget", str)  # path and query, as a request's line has them
RelayedBody = NewType("RelayedBody", bytes)  # fits into a frame, beside the head


class Ran(enum.StrEnum):
    """Whether the work of a request ran, as far as this is known for certain."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class HostKind(enum.StrEnum):
    """What runs on a host of the platform's list."""

    ENTRY = "entry"
    ENGINE = "engine"
    PLAIN = "plain"


class HostState(enum.StrEnum):
    """Whether a host is in service or is leaving."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class Address:
    """An IP address and a port."""

    host: str
    port: int = field(validator=[validators.ge(0), validators.le(65535)])

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Parse ``host:port``; raise ValueError if the text has another form."""
        host, colon, port = text.strip().rpartition(":")
        if not colon or not host or not HOST.fullmatch(host):
            raise ValueError(f"{text!r} is not host:port")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@frozen
class Place:
    """The failure domain and region of a host."""

    domain: str
    region: str


@frozen
class Fault:
    """One error in a file or a settings value, with its location."""

    where: str
    section: str
    option: str
    what: str

    def __str__(self) -> str:
        spot = f"[{self.section}] {self.option}".strip() if self.section else self.option
        return ": ".join(part for part in (self.where, spot, self.what) if part)


@frozen
class Host:
    """One host of the platform's list.

    Attributes
    ----------
    address : str
        ``host:port`` of the service that callers or daemons use on the host.
    mesh : str
        ``host:port`` of the daemon's mesh listener; empty for backend servers.
    instance : str
        The name that a backend server reports for itself, if it differs from ``name``.
    slots : int
        Requests that a backend server runs concurrently; 0 if unknown.
    is_drained : bool
        Whether the operator drains its failure domain. Its state is then ``LEAVING``, which daemons
        of earlier builds understand, although the server itself goes on.
    cold : float
        For how long a backend server stayed cold when this was listed, in seconds.
    """

    name: str
    kind: HostKind
    address: str
    domain: str
    region: str
    state: HostState = HostState.LIVE
    mesh: str = ""
    service: str = ""
    instance: str = ""
    slots: int = 0
    is_drained: bool = False
    cold: float = 0.0

    def leaves(self) -> bool:
        """Return True if a backend server itself is leaving; those of a drained domain go on."""
        return self.state == HostState.LEAVING and not self.is_drained


@frozen
class GenerationRequest:
    """What a caller asks a model engine to generate.

    Attributes
    ----------
    stream : str
        The id of the generation; never reused.
    prompt : str
        The prompt, with chat messages already rendered.
    prompt_tokens : int
        An estimate of the prompt's length in tokens.
    max_tokens : int
        The maximum length of the output, in tokens.
    prefixes : tuple of int
        Hashes of increasingly long prefixes of the prompt, for cache affinity.
    fingerprint : str
        Identifies the request when it is sent again.
    max_gap : float
        The target for the longest gap between its events, in seconds; 0 for none.
    event_tokens : int
        Tokens per event.
    """

    stream: str
    team: str
    service: str
    account: str
    prompt: str
    prompt_tokens: int
    max_tokens: int
    priority: int
    prefixes: tuple[int, ...] = ()
    fingerprint: str = ""
    seed: int | None = None
    max_gap: float = 0.0
    event_tokens: int = 1
