"""Simulates daemons that keep to one server's limit together, without a network or real time."""

import random
from collections.abc import Iterator
from itertools import pairwise

from attrs import define, field

from papayacourse.exceptions import PeerTimeout, PeerUnreachable
from papayacourse.members import Member
from papayacourse.meshmessages import Hello
from papayacourse.rendezvous import ranked
from papayacourse.routed.seams import Limited, Unlimited
from papayacourse.routed.sendlimiter import DUTY, LEND_INTERVAL, SendLimiter
from papayacourse.routed.serverlimits import ServerLimits
from papayacourse.types import Host, HostKind

STEP = 0.05  # seconds
BELIEVED_FOR = 3.0  # seconds for which a daemon that falls silent is still taken for live
MAX_DELAY = 0.03  # seconds that a request takes to the server
SERVER = Host("desk-1", HostKind.ENGINE, "127.0.0.1:1", "d0", "r0")
WINDOW, LEARN_TIME, TOLD_BEFORE = 4.0, 4.0, 0.5  # seconds


class NoLimits:
    """Permits every request, like a SendLimiter that knows of no limit."""

    async def admit(self, _host) -> bool:
        """Permit a request."""
        return True

    async def admit_saving_run(self, _host) -> bool:
        """Permit a request that saves a run."""
        return True


@define(eq=False)
class FakePeers:
    """The links of one simulated daemon."""

    fleet: "LimitFleet"
    name: str
    handlers: dict = field(factory=dict)

    async def call(self, name: str, message, _timeout: float):
        """Deliver a call at once, unless the daemons cannot hear each other."""
        peer = self.fleet.nodes[name]
        if not self.fleet.hears(self.name, name):
            lost = random.Random(self.fleet.now).random() < 0.5
            raise (PeerTimeout if lost else PeerUnreachable)(f"{name} is not heard")
        self.fleet.messages += 1
        handler = peer.peers.handlers[type(message)]
        return await handler(self.fleet.nodes[self.name].hello, message)

    async def send(self, name: str, message) -> None:
        """Deliver a message."""
        await self.call(name, message, 0.0)

    def send_to_linked(self, names, message) -> None:
        """Deliver a message to all that can be heard, before the next step."""
        self.fleet.outbox += [(self.name, name, message) for name in names]


@define(eq=False)
class FakeMembership:
    """What one simulated daemon believes of the others."""

    fleet: "LimitFleet"
    me: Hello
    heard_at: dict[str, float] = field(factory=dict)

    @property
    def members(self) -> dict[str, Member]:
        """Return the other daemons, live or not."""
        return {
            name: Member(name, node.domain, node.domain, node.hello.incarnation)
            for name, node in self.fleet.nodes.items()
            if name != self.me.name
        }

    def domains(self) -> dict[str, str]:
        """Return all domains."""
        return {node.domain: node.domain for node in self.fleet.nodes.values()}

    def owners(self, duty: str, domain: str | None = None) -> list[str]:
        """Return the daemons of a domain that are believed to live, ranked."""
        since = self.fleet.now - BELIEVED_FOR
        live = [
            name
            for name in self.fleet.by_domain[domain or self.me.domain]
            if name == self.me.name or self.heard_at.get(name, -10.0) > since
        ]
        return ranked(duty, live)


@define(eq=False)
class Node:
    """One simulated daemon, and when the server first told it a limit."""

    hello: Hello
    domain: str
    peers: FakePeers
    membership: FakeMembership
    limiter: SendLimiter
    lend_at: float
    demand: float
    told_at: float | None = None


