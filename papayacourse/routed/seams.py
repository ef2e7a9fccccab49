"""What a platform's adapter has to provide, and the types that pass between it and the product."""

from collections.abc import AsyncIterator
from typing import Protocol

from attrs import frozen
from tornado.httputil import HTTPHeaders

from papayacourse.callmessages import Strike
from papayacourse.engines import EngineLoad
from papayacourse.routed.document import Document
from papayacourse.types import Host


@frozen
class PromptPart:
    """One part of a prompt; equal parts in front are computed once."""

    name: str
    tokens: int


@frozen
class Prompt:
    """The size of a generation.

    Attributes
    ----------
    tokens : int
        The prompt's tokens.
    max_output : int
        The longest output, in tokens.
    hint : int or None
        The caller's own estimate of the output, in tokens.
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
        The caller's own id of this try; no two tries have the same.
    target : str
        Path and query as they came.
    key : str
        The account key; empty for none.
    patience : float or None
        How long the caller will wait from now, in seconds.
    """

    request_id: str
    method: str
    target: str
    host: str
    headers: HTTPHeaders
    body: bytes
    key: str = ""
    patience: float | None = None
    prompt: Prompt | None = None

    @property
    def path(self) -> str:
        """Return the path without its query."""
        return self.target.partition("?")[0]


@frozen
class Resume:
    """Where a run that has stopped is continued from.

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
        """Tell whether the run goes on from a copy of its memory."""
        return bool(self.handle)


@frozen
class Dispatch:
    """What an engine is told along with a caller's request.

    Attributes
    ----------
    engine : Host
        The engine that is meant; another one at its address must refuse.
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
class EngineNotice:
    """What an answer of an engine says of the engine.

    Attributes
    ----------
    leaves : bool
        Whether it leaves.
    pause : float or None
        For how long it wants to be sent nothing, in seconds.
    """

    leaves: bool = False
    pause: float | None = None


@frozen
class Copied:
    """An engine has copied a run.

    Attributes
    ----------
    complete : bool
        Whether the copy has arrived; if not, the engine that stopped still holds the run.
    """

    handle: str
    complete: bool


@frozen
class RunState:
    """A run on an engine and the memory that it takes, in tokens."""

    name: str
    tokens: int


@frozen
class EngineRuns:
    """What an engine works on.

    Attributes
    ----------
    leaves_in : float or None
        Seconds until it is gone, if it says so.
    leaves : bool
        Whether it says that it leaves.
    """

    leaves_in: float | None
    runs: tuple[RunState, ...]
    leaves: bool = False


class RequestCodec(Protocol):
    """Reads callers' requests and writes those to engines."""

    def read(self, method: str, target: str, headers: HTTPHeaders, body: bytes) -> Call:
        """Decode a caller's request; raises RequestRefused."""

    def headers(self, call: Call, dispatch: Dispatch) -> HTTPHeaders:
        """Return the headers for an engine."""

    def answer_headers(self, headers: HTTPHeaders) -> HTTPHeaders:
        """Return the headers of an engine's answer that its caller gets."""

    def not_run(self, status: int, headers: HTTPHeaders) -> bool:
        """Tell whether an answer says that the engine did not run the request."""

    def belongs(self, call: Call, status: int, headers: HTTPHeaders) -> bool:
        """Tell whether an answer is one to this call, and in full its engine's."""

    def notice(self, status: int, headers: HTTPHeaders) -> EngineNotice:
        """Return what an answer says of its engine."""

    def event_id(self, event: bytes) -> str:
        """Return the id of a stream's event; empty for none."""


class EngineCalls(Protocol):
    """The calls to engines besides callers' requests."""

    async def load(self, host: Host) -> EngineLoad:
        """Return an engine's load; raises BackendError."""

    async def runs(self, host: Host) -> EngineRuns:
        """Return what an engine works on; raises BackendError."""

    async def copy_run(self, source: Host, run: str, target: Host, stop: bool) -> Copied:
        """Copy a run to another engine, and stop it if asked to; raises BackendError."""

    async def drop_copy(self, source: Host, handle: str) -> None:
        """Free the memory that a copy takes; raises BackendError."""


@frozen
class Listed:
    """The hosts that the platform's store has.

    Attributes
    ----------
    revision : int
        The store's revision as of which this holds.
    """

    revision: int
    hosts: tuple[Host, ...]


@frozen
class StoreNews:
    """What has been read from the platform's store; None where nothing is new.

    Attributes
    ----------
    document : bytes or None
        The settings document's text.
    strikes : tuple of Strike or None
        All strikes that daemons have put there.
    """

    document: bytes | None = None
    engines: Listed | None = None
    members: Listed | None = None
    strikes: tuple[Strike, ...] | None = None


class Store(Protocol):
    """The platform's store, in the product's types."""

    def follow(self, wait: float) -> AsyncIterator[StoreNews]:
        """Yield all that is there, then what changes; raises PlatformError.

        Parameters
        ----------
        wait : float
            Seconds without a change after which news of nothing is yielded, as a sign of life.
        """

    async def list_member(self, me: Host, ttl: float) -> bool:
        """List this daemon for so many seconds, or renew its entry; raises PlatformError.

        Returns False when the entry had lapsed and has to be made anew.
        """

    async def unlist(self) -> None:
        """Take this daemon's entry away; raises PlatformError."""

    async def keep_strikes(self, strikes: tuple[Strike, ...], ttl: float) -> None:
        """Store strikes for so many seconds; raises PlatformError."""

    async def drop_strikes(self, strikes: tuple[Strike, ...]) -> None:
        """Remove strikes; raises PlatformError."""

    def decode_document(self, source: bytes) -> Document:
        """Read a document; raises PlatformError."""
