"""Limits the memory of answers that are read whole before they are forwarded."""

from collections.abc import Iterator
from contextlib import contextmanager

from attrs import define

from papayacourse.exceptions import BackendProtocolError

MAX_ANSWER_BYTES = 8 * 1024 * 1024
MAX_TOTAL_ANSWER_BYTES = 32 * 1024 * 1024


@define(eq=False)
class AnswerMemory:
    """The memory limit of all answers together.

    Attributes
    ----------
    limit, used : int
        The largest and the current total size, in bytes.
    """

    limit: int = MAX_TOTAL_ANSWER_BYTES
    used: int = 0

    @contextmanager
    def reservation(self) -> Iterator["AnswerReservation"]:
        """Reserve memory for a request's answers until the request is done."""
        reservation = AnswerReservation(self)
        try:
            yield reservation
        finally:
            reservation.release()


@define(eq=False)
class AnswerReservation:
    """The memory reserved for the answers to one request.

    Attributes
    ----------
    used : int
        The reserved size, in bytes.
    """

    memory: AnswerMemory
    used: int = 0

    def reserve(self, size: int) -> None:
        """Reserve ``size`` more bytes; raise BackendProtocolError if that exceeds a limit."""
        if self.used + size > MAX_ANSWER_BYTES:
            raise BackendProtocolError(f"an answer longer than {MAX_ANSWER_BYTES} bytes")
        if self.memory.used + size > self.memory.limit:
            raise BackendProtocolError("no room for the answer beside the others that are read")
        self.used += size
        self.memory.used += size

    def release(self) -> None:
        """Release all reserved memory."""
        self.memory.used -= self.used
        self.used = 0
