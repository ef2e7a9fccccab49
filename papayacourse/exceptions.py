"""The exceptions of papayacourse: a common base class, and a small hierarchy for each layer."""

from papayacourse.types import Fault, Ran


class PapayacourseError(Exception):
    """The base class of all exceptions that papayacourse raises deliberately."""


class ConfigError(PapayacourseError):
    """A daemon's configuration file is invalid or unreadable.

    Parameters
    ----------
    faults : list of Fault
        Every fault found, in file order.
    """

    def __init__(self, faults: list[Fault]):
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


class SettingsError(PapayacourseError):
    """An operator's settings cannot be accepted.

    Parameters
    ----------
    faults : list of Fault
        Every fault found in the proposed settings.
    """

    def __init__(self, faults: list[Fault]):
        super().__init__("\n".join(str(fault) for fault in faults))
        self.faults = faults


class SettingsConflict(PapayacourseError):
    """A path has been changed since the operator last read it."""

    def __init__(self, path: str, seen: int, current: int, author: str):
        super().__init__(
            f"{path}: you saw revision {seen}, but {author or 'somebody'} wrote revision {current}"
        )
        self.path = path
        self.current = current
        self.author = author


class NotInForce(PapayacourseError):
    """A change of settings is written, but not yet in force at every live daemon."""


class UsageError(PapayacourseError):
    """A command line is invalid."""


class SettingsOutcomeUnknown(PapayacourseError):
    """A settings change may or may not have been written; read the settings to find out."""


class PlatformError(PapayacourseError):
    """The platform's key-value service or host list refused or failed a call."""


class PlatformUnavailable(PlatformError):
    """The platform could not be reached; nothing was changed there."""


class PlatformRefused(PlatformError):
    """The platform's store refused a call for what it asks, and would refuse it again."""


class PlatformCompacted(PlatformError):
    """The start revision of a watch has been compacted; everything must be read again."""


class PlatformAnswerLost(PlatformError):
    """A call may have reached the platform, but no answer was received."""


class BucketFull(PapayacourseError):
    """A bucket of records has no room for another intent within its retention."""


class PeerError(PapayacourseError):
    """A call to another daemon failed."""


class PeerUnreachable(PeerError):
    """The other daemon could not be reached; it has not received the call."""


class PeerTimeout(PeerError):
    """The other daemon may have received the call, but did not answer in time."""


class MessageNotSendable(PeerUnreachable):
    """A message cannot be encoded or is too long for a frame; it has not been sent."""


class MalformedMessage(PeerError):
    """A frame from another daemon is not a message of this protocol version.

    Parameters
    ----------
    call : int
        The call number that the frame has, negative for an answer; 0 if it has none.
    """

    def __init__(self, why: str, call: int = 0):
        super().__init__(why)
        self.call = call


class BackendError(PapayacourseError):
    """A call to a backend server failed."""


class BackendUnreachable(BackendError):
    """No connection could be made, so nothing was sent."""


class BackendGone(BackendUnreachable):
    """The backend server's address refuses connections."""


class BackendNotSendable(BackendError):
    """The request has text that cannot be written to a connection; nothing was sent."""


class BackendRefused(BackendError):
    """The backend server refused the request.

    Parameters
    ----------
    status : int
        The HTTP status of its answer.
    detail : str
        The text of its answer.
    """

    def __init__(self, status: int, detail: str):
        super().__init__(f"status {status}: {detail}")
        self.status = status
        self.detail = detail


class BackendNoRoom(BackendRefused):
    """The backend server has no capacity, or cannot reach the server that should have it."""


class BackendPaused(BackendRefused):
    """The backend server was not called, since it has asked to be left alone for a while."""


class BackendLinkLost(BackendError):
    """The connection broke or stalled after data was sent."""


class BackendUnanswered(BackendLinkLost):
    """The backend server accepted a request but did not start its answer in time."""


class BackendNoAnswer(BackendLinkLost):
    """The backend server sent a head that HTTP does not have; the request may have run."""


class BackendSilent(BackendLinkLost):
    """The backend server started its answer and then sent nothing more."""


class BackendAnswerLost(BackendError):
    """A request was sent but no matching answer was received: it may have run."""


class BackendProtocolError(BackendError):
    """The backend server sent data that does not match the request."""


class StopExpired(PapayacourseError):
    """A planned stop leaves no more time for a request.

    Parameters
    ----------
    has_begun : bool
        Whether the request was in progress already.
    """

    def __init__(self, why: str, has_begun: bool = False):
        super().__init__(why)
        self.has_begun = has_begun


class RequestRefused(PapayacourseError):
    """The final answer, as sent to the caller, to a request that was not served.

    Parameters
    ----------
    status : int
        The HTTP status.
    reason : str
        A short constant for programs and metrics, such as ``overloaded``.
    detail : str
        A sentence for a human reader.
    ran : Ran
        Whether the work ran; ``Ran.NO`` only if that is certain.
    retry_after : float or None
        Seconds after which a retry is useful.
    """

    def __init__(
        self,
        status: int,
        reason: str,
        detail: str,
        ran: Ran = Ran.NO,
        retry_after: float | None = None,
    ):
        super().__init__(detail)
        self.status = status
        self.reason = reason
        self.detail = detail
        self.ran = ran
        self.retry_after = retry_after
