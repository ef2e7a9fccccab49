"""Relays an engine's answer to the caller of a generation, event by event."""

import time

from attrs import define
from tornado.httputil import HTTPHeaders

from papayacourse.deaths import SERVER_ERROR, WatchedRun
from papayacourse.eventprogress import EventProgress
from papayacourse.framing import Framing
from papayacourse.httpcall import HttpCall
from papayacourse.routed.closedends import ClosedEnds
from papayacourse.routed.events import EventSplitter, is_next_event, is_older, position
from papayacourse.routed.generation import Generation
from papayacourse.routed.sending import BackendAnswerLost, read_body

STALL_TIMEOUT_GAPS = 8.0  # multiples of the route's max_gap; a longer silence means a lost engine
MIN_STALL_TIMEOUT = 2.0  # seconds; a sound engine may be silent for more than one
EXTRA_EVENTS = 16  # allowed in addition to one event per token


@define(eq=False)
class AnswerRelay:
    """Relays the answer of one engine.

    Attributes
    ----------
    call : HttpCall
        The exchange with the engine, whose head has been read.
    run : WatchedRun
        The run on the engine, watched for the engine's death.
    ends : ClosedEnds
        Checks a stream that ends with its connection.
    """

    generation: Generation
    call: HttpCall
    run: WatchedRun
    ends: ClosedEnds

    async def relay(self) -> None:
        """Relay the answer to its end.

        Raises
        ------
        BackendError
            When the answer is lost, or the request may run again elsewhere.
        """
        generation, call, run = self.generation, self.call, self.run
        run.record_activity()
        headers = generation.fleet.codec.answer_headers(call.headers)
        if call.status != 200:
            await self._relay_failure(headers)
            return
        generation.relayed, generation.framing = call, call.framing
        call.idle_timeout = self._stall_timeout()
        call.allows_silence = self._may_wait_for_stalled_engine
        splitter, event_progress = EventSplitter(), EventProgress(call.idle_timeout)
        events_before = generation.events
        async for chunk in call.chunks():
            run.record_output()
            before = generation.last_id
            for event in splitter.feed(chunk):
                await self._relay_event(headers, event)
            event_progress.record_data(len(chunk), generation.last_id != before)
        if splitter.buffer:
            raise BackendAnswerLost("the stream ended within an event")
        if call.framing is Framing.CLOSE:
            if generation.events == events_before:
                raise BackendAnswerLost("the stream ended before its first event")
            await self.ends.check(generation)
        if not generation.exchange.head_written:
            await generation.exchange.begin(200, headers)
        generation.exchange.end()
        run.record_answer(call.status)

    def _stall_timeout(self) -> float:
        """Return how long an engine may send nothing, in seconds."""
        admitted = self.generation.admitted
        if not self.generation.shape.moves:
            return max(0.01, admitted.time_left())
        return max(MIN_STALL_TIMEOUT, STALL_TIMEOUT_GAPS * admitted.route.max_gap)

    def _may_wait_for_stalled_engine(self) -> bool:
        """Return True if there is nothing to resume from and time is left.

        The engine may have paused the run in favor of others.
        """
        generation = self.generation
        moved = generation.pending_move is not None and generation.pending_move.done()
        return generation.copy is None and not moved and generation.admitted.time_left() > 0

    async def _relay_failure(self, headers: HTTPHeaders) -> None:
        """Relay an error response.

        Raises BackendAnswerLost if the stream has begun or the request may run again elsewhere.
        """
        generation, call = self.generation, self.call
        if generation.exchange.head_written or (
            call.status >= SERVER_ERROR and generation.may_restart()
        ):
            raise BackendAnswerLost(f"{generation.engine.name} answered {call.status}")
        generation.exchange.sends.check_status(call.status)
        with generation.fleet.answers.reservation() as reservation:
            body = await read_body(call, reservation, generation.admitted.time_left())
            await generation.exchange.answer(call.status, headers, body)

    async def _relay_event(self, headers: HTTPHeaders, event: bytes) -> None:
        generation = self.generation
        event_id = position(generation.last_id, generation.fleet.codec.event_id(event))
        if event_id and not is_next_event(generation.last_id, event_id):
            if is_older(generation.last_id, event_id):
                return
            raise BackendAnswerLost(f"event {event_id} after {generation.last_id}")
        arrived_at, is_copying = time.monotonic(), generation.copy_lock.locked()
        if not generation.exchange.head_written:
            await generation.exchange.begin(200, headers, event)
        else:
            await generation.exchange.write(event)
        gap = generation.gaps.record_event(arrived_at, time.monotonic(), is_copying)
        if not generation.events:
            generation.first_at = time.monotonic()
            generation.fleet.note_first_event(generation.admitted)
        generation.events += 1
        max_tokens = generation.request.max_tokens
        if generation.admitted.call.prompt and generation.events > max_tokens + EXTRA_EVENTS:
            raise BackendAnswerLost(f"more than {max_tokens} tokens came")
        generation.last_id = event_id or generation.last_id
        generation.fleet.placement.progress(
            generation.request, generation.engine.name, generation.generated, gap
        )
