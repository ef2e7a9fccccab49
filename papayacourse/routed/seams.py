"""The interfaces that a platform's adapter implements, and the types that they exchange."""

from collections.abc import AsyncIterator, Callable
from typing import Protocol

from attrs import frozen
from tornado.httputil import HTTPHeaders

from papayacourse.callmessages import Strike
from papayacourse.engines import EngineLoad
from papayacourse.routed.document import Document
from papayacourse.types import Host


@frozen
class PromptPart:
    """One part of a prompt; engines cache the computation of equal leading parts."""

    name: str
    tokens: int


@frozen
class Prompt:
    """The size of a generation.

    Attributes
    ----------
    tokens : int
        Size of the prompt, in tokens.
    max_output : int
        Maximum output, in tokens.
    hint : int or None
        The caller's estimate of the output, in tokens.
    """

    model: str
    tokens: int
    max_output: int
    parts: tuple[PromptPart, ...] = ()
    hint: int | None = None


@frozen
class Call:
    """A caller's request, decoded.

    Attributes
    ----------
    request_id : str
        The caller's id of this attempt, different for each attempt.
    target : str
        Path and query as received.
    key : str
        The account key; empty for none.
    caller_timeout : float or None
        How long the caller will wait from now, in seconds; None if it doesn't say.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: HTTPHeaders
    body: bytes
    key: str = ""
    caller_timeout: float | None = None
    prompt: Prompt | None = None

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition("?")[0]


@frozen
class Resume:
    """Where an interrupted run is resumed from.

    Attributes
    ----------
    holder : str
        ``host:port`` of the engine that gave the handle; empty for a new run.
    handle : str
        The handle of the copy; empty for a new run.
    after : str
        The id of the last event that the caller has; empty for none.
    """

    holder: str
    handle: str
    after: str

    @property
    def from_copy(self) -> bool:
        """Return True if the run is resumed from a copy of its memory."""
        return bool(self.handle)


@frozen
class Dispatch:
    """The metadata that an engine gets with a caller's request.

    Attributes
    ----------
    engine : Host
        The intended engine; another engine at the same address must refuse the request.
    time_left : float
        How long the caller will still wait, in seconds.
    account : str
        The account's name; empty for an anonymous caller.
    rank : int or None
        The urgency, 0 first; None leaves it to the engine.
    """

    engine: Host
    time_left: float
    account: str
    rank: int | None = None
    resume: Resume | None = None


@frozen
class Limited:
    """An engine's limit: the requests per second that it takes from all daemons together."""

    rate: float


@frozen
class Unlimited:
    """Says that an engine has no limit, or none any more."""


@frozen
class EngineNotice:
    """What an engine's answer says about the engine itself.

    Attributes
    ----------
    leaves : bool
        Whether it is leaving.
    pause : float or None
        The pause in calls that it asks for, in seconds.
    limit : Limited, Unlimited or None
        The limit that it names; None if the answer does not tell.
    rejections : float or None
        How many requests it can reject in a second without falling over; None for any number.
    cold : float or None
        For how long it stays cold, in seconds; None if the answer does not tell.
    """

    leaves: bool = False
    pause: float | None = None
    limit: Limited | Unlimited | None = None
    rejections: float | None = None
    cold: float | None = None


@frozen
class CopyResult:
    """The result of copying a run.

    Attributes
    ----------
    complete : bool
        Whether the copy has arrived; if not, the source engine still holds the stopped run.
    """

    handle: str
    complete: bool


@frozen
class RunState:
    """A run on an engine and its memory, in tokens."""

    name: str
    tokens: int


@frozen
class EngineRuns:
    """The runs on an engine.

    Attributes
    ----------
    leaves_in : float or None
        Seconds until it shuts down, if it reports that.
    leaves : bool
        Whether it reports that it is leaving.
    is_same_start : bool
        Whether the engine that was asked has answered, and not one that has started since.
    """

    leaves_in: float | None
    runs: tuple[RunState, ...]
    leaves: bool = False
    is_same_start: bool = True


