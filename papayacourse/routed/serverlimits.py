"""The request limits that servers name in their answers, each for all daemons together."""

import time
from collections.abc import Callable, Collection

from attrs import define, field, frozen

from papayacourse import logs
from papayacourse.routed.seams import Limited, Unlimited

RETENTION = 30.0  # seconds for which a lifted limit, or that of an unlisted server, is remembered
MIN_ADVANCE = 0.25  # seconds; what peers report is less exact, by the time that it takes to arrive


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
    learned_at : float
        When this daemon learned that, in seconds of the clock.
    """

    rate: float | None
    said_at: float
    learned_at: float


@define
class Block:
    """A time in which nothing is sent to a server, since its limit is reached.

    Attributes
    ----------
    until : float
        Its end, in seconds of the clock.
    interval : float
        The expected time between requests after that, in seconds.
    next_turn : float
        When the next refused caller is told to return, in seconds of the clock.
    """

    until: float
    interval: float
    next_turn: float


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
    blocks: dict[str, Block] = field(factory=dict)

    # Queries.

    def limited(self) -> list[str]:
        """Return the servers that have a limit."""
        return [server for server, known in self.known.items() if known.rate is not None]

    def blocked_for(self, server: str) -> float:
        """Return for how long nothing is sent to a server because of its limit, in seconds."""
        block = self.blocks.get(server)
        if block is None or self.rate(server) is None:
            return 0.0
        return max(0.0, block.until - self.clock())

    def turn_in(self, server: str) -> float:
        """Return when the next refused caller should return, in seconds from now."""
        if not self.blocked_for(server):
            return 0.0
        return self.blocks[server].next_turn - self.clock()

    def rate(self, server: str) -> float | None:
        """Return a server's limit, in requests per second; None if it has none."""
        known = self.known.get(server)
        return known.rate if known else None

    def age(self, server: str) -> float | None:
        """Return how long ago a server last spoke of its limit, in seconds; None if it has not."""
        known = self.known.get(server)
        return self.clock() - known.said_at if known else None

    # Commands.

    def block(self, server: str, wait: float, interval: float) -> None:
        """Send nothing to a server for a time, since its limit is reached."""
        until = self.clock() + wait
        before = self.blocks.get(server)
        next_turn = max(until, before.next_turn) if before else until
        self.blocks[server] = Block(until, interval, next_turn)

    def use_turn(self, server: str, time_left: float) -> None:
        """Give away the next turn, to a caller that can still be there when it comes."""
        if self.blocked_for(server) and self.turn_in(server) <= time_left:
            self.blocks[server].next_turn += self.blocks[server].interval

    def adopt(self, server: str, rate: float | None, age: float, source: str) -> None:
        """Take over what another daemon knows, if it is newer."""
        known, said_at = self.known.get(server), self.clock() - age
        if known is None:
            is_news = rate is not None
        else:
            is_news = rate != known.rate and said_at > known.said_at + MIN_ADVANCE
        if is_news:
            self._update(server, rate, said_at, source)

    def record_answer(
        self, server: str, asked_at: float | None, limit: Limited | Unlimited | None
    ) -> None:
        """Record what an answer says about its server's limit.

        Parameters
        ----------
        asked_at : float or None
            When the request was sent, in seconds of the clock; None if that is not certain. An
            answer without a limit lifts only limits that were named before this, since answers
            may overtake each other.
        """
        known = self.known.get(server)
        match limit:
            case Limited(rate):
                self._update(server, rate, self.clock(), "its answer")
            case Unlimited() if known and known.rate is not None and asked_at is not None:
                if asked_at > known.said_at:
                    self._update(server, None, self.clock(), "its answer")

    def _update(self, server: str, rate: float | None, said_at: float, source: str) -> None:
        before = self.rate(server)
        self.known[server] = KnownLimit(rate, said_at, self.clock())
        if rate == before:
            return
        logs.info(
            "server limit changed", server=server, limit=rate, before=before, source=source,
            age=round(self.clock() - said_at, 3),
        )  # fmt: skip
        if (rate is None) != (before is None):
            self.on_change(server)

    def forget_unlisted(self, listed: Collection[str]) -> None:
        """Forget the limits of servers long unlisted, limits lifted long ago, and ended blocks.

        A daemon that has just started hears of limits before it has a list of the servers.
        """
        self.blocks = {
            server: block for server, block in self.blocks.items() if self.blocked_for(server)
        }
        oldest = self.clock() - RETENTION
        self.known = {
            server: known
            for server, known in self.known.items()
            if known.learned_at > oldest or (server in listed and known.rate is not None)
        }
