"""What callers see: the HTTP handlers of a daemon."""

import asyncio
import json
import secrets
from urllib.parse import urlsplit

from tornado.iostream import StreamClosedError
from tornado.web import HTTPError, RequestHandler

from papayacourse import chat, logs, metrics, problems
from papayacourse.catalog import Client, may_use
from papayacourse.cursor import Cursor
from papayacourse.engines import End, Token
from papayacourse.exceptions import BackendError, BackendUnreachable, RequestRefused
from papayacourse.plain import PlainCall, forward_to_any, passed_on
from papayacourse.records import key_hash
from papayacourse.settings import ServiceSettings
from papayacourse.streams import Relay
from papayacourse.types import GenerationRequest, HostKind, Ran

MAX_KEY_LENGTH = 255  # characters of an Idempotency-Key


class Handler(RequestHandler):
    """What all handlers share: the daemon, the caller's account and the form of errors."""

    def initialize(self, daemon) -> None:
        """Take the daemon (called by tornado)."""
        self.daemon = daemon
        self.request_id = secrets.token_hex(8)

    def set_default_headers(self) -> None:
        """Name the server (called by tornado)."""
        self.set_header("Server", "papayacourse")

    def client(self) -> Client:
        """Return the caller's account, or refuse the request."""
        scheme, _, key = self.request.headers.get("Authorization", "").partition(" ")
        found = self.daemon.catalog.client(key.strip()) if scheme.lower() == "bearer" else None
        if found is None:
            raise RequestRefused(401, "bad_key", "the account key is not known")
        if self.daemon.catalog.team_closed(found.team):
            raise RequestRefused(403, "team_closed", "the team takes no new requests")
        return found

    def service(self, client: Client, name: str, kind: HostKind) -> ServiceSettings:
        """Return a service that the account may use, or refuse the request."""
        settings = self.daemon.catalog.service(client.team, name)
        if settings is None or settings.kind != kind:
            raise RequestRefused(404, "unknown_model", f"there is no service {name!r}")
        if not may_use(client, name):
            raise RequestRefused(403, "not_permitted", f"the account may not use {name!r}")
        return settings

    def write_error(self, status_code: int, **kwargs) -> None:
        """Answer with problem details (called by tornado)."""
        error = kwargs.get("exc_info", (None, None, None))[1]
        self.refuse(as_refusal(error, status_code))

    def refuse(self, refused: RequestRefused) -> None:
        """Write a refusal, before anything else has been written."""
        self.daemon.metrics.refusals.add(1, {"reason": refused.reason})
        logs.info("refused", request=self.request_id, reason=refused.reason, status=refused.status)
        self.set_status(refused.status)
        self.set_header("Content-Type", problems.CONTENT_TYPE)
        if refused.retry_after is not None:
            self.set_header("Retry-After", str(problems.retry_after_seconds(refused)))
        self.finish(json.dumps(problems.problem(refused, self.request_id)))

    def log_exception(self, kind, error, traceback) -> None:
        """Log what nobody expected; refusals are logged where they are written."""
        if not isinstance(error, RequestRefused | HTTPError):
            logs.failure("handler failed", error, request=self.request_id)


def as_refusal(error: BaseException | None, status: int) -> RequestRefused:
    """Turn what a handler raised into the caller's final answer."""
    match error:
        case RequestRefused():
            return error
        case HTTPError():
            reason = problems.TITLES.get(status, "error").lower().replace(" ", "_")
            return RequestRefused(status, reason, error.log_message or reason)
        case _:
            return RequestRefused(500, "internal", "an error of ours; it is logged", Ran.UNKNOWN)


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
        ask = chat.parse_ask(self.request.body, self.is_chat)
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
        return chat.Form(
            form.chat,
            form.model,
            self.relay.generation.stream,
            form.created,
            form.prompt_tokens,
            form.include_usage,
            self._cursor(form),
        )

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


