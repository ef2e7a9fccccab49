"""Prevents non-repeatable calls from running twice, using records in the key-value service.

An intent is written before a call is sent, and its outcome afterwards. Only the writer of an intent
may release it, and only if nothing was sent; no other daemon takes it over. Outcomes are kept for
the service's ``record_retention``; after that, a tombstone makes the key refused for the team's
``record_forget_after``. A key with a timestamp (UUIDv7) older than that, less a day of tolerance
for wrong clocks, is refused even if no record of it exists.
"""

import asyncio
import hashlib
import secrets
import time
import uuid
from collections.abc import Callable

import cbor2
from attrs import define, field, frozen

from papayacourse import invariants, logs
from papayacourse.buckets import (
    MAX_RECORDED_ANSWER_BYTES,
    Intent,
    Outcome,
    Record,
    Release,
    Tombstone,
    bucket_of,
    bucket_prefix,
)
from papayacourse.bucketwriter import BucketWriter
from papayacourse.callmessages import CallAnswer
from papayacourse.exceptions import (
    BackendError,
    BackendUnreachable,
    BucketFull,
    PlatformAnswerLost,
    PlatformError,
    RequestRefused,
)
from papayacourse.kvstore import KeyValueStore
from papayacourse.plain import PlainCall, forward_to_any
from papayacourse.requestguard import RequestGuard
from papayacourse.settings import ServiceSettings, TeamSettings
from papayacourse.types import Host, Ran

RETRY_AFTER = 2.0  # seconds
MAX_INTENT_AGE = 10.0  # seconds from the start of the intent's write to sending the call
OUTCOME_WAIT = 2.0  # seconds that a repeated call waits for the first one's outcome
OUTCOME_POLL = 0.25  # seconds
PERSIST_TIMEOUT = 600.0  # seconds
PERSIST_RETRY_DELAY = 1.0  # seconds, doubled after each failure
MAX_PERSIST_RETRY_DELAY = 10.0  # seconds
KEY_CLOCK_SKEW = 86400.0  # seconds by which a key's timestamp may be wrong
MAX_SKEW_FRACTION = 1 / 30  # of record_forget_after
WRITER_IDLE_TIMEOUT = 60.0  # seconds; a bucket unused for longer is dropped from memory
NONCE_BYTES = 8
REQUEST_BYTES = 8
CLOCK_KEY = "/records"  # read only for the Date header of the response
UUID_TIME_SHIFT = 80  # bits below the milliseconds of a UUIDv7


@frozen
class IntentClock:
    """The start time of an intent's write, on both clocks.

    The monotonic clock may stop while a virtual machine is suspended; the wall clock may be
    set back.
    """

    monotonic: float = field(factory=time.monotonic)
    wall: float = field(factory=time.time)

    def check(self) -> None:
        """Raise BackendUnreachable if the intent is too old for its call to be sent."""
        age = max(time.monotonic() - self.monotonic, time.time() - self.wall)
        if age > MAX_INTENT_AGE:
            raise BackendUnreachable(f"not sent: its intent is {age:.0f} s old")


def request_hash(call: PlainCall) -> bytes:
    """Return a hash of a call's method, path and body."""
    whole = cbor2.dumps([call.method, call.path, call.body])
    return hashlib.sha256(whole).digest()[:REQUEST_BYTES]


def outcome_of(intent: Intent, answer: CallAnswer) -> Outcome:
    """Return the outcome to record for an answer; a long answer is recorded without its body."""
    size = len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)
    if size > MAX_RECORDED_ANSWER_BYTES:
        return Outcome(intent.key, intent.nonce, answer.status)
    return Outcome(intent.key, intent.nonce, answer.status, answer.headers, answer.body)


def key_time(key: str) -> float | None:
    """Return the timestamp of a UUIDv7 key in seconds of the epoch, or None for other keys."""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    return (parsed.int >> UUID_TIME_SHIFT) / 1000 if parsed.version == 7 else None


