"""The messages between entry daemons and schedulers."""

from attrs import frozen

from papayacourse.types import GenerationRequest


@frozen
class GrantRequest:
    """Asks a scheduler for a place on an engine.

    Attributes
    ----------
    generation : GenerationRequest
        The request, with an empty prompt: the scheduler needs only its size and prefixes.
    wait_limit : float
        The longest wait that makes sense to the caller, in seconds; 0 asks for a place now or not
        at all.
    avoid : tuple of str
        Engines that have already failed this request.
    number : int
        What the asking daemon calls the stream in its progress reports.
    cell : int
        The cell of the service that is asked.
    """

    generation: GenerationRequest
    wait_limit: float
    avoid: tuple[str, ...] = ()
    join: bool = False
    number: int = 0
    cell: int = 0


@frozen
class Granted:
    """A place on an engine; answers a GrantRequest, or follows a Queued by itself."""

    stream: str
    engine: str
    address: str


@frozen
class Joined:
    """The same request already runs; read its stream instead.

    Attributes
    ----------
    settled : bool
        Whether its place will not be given back any more for one in another domain.
    """

    stream: str
    engine: str
    address: str
    settled: bool = True


@frozen
class JoinRequest:
    """Asks another domain's scheduler for the generation of a key, and for no place.

    Attributes
    ----------
    domain : str
        The failure domain that asks.
    cell : int
        The cell of the key in the domain that is asked.
    """

    team: str
    service: str
    stream: str
    avoid: tuple[str, ...]
    domain: str
    cell: int = 0


@frozen
class Queued:
    """No place yet; a Granted or a GrantRefused follows, unless the scheduler is lost."""

    stream: str
    expected_wait: float


@frozen
class GrantRefused:
    """No place, and why."""

    stream: str
    reason: str
    detail: str
    retry_after: float


@frozen
class NotScheduler:
    """Hands the duty over: ask the next owner; it also ends a wait in the queue."""

    stream: str


@frozen
class StreamState:
    """One generation in progress, as the daemon that relays it knows it.

    Attributes
    ----------
    number : int
        What that daemon calls it in its progress reports.
    """

    generation: GenerationRequest
    engine: str
    generated: int
    number: int


@frozen
class StreamReport:
    """What one daemon relays for one cell, in full, so that any scheduler can rebuild."""

    team: str
    service: str
    streams: tuple[StreamState, ...]
    cell: int = 0


@frozen
class ProgressReport:
    """How far each stream has come that one daemon relays for one cell.

    Attributes
    ----------
    steps : tuple of int
        The lowest number of a stream, then what is added for each next one.
    generated : tuple of int
        The tokens of each of them since its start, so that a report lost is made good by the next.
    """

    team: str
    service: str
    steps: tuple[int, ...]
    generated: tuple[int, ...]
    cell: int = 0


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
    """Asks a scheduler to give an engine no new work for so many seconds."""

    team: str
    service: str
    engine: str
    seconds: float
    cell: int = 0


@frozen
class EnginesAsk:
    """Asks a domain's reader which of its engines do not have what they must have loaded."""


@frozen
class EnginesOutOfLine:
    """Names engines that had something else loaded when they were last read, or some of them."""

    engines: tuple[str, ...]


@frozen
class EngineLeaves:
    """Tells a daemon with runs on an engine that the engine has said that it leaves."""

    engine: str
