"""Compares the host's clock with the platform's, so that nothing rests on one that is wrong."""

import time
from collections.abc import Callable
from email.utils import parsedate_to_datetime

from attrs import define

from papayacourse import logs

DATE_RESOLUTION = 1.0  # seconds
TOLERANCE = 5.0  # seconds by which the clocks may differ unnoticed


@define(eq=False)
class PlatformClock:
    """The host's wall clock, and the platform's as the ``Date`` of its answers gives it.

    Neither clock is known to be right. What is remembered for a time is stamped by the later of
    them and forgotten by the earlier, so that a single wrong clock never makes it too short.

    Attributes
    ----------
    host : callable
        Returns the host's wall time, in seconds of the epoch.
    offset : float
        What has to be added to it to have the platform's, in seconds.
    compared : bool
        Whether the clocks have been compared at all.
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

    def note(self, date: str, asked: float, answered: float) -> None:
        """Take the date of an answer.

        Parameters
        ----------
        date : str
            The ``Date`` header; one that cannot be read tells nothing.
        asked, answered : float
            The host's wall time before the call and after it, in seconds of the epoch.
        """
        try:
            told = parsedate_to_datetime(date).timestamp()
        except (TypeError, ValueError):
            return
        least = told - answered
        most = told + DATE_RESOLUTION - asked
        agree = least - TOLERANCE <= 0.0 <= most + TOLERANCE
        offset = 0.0 if agree else (least + most) / 2
        if abs(offset - self.offset) > TOLERANCE:
            logs.warning("clock differs from the platform's", seconds=round(offset, 1))
        self.offset, self.compared = offset, True
