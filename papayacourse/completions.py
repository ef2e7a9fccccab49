"""Handlers of the OpenAI API: completions, streamed or whole, and the list of models."""

import asyncio
import json
import secrets
from contextlib import aclosing

from attrs import evolve
from tornado.iostream import StreamClosedError

from papayacourse import chat, joins, problems
from papayacourse.catalog import Client, may_use
from papayacourse.cursor import Cursor
from papayacourse.engines import End, Token
from papayacourse.exceptions import RequestRefused, StopExpired
from papayacourse.framing import HTTP_1_0
from papayacourse.quarantine import fingerprint
from papayacourse.settings import ServiceSettings
from papayacourse.stopdeadline import EXPIRED
from papayacourse.streams import Relay
from papayacourse.types import GenerationRequest, HostKind, Ran
from papayacourse.web import Handler


class GenerationHandler(Handler):
    """Base class of the handlers that relay a generation."""

    def initialize(self, daemon) -> None:
        """Set the daemon (called by tornado)."""
        super().initialize(daemon)
        self.relay: Relay | None = None
        self.service_settings: ServiceSettings | None = None
        self.task: asyncio.Task | None = None
        self.resumable = False
        self.is_stream = False

    def finish(self, chunk=None) -> asyncio.Future[None]:
        """End the answer, and with it the connection if nothing else tells the caller its end."""
        sent = super().finish(chunk)
        if self.is_stream and self.request.version == HTTP_1_0:
            # Tornado would keep the connection of a caller who asks for that.
            link = self.request.connection.stream
            sent.add_done_callback(lambda _: link.close())
        return sent

    async def send_events(self, events, answer_format: chat.AnswerFormat, streamed: bool) -> None:
        """Answer with a generation's events; hold the generation if the caller disconnects."""
        self.task = asyncio.current_task()
        try:
            async with aclosing(events):
                if streamed:
                    await self._send_stream(events, answer_format)
                else:
                    await self._send_whole(events, answer_format)
        except (StreamClosedError, asyncio.CancelledError):
            # A stream without a cursor or a key cannot be resumed.
            window = self.service_settings.resume_window if self.resumable else 0.0
            self.daemon.hold(self.relay, window)
            self._break_off_at_stop()
            raise

    def _break_off_at_stop(self) -> None:
        """End a stream that has begun with an error event if a planned stop ends it."""
        deadline = self.daemon.lifecycle.deadline
        if deadline.is_expired and self._headers_written and not self._finished:
            self._end_with_error(self.stop_refusal(StopExpired(EXPIRED, has_begun=True)))
            self.finish()

    def may_have_run(self) -> bool:
        """Return True unless it is certain that no engine has begun the generation."""
        if self.request.headers.get("Last-Event-ID"):
            # Another daemon may have started it.
            return True
        return self.relay is not None and self.relay.may_have_run()

    def refuse(self, refused: RequestRefused) -> None:
        """Write a refusal, which never claims that a resumed generation did not run."""
        if self.request.headers.get("Last-Event-ID") and refused.ran == Ran.NO:
            # Another daemon may have started it without this one knowing yet.
            refused.ran = Ran.UNKNOWN
        super().refuse(refused)

    def on_connection_close(self) -> None:
        """Stop relaying to a disconnected caller (called by tornado)."""
        super().on_connection_close()
        if self.task is not None:
            self.task.cancel()

    def resume(self, client: Client, cursor: Cursor):
        """Return the remaining events of a cursor's stream and the answer format."""
        generation = GenerationRequest(
            cursor.stream,
            client.team,
            cursor.service,
            client.name,
            "",
            cursor.prompt_tokens,
            cursor.max_tokens,
            client.settings.priority,
            fingerprint=cursor.fingerprint,
        )
        self.relay = self._relay(generation)
        self.resumable = True
        events = self.relay.resume_from(cursor.engine, cursor.address, cursor.run_id, cursor.offset)
        answer_format = chat.AnswerFormat(
            cursor.chat,
            cursor.service,
            generation.stream,
            cursor.created,
            generation.prompt_tokens,
            cursor.include_usage,
            "",
        )
        return events, answer_format

    def _relay(self, generation: GenerationRequest, join: bool = False) -> Relay:
        budget = self.daemon.retries.budget_for(
            generation.team, generation.service, self.service_settings
        )
        return Relay(
            generation,
            self.daemon.placement,
            self.service_settings.wait_limit,
            budget,
            self.daemon.quarantine,
            self.daemon.token_clock(generation),
            self.daemon.streams,
            join,
        )

    def _cursor(self, answer_format: chat.AnswerFormat) -> str:
        relay, generation = self.relay, self.relay.generation
        return self.daemon.signer.prefix(
            Cursor(
                f"{generation.team}/{generation.account}",
                generation.service,
                generation.stream,
                relay.engine,
                relay.address,
                generation.prompt_tokens,
                generation.max_tokens,
                answer_format.created,
                relay.run_id,
                answer_format.chat,
                answer_format.include_usage,
                generation.fingerprint,
            )
        )

    async def _send_stream(self, events, answer_format: chat.AnswerFormat) -> None:
        begun = False
        try:
            async for batch in events:
                if not begun:
                    begun = self.resumable = self.is_stream = True
                    answer_format = self._with_cursor(answer_format)
                    self.set_header("Content-Type", "text/event-stream")
                    self.set_header("Cache-Control", "no-store")
                    self.set_header("X-Request-Id", self.request_id)
                self.write(b"".join(map(answer_format.event, batch)))
                # Back-pressure: the engine link is not read while this waits.
                await self.flush()
                self.relay.clock.record_batch(batch)
        except RequestRefused as refused:
            if not begun:
                raise
            self._end_with_error(refused)
        await self.finish()

    def _end_with_error(self, refused: RequestRefused) -> None:
        """Write the event that ends a broken-off stream."""
        self.daemon.metrics.refusals.add(1, {"reason": refused.reason})
        self.write(problems.error_event(refused, self.request_id))

    def _with_cursor(self, answer_format: chat.AnswerFormat) -> chat.AnswerFormat:
        return evolve(
            answer_format, stream=self.relay.generation.stream, cursor=self._cursor(answer_format)
        )

    async def _send_whole(self, events, answer_format: chat.AnswerFormat) -> None:
        parts: list[str] = []
        reason = ""
        async for batch in events:
            self.relay.clock.record_batch(batch)
            for event in batch:
                match event:
                    case Token(text=text):
                        parts.append(text)
                    case End(reason=why):
                        reason = why
        answer_format = evolve(answer_format, stream=self.relay.generation.stream)
        self.set_header("Content-Type", "application/json")
        self.set_header("X-Request-Id", self.request_id)
        await self.finish(json.dumps(answer_format.whole("".join(parts), len(parts), reason)))


