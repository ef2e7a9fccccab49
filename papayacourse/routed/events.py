"""Splits a byte stream into complete events, so that no partial event is relayed."""

import re

from attrs import define, field

from papayacourse.eventprogress import MAX_EVENT_BYTES
from papayacourse.exceptions import BackendProtocolError

MAX_ID_DIGITS = 18
MAX_ID_LENGTH = 200  # characters; a head has room for it beside a request's own headers
NOT_IN_HEADER = re.compile(r"[\x00-\x1f\x7f]")
EVENT_END = re.compile(rb"\r?\n\r?\n")


@define
class EventSplitter:
    """Splits the chunks of a stream into complete events.

    Attributes
    ----------
    buffer : bytearray
        The start of an incomplete event.
    """

    buffer: bytearray = field(factory=bytearray)

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the events that a chunk completes, each with its terminating empty line.

        Raises
        ------
        BackendProtocolError
            When an event is longer than MAX_EVENT_BYTES.
        """
        self.buffer += chunk
        events, begin = [], 0
        for end in EVENT_END.finditer(self.buffer):
            events.append(bytes(self.buffer[begin : end.end()]))
            begin = end.end()
        del self.buffer[:begin]
        if len(self.buffer) > MAX_EVENT_BYTES:
            raise BackendProtocolError(f"an event longer than {MAX_EVENT_BYTES} bytes")
        return events


def is_next_event(last: str, event_id: str) -> bool:
    """Return False if numeric ids show that an event is not the one after `last`."""
    if not last or not (is_number(last) and is_number(event_id)):
        return True
    return int(event_id) == int(last) + 1


def is_number(event_id: str) -> bool:
    """Return True if an id is a number by which events can be ordered."""
    return event_id.isdecimal() and len(event_id) <= MAX_ID_DIGITS


def is_older(last: str, event_id: str) -> bool:
    """Return True if an event with a numeric id is not newer than `last`."""
    return int(event_id) <= int(last)


def can_resume_after(event_id: str) -> bool:
    """Return True if an id can be sent in a header, so that a run can be resumed after it."""
    return len(event_id) <= MAX_ID_LENGTH and not NOT_IN_HEADER.search(event_id)


def position(last: str, event_id: str) -> str:
    """Return the id that stands for an event when its run is resumed.

    An id that no header can carry is replaced by the number after `last`, if that is a number.
    """
    if can_resume_after(event_id) or not is_number(last):
        return event_id
    return str(int(last) + 1)
