"""Lets a caller that repeats its Idempotency-Key join the generation that runs already."""

import hashlib
from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define, field

from papayacourse.exceptions import RequestRefused

MAX_KEY_LENGTH = 255  # characters
PREFIX = "key~"  # no daemon's name contains a tilde
KEY_DIGITS = 32
BODY_DIGITS = 16


def keyed_stream(team: str, service: str, account: str, key: str, body: str) -> str:
    """Return the stream id that every daemon derives from a key and a request's meaning.

    Raises
    ------
    RequestRefused
        When the key's length cannot be accepted.
    """
    if not 1 <= len(key) <= MAX_KEY_LENGTH:
        detail = f"an Idempotency-Key is 1 to {MAX_KEY_LENGTH} characters long"
        raise RequestRefused(400, "bad_key_length", detail)
    owner = "\0".join((team, service, account, key))
    name = hashlib.sha256(owner.encode()).hexdigest()[:KEY_DIGITS]
    return f"{PREFIX}{name}-{hashlib.sha256(body.encode()).hexdigest()[:BODY_DIGITS]}"


def key_part(stream: str) -> str:
    """Return what streams of the same key have in common; empty for a stream without a key."""
    return stream.partition("-")[0] if stream.startswith(PREFIX) else ""


def first_id(stream: str) -> str:
    """Return the id of a keyed stream's first start; later starts have a number added."""
    return stream.partition(".")[0] if stream.startswith(PREFIX) else stream


def key_reused() -> RequestRefused:
    """Make the refusal of a key that came with another body."""
    return RequestRefused(422, "key_reused", "the Idempotency-Key belongs to another request")


@define(eq=False)
class KeyedRelays:
    """The relays of this daemon whose requests carry a key, by :func:`key_part`."""

    running: dict[str, object] = field(factory=dict)

    def find(self, stream: str):
        """Return the relay that a request with this stream id joins, or None.

        Raises
        ------
        RequestRefused
            When the key runs with another body.
        """
        relay = self.running.get(key_part(stream))
        if relay is not None and first_id(relay.generation.stream) != stream:
            raise key_reused()
        return relay

    def add(self, relay) -> None:
        """Let others join a relay."""
        name = key_part(relay.generation.stream)
        if name:
            self.running[name] = relay

    def remove(self, relay) -> None:
        """Stop others from joining a relay, once it has ended."""
        name = key_part(relay.generation.stream)
        if self.running.get(name) is relay:
            del self.running[name]

    @contextmanager
    def joinable(self, relay) -> Iterator[None]:
        """Let others join a relay for as long as it is relayed, or held for its caller."""
        self.add(relay)
        try:
            yield
        finally:
            if not relay.held:
                self.remove(relay)
