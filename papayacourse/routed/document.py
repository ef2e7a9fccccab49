"""The settings document of a routed deployment; its version only increases."""

import enum
import random

from attrs import field, frozen

from papayacourse.routed.homes import ANYWHERE, Homes
from papayacourse.routed.routetable import RouteTable

DEFAULT_COPY_RATE = 10_000.0  # tokens per second, if the document sets none


class Repeat(enum.Enum):
    """Whether a request may be sent again if it is unknown whether it has run."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@frozen
class Share:
    """A service and its weight in a route's traffic split."""

    service: str
    weight: float


@frozen
class Route:
    """The services and limits for requests to a host and path prefix.

    Attributes
    ----------
    shares : tuple of Share
        The services; several while traffic is shifted between them.
    timeout : float
        The longest that a request may wait, in seconds.
    objective : float
        The target latency in seconds; for streams, of the first event.
    max_gap : float
        The target for the longest gap between a stream's events, in seconds.
    has_gap_target : bool
        Whether the settings name that target, so that requests are placed by it.
    rank : int
        The priority of its requests; 0 is the most urgent.
    max_engines : int
        The maximum number of backend servers on which one request may run.
    anonymous : bool
        Whether requests without an account's key are accepted.
    resumable : bool
        Whether an interrupted stream may continue as a new run after its last event.
    homes : Homes
        The regions in which its requests may be served.
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
    homes: Homes = ANYWHERE
    has_gap_target: bool = False

    def service(self) -> str:
        """Choose the service of a new request at random by weight."""
        if len(self.shares) == 1:
            return self.shares[0].service
        weights = [share.weight for share in self.shares]
        return random.choices(self.shares, weights)[0].service


@frozen
class EngineCapacity:
    """The capacity and features of a service's model engines.

    Attributes
    ----------
    slots : int
        Requests that an engine runs concurrently.
    memory_tokens : int
        An engine's memory, in tokens.
    event_tokens : int
        Tokens per event of a stream.
    moves : bool
        Whether a run can be copied to another engine and continued there.
    copy_rate : float
        Tokens per second at which an engine copies a run within its failure domain.
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1
    moves: bool = False
    copy_rate: float = DEFAULT_COPY_RATE


@frozen
class ColdStart:
    """How a service's servers behave after a start.

    Attributes
    ----------
    duration : float
        How long they are cold, in seconds.
    rate : float
        The requests per second that a cold one bears from all daemons together.
    """

    duration: float
    rate: float


@frozen
class Service:
    """A service.

    Attributes
    ----------
    engine : EngineCapacity or None
        The capacity of its model engines; None for a plain service.
    cold_start : ColdStart or None
        None for a service whose servers bear any pace from their start.
    """

    name: str
    engine: EngineCapacity | None = None
    cold_start: ColdStart | None = None


@frozen
class Account:
    """A client account; its rank, if set, overrides that of the route.

    Attributes
    ----------
    can_be_sent : bool
        Whether its name can be sent to backend servers exactly as it is.
    unusable_keys : int
        How many further keys it has that no caller can send.
    homes : Homes
        The regions in which its requests may be served.
    """

    name: str
    keys: tuple[str, ...]
    rank: int | None = None
    can_be_sent: bool = True
    unusable_keys: int = 0
    homes: Homes = ANYWHERE


@frozen
class CallerLimits:
    """Limits of a caller's request, in bytes and seconds."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_time: float = 3.0
    idle_time: float = 15.0


@frozen
class Document:
    """One version of a deployment's settings.

    Attributes
    ----------
    source : bytes
        The encoded document, as peers forward it.
    needs_accounts : bool
        Whether any request needs an account's key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    accounts: tuple[Account, ...]
    limits: CallerLimits
    source: bytes = b""
    needs_accounts: bool = False
    table: RouteTable = field(init=False, repr=False, eq=False)
    by_key: dict[str, Account] = field(init=False, repr=False, eq=False)
    by_route_name: dict[str, Route] = field(init=False, repr=False, eq=False)
    by_account_name: dict[str, Account] = field(init=False, repr=False, eq=False)

    @table.default
    def _route_table(self) -> RouteTable:
        return RouteTable(self.routes)

    @by_key.default
    def _accounts_by_key(self) -> dict[str, Account]:
        return {key: account for account in self.accounts for key in account.keys}

    @by_route_name.default
    def _routes_by_name(self) -> dict[str, Route]:
        return {route.name: route for route in self.routes}

    @by_account_name.default
    def _accounts_by_name(self) -> dict[str, Account]:
        return {account.name: account for account in self.accounts}

    def route(self, host: str, path: str) -> Route | None:
        """Return the route of a host with the longest prefix that matches a path.

        Raises RequestRefused for a path that servers may take for another route's.
        """
        return self.table.find(host, path)
