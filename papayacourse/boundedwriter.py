"""Writes lines to a descriptor without ever waiting, and not more of them than a bound."""

import json
import os
import time
from collections.abc import Callable

from attrs import define, field

LINES_PER_SECOND = 400.0
BURST_LINES = 2000.0
MAX_UNWRITTEN = 256 * 1024  # bytes that wait for a reader who does not keep up


@define(eq=False)
class BoundedWriter:
    """A file-like object for log lines.

    Attributes
    ----------
    descriptor : int
        Where to write; it is made non-blocking.
    unwritten : bytearray
        What its reader has not taken yet.
    left_out : int
        Lines left out since the last note of it.
    """

    descriptor: int
    clock: Callable[[], float] = time.monotonic
    allowance: float = BURST_LINES
    filled_at: float = 0.0
    unwritten: bytearray = field(factory=bytearray)
    left_out: int = 0

    def __attrs_post_init__(self) -> None:
        os.set_blocking(self.descriptor, False)
        self.filled_at = self.clock()

    def write(self, line: bytes) -> int:
        """Take a line, or count it as left out."""
        self._refill()
        if self.allowance < 1 or len(self.unwritten) > MAX_UNWRITTEN:
            self.left_out += 1
            return len(line)
        self.allowance -= 1
        if self.left_out:
            note = {
                "message_type": "log lines left out",
                "level": "warning",
                "lines": self.left_out,
            }
            self.unwritten += json.dumps(note).encode() + b"\n"
            self.left_out = 0
        self.unwritten += line
        return len(line)

    def flush(self) -> None:
        """Write what the reader takes now."""
        while self.unwritten:
            try:
                done = os.write(self.descriptor, self.unwritten)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads the log any more; there is nowhere to say so.
                self.unwritten.clear()
                return
            del self.unwritten[:done]

    def _refill(self) -> None:
        now = self.clock()
        earned = (now - self.filled_at) * LINES_PER_SECOND
        self.allowance = min(BURST_LINES, self.allowance + earned)
        self.filled_at = now
