"""The handlers of the OpenAI protocol: completions, streamed or whole, and the list of models."""

import asyncio
import json
import secrets

from attrs import evolve
from tornado.iostream import StreamClosedError

from papayacourse import chat, problems
from papayacourse.catalog import Client, may_use
from papayacourse.cursor import Cursor
from papayacourse.engines import End, Token
from papayacourse.exceptions import RequestRefused
from papayacourse.settings import ServiceSettings
from papayacourse.streams import Relay
from papayacourse.types import GenerationRequest, HostKind
from papayacourse.web import Handler


class Completions(Handler):
    """``POST /v1/chat/completions`` and ``POST /v1/completions``."""

    def initialize(self, daemon, is_chat: bool) -> None:
        """Take the daemon and the form (called by tornado)."""
        super().initialize(daemon)
        self.is_chat = is_chat
        self.relay: Relay | None = None
        self.wanted: ServiceSettings | None = None
        self.task: asyncio.Task | None = None

    async def post(self) -> None:
        """Serve one generation."""
        client = self.client()
        ask = chat.parse_ask(self.body(), self.is_chat)
        self.wanted = self.service(client, ask.model, HostKind.ENGINE)
        self.task = asyncio.current_task()
        with self.daemon.in_progress(client):
            last = self.request.headers.get("Last-Event-ID")
            events, form = self._resume(client, ask, last) if last else self._start(client, ask)
            try:
                if ask.stream or last:
                    await self._stream(events, form)
                else:
                    await self._whole(events, form)
            except (StreamClosedError, asyncio.CancelledError):
                self.daemon.hold(self.relay, self.wanted.resume_window)
                raise

    def on_connection_close(self) -> None:
        """Stop relaying to a caller who has gone (called by tornado)."""
        if self.task is not None:
            self.task.cancel()

    def _start(self, client: Client, ask: chat.Ask):
        longest = min(ask.max_tokens or chat.DEFAULT_MAX_TOKENS, self.wanted.max_output_tokens)
        generation = GenerationRequest(
            stream=f"{self.daemon.config.name}-{secrets.token_hex(8)}",
            team=client.team,
            service=ask.model,
            account=client.name,
            prompt=ask.prompt,
            prompt_tokens=chat.prompt_tokens(ask.prompt),
            max_tokens=longest,
            priority=client.settings.priority,
            prefixes=chat.prefix_hashes(ask.prompt),
            seed=ask.seed,
        )
        self.relay = Relay(generation, self.daemon.placement, self.wanted.wait_limit)
        return self.relay.events(), self._form(ask, generation)

    def _resume(self, client: Client, ask: chat.Ask, last: str):
        cursor = self.daemon.signer.read(last, f"{client.team}/{client.name}")
        generation = GenerationRequest(
            cursor.stream,
            client.team,
            cursor.service,
            client.name,
            "",
            cursor.prompt_tokens,
            cursor.max_tokens,
            client.settings.priority,
        )
        self.relay = Relay(generation, self.daemon.placement, self.wanted.wait_limit)
        events = self.relay.resumed(cursor.engine, cursor.address, cursor.offset)
        return events, self._form(ask, generation)

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

    def _cursor(self, form: chat.Form) -> str:
        generation = self.relay.generation
        return self.daemon.signer.prefix(
            Cursor(
                f"{generation.team}/{generation.account}",
                generation.service,
                generation.stream,
                self.relay.engine,
                self.relay.address,
                generation.prompt_tokens,
                generation.max_tokens,
                form.created,
            )
        )

    async def _stream(self, events, form: chat.Form) -> None:
        clock = self.daemon.token_clock(self.relay.generation)
        begun = False
        try:
            async for batch in events:
                if not begun:
                    begun = True
                    form = self._with_cursor(form)
                    self.set_header("Content-Type", "text/event-stream")
                    self.set_header("Cache-Control", "no-store")
                    self.set_header("X-Request-Id", self.request_id)
                self.write(b"".join(map(form.event, batch)))
                # Waiting here is the back-pressure: the engine's link is not read meanwhile.
                await self.flush()
                clock.batch(batch)
        except RequestRefused as refused:
            if not begun:
                raise
            self.daemon.metrics.refusals.add(1, {"reason": refused.reason})
            self.write(problems.error_event(refused, self.request_id))
        await self.finish()

    def _with_cursor(self, form: chat.Form) -> chat.Form:
        return evolve(form, stream=self.relay.generation.stream, cursor=self._cursor(form))

    async def _whole(self, events, form: chat.Form) -> None:
        clock = self.daemon.token_clock(self.relay.generation)
        parts: list[str] = []
        reason = ""
        async for batch in events:
            clock.batch(batch)
            for event in batch:
                match event:
                    case Token(text=text):
                        parts.append(text)
                    case End(reason=why):
                        reason = why
        self.set_header("Content-Type", "application/json")
        self.set_header("X-Request-Id", self.request_id)
        await self.finish(json.dumps(form.whole("".join(parts), len(parts), reason)))


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
