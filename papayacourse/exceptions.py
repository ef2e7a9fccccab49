"""The errors of papayacourse: one base class, and one small family for each layer."""

from papayacourse.types import Fault, Ran


class PapayacourseError(Exception):
    """The base class of every error that papayacourse raises on purpose."""


class ConfigError(PapayacourseError):
    """A daemon's configuration file cannot be used.

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
    """Somebody else changed a path since the operator last saw it."""

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
    """A command line cannot be understood."""


class SettingsOutcomeUnknown(PapayacourseError):
    """A change of settings may or may not have been written; reading them tells."""


class PlatformError(PapayacourseError):
    """The platform's key-value service or host list refused or failed a call."""


class PlatformUnavailable(PlatformError):
    """The platform could not be asked; nothing was changed there."""


class PlatformCompacted(PlatformError):
    """The revision that a watch starts from has been forgotten; everything must be read anew."""


class PlatformAnswerLost(PlatformError):
    """A call reached the platform, perhaps, but its answer did not come back."""


class BucketFull(PapayacourseError):
    """A bucket of records has no room for another intent within its retention."""


class PeerError(PapayacourseError):
    """A call to another daemon failed."""


class PeerUnreachable(PeerError):
    """The other daemon could not be asked; it has not seen the call."""


class PeerTimeout(PeerError):
    """The other daemon may have seen the call, but did not answer in time."""


class MalformedMessage(PeerError):
    """A frame from another daemon is not a message of this protocol version."""


class BackendError(PapayacourseError):
    """A call to a backend server failed."""


class BackendUnreachable(BackendError):
    """No connection could be made, so nothing was sent."""


class BackendGone(BackendUnreachable):
    """Nobody listens at the backend server's address."""


class BackendRefused(BackendError):
    """The backend server answered that it would not do the work.

    Parameters
    ----------
    status : int
        The HTTP status of its answer.
    detail : str
        What it said.
    """

    def __init__(self, status: int, detail: str):
        super().__init__(f"status {status}: {detail}")
        self.status = status
        self.detail = detail


class BackendNoRoom(BackendRefused):
    """The backend server has no room, or does not reach the one that should have it."""


class BackendLinkLost(BackendError):
    """The link broke or stalled after something was sent."""


class BackendUnanswered(BackendLinkLost):
    """The backend server took a request and did not begin its answer in time."""


class BackendSilent(BackendLinkLost):
    """The backend server began its answer and then went silent."""


class BackendAnswerLost(BackendError):
    """A request was sent, and no answer that belongs to it came: it may have run."""


class BackendProtocolError(BackendError):
    """The backend server sent something that does not belong to the request."""


class RequestRefused(PapayacourseError):
    """The final answer to a request that was not served, as the caller will read it.

    Parameters
    ----------
    status : int
        The HTTP status.
    reason : str
        A short fixed word for programs and metrics, such as ``overloaded``.
    detail : str
        A sentence for the person who reads it.
    ran : Ran
        Whether the work ran; ``Ran.NO`` only where that is certain.
    retry_after : float or None
        Seconds after which asking again makes sense.
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
