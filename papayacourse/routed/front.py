"""The HTTP server for callers: counts requests, bounds them while stopping, logs outcomes."""

import asyncio
import time
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field
from tornado.httputil import HTTPServerConnectionDelegate

from papayacourse import logs
from papayacourse.exceptions import RequestRefused, StopExpired
from papayacourse.lifecycle import UNREAD
from papayacourse.metrics import Metrics
from papayacourse.quarantine import QUARANTINED
from papayacourse.routed.admitted import STOPPING_RETRY_AFTER
from papayacourse.routed.document import CallerLimits
from papayacourse.routed.documents import Documents
from papayacourse.routed.exchange import CallerDisconnected, Exchange, ExchangeOwner, shown_request
from papayacourse.routed.generation import Generation, StreamBroken
from papayacourse.routed.outcome import Outcome
from papayacourse.routed.relayedexchange import RelayedExchange
from papayacourse.routed.relaying import RelayBroken
from papayacourse.routed.router import Router
from papayacourse.stopdeadline import StopDeadline
from papayacourse.types import Ran

MAX_LOGGED_PARTS = 8  # of a prompt, in the log line of its request


@define(eq=False)
class Frontend(ExchangeOwner, HTTPServerConnectionDelegate):
    """The HTTP server for callers' requests.

    Attributes
    ----------
    router : Router
        Answers each request.
    busy : Counter of str
        Number of requests in progress, by kind.
    stop : StopDeadline
        The time that a planned stop leaves for requests.
    body_room : int
        Limit on the bodies of all requests in progress, in bytes.
    idle : asyncio.Event
        Set when the last request in progress ends.
    reading : set of Exchange
        The requests whose headers have come and whose bodies have not.
    """

    documents: Documents
    router: Router
    metrics: Metrics
    stop: StopDeadline
    body_room: int
    body_bytes: int = 0
    busy: Counter = field(factory=Counter)
    idle: asyncio.Event = field(factory=asyncio.Event)
    tasks: set[asyncio.Task] = field(factory=set)
    reading: set[Exchange] = field(factory=set)

    def __attrs_post_init__(self) -> None:
        self.stop.on_expire = self._refuse_unread

    # The ExchangeOwner interface.

    def limits(self) -> CallerLimits:
        """Return the size limits on callers' requests."""
        document = self.documents.current
        return document.limits if document else CallerLimits()

    def request_id(self, exchange: Exchange) -> str:
        """Return the request id that the caller gave."""
        return logs.request()

    def closing(self) -> bool:
        """Return True if connections are closed after their next response."""
        return self.stop.asked_at is not None

    def begin_reading(self, exchange: Exchange) -> None:
        """Count a request whose headers have come as one in progress."""
        self.reading.add(exchange)
        self._count(UNREAD, 1)

    def end_reading(self, exchange: Exchange) -> None:
        """Count a request no longer as unread: its body has come, or will not be read."""
        if exchange in self.reading:
            self.reading.discard(exchange)
            self._count(UNREAD, -1)

    # Called by tornado.

    def start_request(self, _server_connection, request_connection) -> Exchange:
        """Return the exchange for the next request on a connection."""
        return Exchange(self, request_connection)

    def on_close(self, server_connection) -> None:
        """Ignore the end of a connection; each exchange watches for it itself."""

    # Request handling.

    def begin(self, exchange: Exchange) -> asyncio.Task:
        """Start a task that serves a request whose body is complete."""
        task = asyncio.create_task(self._serve(exchange))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    @contextmanager
    def in_progress(self, kind: str) -> Iterator[None]:
        """Count a request of some kind while it is in progress."""
        self._count(kind, 1)
        try:
            yield
        finally:
            self._count(kind, -1)

    def _count(self, kind: str, change: int) -> None:
        self.busy[kind] += change
        if self.busy.total():
            self.idle.clear()
        else:
            self.idle.set()

    def _refuse_unread(self) -> None:
        """Refuse the requests whose bodies have not come when a planned stop ends."""
        for exchange in list(self.reading):
            logs.info("body not read", **self.stop.log_fields())
            exchange.refuse_unread(
                503, "stopping", "the daemon stops, and the body has not come",
                STOPPING_RETRY_AFTER,
            )  # fmt: skip

    def begin_relayed(self, exchange: RelayedExchange) -> asyncio.Task:
        """Start a task that serves a request which another daemon relays."""
        return asyncio.create_task(self._serve_relayed(exchange))

    async def _serve_relayed(self, exchange: RelayedExchange) -> None:
        size = len(exchange.body)
        self.body_bytes += size
        try:
            with self.in_progress("relayed requests"):
                exchange.task = self.begin(exchange)
                await exchange.send_parts()
                await asyncio.wait([exchange.task])
        finally:
            self.body_bytes -= size

    async def _serve(self, exchange: Exchange | RelayedExchange) -> None:
        outcome = Outcome(exchange.received_at)
        with self.in_progress("requests"):
            self.end_reading(exchange)
            try:
                with self.stop.bound():
                    await self.router.answer(exchange, outcome)
            except StopExpired as expired:
                await self._end_at_stop(exchange, outcome, str(expired))
            except RequestRefused as error:
                refused = exchange.sends.corrected(as_not_executed(error))
                outcome.record_refusal(refused)
                await self._refuse(exchange, refused)
            except (StreamBroken, RelayBroken) as broken:
                outcome.end, outcome.why = "cut", str(broken)
                exchange.abort()
            except (CallerDisconnected, asyncio.CancelledError):
                outcome.end = "caller gone"
                exchange.abort()
            except Exception as error:
                logs.failure("request failed", error)
                outcome.end, outcome.why = "failed", repr(error)
                await self._fail(exchange)
            finally:
                exchange.release()
                self._log_outcome(exchange, outcome)

    async def _end_at_stop(self, exchange: Exchange, outcome: Outcome, why: str) -> None:
        """End a request for which a planned stop leaves no time."""
        if exchange.caller_gone:
            outcome.end = "caller gone"
            exchange.abort()
            return
        if exchange.done:
            outcome.end = "answered"
            return
        if exchange.head_written:
            outcome.end, outcome.why = "cut", why
            exchange.abort()
            return
        refused = RequestRefused(503, "stopping", why, retry_after=STOPPING_RETRY_AFTER)
        if exchange.sends.may_have_run():
            refused = RequestRefused(504, "stopping", why, Ran.UNKNOWN)
        outcome.record_refusal(refused)
        await self._refuse(exchange, refused)

    async def _refuse(self, exchange: Exchange, refused: RequestRefused) -> None:
        try:
            await exchange.refuse(refused)
        except (CallerDisconnected, asyncio.CancelledError):
            exchange.abort()

    async def _fail(self, exchange: Exchange) -> None:
        if exchange.head_written:
            exchange.abort()
            return
        await self._refuse(
            exchange, RequestRefused(500, "internal", "an error of ours; it is logged", Ran.UNKNOWN)
        )

    def _log_outcome(self, exchange: Exchange, outcome: Outcome) -> None:
        """Log and count the outcome of a request; called once for each."""
        seconds = time.monotonic() - outcome.received_at
        age = self.documents.age()
        admitted = outcome.admitted
        route = admitted.route.name if admitted else ""
        account = admitted.account_name if admitted else ""
        self.metrics.requests.add(1, {"route": route, "account": account, "end": outcome.end})
        self.metrics.request_time.record(seconds, {"route": route, "account": account})
        if outcome.generation is not None:
            self._record_longest_gap(outcome.generation, route, account)
        logs.info(
            "request ended", end=outcome.end, why=outcome.why, reason=outcome.reason,
            status=outcome.status, ran=outcome.ran, route=route, account=account,
            service=admitted.service if admitted else "",
            homes=admitted.homes().names() if admitted else None, seconds=round(seconds, 3),
            fingerprint=admitted.fingerprint if admitted else "",
            parts=admitted.part_names[:MAX_LOGGED_PARTS] if admitted else (),
            relayed_to=outcome.relayed_to,
            document=self.documents.version, document_age=None if age is None else round(age, 1),
            **outcome.stream_fields(), **self._refusal_fields(exchange, outcome),
            **self.stop.log_fields(),
        )  # fmt: skip

    def _refusal_fields(self, exchange: Exchange, outcome: Outcome) -> dict[str, str]:
        """Return what a refused request named, and where the document that was asked is from."""
        if outcome.end != "refused":
            return {}
        return shown_request(exchange) | {"document_from": self.documents.origin}

    def _record_longest_gap(self, generation: Generation, route: str, account: str) -> None:
        gaps = generation.gaps
        if gaps.cause is not None:
            labels = {"route": route, "account": account, "cause": gaps.cause}
            self.metrics.longest_gap.record(gaps.longest, labels)


def as_not_executed(refused: RequestRefused) -> RequestRefused:
    """Return a quarantine refusal with status 503, which means that the request did not run.

    Other refusals are returned unchanged.
    """
    if refused.reason != QUARANTINED:
        return refused
    return RequestRefused(503, refused.reason, refused.detail, refused.ran, refused.retry_after)
