"""Detects streams that keep sending bytes but no events."""

import time
from collections.abc import Callable

from attrs import define

from papayacourse.exceptions import BackendProtocolError

MAX_EVENT_BYTES = 256 * 1024


@define
class EventProgress:
    """Checks that an engine which sends bytes also sends new events.

    Attributes
    ----------
    max_event_gap : float
        How long bytes may arrive without a new event after the first event, in seconds.
    has_begun : bool
        Whether an event has arrived; until then only the caller's deadline limits the time.
    size : int
        The number of bytes since the last new event.
    since : float
        When the first of these bytes arrived, in seconds of the clock.
    """

    max_event_gap: float
    clock: Callable[[], float] = time.monotonic
    has_begun: bool = False
    size: int = 0
    since: float = 0.0

    def record_data(self, size: int, has_new_event: bool) -> None:
        """Record a chunk of the stream; raise BackendProtocolError if a limit is exceeded."""
        if has_new_event:
            self.size, self.has_begun = 0, True
            return
        if not self.size:
            self.since = self.clock()
        self.size += size
        if self.size > MAX_EVENT_BYTES:
            raise BackendProtocolError(f"{self.size} bytes without a new event")
        if self.has_begun and self.clock() - self.since > self.max_event_gap:
            raise BackendProtocolError(f"bytes without a new event for {self.max_event_gap:.1f} s")
