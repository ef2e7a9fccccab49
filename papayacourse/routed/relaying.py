"""Serves callers through another daemon while this one reaches no server, and the reverse."""

import asyncio
import itertools
import random
import time
from collections.abc import Callable, Iterator

from attrs import define, field
from tornado.httputil import HTTPHeaders

from papayacourse import logs
from papayacourse.exceptions import PeerError, PeerUnreachable, RequestRefused
from papayacourse.linkclasses import LINK_CLASSES_NEAREST_FIRST, Place
from papayacourse.members import Member
from papayacourse.membership import Membership
from papayacourse.meshmessages import Hello
from papayacourse.peers import Peers
from papayacourse.relaymessages import (
    MAX_RELAYED_BODY,
    RelayAccepted,
    RelayCancelled,
    RelayDeclined,
    RelayEnd,
    RelayPart,
    RelayRequest,
)
from papayacourse.routed.exchange import Exchange
from papayacourse.routed.homes import ANYWHERE, Homes
from papayacourse.routed.partqueue import PartQueue
from papayacourse.routed.relayedexchange import RelayedExchange
from papayacourse.routed.sendhistory import NOT_EXECUTED_STATUSES, Send
from papayacourse.serverreach import ServerReach
from papayacourse.statuses import FINAL_STATUSES
from papayacourse.types import Ran

MAX_DAEMONS_ASKED = 4  # for one request
ACCEPT_TIMEOUT = 1.0  # seconds, a link that has to be opened included
DELIVERY_TIMEOUT = 30.0  # seconds; a caller who takes no part for so long has gone
DECLINE_MEMORY = 1.0  # seconds for which a daemon that declined is not asked again
LINK_CHECK_INTERVAL = 0.25  # seconds
RETRY_AFTER = 1.0  # seconds


class RelayUnclear(Exception):
    """It is not known whether the other daemon serves the request."""


class RelayBroken(Exception):
    """The answer broke off, or the daemon that was serving the request has gone."""


