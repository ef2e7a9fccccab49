"""Routes non-repeatable calls to the daemon that batches the writes of their bucket.

Routing only reduces the number of writes. Any daemon may run any call: the atomic swap of its
intent record ensures that it runs at most once.
"""

import asyncio
from typing import Protocol

from attrs import define, frozen

from papayacourse import logs
from papayacourse.answermemory import AnswerMemory
from papayacourse.buckets import bucket_of, bucket_prefix, key_hash
from papayacourse.callmessages import CallAnswer, CallRefused, RunOnce
from papayacourse.deaths import ServerDeaths
from papayacourse.exceptions import PeerError, RequestRefused, StopExpired
from papayacourse.membership import Membership
from papayacourse.meshmessages import Hello
from papayacourse.peers import Peers
from papayacourse.plain import PlainCall, fingerprint_of
from papayacourse.records import Records
from papayacourse.requestguard import RequestGuard
from papayacourse.settings import ServiceSettings
from papayacourse.stopdeadline import stop_refusal
from papayacourse.types import Host, Ran

MAX_ROUTED_BYTES = 256 * 1024  # of a call's body; a larger one runs at the entry daemon
MAX_ROUTED_ANSWER = 1024 * 1024  # bytes
ANSWER_SLACK = 5.0  # seconds added to the call's timeout for writing its record
LIVENESS_POLL = 0.25  # seconds
UNKNOWN_SERVICE = "unknown_model"

# Refusals by an owner that doesn't know a service or its backends yet, that is cut off from the
# key-value service or that stops; another daemon may be able to run the call.
OWNER_CANNOT_RUN = frozenset({UNKNOWN_SERVICE, "no_backend", "platform_down", "stopping"})


@frozen
class CallerKey:
    """An Idempotency-Key and its owner."""

    team: str
    service: str
    account: str
    key: str


class LocalDaemon(Protocol):
    """The parts of the daemon that the router uses."""

    deaths: ServerDeaths
    answers: AnswerMemory

    def plain_servers(self, team: str, service: str) -> list[Host]:
        """Return a plain service's backends."""

    def track_duty(self, duty: str):
        """Return a context manager that counts work for another daemon."""

    def beginning(self, team: str, service: str):
        """Return a context manager that begins no call that a stop leaves no time for."""


@define(eq=False)
class NonRepeatableRouter:
    """Runs non-repeatable calls here or at the daemon that owns their bucket."""

    records: Records
    membership: Membership
    peers: Peers
    daemon: LocalDaemon

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[RunOnce] = self.handle_run_once

    async def run(self, key: CallerKey, call: PlainCall) -> CallAnswer:
        """Run a call at most once, here or at its owner.

        Raises
        ------
        RequestRefused
            With ``ran`` set to what is certain.
        """
        owner = self.owner(key)
        if owner is not None and len(call.body) <= MAX_ROUTED_BYTES:
            answer = await self._ask(owner, key, call)
            match answer:
                case CallAnswer():
                    return answer
                case CallRefused(reason=why, ran=Ran.NO) if why in OWNER_CANNOT_RUN:
                    # The owner lacks settings that are in force here, or cannot reach the platform.
                    # It has not run the call, and the record prevents a second run in any case.
                    logs.info(
                        "owner cannot run the call",
                        owner=owner,
                        service=key.service,
                        reason=why,
                    )
                case CallRefused():
                    raise RequestRefused(
                        answer.status,
                        answer.reason,
                        answer.detail,
                        Ran(answer.ran),
                        answer.retry_after,
                    )
        # The owner may have run the call, or may still do so if it was only suspended; the record
        # prevents a second run.
        return await self.run_here(key, call)

    def owner(self, key: CallerKey) -> str | None:
        """Return the daemon that should run a call, or None if it is this one."""
        bucket = bucket_of(key_hash(key.team, key.service, key.account, key.key))
        owners = self.membership.owners(bucket_prefix(key.team, bucket))
        return owners[0] if owners and owners[0] != self.membership.me.name else None

    async def _ask(
        self, owner: str, key: CallerKey, call: PlainCall
    ) -> CallAnswer | CallRefused | None:
        """Send the call to its owner; return None if it does not answer."""
        message = RunOnce(
            key.team, key.service, key.account, key.key,
            call.method, call.path, call.headers, call.body,
        )  # fmt: skip
        limit = self._settings(key).call_timeout + ANSWER_SLACK
        asked = asyncio.ensure_future(self.peers.call(owner, message, limit))
        try:
            while not asked.done() and self.membership.is_alive(owner):
                await asyncio.wait([asked], timeout=LIVENESS_POLL)
            answer = await asked if asked.done() else None
        except PeerError:
            return None
        finally:
            asked.cancel()
        return answer if isinstance(answer, CallAnswer | CallRefused) else None

    def _settings(self, key: CallerKey) -> ServiceSettings:
        settings = self.membership.catalog.service(key.team, key.service)
        if settings is None:
            raise RequestRefused(404, UNKNOWN_SERVICE, f"there is no service {key.service!r}")
        return settings

    async def run_here(self, key: CallerKey, call: PlainCall) -> CallAnswer:
        """Run a call at this daemon.

        Raises
        ------
        RequestRefused
            With ``ran`` set to what is certain.
        """
        settings = self._settings(key)
        await self.records.compare_clocks()
        self.records.check_age(key.team, key.key)
        return await self.records.run(
            key.team,
            key_hash(key.team, key.service, key.account, key.key),
            call,
            self.daemon.plain_servers(key.team, key.service),
            RequestGuard(
                self.daemon.deaths,
                self.daemon.answers,
                fingerprint_of(key.team, key.service, key.account, call),
            ),
            settings,
        )

    async def handle_run_once(self, _peer: Hello, ask: RunOnce) -> CallAnswer | CallRefused:
        """Run a call for another daemon."""
        key = CallerKey(ask.team, ask.service, ask.account, ask.key)
        call = PlainCall(ask.method, ask.path, ask.headers, ask.body)
        try:
            with self.daemon.track_duty("records"), self.daemon.beginning(ask.team, ask.service):
                answer = await self.run_here(key, call)
        except StopExpired as expired:
            return call_refused(stop_refusal(expired, expired.has_begun))
        except RequestRefused as refused:
            return call_refused(refused)
        if len(answer.body) > MAX_ROUTED_ANSWER:
            detail = f"it ran with status {answer.status}; its answer is too long to be passed on"
            return CallRefused(502, "answer_too_long", detail, str(Ran.YES), None)
        return answer


def call_refused(refused: RequestRefused) -> CallRefused:
    """Return the message that carries a refusal."""
    return CallRefused(
        refused.status,
        refused.reason,
        str(refused),
        str(refused.ran),
        refused.retry_after,
    )
