"""Messages between entry daemons and schedulers."""

from attrs import frozen

from papayacourse.types import GenerationRequest, UnboundedSeconds

TOO_SLOW = "too_slow"  # reason of a refusal that only GrantRequest.only_in_time brings


@frozen
class GrantRequest:
    """Asks a scheduler for a place on an engine.

    Attributes
    ----------
    generation : GenerationRequest
        The request, with an empty prompt: the scheduler needs only its size and prefixes.
    wait_limit : float
        The longest wait that is useful to the caller, in seconds; 0 asks for an immediate place
        or a refusal.
    avoid : tuple of str
        Engines that have already failed this request.
    number : int
        The number of the stream in the progress reports of the requesting daemon.
    cell : int
        The cell of the service that the request is for.
    only_in_time : bool
        Whether a place is refused on engines that are too slow for the targets of their streams.
    """

    generation: GenerationRequest
    wait_limit: float
    avoid: tuple[str, ...] = ()
    join: bool = False
    number: int = 0
    cell: int = 0
    only_in_time: bool = False


@frozen
class Granted:
    """A place on an engine: the answer to a GrantRequest, or sent later after a Queued."""

    stream: str
    engine: str
    address: str


@frozen
class Joined:
    """The same request is already running; read its stream instead.

    Attributes
    ----------
    settled : bool
        True if its place can no longer be released in favour of one in another domain.
    """

    stream: str
    engine: str
    address: str
    settled: bool = True


@frozen
class JoinRequest:
    """Asks another domain's scheduler for a running generation by its key, without a new place.

    Attributes
    ----------
    domain : str
        The failure domain of the sender.
    cell : int
        The cell of the key in the receiving domain.
    """

    team: str
    service: str
    stream: str
    avoid: tuple[str, ...]
    domain: str
    cell: int = 0


@frozen
class Queued:
    """No place yet; a Granted or a GrantRefused follows unless the scheduler fails."""

    stream: str
    expected_wait: UnboundedSeconds


@frozen
class GrantRefused:
    """The request gets no place, with the reason."""

    stream: str
    reason: str
    detail: str
    retry_after: float


@frozen
class NotScheduler:
    """The sender does not schedule this cell: ask the next owner; also ends a wait in the queue."""

    stream: str


@frozen
class StreamState:
    """One generation in progress, as known by the daemon that relays it.

    Attributes
    ----------
    number : int
        The number of the stream in that daemon's progress reports.
    """

    generation: GenerationRequest
    engine: str
    generated: int
    number: int


@frozen
class StreamReport:
    """All streams that one daemon relays for one cell, so that any scheduler can rebuild state."""

    team: str
    service: str
    streams: tuple[StreamState, ...]
    cell: int = 0


@frozen
class ProgressReport:
    """The progress of each stream that one daemon relays for one cell.

    Attributes
    ----------
    steps : tuple of int
        The lowest stream number, then the difference to each following one.
    generated : tuple of int
        Tokens of each stream since its start, so that the next report makes up for a lost one.
    gaps : tuple of int
        The longest gap between two events that the engine made of each stream since the last
        report, in milliseconds; empty if no stream has a target for gaps.
    """

    team: str
    service: str
    steps: tuple[int, ...]
    generated: tuple[int, ...]
    cell: int = 0
    gaps: tuple[int, ...] = ()


@frozen
class StreamsUnknown:
    """Asks the sender of a ProgressReport to report these streams in full."""

    team: str
    service: str
    numbers: tuple[int, ...]
    cell: int = 0


@frozen
class StreamEnded:
    """One generation has ended.

    Attributes
    ----------
    outcome : str
        ``finished``, ``cancelled``, ``failed`` or ``never_started``.
    """

    team: str
    service: str
    stream: str
    engine: str
    account: str
    generated: int
    outcome: str
    cell: int = 0


@frozen
class DrainEngine:
    """Asks a scheduler to give an engine no new work for the given number of seconds."""

    team: str
    service: str
    engine: str
    seconds: float
    cell: int = 0


@frozen
class EnginesAsk:
    """Asks a domain's engine reader which engines do not have the required model loaded."""


@frozen
class EnginesOutOfLine:
    """Names some or all engines that did not have the required model loaded when last read."""

    engines: tuple[str, ...]


@frozen
class EngineLeaves:
    """Notifies a daemon with runs on an engine that the engine has reported it is leaving."""

    engine: str
