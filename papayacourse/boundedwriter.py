"""A rate-limited, non-blocking writer of lines to a file descriptor."""

import json
import os
import time
from collections.abc import Callable

from attrs import define, field

LINES_PER_SECOND = 400.0
BURST_LINES = 2000.0
MAX_UNWRITTEN = 256 * 1024  # bytes buffered for a slow reader


@define(eq=False)
class BoundedWriter:
    """A file-like object for log lines.

    Attributes
    ----------
    descriptor : int
        The file descriptor to write to; it is made non-blocking.
    unwritten : bytearray
        Bytes not yet written to the descriptor.
    dropped_lines : int
        Lines dropped since the last line that reported drops.
    """

    descriptor: int
    clock: Callable[[], float] = time.monotonic
    allowance: float = BURST_LINES
    refilled_at: float = 0.0
    unwritten: bytearray = field(factory=bytearray)
    dropped_lines: int = 0

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self.descriptor, False)
        self.refilled_at = self.clock()

    def write(self, line: bytes) -> int:
        """Buffer a line, or drop and count it."""
        self._refill()
        if self.allowance < 1 or len(self.unwritten) > MAX_UNWRITTEN:
            self.dropped_lines += 1
            return len(line)
        self.allowance -= 1
        if self.dropped_lines:
            note = {
                "message_type": "log lines dropped",
                "level": "warning",
                "lines": self.dropped_lines,
            }
            self.unwritten += json.dumps(note).encode() + b"\n"
            self.dropped_lines = 0
        self.unwritten += line
        return len(line)

    def flush(self) -> None:
        """Write as much as possible without blocking."""
        while self.unwritten:
            try:
                done = os.write(self.descriptor, self.unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader of the log is gone, so the error cannot be logged.
                self.unwritten.clear()
                return
            del self.unwritten[:done]

    def _refill(self) -> None:
        now = self.clock()
        earned = (now - self.refilled_at) * LINES_PER_SECOND
        self.allowance = min(BURST_LINES, self.allowance + earned)
        self.refilled_at = now
