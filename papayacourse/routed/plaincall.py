"""One call of a plain service: chooses its server, and retries it where that is allowed."""

import time
from collections.abc import Callable, Iterable

from attrs import define, field
from tornado.httputil import HTTPHeaders

from papayacourse import logs
from papayacourse.answermemory import AnswerReservation
from papayacourse.deaths import SERVER_ERROR
from papayacourse.exceptions import BackendGone, BackendUnreachable, RequestRefused
from papayacourse.requestguard import RequestGuard
from papayacourse.routed.admitted import AdmittedRequest
from papayacourse.routed.budget import FleetRetryBudget
from papayacourse.routed.choice import ServerChoice
from papayacourse.routed.document import Repeat
from papayacourse.routed.notices import EngineNotices
from papayacourse.routed.seams import Dispatch, RequestCodec
from papayacourse.routed.sendhistory import NOT_EXECUTED_STATUSES, SendHistory
from papayacourse.routed.sending import (
    BackendAnswerLost,
    RequestNotExecuted,
    RequestRejected,
    no_opening_refusal,
    open_call,
    read_body,
)
from papayacourse.routed.sendlimiter import SendLimiter
from papayacourse.types import Host, Ran

MAX_ATTEMPTS = 4  # servers tried per request, not counting those that refuse the connection
FIRST_ATTEMPT_FRACTION = 0.5  # of the time left, if another server may be tried after it
RETRY_AFTER = 0.3  # seconds; a slot becomes free much sooner


@define
class Answer:
    """A server's complete response."""

    status: int
    headers: HTTPHeaders
    body: bytes


@define(eq=False)
class PlainCall:
    """Sends one request, with retries, until it has an answer or no attempt is left.

    Attributes
    ----------
    servers : callable
        Returns the servers of the service that are listed now.
    reservation : AnswerReservation
        The memory reserved for its answer.
    sends : SendHistory
        Where it has been sent.
    tried : set of str
        Names of servers that are not tried again.
    attempts : int
        Number of attempts, not counting servers that refused the connection.
    arrived : bool
        Whether it has reached any server, so that another attempt uses the retry budget.
    failure : Answer or None
        A server's error response, which is returned if no attempt succeeds.
    last_error : str
        Why the last attempt failed.
    """

    admitted: AdmittedRequest
    codec: RequestCodec
    choice: ServerChoice
    notices: EngineNotices
    limiter: SendLimiter
    guard: RequestGuard
    budget: FleetRetryBudget
    servers: Callable[[], Iterable[Host]]
    reservation: AnswerReservation
    sends: SendHistory
    tried: set[str] = field(factory=set)
    attempts: int = 0
    arrived: bool = False
    failure: Answer | None = None
    last_error: str = ""

    async def run(self) -> Answer:
        """Return the answer; raises RequestRefused if there is none."""
        while self.attempts < MAX_ATTEMPTS and not self.notices.reach.is_cut_off:
            host = await self._next_server()
            if host is None or not self.admitted.may_begin():
                break
            answer = await self._try(host)
            if answer is not None:
                return answer
        if self.failure is not None:
            return self.failure
        raise self._refusal()

    async def _next_server(self) -> Host | None:
        """Return the server to send the request to next, or None."""
        host = self._choose()
        if host is None or (self.tried and not self._may_send_again()):
            return None
        while host is not None and not await self.limiter.admit(host):
            host = self._choose()
        return host

    def _choose(self) -> Host | None:
        homes = self.admitted.homes()
        hosts = (host for host in self.servers() if homes.allow(host.region))
        open_hosts = filter(self.notices.takes_work, hosts)
        return self.choice.choose(open_hosts, self.tried, self._suspect())

    def _suspect(self) -> str:
        """Return the request's fingerprint if a server died while running it, else an empty one."""
        return self.guard.fingerprint if self.guard.is_struck() else ""

    def _may_send_again(self) -> bool:
        route = self.admitted.route
        if self.admitted.time_left() <= 0:
            return False
        if self.sends.may_have_run() and not self._may_run_more(route.max_engines):
            return False
        if self.guard.is_condemned():
            return False
        return not self.arrived or self.budget.try_spend(self.admitted.service, self.last_error)

    async def _try(self, host: Host) -> Answer | None:
        """Send the request to one server; returns None if it gave no final answer."""
        self.attempts += 1
        began = time.monotonic()
        with self.choice.watch_call(host) as result:
            try:
                answer = await self._send(host)
                self.arrived, result.reached, result.failed = True, True, False
                return self._accept(host, answer)
            except BackendUnreachable as error:
                self.last_error = str(error)
                if isinstance(error, BackendGone):
                    self.attempts -= 1
                    self.choice.records[host.name].record_unreachable()
            except (RequestNotExecuted, BackendAnswerLost) as error:
                self.arrived = result.reached = True
                result.rejected = isinstance(error, RequestRejected)
                self.last_error = str(error)
        self.tried.add(host.name)
        logs.info(
            "send failed", server=host.name, why=self.last_error,
            may_have_run=sorted(self.sends.receivers()),
            seconds=round(time.monotonic() - began, 3),
            record=round(self.choice.records[host.name].failed, 2),
        )  # fmt: skip
        return None

    def _accept(self, host: Host, answer: Answer) -> Answer | None:
        """Return an answer that is final; keep a retryable error as `failure` and return None."""
        if self.admitted.route.repeat != Repeat.SAFE:
            return answer
        if answer.status < SERVER_ERROR and answer.status not in NOT_EXECUTED_STATUSES:
            return answer
        self.failure = answer
        self.last_error = f"{host.name} answered {answer.status}"
        self.tried.add(host.name)
        return None

    async def _send(self, host: Host) -> Answer:
        left = self.admitted.time_left()
        dispatch = Dispatch(host, left, self.admitted.account_name)
        may_try_another = self._may_run_more(self.admitted.route.max_engines - 1)
        limit = left * FIRST_ATTEMPT_FRACTION if may_try_another else left
        call = self.admitted.call
        async with self.guard.watch_run(host) as run:
            exchange = await open_call(self.codec, self.notices, call, dispatch, limit, self.sends)
            run.record_activity()
            body = await read_body(exchange, self.reservation, self.admitted.time_left())
            run.record_answer(exchange.status)
        headers = self.codec.answer_headers(exchange.headers)
        return Answer(exchange.status, headers, body)

    def _may_run_more(self, max_engines: int) -> bool:
        """Return True if the request may run on a further server, `max_engines` in all."""
        is_repeatable = self.admitted.route.repeat == Repeat.SAFE
        return is_repeatable and len(self.sends.receivers()) < max_engines

    def _refusal(self) -> RequestRefused:
        if self.sends.may_have_run():
            late = self.admitted.time_left() <= 0
            return RequestRefused(504 if late else 502, "answer_lost", self.last_error, Ran.UNKNOWN)
        self.admitted.check_begin()
        allowed = [host for host in self.servers() if self.admitted.may_go_to(host)]
        refusal = no_opening_refusal(self.notices, allowed, self.admitted.time_left())
        if refusal is not None:
            return refusal
        why = self.last_error or "no server of the service that may serve it takes work"
        return RequestRefused(503, "no_server", why, retry_after=RETRY_AFTER)
