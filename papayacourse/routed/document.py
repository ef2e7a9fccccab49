"""The settings of a routed deployment: one document, with a version that only rises."""

import enum
import random

from attrs import field, frozen

DEFAULT_COPY_RATE = 10_000.0  # tokens a second, where a document does not say


class Repeat(enum.Enum):
    """What a route's requests allow when it is not known whether one has run."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class Share:
    """A service and the weight with which a route's requests go there."""

    service: str
    weight: float


@frozen
class Route:
    """Where the requests of a host and path prefix go, and what they may be done to.

    Attributes
    ----------
    shares : tuple of Share
        The services; more than one while traffic is moved from one to another.
    timeout : float
        The longest a request may be kept waiting, in seconds.
    objective : float
        The time within which an answer is worth most, in seconds; to the first event for streams.
    max_gap : float
        The longest pause between a stream's events that still is in time, in seconds.
    rank : int
        Its requests' rank; 0 is the most urgent.
    max_engines : int
        On how many backend servers one request may run.
    anonymous : bool
        Whether requests need no account's key.
    resumable : bool
        Whether a stream that has broken off may go on as a new run after its last event.
    """

    name: str
    host: str
    prefix: str
    repeat: Repeat
    shares: tuple[Share, ...]
    timeout: float
    objective: float
    max_gap: float = 1.0
    rank: int = 0
    max_engines: int = 1
    anonymous: bool = False
    resumable: bool = False

    def service(self) -> str:
        """Draw the service that a new request goes to."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights)[0].service


@frozen
class EngineShape:
    """What the model engines of a service can do.

    Attributes
    ----------
    slots : int
        Requests that an engine works on at once.
    memory_tokens : int
        Its memory, in tokens.
    event_tokens : int
        Tokens in one event of a stream.
    moves : bool
        Whether a run can be copied to another engine and continued there.
    copy_rate : float
        Tokens of a run that an engine copies in a second within its failure domain.
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1
    moves: bool = False
    copy_rate: float = DEFAULT_COPY_RATE


@frozen
class Service:
    """A service; one without an engine shape is a plain one."""

    name: str
    engine: EngineShape | None = None


@frozen
class Account:
    """A client account; its own rank goes before that of the route."""

    name: str
    keys: tuple[str, ...]
    rank: int | None = None


@frozen
class CallerLimits:
    """What a caller may send, and how long it may take, in bytes and seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_time: float = 3.0
    idle_time: float = 15.0


@frozen
class Document:
    """All settings of a deployment as of one version.

    Attributes
    ----------
    source : bytes
        The text that it was read from, as peers hand it on.
    needs_accounts : bool
        Whether requests need an account's key at all.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: tuple[Account, ...]
    limits: CallerLimits
    source: bytes = b""
    needs_accounts: bool = False
    by_host: dict[str, list[Route]] = field(init=False, repr=False, eq=False)
    by_key: dict[str, Account] = field(init=False, repr=False, eq=False)

    @by_host.default
    def _routes_by_host(self) -> dict[str, list[Route]]:
        found: dict[str, list[Route]] = {}
        for route in sorted(self.routes, key=lambda route: -len(route.prefix)):
            found.setdefault(route.host.lower(), []).append(route)
        return found

    @by_key.default
    def _accounts_by_key(self) -> dict[str, Account]:
        return {key: account for account in self.accounts for key in account.keys}

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix that begins a path of a host."""
        routes = self.by_host.get(host.lower()) or self.by_host.get(without_port(host).lower(), [])
        return next((route for route in routes if path.startswith(route.prefix)), None)


def without_port(host: str) -> str:
    """Return a Host header's name without its port."""
    return host.rpartition(":")[0] or host