@define(eq=False)
class LimitFleet:
    """Daemons in domains, their callers, and one server.

    Attributes
    ----------
    limit : float or None
        The server's limit.
    limits : list of (float, float)
        When each limit began, and its rate; 0 for none.
    apart : set of frozenset
        The pairs of daemons that do not hear each other.
    arrivals : list of (float, bool)
        When each request came, and whether its daemon had been told the limit by then.
    ignores_others : bool
        Whether each daemon keeps to the whole limit by itself, as if there were no others.
    saving : float
        The fraction of requests that save a run.
    """

    domains: int
    per_domain: int
    demand: float
    seed: int
    ignores_others: bool = False
    saving: float = 0.0
    now: float = 1000.0
    limit: float | None = None
    limits: list[tuple[float, float]] = field(factory=list)
    nodes: dict[str, Node] = field(factory=dict)
    by_domain: dict[str, list[str]] = field(factory=dict)
    apart: set[frozenset] = field(factory=set)
    arrivals: list[tuple[float, bool]] = field(factory=list)
    outbox: list = field(factory=list)
    messages: int = 0
    chance: random.Random = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.chance = random.Random(self.seed)
        for domain in range(self.domains):
            names = [f"n{domain}-{number}" for number in range(self.per_domain)]
            self.by_domain[f"d{domain}"] = names
        for domain, names in self.by_domain.items():
            for name in names:
                self.start(name, domain)

    # Faults.

    def start(self, name: str, domain: str) -> None:
        """Start a daemon, or start it again with nothing that it knew."""
        hello = Hello(name, int(self.now * 1000), domain, domain, "127.0.0.1:2", b"")
        peers, membership = FakePeers(self, name), FakeMembership(self, hello)
        limits = ServerLimits(clock=lambda: self.now)
        limiter = SendLimiter(
            membership, peers, limits, lambda server: SERVER if server == SERVER.name else None,
            lambda: 1 if self.ignores_others else len(self.nodes),
        )  # fmt: skip
        demand = self.demand * self.chance.choice((0.1, 0.5, 2.4))
        first = self.now + self.chance.uniform(0, LEND_INTERVAL)
        self.nodes[name] = Node(hello, domain, peers, membership, limiter, first, demand)

    async def restart(self, name: str) -> None:
        """Kill a daemon and start it again; those that hear it tell it what they know."""
        self.start(name, self.nodes[name].domain)
        for other, node in self.nodes.items():
            if other != name and self.hears(other, name):
                await node.limiter.send_known(name)

    def set_limit(self, limit: float | None) -> None:
        """Let the server name another limit, or none."""
        self.limit = limit
        self.limits.append((self.now, limit or 0.0))

    def cut(self, names: list[str]) -> None:
        """Cut daemons from all others; they still hear each other."""
        inside = set(names)
        outside = self.nodes.keys() - inside
        self.apart |= {frozenset((one, other)) for one in inside for other in outside}

    def hears(self, one: str, other: str) -> bool:
        """Return True if two daemons can hear each other."""
        return one == other or frozenset((one, other)) not in self.apart

    # Running.

    async def run(self, seconds: float) -> None:
        """Let time pass."""
        end = self.now + seconds
        while self.now < end:
            self.now += STEP
            self._hear()
            await self._deliver()
            for node in self.chance.sample(list(self.nodes.values()), len(self.nodes)):
                await self._lend(node)
                await self._send(node)

    def _hear(self) -> None:
        for one, node in self.nodes.items():
            for other in self.nodes:
                if self.hears(one, other):
                    node.membership.heard_at[other] = self.now

    async def _deliver(self) -> None:
        outbox, self.outbox = self.outbox, []
        for sender, name, message in outbox:
            if self.hears(sender, name):
                await self.nodes[sender].peers.send(name, message)

    async def _lend(self, node: Node) -> None:
        limiter = node.limiter
        if limiter.wake.is_set():
            limiter.wake.clear()
            await limiter._report_changes()
        elif self.now < node.lend_at:
            return
        node.lend_at = self.now + LEND_INTERVAL
        await limiter._lend()

    async def _send(self, node: Node) -> None:
        if self.chance.random() >= node.demand * STEP:
            return
        limits = node.limiter.limits
        if not await self._is_permitted(node):
            return
        told = node.told_at is not None and node.told_at <= self.now - TOLD_BEFORE
        self.arrivals.append((self.now + self.chance.uniform(0, MAX_DELAY), told))
        said = Unlimited() if self.limit is None else Limited(self.limit)
        limits.record_answer(SERVER.name, self.now, said)
        if self.limit is not None and node.told_at is None:
            node.told_at = self.now

    async def _is_permitted(self, node: Node) -> bool:
        limited = node.limiter.limits.rate(SERVER.name) is not None
        if limited and self.chance.random() < self.saving:
            return (await node.limiter._ask(SERVER, saves_run=True)).granted
        return await node.limiter.admit(SERVER)

    # What came of it.

    def allowance(self, begin: float, end: float) -> float:
        """Return how many requests the limits allow in a window."""
        spans = [*self.limits, (float("inf"), 0.0)]
        return sum(
            rate * max(0.0, min(end, until) - max(begin, since))
            for (since, rate), (until, _) in pairwise(spans)
        )

    def excesses(self) -> Iterator[str]:
        """Yield each window of 4 s in which the server got more than its limits allow."""
        counted = sorted(at for at, told in self.arrivals if told)
        first = 0
        for last, at in enumerate(counted):
            while counted[first] < at - WINDOW:
                first += 1
            begin = at - WINDOW
            allowed = 1.5 * self.allowance(begin, at) + 5
            got = last - first + 1
            if begin >= self.limits[0][0] + LEARN_TIME and got > allowed:
                yield f"{got} requests until {at - 1000:.2f} s; allowed {allowed:.1f}"

    def used(self, since: float) -> float:
        """Return which fraction of its limit the server got."""
        got = sum(at >= since for at, _ in self.arrivals)
        return got / self.allowance(since, self.now)

    async def trouble(self, rounds: int) -> None:
        """Restart, cut and heal daemons, and change the limit, at random."""
        usual = self.limit
        for _ in range(rounds):
            match self.chance.choice(("restart", "holder", "cut", "domain", "heal", "limit", "")):
                case "restart":
                    await self.restart(self.chance.choice(list(self.nodes)))
                case "holder":
                    names = self.by_domain[self.chance.choice(list(self.by_domain))]
                    await self.restart(ranked(DUTY, names)[0])
                case "cut":
                    self.cut(self.chance.sample(list(self.nodes), 2))
                case "domain":
                    self.cut(self.by_domain[self.chance.choice(list(self.by_domain))])
                case "heal":
                    self.apart.clear()
                case "limit":
                    self.set_limit(usual * self.chance.choice((0.3, 1, 2)))
            await self.run(self.chance.uniform(0.5, 3.0))
