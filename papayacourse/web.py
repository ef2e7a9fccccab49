"""What all HTTP handlers share: the caller's account, and the form of errors."""

import json
import secrets

from tornado.ioloop import IOLoop
from tornado.web import HTTPError, RequestHandler, stream_request_body

from papayacourse import logs, problems
from papayacourse.catalog import Client, may_use
from papayacourse.exceptions import RequestRefused
from papayacourse.settings import ServiceSettings
from papayacourse.types import HostKind, Ran


@stream_request_body
class Handler(RequestHandler):
    """What all handlers share: the daemon, the caller's account and the form of errors."""

    needs_account = True

    def initialize(self, daemon) -> None:
        """Take the daemon (called by tornado)."""
        self.daemon = daemon
        self.request_id = secrets.token_hex(8)
        self.parts: list[bytes] = []
        self.size = 0
        self.body_deadline = None
        logs.bind(self.request_id)

    def prepare(self) -> None:
        """Refuse what can be refused before the body is read (called by tornado)."""
        self.say_last()
        config = self.daemon.config
        if header_bytes(self.request) > config.max_header_bytes:
            limit = f"the headers are longer than {config.max_header_bytes} bytes"
            raise RequestRefused(431, "header_too_large", limit)
        if self.needs_account:
            self.client()
        if int(self.request.headers.get("Content-Length", 0)) > config.max_body_bytes:
            raise self.too_large()
        self.body_deadline = IOLoop.current().call_later(config.body_timeout, self.too_slow)

    def data_received(self, chunk: bytes) -> None:
        """Take a piece of the body (called by tornado)."""
        if self._finished:
            return
        self.size += len(chunk)
        if self.size > self.daemon.config.max_body_bytes:
            self.refuse(self.too_large())
            return
        self.parts.append(chunk)

    def body(self) -> bytes:
        """Return the whole body; it has come once the handler's method runs."""
        self.stop_deadline()
        return b"".join(self.parts)

    def stop_deadline(self) -> None:
        """Stop waiting for the body."""
        if self.body_deadline is not None:
            IOLoop.current().remove_timeout(self.body_deadline)
            self.body_deadline = None

    def on_finish(self) -> None:
        """Clean up and count (called by tornado)."""
        self.stop_deadline()
        if self.needs_account:
            self.daemon.metrics.requests.add(1, {"status": self.get_status()})

    def too_large(self) -> RequestRefused:
        """Return the refusal of a body over the limit."""
        limit = f"the body is longer than {self.daemon.config.max_body_bytes} bytes"
        return RequestRefused(413, "body_too_large", limit)

    def too_slow(self) -> None:
        """Refuse a request whose body has not come in time."""
        limit = f"the body did not come within {self.daemon.config.body_timeout} s"
        self.refuse(RequestRefused(408, "too_slow", limit))

    def set_default_headers(self) -> None:
        """Name the server (called by tornado)."""
        self.set_header("Server", "papayacourse")
        self.say_last()

    def say_last(self) -> None:
        """Tell a caller who keeps its connection that a stop is about to close it."""
        daemon = getattr(self, "daemon", None)  # Absent when tornado sets up a handler.
        if daemon is not None and daemon.stopping:
            self.set_header("Connection", "close")

    def client(self) -> Client:
        """Return the caller's account, or refuse the request."""
        if not self.daemon.catalog.informed:
            raise RequestRefused(503, "no_settings", "no settings known yet", retry_after=1.0)
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
        logs.info("refused", reason=refused.reason, status=refused.status)
        self.set_status(refused.status)
        self.set_header("Content-Type", problems.CONTENT_TYPE)
        if refused.retry_after is not None:
            self.set_header("Retry-After", str(problems.retry_after_seconds(refused)))
        self.finish(json.dumps(problems.problem(refused, self.request_id)))

    def log_exception(self, kind, error, traceback) -> None:
        """Log what nobody expected; refusals are logged where they are written."""
        if not isinstance(error, RequestRefused | HTTPError):
            logs.failure("handler failed", error)


def header_bytes(request) -> int:
    """Return how long a request's first line and headers are, in bytes."""
    lines = sum(len(name) + len(value) + 4 for name, value in request.headers.get_all())
    return lines + len(request.method) + len(request.uri)


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