@define(eq=False)
class Records:
    """Runs non-repeatable calls at most once.

    Attributes
    ----------
    team_settings : callable
        Returns the settings of a team.
    running : set of bytes
        Nonces of this daemon's calls in progress.
    """

    store: KeyValueStore
    team_settings: Callable[[str], TeamSettings] = lambda _team: TeamSettings()
    writers: dict[str, BucketWriter] = field(factory=dict)
    running: set[bytes] = field(factory=set)
    persisting: set[asyncio.Task] = field(factory=set)

    def describe(self, team: str, key: bytes) -> dict:
        """Return this daemon's view of a key, for operators."""
        writer = self.writers.get(bucket_prefix(team, bucket_of(key)))
        found = writer.find(key) if writer else None
        match found:
            case Record(intent=intent, outcome=outcome):
                state = "outcome" if outcome else "intent"
                status = outcome.status if outcome else None
                return {"state": state, "created": intent.created, "status": status}
            case Tombstone(ran=ran):
                return {"state": "tombstone", "ran": str(Ran.YES if ran else Ran.UNKNOWN)}
        return {"state": "none"}

    def check_age(self, team: str, key: str) -> None:
        """Refuse a key whose timestamp predates the oldest retained tombstone or is in the future.

        Raises
        ------
        RequestRefused
            With ``ran`` unknown if the key is too old.
        """
        key_timestamp = key_time(key)
        if key_timestamp is None:
            return
        remembered = self.team_settings(team).record_forget_after
        now = self.store.clock.latest()
        if key_timestamp < now - remembered + min(KEY_CLOCK_SKEW, remembered * MAX_SKEW_FRACTION):
            detail = "the Idempotency-Key is older than any record; it is never run"
            raise RequestRefused(409, "key_expired", detail, Ran.UNKNOWN)
        if key_timestamp > now + KEY_CLOCK_SKEW:
            detail = "the Idempotency-Key carries a time that is still to come"
            raise RequestRefused(400, "key_in_future", detail)

    async def compare_clocks(self) -> None:
        """Read the platform's clock once, before any timestamp is used.

        A daemon that got all its settings from peers may not have called the platform yet.

        Raises
        ------
        RequestRefused
            If the platform is unavailable; nothing could be recorded either.
        """
        if self.store.clock.compared:
            return
        try:
            await self.store.get(CLOCK_KEY)
        except PlatformError as error:
            raise self._platform_down_refusal() from error

    async def run(
        self,
        team: str,
        key: bytes,
        call: PlainCall,
        servers: list[Host],
        guard: RequestGuard,
        settings: ServiceSettings,
    ) -> CallAnswer:
        """Run a call unless its record says that it ran or may have run.

        Raises
        ------
        RequestRefused
            With ``ran`` set to what the record proves.
        """
        deadline = time.monotonic() + OUTCOME_WAIT
        while True:
            answer = await self._run_or_repeat(team, key, call, servers, guard, settings)
            if answer is not None:
                return answer
            if time.monotonic() > deadline:
                break
        detail = "an earlier call with this Idempotency-Key was given up unsent; send it again"
        raise RequestRefused(409, "released", detail, retry_after=RETRY_AFTER)

    async def _run_or_repeat(
        self,
        team: str,
        key: bytes,
        call: PlainCall,
        servers: list[Host],
        guard: RequestGuard,
        settings: ServiceSettings,
    ) -> CallAnswer | None:
        """Run a call or answer from its record.

        Returns None if an earlier call's intent was found but has been released since.
        """
        writer = self._writer(bucket_prefix(team, bucket_of(key)))
        writer.limits = self.team_settings(team)
        clock = IntentClock()
        created = self.store.clock.latest()
        expires = created + settings.record_retention
        nonce = secrets.token_bytes(NONCE_BYTES)
        own_intent = Intent(key, nonce, request_hash(call), created, expires)
        self.running.add(nonce)
        try:
            found = await self._write_intent(writer, own_intent)
            if isinstance(found, Record) and found.intent == own_intent:
                invariants.check(found.outcome is None, "own_intent_is_open", key=key.hex())
                return await self._send(
                    writer, own_intent, call, servers, guard, settings, clock.check
                )
        finally:
            self.running.discard(nonce)
        return await self._answer_from_record(writer, found, own_intent)

    async def _send(
        self,
        writer: BucketWriter,
        own_intent: Intent,
        call: PlainCall,
        servers: list[Host],
        guard: RequestGuard,
        settings: ServiceSettings,
        may_send: Callable[[], None],
    ) -> CallAnswer:
        try:
            guard.check()
        except RequestRefused:
            await self._persist(writer, Release(own_intent.key, own_intent.nonce))
            raise
        try:
            answer = await forward_to_any(servers, call, settings.call_timeout, guard, may_send)
        except BackendUnreachable as error:
            await self._persist(writer, Release(own_intent.key, own_intent.nonce))
            raise RequestRefused(503, "no_backend", str(error), retry_after=RETRY_AFTER) from error
        except BackendError as error:
            raise RequestRefused(502, "answer_lost", str(error), Ran.UNKNOWN) from error
        await self._persist(writer, outcome_of(own_intent, answer))
        return answer

    async def _write_intent(
        self, writer: BucketWriter, own_intent: Intent
    ) -> Record | Tombstone | None:
        """Write the intent; return the record in force, which may be an earlier call's."""
        try:
            return await writer.append(own_intent)
        except BucketFull as error:
            detail = "there is no room to record another non-repeatable call"
            raise RequestRefused(503, "records_full", detail, retry_after=60.0) from error
        except PlatformAnswerLost as error:
            # Nothing is sent, so the intent must not block the key if it was written after all.
            self._persist_later(writer, Release(own_intent.key, own_intent.nonce))
            raise self._platform_down_refusal() from error
        except PlatformError as error:
            raise self._platform_down_refusal() from error

    def _platform_down_refusal(self) -> RequestRefused:
        detail = "the key-value service cannot be asked"
        return RequestRefused(503, "platform_down", detail, retry_after=RETRY_AFTER)

    async def _answer_from_record(
        self, writer: BucketWriter, found: Record | Tombstone | None, own_intent: Intent
    ) -> CallAnswer | None:
        """Answer from the record of an earlier call with the key; None if it was released."""
        deadline = time.monotonic() + OUTCOME_WAIT
        while self._is_pending(found, own_intent) and time.monotonic() < deadline:
            await asyncio.sleep(OUTCOME_POLL)
            if found.intent.nonce not in self.running:
                try:
                    await writer.refresh()
                except PlatformError:
                    break
            found = writer.find(own_intent.key)
        match found:
            case Tombstone(ran=ran):
                raise expired_refusal(ran)
            case Record(intent=intent, outcome=outcome):
                if intent.request != own_intent.request:
                    detail = "the Idempotency-Key was used for another call"
                    raise RequestRefused(422, "key_reused", detail)
                if intent.expires < self.store.clock.earliest():
                    raise expired_refusal(outcome is not None)
                return recorded_answer(outcome)
        return None

    def _is_pending(self, found: Record | Tombstone | None, own_intent: Intent) -> bool:
        """Return True if an earlier call for the same request has no outcome yet."""
        return (
            isinstance(found, Record)
            and found.outcome is None
            and found.intent.request == own_intent.request
        )

    async def _persist(self, writer: BucketWriter, row: Outcome | Release) -> None:
        """Write an outcome or release; retry in the background if the platform fails."""
        try:
            await writer.append(row)
        except PlatformError as error:
            logs.warning("record not written yet", bucket=writer.prefix, why=str(error))
            self._persist_later(writer, row)

    def _persist_later(self, writer: BucketWriter, row: Outcome | Release) -> None:
        task = asyncio.create_task(self._retry_append(writer, row))
        self.persisting.add(task)
        task.add_done_callback(self.persisting.discard)

    async def _retry_append(self, writer: BucketWriter, row: Outcome | Release) -> None:
        deadline = time.monotonic() + PERSIST_TIMEOUT
        pause = PERSIST_RETRY_DELAY
        while time.monotonic() < deadline:
            await asyncio.sleep(pause)
            pause = min(MAX_PERSIST_RETRY_DELAY, 2 * pause)
            try:
                await writer.append(row)
                return
            except PlatformError as error:
                logs.debug("record not written", bucket=writer.prefix, why=str(error))
        logs.error("record not written; giving up", bucket=writer.prefix, row=type(row).__name__)

    def _writer(self, prefix: str) -> BucketWriter:
        """Return a bucket's writer, and drop writers that have been idle for a while."""
        now = time.monotonic()
        for name, writer in list(self.writers.items()):
            if writer.is_idle and now - writer.last_used > WRITER_IDLE_TIMEOUT:
                del self.writers[name]
        if prefix not in self.writers:
            self.writers[prefix] = BucketWriter(self.store, prefix)
        return self.writers[prefix]


def expired_refusal(ran: bool) -> RequestRefused:
    """Return the refusal for a key whose outcome is no longer kept."""
    detail = "an earlier call used this Idempotency-Key; its answer is no longer kept"
    return RequestRefused(409, "outcome_expired", detail, Ran.YES if ran else Ran.UNKNOWN)


def recorded_answer(outcome: Outcome | None) -> CallAnswer:
    """Return the recorded answer, or raise a refusal that says whether the call ran."""
    if outcome is None:
        detail = "a call with this Idempotency-Key is in progress or its outcome is unknown"
        raise RequestRefused(409, "in_progress", detail, Ran.UNKNOWN, RETRY_AFTER)
    if outcome.body is None:
        detail = f"the call ran with status {outcome.status}; its answer was too long to keep"
        raise RequestRefused(409, "answer_not_kept", detail, Ran.YES)
    return CallAnswer(outcome.status, outcome.headers, outcome.body)
