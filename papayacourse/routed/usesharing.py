"""Shares how plain servers are used among daemons, through one daemon of each failure domain.

Each daemon with plain calls reports its use of servers to the daemon that sums the reports of its
domain, which answers with how all other daemons use them. The summing daemons
tell each other their domains' sums.
"""

import asyncio
from collections.abc import Callable

from attrs import define, field

from papayacourse import logs
from papayacourse.exceptions import PeerError
from papayacourse.membership import Membership
from papayacourse.meshmessages import Hello
from papayacourse.peers import Peers
from papayacourse.plainmessages import ServerUse, ServerUses
from papayacourse.routed.serveruse import ServerUseView
from papayacourse.routed.useboard import UseBoard
from papayacourse.ticks import next_tick

DUTY = "plain-use"
MIN_INTERVAL = 0.5  # seconds between reports
MAX_INTERVAL = 1.0  # seconds; reports older than that count less
MAX_REPORT_RATE = 60  # reports per second to a summing daemon, above which the interval grows
CALL_TIMEOUT = 0.4  # seconds until a daemon answers a report
PAUSE = 5.0  # seconds in which nothing is reported to a daemon that has not answered


@define(eq=False)
class UseSharing:
    """Keeps this daemon's view of servers' use up to date, and sums for others where it must.

    Attributes
    ----------
    listed_daemons : callable
        Returns the names of all listed daemons, whether this one hears them or not.
    paused : dict of str to float
        The daemons that have not answered, and until when they get nothing, in seconds of the
        clock.
    is_alone : bool
        Whether this daemon knows its own calls alone, though other daemons are listed.
    """

    membership: Membership
    peers: Peers
    view: ServerUseView
    listed_daemons: Callable[[], set[str]]
    board: UseBoard = field(factory=UseBoard)
    paused: dict[str, float] = field(factory=dict)
    is_alone: bool = False

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[ServerUses] = self.handle_report

    async def run(self) -> None:
        """Share periodically until cancelled; nothing is sent while there are no plain calls."""
        while True:
            await next_tick(self._interval())
            self.board.forget_old()
            await self.share()

    def _interval(self) -> float:
        daemons = len(self.membership.live())
        return min(MAX_INTERVAL, max(MIN_INTERVAL, daemons / MAX_REPORT_RATE))

    def _summing_daemon(self, domain: str) -> str:
        """Return the daemon that sums a domain; empty if none can be reached."""
        return next(iter(self.membership.owners(DUTY, domain)), "")

    async def share(self) -> None:
        """Sum this domain's reports if that is this daemon's duty; else report its own use."""
        me = self.membership.me
        summing = self._summing_daemon(me.domain)
        if summing == me.name:
            await self._sum()
        elif self.view.is_active():
            await self._report_to(summing)

    async def _report_to(self, summing: str) -> None:
        answer = await self._call(summing, ServerUses(self.view.own())) if summing else None
        if answer is not None:
            self.view.hear(answer.uses)
        self._record_whether_alone(answer is None)

    async def _sum(self) -> None:
        """Tell the other domains how this one uses servers, and learn how they do."""
        me, own = self.membership.me.name, self.view.own()
        if own:
            self.board.record_daemon(me, own)
        uses = self.board.of_domain()
        if not uses and not self.view.is_active():
            return
        domains = self.membership.domains().keys() - {self.membership.me.domain}
        # A domain that has just reported has learned of this domain's use from the answer.
        due = [domain for domain in domains if not self.board.has_heard(domain, MIN_INTERVAL / 2)]
        await asyncio.gather(*(self._exchange(domain, uses) for domain in due))
        self.view.hear(self.board.of_others(me))
        # Daemons of this domain without plain calls report nothing, but can be heard.
        hears_others = self.board.domains or set(self.membership.live()) - {me}
        self._record_whether_alone(not hears_others and not self.listed_daemons() <= {me})

    async def _exchange(self, domain: str, uses: tuple[ServerUse, ...]) -> None:
        summing = self._summing_daemon(domain)
        answer = await self._call(summing, ServerUses(uses, of_domain=True)) if summing else None
        if answer is not None:
            self.board.record_domain(domain, answer.uses)

    async def _call(self, name: str, message: ServerUses) -> ServerUses | None:
        """Return a daemon's answer; None if it fails to answer, or has failed within ``PAUSE``."""
        now = self.view.clock()
        if self.paused.get(name, now) > now:
            return None
        try:
            answer = await self.peers.call(name, message, CALL_TIMEOUT)
        except PeerError as error:
            self.paused = {peer: until for peer, until in self.paused.items() if until > now}
            self.paused[name] = now + PAUSE
            logs.info("use of servers not shared", peer=name, why=str(error))
            return None
        return answer if isinstance(answer, ServerUses) else None

    async def handle_report(self, peer: Hello, message: ServerUses) -> ServerUses:
        """Record what a daemon or a domain reports; answer with how others use servers."""
        if message.of_domain:
            self.board.record_domain(peer.domain, message.uses)
            return ServerUses(self.board.of_domain(), of_domain=True)
        self.board.record_daemon(peer.name, message.uses)
        return ServerUses(self.board.of_others(peer.name))

    def _record_whether_alone(self, is_alone: bool) -> None:
        """Log when this daemon begins or ceases to choose servers by its own calls alone."""
        if self.is_alone == is_alone:
            return
        self.is_alone = is_alone
        logs.info(
            "use of servers known of this daemon alone" if self.is_alone
            else "use of servers known of others again",
            servers=len(self.view.others),
        )  # fmt: skip
