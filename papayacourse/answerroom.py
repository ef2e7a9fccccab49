"""Bounds the memory that answers take which are read whole before they are passed on."""

from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define

from papayacourse.exceptions import BackendProtocolError

MAX_ANSWER_BYTES = 8 * 1024 * 1024
ROOM_BYTES = 32 * 1024 * 1024


@define(eq=False)
class AnswerRoom:
    """What all answers may take together.

    Attributes
    ----------
    taken : int
        What they take now, in bytes.
    """

    limit: int = ROOM_BYTES
    taken: int = 0

    @contextmanager
    def share(self) -> Iterator["AnswerShare"]:
        """Give a request its share for as long as it is worked on."""
        share = AnswerShare(self)
        try:
            yield share
        finally:
            share.release()


@define(eq=False)
class AnswerShare:
    """What the answers to one request take.

    Attributes
    ----------
    taken : int
        In bytes.
    """

    room: AnswerRoom
    taken: int = 0

    def take(self, size: int) -> None:
        """Take so many bytes more; raises BackendProtocolError when there is no room for them."""
        if self.taken + size > MAX_ANSWER_BYTES:
            raise BackendProtocolError(f"an answer longer than {MAX_ANSWER_BYTES} bytes")
        if self.room.taken + size > self.room.limit:
            raise BackendProtocolError("no room for the answer beside the others that are read")
        self.taken += size
        self.room.taken += size

    def release(self) -> None:
        """Give everything back: what was read is not kept any more."""
        self.room.taken -= self.taken
        self.taken = 0
