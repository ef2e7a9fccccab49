"""Routes callers' requests: to servers of their services, or through another daemon."""

import asyncio
from functools import partial

from attrs import define, field

from papayacourse import logs
from papayacourse.exceptions import RequestRefused
from papayacourse.quarantine import QUARANTINED
from papayacourse.requestguard import RequestGuard
from papayacourse.routed.admitted import STOPPING_RETRY_AFTER, AdmittedRequest, admit
from papayacourse.routed.choice import ServerChoice
from papayacourse.routed.closedends import ClosedEnds
from papayacourse.routed.document import Repeat, Service
from papayacourse.routed.documents import Documents
from papayacourse.routed.exchange import Exchange
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.generation import Generation
from papayacourse.routed.generationrequest import generation_request, refuse_too_large
from papayacourse.routed.migration.supervisor import RunSupervisor
from papayacourse.routed.outcome import Outcome
from papayacourse.routed.plaincall import PlainCall
from papayacourse.routed.relayedexchange import RelayedExchange
from papayacourse.routed.relaying import RelayBroken, Relaying
from papayacourse.routed.requesttarget import with_named_target
from papayacourse.routed.streamedcall import StreamedCall
from papayacourse.routed.worktimes import WorkTimes
from papayacourse.stopdeadline import SPARE, StopDeadline
from papayacourse.types import Ran

SHORT_OUTPUT = 100  # tokens; an answer this short completes within a planned stop
RELAY_SLACK = 0.2  # seconds; the daemon that serves a relayed request answers at its deadline
FINAL_REASONS = frozenset({QUARANTINED, "stopping"})  # of refusals that hold at any daemon


@define(eq=False)
class Router:
    """Admits each request, and sends it to a plain service, to engines or to another daemon.

    Attributes
    ----------
    stop : StopDeadline
        The time that a planned stop leaves for requests.
    relaying : Relaying
        Serves requests through other daemons; set by the daemon.
    work_times : WorkTimes
        How long requests of each route have lately taken.
    closed_ends : ClosedEnds
        Checks streams that end with their connections.
    place_by_pace : bool
        Whether generations are placed by the pace of engines; see docs/design/engine-pace.md.
    """

    documents: Documents
    fleet: FleetView
    choice: ServerChoice
    supervisor: RunSupervisor
    stop: StopDeadline
    relaying: Relaying = field(init=False)
    work_times: WorkTimes = field(factory=WorkTimes)
    closed_ends: ClosedEnds = field(factory=ClosedEnds)
    place_by_pace: bool = False

    async def answer(self, exchange: Exchange | RelayedExchange, outcome: Outcome) -> None:
        """Answer a request; records in its outcome what became of it.

        Raises
        ------
        RequestRefused
            When it is refused, and nothing of an answer was sent.
        StreamBroken, RelayBroken
            When its answer has broken off.
        """
        headers = exchange.headers
        call = self.fleet.codec.read(exchange.method, exchange.target, headers, exchange.body)
        logs.bind(call.request_id)
        call = with_named_target(call)
        admitted = admit(self.documents.current, call, outcome.received_at)
        outcome.admitted = admitted
        admitted.may_begin = lambda: self._may_begin(admitted)
        admitted.document_in_force = lambda: self.documents.current
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
        has_run = refused.ran is not Ran.NO or exchange.sends.may_have_run()
        return is_temporary and not has_run and self.relaying.is_needed(exchange)

    async def _relay(self, exchange: Exchange, outcome: Outcome) -> None:
        admitted = outcome.admitted
        may_repeat = admitted.route.repeat == Repeat.SAFE
        try:
            async with asyncio.timeout(max(0.0, admitted.time_left()) + RELAY_SLACK):
                with self.work_times.record(admitted):
                    outcome.relayed_to = await self.relaying.relay(
                        exchange, may_repeat, admitted.homes()
                    )
        except TimeoutError as error:
            if exchange.head_written:
                raise RelayBroken("deadline of the request exceeded") from error
            raise RequestRefused(504, "too_late", "no answer in time", Ran.UNKNOWN) from error
        outcome.end = "relayed"

    async def _serve_here(
        self, exchange: Exchange | RelayedExchange, outcome: Outcome, guard: RequestGuard
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

    async def _call(self, exchange: Exchange, outcome: Outcome, guard: RequestGuard) -> None:
        admitted = outcome.admitted
        servers = partial(self.fleet.servers, admitted.service)
        with guard.answers.reservation() as reservation:
            call = PlainCall(
                admitted, self.fleet.codec, self.choice, self.fleet.notices, self.fleet.limiter,
                guard, self.fleet.budget, servers, reservation, exchange.sends,
            )  # fmt: skip
            with self.work_times.record(admitted):
                answer = await call.run()
            await exchange.answer(answer.status, answer.headers, answer.body)

    async def _generate(
        self, exchange: Exchange, outcome: Outcome, service: Service, guard: RequestGuard
    ) -> None:
        admitted = outcome.admitted
        refuse_too_large(admitted.call.prompt, service.engine)
        request = generation_request(admitted, service.engine.event_tokens, self.place_by_pace)
        generation = Generation(admitted, exchange, self.fleet, request, service.engine, guard)
        outcome.generation = generation
        self.supervisor.running.add(generation)
        try:
            await StreamedCall(generation, self.closed_ends).run()
        finally:
            self.supervisor.ended(generation)

    # Planned stops.

    def _is_stopping(self) -> bool:
        """Return True if the daemon has been asked to stop."""
        return self.stop.asked_at is not None

    def _may_begin(self, admitted: AdmittedRequest) -> bool:
        """Return True unless a planned stop leaves too little time to serve a request."""
        if not self._is_stopping():
            return True
        return self.work_times.expected(admitted) + SPARE <= self.stop.time_left()

    def _refuse_while_stopping(self, admitted: AdmittedRequest) -> None:
        """Refuse a long generation while stopping, so that the caller retries at another daemon.

        The stop would cut it off here.
        """
        prompt = admitted.call.prompt
        if self._is_stopping() and prompt is not None and prompt.max_output > SHORT_OUTPUT:
            raise RequestRefused(
                503, "stopping", "this daemon stops", retry_after=STOPPING_RETRY_AFTER
            )
