"""What all HTTP handlers share: the caller's account, and the form of errors."""

import json
import secrets

from tornado.web import HTTPError, RequestHandler

from papayacourse import logs, problems
from papayacourse.catalog import Client, may_use
from papayacourse.exceptions import RequestRefused
from papayacourse.settings import ServiceSettings
from papayacourse.types import HostKind, Ran


class Handler(RequestHandler):
    """What all handlers share: the daemon, the caller's account and the form of errors."""

    def initialize(self, daemon) -> None:
        """Take the daemon (called by tornado)."""
        self.daemon = daemon
        self.request_id = secrets.token_hex(8)

    def set_default_headers(self) -> None:
        """Name the server (called by tornado)."""
        self.set_header("Server", "papayacourse")
        self.say_last()

    def prepare(self) -> None:
        """Say before the answer whether it is the connection's last (called by tornado)."""
        self.say_last()

    def say_last(self) -> None:
        """Tell a caller who keeps its connection that a stop is about to close it."""
        daemon = getattr(self, "daemon", None)  # Absent when tornado sets up a handler.
        if daemon is not None and daemon.stopping:
            self.set_header("Connection", "close")

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
