"""The typed messages that daemons exchange."""

from attrs import frozen

from papayacourse.types import GenerationRequest, Host


@frozen
class Hello:
    """Opens a link: who speaks, and a challenge for the other side."""

    name: str
    incarnation: int
    domain: str
    region: str
    mesh: str
    nonce: bytes


@frozen
class Proof:
    """Answers the other side's challenge with the mesh key."""

    digest: bytes


@frozen
class SettingsVersion:
    """The highest revision that a daemon knows for one settings path."""

    path: str
    revision: int


@frozen
class ServiceLoad:
    """How one service stands in one failure domain, as its scheduler sees it.

    Attributes
    ----------
    queued : int
        Requests waiting.
    expected_wait : float
        The wait a new request can expect, in seconds.
    free_tokens : int
        Memory that admission may still give out, in tokens.
    """

    team: str
    service: str
    queued: int
    expected_wait: float
    free_tokens: int


@frozen
class DomainSummary:
    """What a failure domain tells the others about itself, once a second, between gateways.

    Attributes
    ----------
    live : tuple of Hello
        Its live daemons that stay.
    """

    domain: str
    region: str
    live: tuple[Hello, ...]
    loads: tuple[ServiceLoad, ...]


@frozen
class Heartbeat:
    """Says once a second that a daemon lives and what it knows.

    Attributes
    ----------
    leaving : bool
        Whether it takes no duty: it has been told to stop, or does not know enough yet.
    settings_digest : int
        A hash over all (path, revision) pairs in force there.
    hosts_version, hosts_epoch : int
        The version of the host list it knows, and how often that list has started anew.
    loads : tuple of ServiceLoad
        The services that it schedules.
    """

    name: str
    incarnation: int
    leaving: bool
    settings_digest: int
    hosts_version: int
    loads: tuple[ServiceLoad, ...] = ()
    hosts_epoch: int = 0


@frozen
class Beat:
    """Says that a daemon lives and that its last Heartbeat still holds."""


@frozen
class DomainLoads:
    """Loads of a failure domain that have changed since what was last sent on this link."""

    domain: str
    loads: tuple[ServiceLoad, ...]


@frozen
class HostsAsk:
    """Asks a peer for what is newer in its host list than in this version of this epoch.

    Attributes
    ----------
    whole : bool
        Whether only the whole list will do.
    """

    version: int
    epoch: int = 0
    whole: bool = False


@frozen
class NotScheduler:
    """Hands the duty over: ask the next owner; it also ends a wait in the queue."""

    stream: str


@frozen
class SettingsSummary:
    """Asks a peer whose digest differs in which buckets of paths it differs.

    Attributes
    ----------
    digests : tuple of int
        One hash for each bucket, over the (path, revision) pairs with a value there.
    """

    digests: tuple[int, ...]


@frozen
class SettingsBuckets:
    """Names the buckets of paths that differ; answers a SettingsSummary.

    Attributes
    ----------
    informed : bool
        Whether the peer has itself been told all settings at least once.
    """

    numbers: tuple[int, ...]
    informed: bool


@frozen
class SettingsDigest:
    """Asks a peer for the values of one bucket of paths that are newer there."""

    bucket: int
    versions: tuple[SettingsVersion, ...]


@frozen
class SettingsValue:
    """One settings path at one revision; a deleted path has no text."""

    path: str
    revision: int
    text: str | None
    author: str = ""


@frozen
class SettingsUpdate:
    """Hands newer settings values to a peer.

    Attributes
    ----------
    more : bool
        Whether there are more than fit in one message; ask again for those.
    """

    values: tuple[SettingsValue, ...]
    more: bool = False


@frozen
class HostsUpdate:
    """Hands a newer host list to a peer, whole."""

    version: int
    hosts: tuple[Host, ...]
    epoch: int = 0


@frozen
class HostsChanges:
    """Hands a peer what has changed in the host list since its version.

    Attributes
    ----------
    digest : int
        A hash over all hosts of the list that must come out of it.
    """

    epoch: int
    version: int
    changed: tuple[Host, ...]
    removed: tuple[str, ...]
    digest: int


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
    """

    generation: GenerationRequest
    wait_limit: float
    avoid: tuple[str, ...] = ()
    join: bool = False
    number: int = 0


@frozen
class Granted:
    """A place on an engine; answers a GrantRequest, or follows a Queued by itself."""

    stream: str
    engine: str
    address: str


@frozen
class Joined:
    """The same request already runs; read its stream instead."""

    stream: str
    engine: str
    address: str


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
    """What one daemon relays for one service, in full, so that any scheduler can rebuild."""

    team: str
    service: str
    streams: tuple[StreamState, ...]


@frozen
class ProgressReport:
    """How far each stream has come that one daemon relays for one service.

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


@frozen
class StreamsUnknown:
    """Asks the sender of a ProgressReport to report these streams in full."""

    team: str
    service: str
    numbers: tuple[int, ...]


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


@frozen
class DrainEngine:
    """Asks a scheduler to give an engine no new work for so many seconds."""

    team: str
    service: str
    engine: str
    seconds: float


@frozen
class EnginesAsk:
    """Asks a domain's reader which of its engines do not have what they must have loaded."""


@frozen
class EnginesOutOfLine:
    """Names engines that had something else loaded when they were last read, or some of them."""

    engines: tuple[str, ...]


@frozen
class Strike:
    """A request was in flight on an engine that died."""

    fingerprint: str
    engine: str
    expires: float


@frozen
class StrikesUpdate:
    """Hands strikes to a peer."""

    strikes: tuple[Strike, ...]


@frozen
class Absolved:
    """A request that was in flight on an engine that died has since come to its end."""

    fingerprint: str


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
    """A backend server's answer, or a refusal in the same form."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen
class CallRefused:
    """The final answer to a call that was not served; the fields of a RequestRefused."""

    status: int
    reason: str
    detail: str
    ran: str
    retry_after: float | None


@frozen
class Done:
    """An answer that carries nothing."""


@frozen
class CallFailed:
    """The peer met an error while it worked on a call."""

    detail: str


Message = (
    Hello
    | Proof
    | Heartbeat
    | Beat
    | DomainLoads
    | HostsAsk
    | NotScheduler
    | DomainSummary
    | SettingsSummary
    | SettingsBuckets
    | SettingsDigest
    | SettingsUpdate
    | HostsUpdate
    | HostsChanges
    | GrantRequest
    | Granted
    | Joined
    | GrantRefused
    | Queued
    | StreamReport
    | ProgressReport
    | StreamsUnknown
    | StreamEnded
    | DrainEngine
    | EnginesAsk
    | EnginesOutOfLine
    | StrikesUpdate
    | Absolved
    | RunOnce
    | CallAnswer
    | CallRefused
    | Done
    | CallFailed
)
