"""The handlers of the OpenAI protocol: completions, streamed or whole, and the list of models."""

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
from papayacourse.exceptions import RequestRefused
from papayacourse.quarantine import fingerprint
from papayacourse.settings import ServiceSettings
from papayacourse.streams import Relay
from papayacourse.types import GenerationRequest, HostKind, Ran
from papayacourse.web import Handler


class Generations(Handler):
    """What handlers share that relay a generation."""

    def initialize(self, daemon) -> None:
        """Take the daemon (called by tornado)."""
        super().initialize(daemon)
        self.relay: Relay | None = None
        self.wanted: ServiceSettings | None = None
        self.task: asyncio.Task | None = None
        self.resumable = False

    async def relayed(self, events, form: chat.Form, streamed: bool) -> None:
        """Answer with a generation's events, and look after it when the caller goes."""
        self.task = asyncio.current_task()
        try:
            async with aclosing(events):
                if streamed:
                    await self._stream(events, form)
                else:
                    await self._whole(events, form)
        except (StreamClosedError, asyncio.CancelledError):
            # Nobody can come back to a stream without a cursor or a key.
            window = self.wanted.resume_window if self.resumable else 0.0
            self.daemon.hold(self.relay, window)
            raise

    def refuse(self, refused: RequestRefused) -> None:
        """Write a refusal; of a resume, it cannot say that the generation never ran."""
        if self.request.headers.get("Last-Event-ID") and refused.ran == Ran.NO:
            # Another daemon may have begun it, and this one may know nothing of it yet.
            refused.ran = Ran.UNKNOWN
        super().refuse(refused)

    def on_connection_close(self) -> None:
        """Stop relaying to a caller who has gone (called by tornado)."""
        if self.task is not None:
            self.task.cancel()

    def resume(self, client: Client, cursor: Cursor):
        """Return the events and the form of a stream from where a cursor stands."""
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
        form = chat.Form(
            cursor.chat,
            cursor.service,
            generation.stream,
            cursor.created,
            generation.prompt_tokens,
            cursor.include_usage,
            "",
        )
        return events, form

    def _relay(self, generation: GenerationRequest, join: bool = False) -> Relay:
        budget = self.daemon.retries.of(generation.team, generation.service, self.wanted)
        return Relay(
            generation,
            self.daemon.placement,
            self.wanted.wait_limit,
            budget,
            self.daemon.quarantine,
            self.daemon.token_clock(generation),
            self.daemon.streams,
            join,
        )

    def _cursor(self, form: chat.Form) -> str:
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
                form.created,
                relay.run_id,
                form.chat,
                form.include_usage,
                generation.fingerprint,
            )
        )

    async def _stream(self, events, form: chat.Form) -> None:
        begun = False
        try:
            async for batch in events:
                if not begun:
                    begun = self.resumable = True
                    form = self._with_cursor(form)
                    self.set_header("Content-Type", "text/event-stream")
                    self.set_header("Cache-Control", "no-store")
                    self.set_header("X-Request-Id", self.request_id)
                self.write(b"".join(map(form.event, batch)))
                # Waiting here is the back-pressure: the engine's link is not read meanwhile.
                await self.flush()
                self.relay.clock.batch(batch)
        except RequestRefused as refused:
            if not begun:
                raise
            self.daemon.metrics.refusals.add(1, {"reason": refused.reason})
            self.write(problems.error_event(refused, self.request_id))
        await self.finish()

    def _with_cursor(self, form: chat.Form) -> chat.Form:
        return evolve(form, stream=self.relay.generation.stream, cursor=self._cursor(form))

    async def _whole(self, events, form: chat.Form) -> None:
        parts: list[str] = []
        reason = ""
        async for batch in events:
            self.relay.clock.batch(batch)
            for event in batch:
                match event:
                    case Token(text=text):
                        parts.append(text)
                    case End(reason=why):
                        reason = why
        form = evolve(form, stream=self.relay.generation.stream)
        self.set_header("Content-Type", "application/json")
        self.set_header("X-Request-Id", self.request_id)
        await self.finish(json.dumps(form.whole("".join(parts), len(parts), reason)))


class Completions(Generations):
    """``POST /v1/chat/completions`` and ``POST /v1/completions``."""

    def initialize(self, daemon, is_chat: bool) -> None:
        """Take the daemon and the form (called by tornado)."""
        super().initialize(daemon)
        self.is_chat = is_chat

    async def post(self) -> None:
        """Serve one generation."""
        client = self.client()
        ask = chat.parse_ask(self.body(), self.is_chat)
        self.wanted = self.service(client, ask.model, HostKind.ENGINE)
        with self.daemon.in_progress(client):
            last = self.request.headers.get("Last-Event-ID")
            if last:
                cursor = self.daemon.signer.read(last, f"{client.team}/{client.name}")
                if cursor.service != ask.model:
                    detail = f"Last-Event-ID is of a stream of {cursor.service!r}"
                    raise RequestRefused(400, "bad_cursor", detail)
                await self.relayed(*self.resume(client, cursor), True)
                return
            generation = self._generation(client, ask)
            first = self.daemon.joins.find(generation.stream)
            if first is not None:
                self.resumable = True
                self.relay = self._relay(generation)
                events = self.relay.join_relay(first)
                await self.relayed(events, self._form(ask, generation), ask.stream)
                return
            self.resumable = self._key() is not None
            self.relay = self._relay(generation, join=self.resumable)
            with self.daemon.joins.joinable(self.relay):
                events = self.relay.events()
                await self.relayed(events, self._form(ask, generation), ask.stream)

    def _key(self) -> str | None:
        return self.request.headers.get("Idempotency-Key")

    def _generation(self, client: Client, ask: chat.Ask) -> GenerationRequest:
        longest = min(ask.max_tokens or chat.DEFAULT_MAX_TOKENS, self.wanted.max_output_tokens)
        key = self._key()
        if key is None:
            stream = f"{self.daemon.config.name}-{secrets.token_hex(8)}"
        else:
            meaning = json.dumps([ask.chat, ask.prompt, ask.max_tokens, ask.seed])
            stream = joins.keyed_stream_id(client.team, ask.model, client.name, key, meaning)
        return GenerationRequest(
            stream=stream,
            team=client.team,
            service=ask.model,
            account=client.name,
            prompt=ask.prompt,
            prompt_tokens=chat.prompt_tokens(ask.prompt),
            max_tokens=longest,
            priority=client.settings.priority,
            prefixes=chat.prefix_hashes(ask.prompt),
            fingerprint=fingerprint(client.team, ask.model, ask.prompt),
            seed=ask.seed,
        )

    def _form(self, ask: chat.Ask, generation: GenerationRequest) -> chat.Form:
        return chat.Form(
            ask.chat,
            ask.model,
            generation.stream,
            chat.now(),
            generation.prompt_tokens,
            ask.include_usage,
            "",
        )


class ResumeStream(Generations):
    """``GET /v1/streams``: the rest of a stream, for callers who can only repeat a GET."""

    async def get(self) -> None:
        """Stream from where Last-Event-ID stands."""
        client = self.client()
        last = self.request.headers.get("Last-Event-ID")
        if not last:
            raise RequestRefused(400, "bad_cursor", "needs the header Last-Event-ID")
        cursor = self.daemon.signer.read(last, f"{client.team}/{client.name}")
        self.wanted = self.service(client, cursor.service, HostKind.ENGINE)
        with self.daemon.in_progress(client):
            await self.relayed(*self.resume(client, cursor), True)


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
