"""Steps that run the watches of a whole domain in one process, on a clock of their own."""

import asyncio
import random
from math import inf

from attrs import define, field
from behave import given, then, when

from papayacourse.exceptions import PeerUnreachable
from papayacourse.liveness import WATCH_INTERVAL, FailureDetector
from papayacourse.members import Member
from papayacourse.meshmessages import Heartbeat, Hello
from papayacourse.rendezvous import ranked
from papayacourse.ring import NEIGHBOURS_PER_SIDE

BEAT_INTERVAL = 2.0  # seconds
SEED = 11


@define(eq=False)
class Network:
    """Daemons that are nothing but a watch, and who of them can reach whom."""

    watches: dict[str, FailureDetector] = field(factory=dict)
    side_of: dict[str, int] = field(factory=dict)
    paused: set[str] = field(factory=set)
    telling: set[asyncio.Task] = field(factory=set)
    told: set[str] = field(factory=set)
    now: float = 1000.0

    def join(self, names: list[str]) -> None:
        """Let daemons know each other."""
        for name in names:
            members = {n: self.member(n) for n in names if n != name}
            me = Hello(name, 1, "lagos-1", "lagos", "", b"")
            ends = Ends(self, name, dict.fromkeys(members))
            self.watches[name] = FailureDetector(me, ends, members, lambda: None, lambda: self.now)
            self.side_of[name] = 0

    def member(self, name: str) -> Member:
        """Return what the others know of a daemon."""
        beat = Heartbeat(name, 1, False, 0, 0, on_ring=True)
        return Member(name, "lagos-1", "lagos", 1, self.now, beat=beat)

    def reach(self, sender: str, receiver: str) -> bool:
        """Carry a frame; tells whether it arrives."""
        arrives = self.side_of[sender] == self.side_of[receiver] and receiver not in self.paused
        if arrives:
            self.watches[receiver].members[sender].last_heard = self.now
        return arrives

    async def run(self, seconds: float) -> None:
        """Let time pass, with a beat of each daemon to those that expect one from it."""
        for step in range(int(seconds / WATCH_INTERVAL)):
            self.now += WATCH_INTERVAL
            for number, (name, watch) in enumerate(self.watches.items()):
                if name in self.paused:
                    continue
                if (step + number) % int(BEAT_INTERVAL / WATCH_INTERVAL) == 0:
                    for other in filter(watch.expects_beats, watch.members):
                        self.reach(name, other)
                watch.check_members()
            while tasks := [*self.telling, *(t for w in self.watches.values() for t in w.probes)]:
                await asyncio.gather(*tasks)

    def alive(self, name: str) -> set[str]:
        """Return whom a daemon takes for alive, itself included."""
        return {name, *(m.name for m in self.watches[name].members.values() if m.answers)}


@define(eq=False)
class Ends:
    """The part of a daemon's peers that a watch uses."""

    network: Network
    name: str
    links: dict[str, None]
    handlers: dict = field(factory=dict)
    silent_since: object = None

    @property
    def open_links(self) -> dict[str, list]:
        """Return the links, of which there is one to everybody."""
        return {name: [None] for name in self.links}

    async def call(self, name, message, timeout) -> None:
        """Ask for a sign of life."""
        if not (self.network.reach(self.name, name) and self.network.reach(name, self.name)):
            raise PeerUnreachable(name)

    def send_on_open_link(self, name, message) -> None:
        """Report a death."""
        if self.network.reach(self.name, name):
            self.network.told.add(name)
            handler = self.network.watches[name].peers.handlers[type(message)]
            task = asyncio.ensure_future(handler(None, message))
            self.network.telling.add(task)
            task.add_done_callback(self.network.telling.discard)


@given("{count:d} daemons that only watch each other")
def watches(context, count):
    context.network = Network()
    context.network.join([f"d{number:02d}" for number in range(count)])
    context.ring = ranked("ring", context.network.watches)
    asyncio.run(context.network.run(60))


def part(context, names):
    """Put daemons on a side of their own."""
    for name in names:
        context.network.side_of[name] = 1


def die(context, names):
    """End daemons."""
    for number, name in enumerate(names):
        context.network.side_of[name] = -1 - number - len(context.network.paused)
    context.network.paused.update(names)


@when("a run of {count:d} neighbours on the ring dies")
def run_dies(context, count):
    die(context, context.ring[:count])


@when("{count:d} daemons of a rack die")
def rack_dies(context, count):
    die(context, random.Random(SEED).sample(context.ring, count))


@when("a daemon dies long after its neighbours")
def dies_later(context):
    die(context, [*context.ring[:3], *context.ring[4:7]])
    asyncio.run(context.network.run(60))
    die(context, context.ring[3:4])


@when("every second daemon is cut off from others")
def half_cut(context):
    part(context, sorted(context.ring)[::2])


@when("{count:d} daemon is cut off from all others")
def some_cut(context, count):
    part(context, context.ring[:count])


@then("each side takes exactly its own for alive after {seconds:d} seconds")
def sides_agree(context, seconds):
    network = context.network
    asyncio.run(network.run(seconds))
    for name in network.watches.keys() - network.paused:
        own = {n for n, side in network.side_of.items() if side == network.side_of[name]}
        assert network.alive(name) == own, (name, network.alive(name) ^ own)


@when("one of them pauses for {seconds:d} seconds")
def pauses(context, seconds):
    context.sleeper = context.ring[0]
    context.network.paused = {context.sleeper}
    asyncio.run(context.network.run(seconds))
    context.network.paused = set()


@then("it takes all others for alive when it wakes, and a minute later")
def took_nobody(context):
    network = context.network
    for seconds in (WATCH_INTERVAL, 60.0):
        asyncio.run(network.run(seconds))
        alive = network.alive(context.sleeper)
        assert alive == set(network.watches), set(network.watches) - alive


@when("one of them is of a version before the ring")
def older_version(context):
    context.old = context.ring[20]
    for watch in context.network.watches.values():
        if watch.me.name == context.old:
            watch.watch_all_until = inf
        else:
            watch.members[context.old].beat = None


@then("every other one beats it, and only a few others")
def beats_it(context):
    others = [w for n, w in context.network.watches.items() if n != context.old]
    for watch in others:
        told = set(filter(watch.expects_beats, watch.members))
        assert context.old in told and len(told) <= 2 * NEIGHBOURS_PER_SIDE + 1, told


@then("the one of a version before the ring had no report")
def no_report(context):
    told = context.network.told
    assert told and context.old not in told, told
