"""Compares the host's clock with the platform's, to tolerate a wrong clock on either."""

import time
from collections.abc import Callable
from email.utils import parsedate_to_datetime

from attrs import define

from papayacourse import logs

DATE_RESOLUTION = 1.0  # seconds
TOLERANCE = 5.0  # seconds; smaller differences are ignored


@define(eq=False)
class PlatformClock:
    """The host's wall clock, and the platform's from the ``Date`` header of its answers.

    Either clock may be wrong. Data with a retention is stamped with the later clock and expired by
    the earlier one, so a single wrong clock never shortens the retention.

    Attributes
    ----------
    host : callable
        Returns the host's wall clock time, in seconds of the epoch.
    offset : float
        Platform time minus host time, in seconds; 0 if they agree.
    compared : bool
        True once the clocks have been compared.
    """

    host: Callable[[], float] = time.time
    offset: float = 0.0
    compared: bool = False

    def latest(self) -> float:
        """Return the later of both clocks, in seconds of the epoch."""
        return self.host() + max(0.0, self.offset)

    def earliest(self) -> float:
        """Return the earlier of both clocks, in seconds of the epoch."""
        return self.host() + min(0.0, self.offset)

    def record_date(self, date: str, asked: float, answered: float) -> None:
        """Update the offset from the ``Date`` header of an answer.

        Parameters
        ----------
        date : str
            The ``Date`` header; ignored if it cannot be parsed.
        asked, answered : float
            The host's wall clock time before and after the call, in seconds of the epoch.
        """
        try:
            platform_time = parsedate_to_datetime(date).timestamp()
        except (TypeError, ValueError):
            return
        min_offset = platform_time - answered
        max_offset = platform_time + DATE_RESOLUTION - asked
        agree = min_offset - TOLERANCE <= 0.0 <= max_offset + TOLERANCE
        offset = 0.0 if agree else (min_offset + max_offset) / 2
        if abs(offset - self.offset) > TOLERANCE:
            logs.warning("clock differs from the platform's", seconds=round(offset, 1))
        self.offset, self.compared = offset, True
