"""Keeps non-repeatable calls from running twice, through records in the key-value service.

An intent is written before a call is sent, and its outcome afterwards. Only the writer of an intent
may release it, when nothing was sent; nobody takes one over. Outcomes are kept for the service's
``record_retention``; after that a tombstone of the key refuses it for the team's
``record_forget_after``. A key that carries a time (UUIDv7) older than that, less a day for clocks
that are wrong, is refused whatever is known of it.
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
    MAX_KEPT_ANSWER,
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
from papayacourse.deaths import RequestGuard
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
from papayacourse.settings import ServiceSettings, TeamSettings
from papayacourse.types import Host, Ran

RETRY_AFTER = 2.0  # seconds
MAX_INTENT_AGE = 10.0  # seconds from the start of an intent's write to the send
OUTCOME_WAIT = 2.0  # seconds that a repeat waits for the outcome of the first
OUTCOME_POLL = 0.25  # seconds
PERSIST_LIMIT = 600.0  # seconds
PERSIST_PAUSE = 1.0  # seconds, doubled after each failure
MAX_PERSIST_PAUSE = 10.0  # seconds
KEY_CLOCK_SKEW = 86400.0  # seconds that a key's own time may be wrong
MAX_SKEW_SHARE = 1 / 30  # of the time for which keys are remembered
IDLE_LIMIT = 60.0  # seconds without use after which a bucket is dropped from memory
NONCE_BYTES = 8
REQUEST_BYTES = 8
CLOCK_KEY = "/records"  # read for the date of the answer alone
UUID_TIME_SHIFT = 80  # bits below the milliseconds of a UUIDv7


@frozen
class IntentClock:
    """When an intent began to be written, on both clocks.

    The monotonic clock may stand still while a virtual machine is suspended; the wall clock may be
    set back.
    """

    monotonic: float = field(factory=time.monotonic)
    wall: float = field(factory=time.time)

    def check(self) -> None:
        """Raise BackendUnreachable when the intent is too old for its call to be sent."""
        age = max(time.monotonic() - self.monotonic, time.time() - self.wall)
        if age > MAX_INTENT_AGE:
            raise BackendUnreachable(f"not sent: its intent is {age:.0f} s old")


def request_hash(call: PlainCall) -> bytes:
    """Return a hash of what a call asks for."""
    whole = cbor2.dumps([call.method, call.path, call.body])
    return hashlib.sha256(whole).digest()[:REQUEST_BYTES]


def outcome_of(intent: Intent, answer: CallAnswer) -> Outcome:
    """Return what is kept of an answer."""
    size = len(answer.body) + sum(len(name) + len(value) for name, value in answer.headers)
    if size > MAX_KEPT_ANSWER:
        return Outcome(intent.key, intent.nonce, answer.status)
    return Outcome(intent.key, intent.nonce, answer.status, answer.headers, answer.body)


def key_time(key: str) -> float | None:
    """Return the time that a UUIDv7 key carries, in seconds of the epoch."""
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
        The nonces of the calls that this daemon has in progress.
    """

    store: KeyValueStore
    team_settings: Callable[[str], TeamSettings] = lambda _team: TeamSettings()
    writers: dict[str, BucketWriter] = field(factory=dict)
    running: set[bytes] = field(factory=set)
    persisting: set[asyncio.Task] = field(factory=set)

    # Queries.

    def describe(self, team: str, key: bytes) -> dict:
        """Return what this daemon knows of a key, for operators."""
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
        """Refuse a key whose own time is before anything that is still remembered.

        Raises
        ------
        RequestRefused
            With ``ran`` unknown for such a key.
        """
        made = key_time(key)
        if made is None:
            return
        remembered = self.team_settings(team).record_forget_after
        now = self.store.clock.latest()
        if made < now - remembered + min(KEY_CLOCK_SKEW, remembered * MAX_SKEW_SHARE):
            detail = "the Idempotency-Key is older than any record; it is never run"
            raise RequestRefused(409, "key_expired", detail, Ran.UNKNOWN)
        if made > now + KEY_CLOCK_SKEW:
            detail = "the Idempotency-Key carries a time that is still to come"
            raise RequestRefused(400, "key_in_future", detail)

    # Commands.

    async def compare_clocks(self) -> None:
        """Have the platform's time once before anything rests on the time.

        A daemon may have learnt all settings from its peers, and never have asked the platform.

        Raises
        ------
        RequestRefused
            When the platform cannot be asked; nothing could be recorded either.
        """
        if self.store.clock.compared:
            return
        try:
            await self.store.get(CLOCK_KEY)
        except PlatformError as error:
            raise self._platform_down() from error

    async def run(
        self,
        team: str,
        key: bytes,
        call: PlainCall,
        servers: list[Host],
        guard: RequestGuard,
        settings: ServiceSettings,
    ) -> CallAnswer:
        """Run a call unless its record says that it ran, or may have.

        Raises
        ------
        RequestRefused
            With ``ran`` as far as it can be proved.
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
        """Run a call or answer from its record; None if an intent was met that is withdrawn now."""
        writer = self._writer(bucket_prefix(team, bucket_of(key)))
        writer.limits = self.team_settings(team)
        clock = IntentClock()
        created = self.store.clock.latest()
        expires = created + settings.record_retention
        nonce = secrets.token_bytes(NONCE_BYTES)
        mine = Intent(key, nonce, request_hash(call), created, expires)
        self.running.add(nonce)
        try:
            found = await self._intend(writer, mine)
            if isinstance(found, Record) and found.intent == mine:
                invariants.check(found.outcome is None, "own_intent_is_open", key=key.hex())
                return await self._send(writer, mine, call, servers, guard, settings, clock.check)
        finally:
            self.running.discard(nonce)
        return await self._earlier(writer, found, mine)

    async def _send(
        self,
        writer: BucketWriter,
        mine: Intent,
        call: PlainCall,
        servers: list[Host],
        guard: RequestGuard,
        settings: ServiceSettings,
        may_send: Callable[[], None],
    ) -> CallAnswer:
        try:
            guard.check()
        except RequestRefused:
            await self._persist(writer, Release(mine.key, mine.nonce))
            raise
        try:
            answer = await forward_to_any(servers, call, settings.call_timeout, guard, may_send)
        except BackendUnreachable as error:
            await self._persist(writer, Release(mine.key, mine.nonce))
            raise RequestRefused(503, "no_backend", str(error), retry_after=RETRY_AFTER) from error
        except BackendError as error:
            raise RequestRefused(502, "answer_lost", str(error), Ran.UNKNOWN) from error
        await self._persist(writer, outcome_of(mine, answer))
        return answer

    async def _intend(self, writer: BucketWriter, mine: Intent) -> Record | Tombstone | None:
        """Write the intent; returns what is in force, ours or an earlier one."""
        try:
            return await writer.append(mine)
        except BucketFull as error:
            detail = "there is no room to record another non-repeatable call"
            raise RequestRefused(503, "records_full", detail, retry_after=60.0) from error
        except PlatformAnswerLost as error:
            # Nothing is sent, so if the intent stands after all it must not block the key.
            self._persist_later(writer, Release(mine.key, mine.nonce))
            raise self._platform_down() from error
        except PlatformError as error:
            raise self._platform_down() from error

    def _platform_down(self) -> RequestRefused:
        detail = "the key-value service cannot be asked"
        return RequestRefused(503, "platform_down", detail, retry_after=RETRY_AFTER)

    async def _earlier(
        self, writer: BucketWriter, found: Record | Tombstone | None, mine: Intent
    ) -> CallAnswer | None:
        """Answer from what an earlier call with the key has left; None if it left nothing."""
        deadline = time.monotonic() + OUTCOME_WAIT
        while self._may_yet_come(found, mine) and time.monotonic() < deadline:
            await asyncio.sleep(OUTCOME_POLL)
            if found.intent.nonce not in self.running:
                try:
                    await writer.refresh()
                except PlatformError:
                    break
            found = writer.find(mine.key)
        match found:
            case Tombstone(ran=ran):
                raise expired(ran)
            case Record(intent=intent, outcome=outcome):
                if intent.request != mine.request:
                    detail = "the Idempotency-Key was used for another call"
                    raise RequestRefused(422, "key_reused", detail)
                if intent.expires < self.store.clock.earliest():
                    raise expired(outcome is not None)
                return kept_answer(outcome)
        return None

    def _may_yet_come(self, found: Record | Tombstone | None, mine: Intent) -> bool:
        """Tell whether an outcome is missing that a call of this request may still bring."""
        return (
            isinstance(found, Record)
            and found.outcome is None
            and found.intent.request == mine.request
        )

    async def _persist(self, writer: BucketWriter, row: Outcome | Release) -> None:
        """Write what became of an intent; later, if it cannot be written now."""
        try:
            await writer.append(row)
        except PlatformError as error:
            logs.warning("record not written yet", bucket=writer.prefix, why=str(error))
            self._persist_later(writer, row)

    def _persist_later(self, writer: BucketWriter, row: Outcome | Release) -> None:
        task = asyncio.create_task(self._keep_trying(writer, row))
        self.persisting.add(task)
        task.add_done_callback(self.persisting.discard)

    async def _keep_trying(self, writer: BucketWriter, row: Outcome | Release) -> None:
        deadline = time.monotonic() + PERSIST_LIMIT
        pause = PERSIST_PAUSE
        while time.monotonic() < deadline:
            await asyncio.sleep(pause)
            pause = min(MAX_PERSIST_PAUSE, 2 * pause)
            try:
                await writer.append(row)
                return
            except PlatformError as error:
                logs.debug("record not written", bucket=writer.prefix, why=str(error))
        logs.error("record given up", bucket=writer.prefix, row=type(row).__name__)

    def _writer(self, prefix: str) -> BucketWriter:
        """Return a bucket's writer; drops those not used for some time."""
        now = time.monotonic()
        for name, writer in list(self.writers.items()):
            if writer.idle and now - writer.last_used > IDLE_LIMIT:
                del self.writers[name]
        if prefix not in self.writers:
            self.writers[prefix] = BucketWriter(self.store, prefix)
        return self.writers[prefix]


def expired(ran: bool) -> RequestRefused:
    """Return the answer to a key whose outcome is no longer kept."""
    detail = "an earlier call used this Idempotency-Key; its answer is no longer kept"
    return RequestRefused(409, "outcome_expired", detail, Ran.YES if ran else Ran.UNKNOWN)


def kept_answer(outcome: Outcome | None) -> CallAnswer:
    """Return the answer that a record keeps, or refuse with what it does tell."""
    if outcome is None:
        detail = "a call with this Idempotency-Key is in progress or its outcome is unknown"
        raise RequestRefused(409, "in_progress", detail, Ran.UNKNOWN, RETRY_AFTER)
    if outcome.body is None:
        detail = f"the call ran with status {outcome.status}; its answer was too long to keep"
        raise RequestRefused(409, "answer_not_kept", detail, Ran.YES)
    return CallAnswer(outcome.status, outcome.headers, outcome.body)