class RequestCodec(Protocol):
    """Decodes callers' requests and encodes requests to engines."""

    def read(self, method: str, target: str, headers: HTTPHeaders, body: bytes) -> Call:
        """Decode a caller's request; raises RequestRefused."""

    def headers(self, call: Call, dispatch: Dispatch) -> HTTPHeaders:
        """Return the headers for an engine."""

    def answer_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of an engine's answer that are passed on to the caller."""

    def not_run(self, call: Call, status: int, headers: HTTPHeaders) -> bool:
        """Return True if an answer says that the engine did not run this call."""

    def shows_run(self, call: Call, headers: HTTPHeaders) -> bool:
        """Return True if an answer shows that the engine has run this call."""

    def answers_call(self, call: Call, status: int, headers: HTTPHeaders) -> bool:
        """Return True if an answer belongs to this call and comes unaltered from its engine."""

    def notice(self, status: int, headers: HTTPHeaders) -> EngineNotice:
        """Return what an answer says about its engine."""

    def event_id(self, event: bytes) -> str:
        """Return the id of a stream's event; empty for none."""


class EngineCalls(Protocol):
    """The calls to engines other than callers' requests."""

    async def load(self, host: Host) -> EngineLoad:
        """Return an engine's load; raises BackendError."""

    async def runs(self, host: Host) -> EngineRuns:
        """Return the runs on an engine; raises BackendError."""

    async def copy_run(self, source: Host, run: str, target: Host, stop: bool) -> CopyResult:
        """Copy a run to another engine and optionally stop it; raises BackendError."""

    async def drop_copy(self, source: Host, handle: str) -> None:
        """Free the memory that a copy takes; raises BackendError."""


@frozen
class StorePosition:
    """A point in the history of the platform's store.

    Attributes
    ----------
    era : int
        How often the store has come back from an older copy, counted by the store itself; 0 if
        it doesn't say. Revisions of different eras cannot be compared.
    revision : int
        The store's revision.
    """

    era: int
    revision: int


@frozen
class StoreUpdate:
    """An update from the platform's store; attributes without a change are None.

    Attributes
    ----------
    position : StorePosition
        Where the store was when it answered.
    is_complete : bool
        Whether this is the store's whole content.
    document : bytes or None
        The encoded settings document.
    strikes : tuple of Strike or None
        All strikes that daemons have stored.
    drained : frozenset of str or None
        The failure domains that the operator drains.
    """

    position: StorePosition
    is_complete: bool = False
    document: bytes | None = None
    engines: tuple[Host, ...] | None = None
    members: tuple[Host, ...] | None = None
    strikes: tuple[Strike, ...] | None = None
    drained: frozenset[str] | None = None

    @property
    def has_changes(self) -> bool:
        """Return True if anything is new."""
        parts = (self.document, self.engines, self.members, self.strikes, self.drained)
        return any(part is not None for part in parts)


class Store(Protocol):
    """The platform's store, in papayacourse's types.

    Attributes
    ----------
    era : int
        The era of the last answer; see StorePosition.
    on_answer : callable
        Called after each answer to any call.
    """

    era: int
    on_answer: Callable[[], None]

    def follow(self, wait: float) -> AsyncIterator[StoreUpdate]:
        """Yield the current contents, then the changes; raises PlatformError.

        Also raises it when the store has come back from an older copy.

        Parameters
        ----------
        wait : float
            Seconds without a change after which an empty update is yielded as a heartbeat.
        """

    async def list_member(self, me: Host, ttl: float) -> bool:
        """Register this daemon for `ttl` seconds, or renew its entry; raises PlatformError.

        Returns False if the entry has expired and must be created again.
        """

    async def unlist(self) -> None:
        """Remove this daemon's entry; raises PlatformError."""

    async def keep_strikes(self, strikes: tuple[Strike, ...], ttl: float) -> None:
        """Store strikes for `ttl` seconds; raises PlatformError.

        It is PlatformRefused if the store would refuse the same strikes again.
        """

    async def drop_strikes(self, strikes: tuple[Strike, ...]) -> None:
        """Remove strikes; raises PlatformError."""

    def decode_document(self, source: bytes) -> Document:
        """Decode a settings document; raises PlatformError."""
