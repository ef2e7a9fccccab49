"""One call of a plain service: which server, and whether it may be sent again."""

import time

from attrs import define, field
from tornado.httputil import HTTPHeaders

from papayacourse import logs
from papayacourse.answermemory import AnswerReservation
from papayacourse.deaths import SERVER_ERROR, RequestGuard
from papayacourse.exceptions import BackendGone, BackendUnreachable, RequestRefused
from papayacourse.routed.admitted import Admitted
from papayacourse.routed.budget import FleetBudget
from papayacourse.routed.choice import ServerChoice
from papayacourse.routed.document import Repeat
from papayacourse.routed.notices import EngineNotices
from papayacourse.routed.seams import Dispatch, RequestCodec
from papayacourse.routed.sending import (
    BackendAnswerLost,
    NotRun,
    left_alone,
    open_call,
    read_whole,
    refuse_false_promise,
)
from papayacourse.types import Host, Ran

MAX_SENDS = 4  # servers tried for one request, but those where nobody listens
FIRST_TRY = 0.5  # part of the time left after which a repeatable request is sent elsewhere
RETRY_AFTER = 0.3  # seconds; a place comes free in much less


@define
class Answer:
    """An engine's whole answer."""

    status: int
    headers: HTTPHeaders
    body: bytes


@define(eq=False)
class PlainCall:
    """Sends one request until it has an answer or none can be had.

    Attributes
    ----------
    share : AnswerReservation
        The room for its answer.
    ran : set of str
        The servers that may have run it.
    tried : set of str
        The servers not to be tried again.
    sends : int
        How often it was tried to send it to a server that may be there.
    arrived : bool
        Whether it has come to any server, so that sending it again is a repeat.
    failure : Answer or None
        A server's own failure, which is the answer if no other can be had.
    """

    admitted: Admitted
    codec: RequestCodec
    choice: ServerChoice
    notices: EngineNotices
    guard: RequestGuard
    budget: FleetBudget
    hosts: list[Host]
    reservation: AnswerReservation
    ran: set[str] = field(factory=set)
    tried: set[str] = field(factory=set)
    sends: int = 0
    arrived: bool = False
    failure: Answer | None = None
    lost: str = ""

    async def run(self) -> Answer:
        """Return the answer; raises RequestRefused when there is none."""
        while self.sends < MAX_SENDS:
            hosts = filter(self.notices.takes_work, self.hosts)
            host = self.choice.choose(hosts, self.tried, self._suspect())
            if host is None or (self.tried and not self._may_send_again()):
                break
            answer = await self._try(host)
            if answer is not None:
                return answer
        if self.failure is not None:
            return self.failure
        raise self._refusal()

    def _suspect(self) -> str:
        """Return the request's fingerprint if a server has ended under it, else nothing."""
        return self.guard.fingerprint if self.guard.is_struck() else ""

    def _may_send_again(self) -> bool:
        route = self.admitted.route
        if self.admitted.time_left() <= 0:
            return False
        if self.ran and (route.repeat != Repeat.SAFE or len(self.ran) >= route.max_engines):
            return False
        if self.guard.is_condemned():
            return False
        return not self.arrived or self.budget.take(self.admitted.service, self.lost)

    async def _try(self, host: Host) -> Answer | None:
        """Send the request to one server; None when it may be sent to another."""
        record = self.choice.records[host.name]
        record.running += 1
        self.sends += 1
        failed = True
        began = time.monotonic()
        try:
            answer = await self._send(host)
            self.arrived, failed = True, False
            return self._judge(host, answer)
        except BackendUnreachable as error:
            self.lost = str(error)
            if isinstance(error, BackendGone):
                self.sends -= 1
                record.gone()
        except NotRun as error:
            self.arrived = True
            self.lost = str(error)
        except BackendAnswerLost as error:
            self.arrived = True
            self.ran.add(host.name)
            self.lost = str(error)
        finally:
            record.running -= 1
            record.note(failed, time.monotonic())
        self.tried.add(host.name)
        logs.info(
            "send failed", server=host.name, why=self.lost, may_have_run=sorted(self.ran),
            seconds=round(time.monotonic() - began, 3), record=round(record.failed, 2),
        )  # fmt: skip
        return None

    def _judge(self, host: Host, answer: Answer) -> Answer | None:
        """Return an answer that can be passed on, or keep it while another server may do better."""
        self.ran.add(host.name)
        if answer.status < SERVER_ERROR:
            return answer
        if self.admitted.route.repeat != Repeat.SAFE:
            refuse_false_promise(answer.status)
            return answer
        self.failure = answer
        self.lost = f"{host.name} answered {answer.status}"
        self.tried.add(host.name)
        return None

    async def _send(self, host: Host) -> Answer:
        left = self.admitted.time_left()
        dispatch = Dispatch(host, left, self.admitted.account_name)
        limit = left * FIRST_TRY if self._has_second_try() else left
        call = self.admitted.call
        async with self.guard.watch_run(host) as run:
            exchange = await open_call(self.codec, self.notices, call, dispatch, limit)
            run.record_activity()
            body = await read_whole(exchange, self.reservation, self.admitted.time_left())
            run.record_answer(exchange.status)
        headers = self.codec.answer_headers(exchange.headers)
        return Answer(exchange.status, headers, body)

    def _has_second_try(self) -> bool:
        route = self.admitted.route
        return route.repeat == Repeat.SAFE and len(self.ran) + 1 < route.max_engines

    def _refusal(self) -> RequestRefused:
        if self.ran:
            late = self.admitted.time_left() <= 0
            return RequestRefused(504 if late else 502, "answer_lost", self.lost, Ran.UNKNOWN)
        pause = self.notices.earliest(self.hosts)
        if pause is not None:
            return left_alone(pause)
        why = self.lost or "no server of the service is listed"
        return RequestRefused(503, "no_server", why, retry_after=RETRY_AFTER)
