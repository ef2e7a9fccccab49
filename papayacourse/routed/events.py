"""Splits a stream into whole events, so that nothing of a broken one is passed on."""

import re

from attrs import define, field

from papayacourse.eventprogress import MAX_EVENT_BYTES
from papayacourse.exceptions import BackendProtocolError

MAX_ID_DIGITS = 18
EVENT_END = re.compile(rb"\r?\n\r?\n")


@define
class EventSplitter:
    """Takes pieces of a stream and gives whole events.

    Attributes
    ----------
    rest : bytearray
        The beginning of an event that has not come whole.
    """

    rest: bytearray = field(factory=bytearray)

    def feed(self, chunk: bytes) -> list[bytes]:
        """Return the events that a piece completes, each with the empty line that ends it.

        Raises
        ------
        BackendProtocolError
            When an event is longer than any may be.
        """
        self.rest += chunk
        events, begin = [], 0
        for end in EVENT_END.finditer(self.rest):
            events.append(bytes(self.rest[begin : end.end()]))
            begin = end.end()
        del self.rest[:begin]
        if len(self.rest) > MAX_EVENT_BYTES:
            raise BackendProtocolError(f"an event longer than {MAX_EVENT_BYTES} bytes")
        return events


def follows(last: str, event_id: str) -> bool:
    """Tell whether an event is the one after the last, as far as ids that are numbers tell."""
    if not last or not (is_number(last) and is_number(event_id)):
        return True
    return int(event_id) == int(last) + 1


def is_number(event_id: str) -> bool:
    """Tell whether an id is a number that events may be counted by."""
    return event_id.isdecimal() and len(event_id) <= MAX_ID_DIGITS


def is_older(last: str, event_id: str) -> bool:
    """Tell whether an event has been passed on already."""
    return int(event_id) <= int(last)
