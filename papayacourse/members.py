"""What is known of one other daemon."""

import time

from attrs import define, field

from papayacourse.meshmessages import Heartbeat

NEVER = float("-inf")


@define
class Member:
    """A daemon that has been heard of.

    Attributes
    ----------
    last_heard, suspected, died : float
        When it was heard, when it last failed to answer a call in time, and when it was last
        taken for dead, in seconds of the monotonic clock.
    beat : Heartbeat or None
        Its last heartbeat in full.
    told_at : float
        When that came.
    listed : bool
        Whether the newest host list has it.
    listed_leaving : bool
        Whether that list says that it has been told to leave.
    """

    name: str
    domain: str
    region: str
    incarnation: int = 0
    last_heard: float = NEVER
    suspected: float = NEVER
    died: float = NEVER
    leaving: bool = False
    beat: Heartbeat | None = None
    told_at: float = NEVER
    known_since: float = field(factory=time.monotonic)
    listed: bool = False
    listed_leaving: bool = False
    listed_mesh: str = ""

    @property
    def is_dead(self) -> bool:
        """Tell whether it was never heard, or not since it was taken for dead."""
        return self.last_heard <= self.died

    @property
    def is_on_ring(self) -> bool:
        """Tell whether it has said that it watches its neighbours on the ring only."""
        return self.beat is not None and self.beat.on_ring

    @property
    def answers(self) -> bool:
        """Tell whether it lives and has been heard since a call to it last failed."""
        return not self.is_dead and self.last_heard > self.suspected