class Plain(Handler):
    """``/services/NAME/…``: calls passed through to a plain service."""

    async def _pass(self, name: str) -> None:
        client = self.client()
        settings = self.service(client, name, HostKind.PLAIN)
        split = urlsplit(self.request.uri)
        path = split.path.removeprefix(f"/services/{name}") or "/"
        call = PlainCall(
            self.request.method,
            path + (f"?{split.query}" if split.query else ""),
            passed_on(self.request.headers),
            self.request.body,
        )
        with self.daemon.in_progress(client):
            answer = await self._run(client, name, settings, call, path)
        self.set_status(answer.status)
        self.clear_header("Content-Type")
        for header, value in answer.headers:
            self.add_header(header, value)
        self.set_header("X-Request-Id", self.request_id)
        await self.finish(answer.body if answer.status not in (204, 304) else None)

    async def _run(
        self, client: Client, name: str, settings: ServiceSettings, call: PlainCall, path: str
    ):
        addresses = self.daemon.plain_addresses(client.team, name)
        if any(pattern.matches(call.method, path) for pattern in settings.non_repeatable):
            key = self.request.headers.get("Idempotency-Key", "")
            if not key or len(key) > MAX_KEY_LENGTH:
                raise RequestRefused(
                    400,
                    "key_needed",
                    f"this call needs an Idempotency-Key, 1 to {MAX_KEY_LENGTH} long",
                )
            record = key_hash(client.team, name, client.name, key)
            return await self.daemon.records.run(
                client.team, record, call, addresses, settings.call_timeout
            )
        try:
            return await forward_to_any(addresses, call, settings.call_timeout)
        except BackendUnreachable as error:
            raise RequestRefused(503, "no_backend", str(error), retry_after=1.0) from error
        except BackendError as error:
            raise RequestRefused(502, "answer_lost", str(error), Ran.UNKNOWN) from error

    get = post = put = patch = delete = head = options = _pass


class Health(Handler):
    """``GET /healthz``: the process answers."""

    def get(self) -> None:
        """Answer."""
        self.finish({"status": "ok"})


class Ready(Handler):
    """``GET /readyz``: the balancer may send callers here."""

    def get(self) -> None:
        """Answer 200, or 503 while starting or stopping."""
        if not self.daemon.ready:
            raise RequestRefused(503, "not_ready", "starting or stopping", retry_after=1.0)
        self.finish({"status": "ready"})


class MetricsPage(Handler):
    """``GET /metrics``: for scraping."""

    def get(self) -> None:
        """Answer in Prometheus form."""
        self.set_header("Content-Type", metrics.CONTENT_TYPE)
        self.finish(self.daemon.metrics.text())


class Status(Handler):
    """``GET /debug/status``: what the daemon thinks, for operators."""

    def get(self) -> None:
        """Answer with the daemon's status; the mesh key is the operators' key."""
        if not self.daemon.is_operator(self.request.headers.get("Authorization", "")):
            raise RequestRefused(401, "bad_key", "operators use the mesh key")
        self.finish(self.daemon.status())


class UnknownPath(Handler):
    """Any other path."""

    def prepare(self) -> None:
        """Refuse it."""
        raise RequestRefused(404, "unknown_path", f"there is nothing at {self.request.path!r}")


def routes(daemon) -> list[tuple]:
    """Return the routing table of a daemon."""
    shared = {"daemon": daemon}
    return [
        (r"/v1/chat/completions", Completions, shared | {"is_chat": True}),
        (r"/v1/completions", Completions, shared | {"is_chat": False}),
        (r"/v1/models", Models, shared),
        (r"/services/([^/]+)(?:/.*)?", Plain, shared),
        (r"/healthz", Health, shared),
        (r"/readyz", Ready, shared),
        (r"/metrics", MetricsPage, shared),
        (r"/debug/status", Status, shared),
        (r".*", UnknownPath, shared),
    ]
