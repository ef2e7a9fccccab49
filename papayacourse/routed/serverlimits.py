"""The request limits that servers name in their answers, each for all daemons together."""

import time
from collections.abc import Callable, Collection

from attrs import define, field, frozen

from papayacourse import logs
from papayacourse.routed.seams import Limited, Unlimited

LIFT_RETENTION = 30.0  # seconds for which a lifted limit is remembered


def boot_time() -> float:
    """Return a clock in seconds that also runs while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


@frozen
class KnownLimit:
    """A server's last statement about its limit.

    Attributes
    ----------
    rate : float or None
        The requests per second that it takes from all daemons together; None for no limit.
    said_at : float
        When it said so, in seconds of the clock.
    """

    rate: float | None
    said_at: float


@define(eq=False)
class ServerLimits:
    """The servers' last statements about their limits, by server name.

    The name of a server contains its start time, so a limit applies to one process only.

    Attributes
    ----------
    on_change : callable
        Called with the name of a server that has begun or ceased to name a limit.
    """

    clock: Callable[[], float] = boot_time
    on_change: Callable[[str], None] = lambda _server: None
    known: dict[str, KnownLimit] = field(factory=dict)

    # Queries.

    def rate(self, server: str) -> float | None:
        """Return a server's limit, in requests per second; None if it has none."""
        known = self.known.get(server)
        return known.rate if known else None

    def age(self, server: str) -> float | None:
        """Return how long ago a server last spoke of its limit, in seconds; None if it has not."""
        known = self.known.get(server)
        return self.clock() - known.said_at if known else None

    # Commands.

    def record_answer(
        self, server: str, asked_at: float, limit: Limited | Unlimited | None
    ) -> None:
        """Record what an answer says about its server's limit.

        Parameters
        ----------
        asked_at : float
            When the request was sent, in seconds of the clock. An answer without a limit lifts
            only limits that were named before this, since answers may overtake each other.
        """
        known = self.known.get(server)
        match limit:
            case Limited(rate):
                self._update(server, rate, self.clock(), "its answer")
            case Unlimited() if known and known.rate is not None and asked_at > known.said_at:
                self._update(server, None, self.clock(), "its answer")

    def _update(self, server: str, rate: float | None, said_at: float, source: str) -> None:
        before = self.rate(server)
        self.known[server] = KnownLimit(rate, said_at)
        if rate == before:
            return
        logs.info(
            "server limit changed", server=server, limit=rate, before=before, source=source,
            age=round(self.clock() - said_at, 3),
        )  # fmt: skip
        if (rate is None) != (before is None):
            self.on_change(server)

    def forget_unlisted(self, listed: Collection[str]) -> None:
        """Forget the limits of unlisted servers, and limits lifted long ago."""
        oldest = self.clock() - LIFT_RETENTION
        self.known = {
            server: known
            for server, known in self.known.items()
            if server in listed and (known.rate is not None or known.said_at > oldest)
        }
