"""The state that a daemon keeps about another daemon."""

import time

from attrs import define, field

from papayacourse.meshmessages import Heartbeat

NEVER = float("-inf")


@define
class Member:
    """Another daemon of the fleet, as known here.

    Attributes
    ----------
    last_heard, suspected, died : float
        When its last frame arrived, when it last timed out on a call, and when it was last
        declared dead, in seconds of the monotonic clock.
    beat : Heartbeat or None
        Its last full heartbeat.
    heartbeat_at : float
        When that heartbeat arrived.
    listed : bool
        Whether the newest host list contains it.
    listed_leaving : bool
        Whether that list marks it as leaving.
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
    heartbeat_at: float = NEVER
    known_since: float = field(factory=time.monotonic)
    listed: bool = False
    listed_leaving: bool = False
    listed_mesh: str = ""

    @property
    def is_dead(self) -> bool:
        """Return True if no frame has arrived since it was declared dead, or none at all."""
        return self.last_heard <= self.died

    @property
    def is_on_ring(self) -> bool:
        """Return True if its heartbeat says that it watches only its ring neighbours."""
        return self.beat is not None and self.beat.on_ring

    @property
    def answers(self) -> bool:
        """Return True if it is alive and has sent a frame since its last call time-out."""
        return not self.is_dead and self.last_heard > self.suspected
