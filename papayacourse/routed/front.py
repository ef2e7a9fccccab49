"""Serves callers' requests: admits each one, dispatches it, and logs its outcome."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from attrs import define, field
from tornado.httputil import HTTPServerConnectionDelegate

from papayacourse import logs
from papayacourse.exceptions import RequestRefused, StopExpired
from papayacourse.lifecycle import UNREAD
from papayacourse.metrics import Metrics
from papayacourse.quarantine import QUARANTINED, fingerprint
from papayacourse.requestguard import RequestGuard
from papayacourse.routed.admitted import STOPPING_RETRY_AFTER, AdmittedRequest, admit
from papayacourse.routed.choice import ServerChoice
from papayacourse.routed.derived import TEAM
from papayacourse.routed.document import CallerLimits, EngineCapacity, Repeat, Service
from papayacourse.routed.documents import Documents
from papayacourse.routed.evacuation import Evacuation
from papayacourse.routed.exchange import CallerDisconnected, Exchange, ExchangeOwner
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.generation import Generation, StreamBroken
from papayacourse.routed.plaincall import PlainCall
from papayacourse.routed.relayedexchange import RelayedExchange
from papayacourse.routed.relaying import RelayBroken, Relaying
from papayacourse.routed.seams import Prompt
from papayacourse.routed.worktimes import WorkTimes
from papayacourse.stopdeadline import SPARE, StopDeadline
from papayacourse.types import GenerationRequest, Ran

SHORT_OUTPUT = 100  # tokens; an answer this short completes within a planned stop
PREFIX_HASH_BITS = 63
RELAY_SLACK = 0.2  # seconds; the daemon that serves a relayed request answers at its deadline
FINAL_REASONS = frozenset({QUARANTINED, "stopping"})  # of refusals that hold at any daemon
MAX_LOGGED_PARTS = 8  # of a prompt, in the log line of its request


@define(eq=False)
class Frontend(ExchangeOwner, HTTPServerConnectionDelegate):
    """The HTTP server for callers' requests.

    Attributes
    ----------
    relaying : Relaying
        Serves requests through other daemons; set by the daemon.
    busy : Counter of str
        Number of requests in progress, by kind.
    work_times : WorkTimes
        How long requests of each route have lately taken.
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
    fleet: FleetView
    choice: ServerChoice
    evacuation: Evacuation
    relaying: Relaying = field(init=False)
    metrics: Metrics
    stop: StopDeadline
    body_room: int
    body_bytes: int = 0
    work_times: WorkTimes = field(factory=WorkTimes)
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
                    await self._answer(exchange, outcome)
            except StopExpired as expired:
                await self._end_at_stop(exchange, outcome, str(expired))
            except RequestRefused as error:
                refused = as_not_executed(error)
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

    async def _end_at_stop(self, exchange: Exchange, outcome: "Outcome", why: str) -> None:
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
        if outcome.may_have_run():
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

    async def _answer(self, exchange: Exchange, outcome: "Outcome") -> None:
        headers = exchange.headers
        call = self.fleet.codec.read(exchange.method, exchange.target, headers, exchange.body)
        logs.bind(call.request_id)
        admitted = admit(self.documents.current, call, outcome.received_at)
        outcome.admitted = admitted
        admitted.may_begin = lambda: self._may_begin(admitted)
        admitted.check_begin()
        guard = RequestGuard(
            self.fleet.deaths, self.fleet.answers, admitted.fingerprint, admitted.shared_parts
        )
        guard.check()
        if self.relaying.is_needed(exchange):
            await self._relay(exchange, outcome)
            return
        try:
            await self._serve_here(exchange, outcome, guard)
        except RequestRefused as refused:
            if not self._may_relay_refused(exchange, refused):
                raise
            logs.info("relayed after a refusal", reason=refused.reason, why=str(refused))
            await self._relay(exchange, outcome)

    def _may_relay_refused(self, exchange: Exchange, refused: RequestRefused) -> bool:
        """Return True if another daemon may serve a request that was refused here."""
        is_temporary = refused.status == 503 and refused.reason not in FINAL_REASONS
        return is_temporary and refused.ran is Ran.NO and self.relaying.is_needed(exchange)

    async def _relay(self, exchange: Exchange, outcome: "Outcome") -> None:
        admitted = outcome.admitted
        outcome.may_have_run = lambda: True
        may_repeat = admitted.route.repeat == Repeat.SAFE
        try:
            async with asyncio.timeout(max(0.0, admitted.time_left()) + RELAY_SLACK):
                with self.work_times.record(admitted):
                    outcome.relayed_to = await self.relaying.relay(exchange, may_repeat)
        except TimeoutError as error:
            if exchange.head_written:
                raise RelayBroken("deadline of the request exceeded") from error
            raise RequestRefused(504, "too_late", "no answer in time", Ran.UNKNOWN) from error
        outcome.end = "relayed"

    async def _serve_here(
        self, exchange: Exchange | RelayedExchange, outcome: "Outcome", guard: RequestGuard
    ) -> None:
        admitted = outcome.admitted
        self.fleet.budget.record_request(admitted.service)
        service = self.documents.current.services.get(admitted.service)
        if admitted.route.repeat == Repeat.STREAM and service and service.engine:
            self._refuse_while_stopping(admitted)
            await self._generate(exchange, outcome, service, guard)
            outcome.end = "streamed"
        else:
            await self._call(exchange, outcome, guard)
            outcome.end = "answered"

    def _may_begin(self, admitted: AdmittedRequest) -> bool:
        """Return True unless a planned stop leaves too little time to serve a request."""
        if not self.closing():
            return True
        return self.work_times.expected(admitted) + SPARE <= self.stop.time_left()

    def _refuse_while_stopping(self, admitted: AdmittedRequest) -> None:
        """Refuse a long generation while stopping, so that the caller retries at another daemon.

        The stop would cut it off here.
        """
        prompt = admitted.call.prompt
        if self.closing() and prompt is not None and prompt.max_output > SHORT_OUTPUT:
            raise RequestRefused(
                503, "stopping", "this daemon stops", retry_after=STOPPING_RETRY_AFTER
            )

    async def _call(self, exchange: Exchange, outcome: "Outcome", guard: RequestGuard) -> None:
        admitted = outcome.admitted
        hosts = list(self.fleet.servers(admitted.service))
        with guard.answers.reservation() as reservation:
            call = PlainCall(
                admitted, self.fleet.codec, self.choice, self.fleet.notices, self.fleet.limiter,
                guard, self.fleet.budget, hosts, reservation,
            )  # fmt: skip
            outcome.may_have_run = call.may_have_run
            with self.work_times.record(admitted):
                answer = await call.run()
            await exchange.answer(answer.status, answer.headers, answer.body)

    async def _generate(
        self, exchange: Exchange, outcome: "Outcome", service: Service, guard: RequestGuard
    ) -> None:
        admitted = outcome.admitted
        refuse_too_large(admitted.call.prompt, service.engine)
        request = generation_request(admitted)
        generation = Generation(admitted, exchange, self.fleet, request, service.engine, guard)
        outcome.generation = generation
        outcome.may_have_run = generation.may_have_run
        self.evacuation.running.add(generation)
        try:
            await generation.run()
        finally:
            self.evacuation.ended(generation)

    def _log_outcome(self, exchange: Exchange, outcome: "Outcome") -> None:
        """Log and count the outcome of a request; called once for each."""
        seconds = time.monotonic() - outcome.received_at
        age = self.documents.age()
        admitted = outcome.admitted
        route = admitted.route.name if admitted else ""
        account = admitted.account_name if admitted else ""
        self.metrics.requests.add(1, {"route": route, "account": account, "end": outcome.end})
        self.metrics.request_time.record(seconds, {"route": route, "account": account})
        logs.info(
            "request ended", end=outcome.end, why=outcome.why, reason=outcome.reason,
            status=outcome.status, ran=outcome.ran, route=route, account=account,
            service=admitted.service if admitted else "", seconds=round(seconds, 3),
            fingerprint=admitted.fingerprint if admitted else "",
            parts=admitted.part_names[:MAX_LOGGED_PARTS] if admitted else (),
            relayed_to=outcome.relayed_to,
            document=self.documents.version, document_age=None if age is None else round(age, 1),
            **outcome.stream_fields(), **self.stop.log_fields(),
        )  # fmt: skip


