"""HTTP handler of plain services: forwards calls and records non-repeatable ones."""

from urllib.parse import urlsplit

from papayacourse.callmessages import CallAnswer
from papayacourse.catalog import Client
from papayacourse.exceptions import (
    BackendError,
    BackendUnreachable,
    RequestRefused,
    StopExpired,
)
from papayacourse.once import CallerKey
from papayacourse.plain import (
    REQUEST_ID,
    PlainCall,
    fingerprint_of,
    forward_repeatable,
    forwarded_headers,
)
from papayacourse.requestguard import RequestGuard
from papayacourse.settings import ServiceSettings
from papayacourse.types import HostKind, Ran
from papayacourse.web import Handler

MAX_KEY_LENGTH = 255  # characters of an Idempotency-Key


class Plain(Handler):
    """``/services/NAME/…``: calls forwarded to a plain service."""

    async def _handle(self, name: str) -> None:
        client = self.client()
        settings = self.service(client, name, HostKind.PLAIN)
        split = urlsplit(self.request.uri)
        path = split.path.removeprefix(f"/services/{name}") or "/"
        headers = forwarded_headers(self.request.headers)
        if REQUEST_ID not in self.request.headers:
            headers += ((REQUEST_ID, self.request_id),)
        target = path + (f"?{split.query}" if split.query else "")
        call = PlainCall(self.request.method, target, headers, self.body())
        with self.daemon.in_progress(client):
            with self.daemon.beginning(client.team, name):
                answer = await self._run(client, name, settings, call, path)
            # The request is in progress until its caller has the answer; a drain waits for it.
            await self._answer(answer)

    def stop_refusal(self, expired: StopExpired) -> RequestRefused:
        """Return the final answer to a call for which a planned stop leaves no more time."""
        refused = super().stop_refusal(expired)
        if "Idempotency-Key" in self.request.headers:
            # The key's record has not been read: an earlier call with it may have run.
            refused.ran = Ran.UNKNOWN
        return refused

    async def _answer(self, answer: CallAnswer) -> None:
        self.set_status(answer.status)
        self.clear_header("Content-Type")
        for header, value in answer.headers:
            self.add_header(header, value)
        self.set_header("X-Request-Id", self.request_id)
        await self.finish(answer.body if answer.status not in (204, 304) else None)

    async def _run(
        self, client: Client, name: str, settings: ServiceSettings, call: PlainCall, path: str
    ) -> CallAnswer:
        if any(pattern.matches(call.method, path) for pattern in settings.non_repeatable):
            key = self.request.headers.get("Idempotency-Key", "")
            if not key or len(key) > MAX_KEY_LENGTH:
                raise RequestRefused(
                    400,
                    "key_needed",
                    f"this call needs an Idempotency-Key, 1 to {MAX_KEY_LENGTH} long",
                )
            return await self.daemon.once.run(CallerKey(client.team, name, client.name, key), call)
        return await self._run_repeatable(client, name, settings, call)

    async def _run_repeatable(
        self, client: Client, name: str, settings: ServiceSettings, call: PlainCall
    ) -> CallAnswer:
        budget = self.daemon.retries.budget_for(client.team, name, settings)
        budget.add_credit()
        servers = self.daemon.plain_servers(client.team, name)
        fingerprint = fingerprint_of(client.team, name, client.name, call)
        guard = RequestGuard(self.daemon.deaths, self.daemon.answers, fingerprint)
        guard.check()
        may_repeat = lambda: not guard.is_condemned() and budget.try_spend()  # noqa: E731
        try:
            return await forward_repeatable(servers, call, settings.call_timeout, guard, may_repeat)
        except BackendUnreachable as error:
            raise RequestRefused(503, "no_backend", str(error), retry_after=1.0) from error
        except BackendError as error:
            raise RequestRefused(502, "answer_lost", str(error), Ran.UNKNOWN) from error

    get = post = put = patch = delete = head = options = _handle
