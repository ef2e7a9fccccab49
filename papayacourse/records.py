"""Keeps non-repeatable calls from running twice, through records in the key-value service."""

import asyncio
import base64
import hashlib
import json
import secrets
import time

import cbor2
from attrs import define, evolve, field, frozen

from papayacourse import logs
from papayacourse.exceptions import (
    BackendError,
    BackendUnreachable,
    PlatformAnswerLost,
    PlatformError,
    RequestRefused,
)
from papayacourse.kvstore import Entry, KeyValueStore, Written
from papayacourse.messages import CallAnswer
from papayacourse.plain import PlainCall, forward_to_any
from papayacourse.types import Ran

BUCKETS = 256
SWAP_TRIES = 20
SWAP_PAUSE = 0.02  # seconds, times the number of the try
RETRY_AFTER = 2.0  # seconds


@frozen
class Record:
    """What is known of one non-repeatable call.

    Attributes
    ----------
    nonce : str
        Chosen by the daemon that wrote the intent; proves whose it is.
    request : str
        A hash of the call, so that a key is not used for two different ones.
    answer : CallAnswer or None
        The outcome, once there is one.
    """

    nonce: str
    request: str
    created: float
    answer: CallAnswer | None = None


Bucket = dict[str, Record]


def key_hash(team: str, service: str, account: str, key: str) -> str:
    """Return what a record is kept under."""
    return hashlib.sha256(json.dumps([team, service, account, key]).encode()).hexdigest()


def request_hash(call: PlainCall) -> str:
    """Return a hash of what a call asks for."""
    return hashlib.sha256(cbor2.dumps([call.method, call.path, call.body])).hexdigest()


def bucket_key(team: str, record: str) -> str:
    """Return the key-value key of the bucket that holds a record."""
    return f"/records/{team}/{int(record[:8], 16) % BUCKETS:03d}"


def pack_record(record: Record) -> list:
    """Write one record as a row."""
    answer = record.answer and [record.answer.status, record.answer.headers, record.answer.body]
    return [record.nonce, record.request, record.created, answer]


def pack(bucket: Bucket) -> str:
    """Write a bucket as text for the key-value service."""
    rows = {name: pack_record(record) for name, record in bucket.items()}
    return base64.b64encode(cbor2.dumps(rows)).decode()


def unpack(entry: Entry) -> Bucket:
    """Read a bucket; one never written is empty."""
    if entry.value is None:
        return {}
    bucket = {}
    for name, (nonce, request, created, answer) in cbor2.loads(
        base64.b64decode(entry.value)
    ).items():
        if answer is not None:
            status, headers, body = answer
            answer = CallAnswer(status, tuple((k, v) for k, v in headers), body)
        bucket[name] = Record(nonce, request, created, answer)
    return bucket


@define(eq=False)
class Records:
    """Runs non-repeatable calls at most once."""

    store: KeyValueStore
    lock: asyncio.Lock = field(factory=asyncio.Lock)

    async def run(
        self, team: str, record: str, call: PlainCall, addresses: list[str], timeout: float
    ) -> CallAnswer:
        """Run a call unless its record says that it ran, or may have.

        Raises
        ------
        RequestRefused
            With ``ran`` as far as it can be proved.
        """
        mine = Record(secrets.token_hex(8), request_hash(call), time.time())
        key = bucket_key(team, record)
        found = await self._intend(key, record, mine)
        if found.nonce != mine.nonce:
            return self._earlier(found, mine)
        try:
            answer = await forward_to_any(addresses, call, timeout)
        except BackendUnreachable as error:
            await self._release(key, record, mine)
            raise RequestRefused(503, "no_backend", str(error), retry_after=RETRY_AFTER) from error
        except BackendError as error:
            raise RequestRefused(502, "answer_lost", str(error), Ran.UNKNOWN) from error
        await self._conclude(key, record, evolve(mine, answer=answer))
        return answer

    def _earlier(self, found: Record, mine: Record) -> CallAnswer:
        if found.request != mine.request:
            raise RequestRefused(422, "key_reused", "the Idempotency-Key was used for another call")
        if found.answer is None:
            detail = "a call with this Idempotency-Key is in progress or its outcome is unknown"
            raise RequestRefused(409, "in_progress", detail, Ran.UNKNOWN, RETRY_AFTER)
        return found.answer

    async def _intend(self, key: str, record: str, mine: Record) -> Record:
        """Write the intent; returns the record in force, ours or an earlier one."""
        try:
            return await self._update(key, record, lambda old: old or mine)
        except PlatformError as error:
            raise RequestRefused(
                503,
                "platform_down",
                "the key-value service cannot be asked",
                retry_after=RETRY_AFTER,
            ) from error

    async def _release(self, key: str, record: str, mine: Record) -> None:
        def release(old: Record | None) -> Record | None:
            return None if old is not None and old.nonce == mine.nonce else old

        try:
            await self._update(key, record, release)
        except PlatformError as error:
            logs.error("intent not released", record=record, why=str(error))

    async def _conclude(self, key: str, record: str, done: Record) -> None:
        try:
            await self._update(key, record, lambda old: done)
        except PlatformError as error:
            logs.error("outcome not recorded", record=record, why=str(error))

    async def _update(self, key: str, record: str, change) -> Record | None:
        """Change one record by compare-and-swap; returns the record in force."""
        for number in range(1, SWAP_TRIES + 1):
            entry = await self.store.get(key)
            bucket = unpack(entry)
            new = change(bucket.get(record))
            if new == bucket.get(record):
                return new
            changed = {name: r for name, r in bucket.items() if name != record}
            if new is not None:
                changed[record] = new
            try:
                if isinstance(await self.store.swap(key, pack(changed), entry.revision), Written):
                    return new
            except PlatformAnswerLost:
                # It may have been written: the next read finds our nonce there, or not.
                pass
            await asyncio.sleep(SWAP_PAUSE * number)
        raise PlatformError(f"{key} could not be changed in {SWAP_TRIES} tries")
