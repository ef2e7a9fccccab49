"""Base class of the HTTP handlers: authentication, body limits and error responses."""

import json
import secrets
import sys

from tornado.ioloop import IOLoop
from tornado.web import HTTPError, RequestHandler, stream_request_body

from papayacourse import logs, problems
from papayacourse.catalog import Client, may_use
from papayacourse.exceptions import RequestRefused, StopExpired
from papayacourse.settings import ServiceSettings
from papayacourse.stopdeadline import stop_refusal
from papayacourse.types import HostKind, Ran

MAX_LENGTH_DIGITS = 18  # of a Content-Length; more are beyond any limit


@stream_request_body
class Handler(RequestHandler):
    """Base class that authenticates callers, limits bodies and writes errors."""

    needs_account = True

    def initialize(self, daemon) -> None:
        """Set up the handler (called by tornado)."""
        self.daemon = daemon
        self.request_id = secrets.token_hex(8)
        self.body_chunks: list[bytes] = []
        self.body_size = 0
        self.body_deadline = None
        logs.bind(self.request_id)

    def prepare(self) -> None:
        """Check the request before its body is read (called by tornado)."""
        self.set_connection_close()
        config = self.daemon.config
        if header_bytes(self.request) > config.max_header_bytes:
            limit = f"the headers are longer than {config.max_header_bytes} bytes"
            raise RequestRefused(431, "header_too_large", limit)
        if self.needs_account:
            self.client()
        if announced_length(self.request) > config.max_body_bytes:
            raise self.body_too_large_refusal()
        self.body_deadline = IOLoop.current().call_later(config.body_timeout, self.refuse_slow_body)
        if self.needs_account:
            self.daemon.begin_reading(self)

    def data_received(self, chunk: bytes) -> None:
        """Append a chunk to the body (called by tornado)."""
        if self._finished:
            return
        self.body_size += len(chunk)
        if self.body_size > self.daemon.config.max_body_bytes:
            self.refuse(self.body_too_large_refusal())
            return
        self.body_chunks.append(chunk)

    def body(self) -> bytes:
        """Return the whole body, which is complete when the handler's method runs."""
        self.end_reading()
        return b"".join(self.body_chunks)

    def end_reading(self) -> None:
        """Cancel the timeout of the body, and count the request no longer as unread."""
        self.daemon.end_reading(self)
        if self.body_deadline is not None:
            IOLoop.current().remove_timeout(self.body_deadline)
            self.body_deadline = None

    def on_finish(self) -> None:
        """End the reading of the body and count the request (called by tornado)."""
        self.end_reading()
        if self.needs_account:
            self.daemon.metrics.requests.add(1, {"status": self.get_status()})

    def on_connection_close(self) -> None:
        """End the reading of the body (called by tornado when the caller has gone)."""
        super().on_connection_close()
        self.end_reading()

    def refuse_unread(self) -> None:
        """Refuse a request whose body has not come when a planned stop ends."""
        why = "the daemon stops, and the body has not come"
        self.refuse(stop_refusal(StopExpired(why), may_have_run=False))

    def body_too_large_refusal(self) -> RequestRefused:
        """Return the refusal of a body over the limit."""
        limit = f"the body is longer than {self.daemon.config.max_body_bytes} bytes"
        return RequestRefused(413, "body_too_large", limit)

    def refuse_slow_body(self) -> None:
        """Refuse a request whose body did not arrive in time."""
        limit = f"the body did not come within {self.daemon.config.body_timeout} s"
        self.refuse(RequestRefused(408, "too_slow", limit))

    def set_default_headers(self) -> None:
        """Set the Server header (called by tornado)."""
        self.set_header("Server", "papayacourse")
        self.set_connection_close()

    def set_connection_close(self) -> None:
        """Send ``Connection: close`` while the daemon is stopping."""
        daemon = getattr(self, "daemon", None)  # Not set yet while tornado constructs the handler.
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
        if isinstance(error, StopExpired):
            self.refuse(self.stop_refusal(error))
        else:
            self.refuse(refusal_from(error, status_code))

    def may_have_run(self) -> bool:
        """Return True unless it is certain that the request has not run."""
        return True

    def stop_refusal(self, expired: StopExpired) -> RequestRefused:
        """Return the final answer to a request for which a planned stop leaves no more time."""
        return stop_refusal(expired, expired.has_begun and self.may_have_run())

    def refuse(self, refused: RequestRefused) -> None:
        """Write a refusal as the response; nothing may have been written before."""
        self.daemon.metrics.refusals.add(1, {"reason": refused.reason})
        logs.info("refused", reason=refused.reason, status=refused.status)
        self.set_status(refused.status)
        self.set_header("Content-Type", problems.CONTENT_TYPE)
        if refused.retry_after is not None:
            self.set_header("Retry-After", str(problems.retry_after_seconds(refused)))
        self.finish(json.dumps(problems.problem(refused, self.request_id)))

    def log_exception(self, kind, error, traceback) -> None:
        """Log unexpected errors; ``refuse`` logs refusals."""
        if not isinstance(error, RequestRefused | HTTPError | StopExpired):
            logs.failure("handler failed", error)


def header_bytes(request) -> int:
    """Return the size of a request's first line and headers, in bytes."""
    lines = sum(len(name) + len(value) + 4 for name, value in request.headers.get_all())
    return lines + len(request.method) + len(request.uri)


def announced_length(request) -> int:
    """Return the announced size of a body in bytes, or refuse the request if it is not a size.

    Equal announcements may be repeated.
    """
    announced = {size.strip() for size in request.headers.get("Content-Length", "0").split(",")}
    size = announced.pop()
    if announced or not (size.isascii() and size.isdecimal()):
        raise RequestRefused(400, "bad_length", "Content-Length is not a number of bytes")
    return int(size) if len(size) <= MAX_LENGTH_DIGITS else sys.maxsize


def refusal_from(error: BaseException | None, status: int) -> RequestRefused:
    """Convert an exception of a handler to a refusal."""
    match error:
        case RequestRefused():
            return error
        case HTTPError():
            reason = problems.TITLES.get(status, "error").lower().replace(" ", "_")
            return RequestRefused(status, reason, error.log_message or reason)
        case _:
            return RequestRefused(500, "internal", "an error of ours; it is logged", Ran.UNKNOWN)
