"""Records where a request was sent, and keeps what its caller is told true to that.

Some statuses promise a caller that the request has not run and never will, so that it may be sent
again. A request may have such an answer only if every send of it is known not to have run.
"""

from collections.abc import Callable

from attrs import define, field

from papayacourse import logs
from papayacourse.exceptions import RequestRefused
from papayacourse.types import Ran

NOT_EXECUTED_STATUSES = frozenset({408, 421, 429, 503})  # to callers: the request did not run
UNKNOWN_OUTCOME_STATUS = 502  # promises nothing


@define(eq=False)
class Send:
    """One send of a request, to a server or to a daemon that serves it.

    Attributes
    ----------
    receiver : str
        The server's or the daemon's name.
    has_run : bool
        Whether the receiver has shown that it ran the request.
    """

    receiver: str
    has_run: bool = False


@define(eq=False)
class SendHistory:
    """The sends of one request.

    Attributes
    ----------
    possible_runs : list of Send
        The sends that may have run the request: nothing shows that they have not.
    on_begin : callable
        Called when the request is about to be sent to a receiver.
    """

    possible_runs: list[Send] = field(factory=list)
    on_begin: Callable[[], None] = lambda: None

    def begin(self, receiver: str) -> Send:
        """Record that the request is about to be sent to a receiver."""
        send = Send(receiver)
        self.possible_runs.append(send)
        self.on_begin()
        return send

    def record_not_executed(self, send: Send) -> None:
        """Record that a send's receiver has not run the request and never will."""
        if send in self.possible_runs:
            self.possible_runs.remove(send)

    def may_have_run(self) -> bool:
        """Return True unless every send is known not to have run the request."""
        return bool(self.possible_runs)

    def ran(self) -> Ran:
        """Return whether the request has run, as far as that is known."""
        if any(send.has_run for send in self.possible_runs):
            return Ran.YES
        return Ran.UNKNOWN if self.possible_runs else Ran.NO

    def receivers(self) -> set[str]:
        """Return the names of those that may have run the request."""
        return {send.receiver for send in self.possible_runs}

    def check_status(self, status: int) -> None:
        """Raise RequestRefused if an answer's status promises what is not known."""
        if status in NOT_EXECUTED_STATUSES and self.may_have_run():
            logs.info("status replaced", status=status, may_have_run=sorted(self.receivers()))
            why = f"the server answered {status}, and may have run the request"
            raise RequestRefused(UNKNOWN_OUTCOME_STATUS, "server_failed", why, self.ran())

    def corrected(self, refused: RequestRefused) -> RequestRefused:
        """Return a refusal that promises no more than is known: the same, if that is true."""
        promises = refused.status in NOT_EXECUTED_STATUSES
        if not self.may_have_run() or not (promises or refused.ran is Ran.NO):
            return refused
        logs.info(
            "refusal corrected", reason=refused.reason, status=refused.status,
            may_have_run=sorted(self.receivers()),
        )  # fmt: skip
        status = UNKNOWN_OUTCOME_STATUS if promises else refused.status
        ran = self.ran() if refused.ran is Ran.NO else refused.ran
        return RequestRefused(status, refused.reason, refused.detail, ran)
