"""Lets a request with a repeated Idempotency-Key join the generation already in progress."""

import hashlib
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field

from papayacourse.exceptions import RequestRefused

MAX_KEY_LENGTH = 255  # characters
PREFIX = "key~"  # no daemon's name contains a tilde
KEY_HEX_DIGITS = 32
BODY_HEX_DIGITS = 16


def keyed_stream_id(team: str, service: str, account: str, key: str, body: str) -> str:
    """Return the stream id that every daemon derives from a key and a request's contents.

    Raises
    ------
    RequestRefused
        If the key is empty or too long.
    """
    if not 1 <= len(key) <= MAX_KEY_LENGTH:
        detail = f"an Idempotency-Key is 1 to {MAX_KEY_LENGTH} characters long"
        raise RequestRefused(400, "bad_key_length", detail)
    owner = "\0".join((team, service, account, key))
    name = hashlib.sha256(owner.encode()).hexdigest()[:KEY_HEX_DIGITS]
    return f"{PREFIX}{name}-{hashlib.sha256(body.encode()).hexdigest()[:BODY_HEX_DIGITS]}"


def stream_key(stream: str) -> str:
    """Return the id prefix shared by all streams of a key; empty for a stream without a key."""
    return stream.partition("-")[0] if stream.startswith(PREFIX) else ""


def first_start_id(stream: str) -> str:
    """Return a keyed stream's id without the number that restarts append."""
    return stream.partition(".")[0] if stream.startswith(PREFIX) else stream


def key_reused() -> RequestRefused:
    """Return the refusal of a key that was used with another body."""
    return RequestRefused(422, "key_reused", "the Idempotency-Key belongs to another request")


@define(eq=False)
class KeyedRelays:
    """The relays of this daemon whose requests carry an Idempotency-Key, by :func:`stream_key`."""

    running: dict[str, object] = field(factory=dict)

    def find(self, stream: str):
        """Return the relay that a request with this stream id can join, or None.

        Raises
        ------
        RequestRefused
            If the key is in use with another body.
        """
        relay = self.running.get(stream_key(stream))
        if relay is not None and first_start_id(relay.generation.stream) != stream:
            raise key_reused()
        return relay

    def add(self, relay) -> None:
        """Make a relay joinable."""
        name = stream_key(relay.generation.stream)
        if name:
            self.running[name] = relay

    def remove(self, relay) -> None:
        """Make a relay that has ended no longer joinable."""
        name = stream_key(relay.generation.stream)
        if self.running.get(name) is relay:
            del self.running[name]

    @contextmanager
    def joinable(self, relay) -> Iterator[None]:
        """Make a relay joinable while it is in progress or held for its caller."""
        self.add(relay)
        try:
            yield
        finally:
            if not relay.held:
                self.remove(relay)