class Completions(GenerationHandler):
    """``POST /v1/chat/completions`` and ``POST /v1/completions``."""

    def initialize(self, daemon, is_chat: bool) -> None:
        """Set the daemon and the kind of completion (called by tornado)."""
        super().initialize(daemon)
        self.is_chat = is_chat

    async def post(self) -> None:
        """Serve, join or resume one generation."""
        client = self.client()
        parsed = chat.parse_completion_request(self.body(), self.is_chat)
        self.service_settings = self.service(client, parsed.model, HostKind.ENGINE)
        with self.daemon.in_progress(client):
            last = self.request.headers.get("Last-Event-ID")
            if last:
                cursor = self.daemon.signer.read(last, f"{client.team}/{client.name}")
                if cursor.service != parsed.model:
                    detail = f"Last-Event-ID is of a stream of {cursor.service!r}"
                    raise RequestRefused(400, "bad_cursor", detail)
                await self.send_events(*self.resume(client, cursor), True)
                return
            generation = self._generation(client, parsed)
            first = self.daemon.joins.find(generation.stream)
            if first is not None:
                self.resumable = True
                self.relay = self._relay(generation)
                events = self.relay.join_relay(first)
                await self.send_events(
                    events, self._answer_format(parsed, generation), parsed.stream
                )
                return
            self.resumable = self._key() is not None
            self.relay = self._relay(generation, join=self.resumable)
            with (
                self.daemon.joins.joinable(self.relay),
                self.daemon.beginning(client.team, parsed.model),
            ):
                events = self.relay.events()
                await self.send_events(
                    events, self._answer_format(parsed, generation), parsed.stream
                )

    def _key(self) -> str | None:
        return self.request.headers.get("Idempotency-Key")

    def _generation(self, client: Client, parsed: chat.CompletionRequest) -> GenerationRequest:
        max_tokens = min(
            parsed.max_tokens or chat.DEFAULT_MAX_TOKENS, self.service_settings.max_output_tokens
        )
        key = self._key()
        if key is None:
            stream = f"{self.daemon.config.name}-{secrets.token_hex(8)}"
        else:
            meaning = json.dumps([parsed.chat, parsed.prompt, parsed.max_tokens, parsed.seed])
            stream = joins.keyed_stream_id(client.team, parsed.model, client.name, key, meaning)
        return GenerationRequest(
            stream=stream,
            team=client.team,
            service=parsed.model,
            account=client.name,
            prompt=parsed.prompt,
            prompt_tokens=chat.prompt_tokens(parsed.prompt),
            max_tokens=max_tokens,
            priority=client.settings.priority,
            prefixes=chat.prefix_hashes(parsed.prompt),
            fingerprint=fingerprint(client.team, parsed.model, parsed.prompt),
            seed=parsed.seed,
        )

    def _answer_format(
        self, parsed: chat.CompletionRequest, generation: GenerationRequest
    ) -> chat.AnswerFormat:
        return chat.AnswerFormat(
            parsed.chat,
            parsed.model,
            generation.stream,
            chat.now(),
            generation.prompt_tokens,
            parsed.include_usage,
            "",
        )


class ResumeStream(GenerationHandler):
    """``GET /v1/streams``: the rest of a stream, for callers that can only repeat a GET."""

    async def get(self) -> None:
        """Stream the events after Last-Event-ID."""
        self.end_reading()
        client = self.client()
        last = self.request.headers.get("Last-Event-ID")
        if not last:
            raise RequestRefused(400, "bad_cursor", "needs the header Last-Event-ID")
        cursor = self.daemon.signer.read(last, f"{client.team}/{client.name}")
        self.service_settings = self.service(client, cursor.service, HostKind.ENGINE)
        with self.daemon.in_progress(client):
            await self.send_events(*self.resume(client, cursor), True)


class Models(Handler):
    """``GET /v1/models``."""

    def get(self) -> None:
        """List the model services that the account may use."""
        client = self.client()
        data = [
            {"id": name, "object": "model", "created": 0, "owned_by": client.team}
            for name, settings in self.daemon.catalog.services(client.team)
            if settings.kind == HostKind.ENGINE and may_use(client, name)
        ]
        self.finish({"object": "list", "data": data})