@define
class Outcome:
    """The outcome of a request, for its log line."""

    received_at: float
    admitted: AdmittedRequest | None = None
    end: str = ""
    why: str = ""
    reason: str = ""
    status: int = 0
    ran: str = ""
    relayed_to: str = ""
    generation: Generation | None = None
    may_have_run: Callable[[], bool] = lambda: False

    def stream_fields(self) -> dict[str, object]:
        """Return the log fields of a streamed generation; empty for other requests."""
        generation = self.generation
        if generation is None:
            return {}
        waited = generation.first_at - self.received_at if generation.events else None
        return {
            "engine": generation.engine.name if generation.engine else "",
            "events": generation.events,
            "first_event": None if waited is None else round(waited, 3),
            "resumes": generation.resumes,
        }

    def record_refusal(self, refused: RequestRefused) -> None:
        """Record the refusal that is sent to the caller."""
        self.end, self.why, self.reason = "refused", str(refused), refused.reason
        self.status, self.ran = refused.status, str(refused.ran)


def as_not_executed(refused: RequestRefused) -> RequestRefused:
    """Return a quarantine refusal with status 503, which means that the request did not run.

    Other refusals are returned unchanged.
    """
    if refused.reason != QUARANTINED:
        return refused
    return RequestRefused(503, refused.reason, refused.detail, refused.ran, refused.retry_after)


def refuse_too_large(prompt: Prompt | None, capacity: EngineCapacity) -> None:
    """Refuse a prompt that no engine of its service has the memory for.

    Engines would reject it, and each that is asked would count as busy with it meanwhile.
    """
    if prompt is not None and prompt.tokens > capacity.memory_tokens > 0:
        raise RequestRefused(
            503, "too_large", f"the prompt has over {capacity.memory_tokens} tokens, all of an "
            "engine's memory",
        )  # fmt: skip


def generation_request(admitted: AdmittedRequest) -> GenerationRequest:
    """Return the request as the schedulers see it."""
    call, prompt = admitted.call, admitted.call.prompt or Prompt("", 0, 1)
    return GenerationRequest(
        stream=call.request_id,
        team=TEAM,
        service=admitted.service,
        account=admitted.account_name,
        prompt="",
        prompt_tokens=prompt.tokens,
        max_tokens=max(1, prompt.max_output),
        priority=-admitted.rank,
        prefixes=prefix_hashes(prompt),
        fingerprint=admitted.fingerprint,
    )


def prefix_hashes(prompt: Prompt) -> tuple[int, ...]:
    """Return a hash for each prefix of a prompt that ends at a part boundary."""
    found, text = [], prompt.model
    for part in prompt.parts:
        text = f"{text}/{part.name}:{part.tokens}"
        digest = fingerprint("", "", text)
        found.append(int(digest[:16], 16) & ((1 << PREFIX_HASH_BITS) - 1))
    return tuple(found)
