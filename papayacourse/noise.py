"""Tells streams of events from bytes that come without end."""

import time
from collections.abc import Callable

from attrs import define

from papayacourse.exceptions import BackendProtocolError

MAX_EVENT_BYTES = 256 * 1024


@define
class Noise:
    """Tells an engine that generates from one that only sends bytes.

    Attributes
    ----------
    patience : float
        How long bytes may come without a new event once there was one, in seconds.
    has_begun : bool
        Whether an event has come; before that the caller's time is the limit.
    size : int
        The bytes that have come since the last new event.
    since : float
        When the first of those came, in seconds of the clock.
    """

    patience: float
    clock: Callable[[], float] = time.monotonic
    has_begun: bool = False
    size: int = 0
    since: float = 0.0

    def note(self, size: int, has_new_event: bool) -> None:
        """Count a piece of the stream; raises BackendProtocolError when it is but noise."""
        if has_new_event:
            self.size, self.has_begun = 0, True
            return
        if not self.size:
            self.since = self.clock()
        self.size += size
        if self.size > MAX_EVENT_BYTES:
            raise BackendProtocolError(f"{self.size} bytes without a new event")
        if self.has_begun and self.clock() - self.since > self.patience:
            raise BackendProtocolError(f"bytes without a new event for {self.patience:.1f} s")