@define(eq=False)
class Relaying:
    """Relays requests to other daemons, and serves the requests that they relay.

    Attributes
    ----------
    serve : callable
        Serves a relayed request here until it has been answered.
    why_not : callable
        Returns why this daemon doesn't serve a relayed request; empty if it does.
    answers : dict of int to PartQueue
        The parts of answers that have come and are not passed on, by the request's number.
    served : dict of (str, int) to RelayedExchange or None
        The relayed requests that are served here, by daemon and number; None until accepted.
    declined_at : dict of str to float
        When each daemon last declined a request, in seconds of the clock.
    """

    membership: Membership
    peers: Peers
    reach: ServerReach
    serve: Callable[[RelayedExchange], asyncio.Task]
    why_not: Callable[[RelayRequest], str]
    clock: Callable[[], float] = time.monotonic
    answers: dict[int, PartQueue] = field(factory=dict)
    served: dict[tuple[str, int], RelayedExchange | None] = field(factory=dict)
    declined_at: dict[str, float] = field(factory=dict)
    numbers: Iterator[int] = field(factory=lambda: itertools.count(random.getrandbits(40)))

    def __attrs_post_init__(self) -> None:
        self.peers.handlers[RelayRequest] = self._handle_request
        self.peers.handlers[RelayPart] = self._handle_part
        self.peers.handlers[RelayCancelled] = self._handle_cancelled

    # Queries.

    def is_needed(self, exchange: Exchange) -> bool:
        """Return True if a request should be served through another daemon."""
        fits = len(exchange.body) <= MAX_RELAYED_BODY
        return self.reach.is_cut_off and exchange.may_relay and fits

    def candidates(self, homes: Homes = ANYWHERE) -> list[str]:
        """Return the daemons to ask, the nearest first, and last those that take no duties.

        A daemon that stops takes none, but serves new requests during its notice.

        Parameters
        ----------
        homes : Homes
            The regions that the body of the request may be sent to. That of this daemon is not
            among them by itself: the caller may be elsewhere.
        """
        here = Place(self.membership.me.domain, self.membership.me.region)
        members = (m for m in self.membership.members.values() if homes.allow(m.region))
        able = [member for member in members if self._may_ask(member)]
        random.shuffle(able)
        able.sort(key=lambda m: LINK_CLASSES_NEAREST_FIRST.index(here.link_to(m.domain, m.region)))
        able.sort(key=self.membership.may_take_duties, reverse=True)
        return [member.name for member in able[:MAX_DAEMONS_ASKED]]

    def served_daemons(self) -> set[str]:
        """Return the daemons whose relayed requests are being served here."""
        return {name for name, _number in self.served}

    def _may_ask(self, member: Member) -> bool:
        since = self.clock() - self.declined_at.get(member.name, float("-inf"))
        return self.membership.is_alive(member.name) and since > DECLINE_MEMORY

    # This daemon reaches no server.

    async def relay(self, exchange: Exchange, may_repeat: bool, homes: Homes = ANYWHERE) -> str:
        """Serve a request through another daemon; returns which.

        Parameters
        ----------
        may_repeat : bool
            Whether the request may run more than once.
        homes : Homes
            The regions in which it may be served.

        Raises
        ------
        RequestRefused
            When no daemon serves it, or when it is not known whether it has run.
        RelayBroken
            When the answer breaks off after part of it was sent to the caller.
        """
        for name in self.candidates(homes):
            try:
                if await self._relay_to(name, exchange):
                    return name
            except RelayUnclear as unclear:
                if not may_repeat:
                    raise RequestRefused(502, "relay_lost", str(unclear), Ran.UNKNOWN) from unclear
            except RelayBroken as broken:
                if exchange.head_written:
                    raise
                raise RequestRefused(502, "relay_lost", str(broken), Ran.UNKNOWN) from broken
            self.declined_at[name] = self.clock()
        why = "no server can be reached, and no other daemon that reaches one"
        raise RequestRefused(503, "cut_off", why, retry_after=RETRY_AFTER)

    async def _relay_to(self, name: str, exchange: Exchange) -> bool:
        """Serve a request through a daemon; returns False if it does not serve it."""
        number = next(self.numbers)
        parts = self.answers[number] = PartQueue()
        request = RelayRequest(
            number, exchange.method, exchange.target, tuple(exchange.headers.get_all()),
            exchange.body, time.monotonic() - exchange.received_at,
        )  # fmt: skip
        is_over = False
        send = exchange.sends.begin(name)
        try:
            accepted = await self._ask(name, request)
            served = accepted and await self._pass_on(send, exchange, parts)
            is_over = True
            if not served:
                exchange.sends.record_not_executed(send)
            return served
        finally:
            del self.answers[number]
            parts.close()
            if not is_over:
                self._cancel(name, number)

    async def _ask(self, name: str, request: RelayRequest) -> bool:
        """Return whether a daemon accepts a request; raises RelayUnclear if that is not known."""
        try:
            answer = await self.peers.call(name, request, ACCEPT_TIMEOUT)
        except PeerUnreachable as error:
            answer = RelayDeclined(str(error))
        except PeerError as error:
            raise RelayUnclear(f"{name} did not say if it serves the request: {error}") from error
        match answer:
            case RelayAccepted():
                return True
            case RelayDeclined(why):
                logs.info("relay declined", daemon=name, why=why)
                return False
        raise RelayUnclear(f"{name} did not say if it serves the request: {answer!r:.80}")

    def _cancel(self, name: str, number: int) -> None:
        try:
            self.peers.send_on_open_link(name, RelayCancelled(number))
        except PeerError as error:
            # The other daemon cancels the request when its parts cannot be delivered.
            logs.info("relay not cancelled", daemon=name, why=str(error))

    async def _pass_on(self, send: Send, exchange: Exchange, parts: PartQueue) -> bool:
        """Pass an answer on to the caller; returns False if the request was not served."""
        name = send.receiver
        part = await self._next_part(name, parts)
        match part.end:
            case RelayEnd.NOT_SERVED:
                logs.info("relay declined", daemon=name, why="it reaches no server either")
                return False
            case RelayEnd.BROKEN:
                raise RelayBroken(f"the answer broke off at {name}")
        if part.status not in FINAL_STATUSES:
            raise RelayBroken(f"{name} began an answer with status {part.status}")
        if part.status in NOT_EXECUTED_STATUSES:
            # The other daemon says this only if it knows it of each of its own sends.
            exchange.sends.record_not_executed(send)
        headers = HTTPHeaders()
        for field_name, value in part.headers:
            headers.add(field_name, value)
        if part.end == RelayEnd.WHOLE:
            await exchange.answer(part.status, headers, part.data)
        else:
            await exchange.begin(part.status, headers, part.data)
            await self._pass_on_rest(name, exchange, parts)
        return True

    async def _pass_on_rest(self, name: str, exchange: Exchange, parts: PartQueue) -> None:
        """Pass on what follows the first part of an answer."""
        end = RelayEnd.NONE
        while end != RelayEnd.WHOLE:
            part = await self._next_part(name, parts)
            end = part.end
            if end in (RelayEnd.NOT_SERVED, RelayEnd.BROKEN):
                raise RelayBroken(f"the answer broke off at {name}")
            if part.data:
                await exchange.write(part.data)
        exchange.end()

    async def _next_part(self, name: str, parts: PartQueue) -> RelayPart:
        """Return the next part of an answer; raises RelayBroken if the daemon has gone."""
        while True:
            try:
                async with asyncio.timeout(LINK_CHECK_INTERVAL):
                    return await parts.get()
            except TimeoutError as error:
                if name not in self.peers.links or not self.membership.is_alive(name):
                    raise RelayBroken(f"{name}, which served the request, has gone") from error

    async def _handle_part(self, _peer: Hello, part: RelayPart) -> RelayCancelled | None:
        """Take a part of an answer; returns when there is room for the next."""
        parts = self.answers.get(part.number)
        if parts is None or not await parts.put(part):
            return RelayCancelled(part.number)
        return None

    # Another daemon reaches no server.

    async def _handle_request(
        self, peer: Hello, request: RelayRequest
    ) -> RelayAccepted | RelayDeclined:
        """Begin to serve a relayed request."""
        key = (peer.name, request.number)
        self.served[key] = None
        # A daemon that knows that it is cut off tries again by itself; a caller waits here.
        is_cut_off = self.reach.is_cut_off or await self.reach.verify()
        if key not in self.served:
            return RelayDeclined("its caller has left")
        why = "it reaches no server either" if is_cut_off else self.why_not(request)
        if why:
            del self.served[key]
            return RelayDeclined(why)
        exchange = self.served[key] = RelayedExchange(
            request, lambda part: self._deliver(peer.name, part), lambda: self.reach.is_cut_off
        )
        task = self.serve(exchange)
        task.add_done_callback(lambda _: self.served.pop(key, None))
        return RelayAccepted()

    async def _deliver(self, name: str, part: RelayPart) -> bool:
        """Send a part of an answer; returns False if nobody waits for it any more."""
        answer = await self.peers.call(name, part, DELIVERY_TIMEOUT)
        return not isinstance(answer, RelayCancelled)

    async def _handle_cancelled(self, peer: Hello, note: RelayCancelled) -> None:
        """Cancel a relayed request whose caller has left."""
        exchange = self.served.pop((peer.name, note.number), None)
        if exchange is not None:
            exchange.lose_caller()
