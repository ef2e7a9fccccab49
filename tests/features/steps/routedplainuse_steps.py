"""Steps about plain servers' load as all daemons together know it."""

import asyncio
import heapq
import random
import time
from collections import Counter
from types import SimpleNamespace
from unittest.mock import patch

from attrs import define, field
from behave import given, then, when
from routed_steps import fleet_of
from routedparts_steps import Clock, server

from papayacourse import logs
from papayacourse.exceptions import PeerUnreachable
from papayacourse.linkclasses import LinkClass, Place
from papayacourse.plainmessages import ServerUse, ServerUses
from papayacourse.routed.choice import ServerChoice
from papayacourse.routed.serveruse import MAX_REPORTED, ServerUseView
from papayacourse.routed.useboard import UseBoard
from papayacourse.routed.usesharing import UseSharing
from papayacourse.types import Host, HostKind
from papayacourse.wire import Frame, encode
from tests.steptext import names_in

SLOTS, QUEUE = 6, 24  # of each server
WORK = (0.02, 0.09)  # seconds a call
TARGET = 0.4  # seconds in which callers want an answer
FULL_FACTOR = 1.6  # times as slow with all slots taken
WAYS = {LinkClass.SAME_DOMAIN: 0.001, LinkClass.SAME_REGION: 0.004, LinkClass.OTHER_REGION: 0.048}
MAX_ATTEMPTS = 4
REPORT_INTERVAL = 0.5  # seconds
PLACES = [Place(f"{region}-{letter}", region) for region in ("east", "west") for letter in "abc"]
SERVERS_OF_DOMAINS = (2, 1, 1, 1, 2, 0)
SLOW = "s2"


@define(eq=False)
class PlainServer:
    """A server's slots and queue."""

    host: Host
    busy_until: list[float] = field(factory=lambda: [0.0] * SLOTS)
    ends: list[float] = field(factory=list)

    def serve(self, now: float, seconds: float) -> float | None:
        """Return when a call ends; None if it's rejected."""
        self.ends = [end for end in self.ends if end > now]
        if len(self.ends) >= SLOTS + QUEUE:
            return None
        factor = FULL_FACTOR if len(self.ends) >= SLOTS - 1 else 1.0
        end = max(now, heapq.heappop(self.busy_until)) + seconds * factor
        heapq.heappush(self.busy_until, end)
        self.ends.append(end)
        return end


class PlainDay:
    """Daemons, servers and calls on one clock."""

    def __init__(self, setting, shares: bool):
        self.clock, self.random = Clock(), random.Random(7)
        self.setting, self.shares = setting, shares
        self.events, self.number = [], 0
        self.servers = {}
        for place, count in zip(PLACES, SERVERS_OF_DOMAINS, strict=True):
            for _ in range(count):
                name = f"s{len(self.servers)}"
                where = (place.domain, place.region)
                host = Host(name, HostKind.PLAIN, "127.0.0.1:9", *where, slots=SLOTS)
                self.servers[name] = PlainServer(host)
        self.hosts = [each.host for each in self.servers.values()]
        self.daemons = [self.daemon(PLACES[n % len(PLACES)]) for n in range(setting.daemons)]
        self.boards = {place.domain: UseBoard(self.clock) for place in PLACES}
        self.sent, self.rejected, self.seconds = Counter(), 0, []

    def daemon(self, place: Place) -> ServerChoice:
        """Return a daemon's choice."""
        view = ServerUseView(self.clock)
        return ServerChoice(place, clock=self.clock, use=view, draw=self.random.choices)

    def at(self, when, action) -> None:
        """Do something later."""
        self.number += 1
        heapq.heappush(self.events, (when, self.number, action))

    def play(self, rate: float, seconds: float) -> None:
        """Let calls come at random times until all have ended."""
        self.began = now = self.clock()
        while (now := now + self.random.expovariate(rate)) < self.began + seconds:
            self.at(now, lambda: self.call(self.pick_daemon()))
        for number, choice in enumerate(self.daemons if self.shares else ()):
            step = REPORT_INTERVAL / len(self.daemons)
            for turn in range(int(seconds / REPORT_INTERVAL)):
                when = self.began + turn * REPORT_INTERVAL + number * step
                self.at(when, lambda n=number, c=choice: self.share(n, c))
        while self.events:
            self.clock.now, _, action = heapq.heappop(self.events)
            action()

    def pick_daemon(self) -> ServerChoice:
        """Return the daemon that a call comes to."""
        if self.setting.crowded and self.random.random() < 0.5:
            return self.random.choice(self.daemons[:: len(PLACES)])
        return self.random.choice(self.daemons)

    def call(self, choice, began=None, tried=()) -> None:
        """Send a call, and again elsewhere if it's rejected."""
        began = self.clock() if began is None else began
        host = choice.choose(self.hosts, tried)
        name, watch = host.name, choice.watch_call(host)
        result = watch.__enter__()
        self.sent[name] += 1
        work = self.random.uniform(*WORK) * self.speed(name)
        end = self.servers[name].serve(self.clock(), work)
        way = WAYS[choice.here.link_to(host.domain, host.region)]

        def back() -> None:
            result.reached, result.rejected, result.failed = True, end is None, end is None
            watch.__exit__(None, None, None)
            if end is not None:
                self.seconds.append(self.clock() - began)
                return
            self.rejected += 1
            if len(tried) + 1 < MAX_ATTEMPTS:
                self.call(choice, began, (*tried, name))

        self.at((end or self.clock()) + way, back)

    def speed(self, name: str) -> float:
        """Return how often as slow as others a server is now."""
        if name != SLOW:
            return 1.0
        has_turned = self.clock() - self.began >= self.setting.turns_at
        return self.setting.turns_to if has_turned else self.setting.slow

    def share(self, number: int, choice: ServerChoice) -> None:
        """Let a daemon report; the first of each domain passes the sums on."""
        board = self.boards[choice.here.domain]
        board.forget_old()
        if choice.use.is_active():
            board.record_daemon(str(number), choice.use.own())
            choice.use.hear(board.of_others(str(number)))
        if number < len(PLACES):
            for domain, other in self.boards.items():
                if other is not board:
                    board.record_domain(domain, other.of_domain())

    def fraction_in_time(self) -> float:
        """Return the fraction of calls answered within the target."""
        timely = sum(seconds <= TARGET for seconds in self.seconds)
        return timely / (self.sent.total() - self.rejected + self.lost())

    def lost(self) -> int:
        """Return the calls without an answer."""
        return self.sent.total() - self.rejected - len(self.seconds)

    def peak(self) -> float:
        """Return the calls at the busiest server over the mean."""
        return max(self.sent.values()) * len(self.servers) / self.sent.total()

    def figures(self) -> str:
        """Return what is compared, as a text."""
        return (
            f"{self.sent.total()} sends, busiest over mean {self.peak():.2f},"
            f" {self.rejected} rejections, {self.fraction_in_time():.3f} in time,"
            f" slow server {self.sent[SLOW]}"
        )


@given(
    "{daemons:d} daemons in 6 domains of 2 regions, and 7 servers of 6 slots,"
    " one {slow:d} times as slow"
)
def plain_setting(context, daemons, slow):
    context.setting = SimpleNamespace(
        daemons=daemons, slow=slow, turns_at=0.0, turns_to=slow, crowded=False
    )


@given("half of all calls come to one domain")
def crowd(context):
    context.setting.crowded = True


@given("that server is {slow:d} times as slow from the {second:d}th second on")
def turn_slow(context, slow, second):
    context.setting.turns_at, context.setting.turns_to = second, slow


@when(
    "{rate:d} calls a second come for {seconds:d} s,"
    " to daemons that hear each other and to ones that do not"
)
def play_both(context, rate, seconds):
    context.together, context.alone = (
        PlainDay(context.setting, shares) for shares in (True, False)
    )
    for day in (context.alone, context.together):
        day.play(rate, seconds)


@then("with each other they reject no more, and {share:g} of the calls end within 0.4 s")
def no_more_rejections(context, share):
    together, alone = context.together, context.alone
    assert together.rejected <= alone.rejected, (together.figures(), alone.figures())
    assert together.fraction_in_time() >= share, (together.figures(), alone.figures())


@then("their busiest server has at most {factor:g} times the calls over the mean")
def flatter(context, factor):
    together, alone = context.together, context.alone
    assert together.peak() <= factor * alone.peak(), (together.figures(), alone.figures())


@then("the slow server gets at most {factor:g} times the calls")
def slow_gets_less(context, factor):
    together, alone = context.together, context.alone
    assert together.sent[SLOW] <= factor * alone.sent[SLOW], (together.figures(), alone.figures())


# One daemon's choice.


@when(
    "others report {calls:d} calls and {rejections:d} rejections at the near one {seconds:g} s ago"
)
def others_report(context, calls, rejections, seconds):
    context.choice.use.hear([ServerUse("near", calls, rejected=rejections)])
    context.clock.now += seconds


@then("the far one gets {least:d} to {most:d} of 200 calls")
def far_gets(context, least, most):
    context.choice.draw = random.Random(7).choices
    chosen = Counter(context.choice.choose(context.servers, ()).name for _ in range(200))
    assert least <= chosen["far"] <= most, chosen


@then("the near one is chosen if it is the only one")
def only_one(context):
    assert context.choice.choose(context.servers[:1], ()).name == "near"


@when("the near one rejects a call, and {count:d} more do not get there")
def near_rejects(context, count):
    for rejected in [True] + [False] * count:
        with context.choice.watch_call(context.servers[0]) as result:
            result.reached = result.rejected = rejected


@given("a second one near")
def second_near(context):
    context.servers.append(server("near2"))


@then(
    "of {calls:d} calls one after the other each near one gets at least {least:d},"
    " and the far one none"
)
def equals_share(context, calls, least):
    context.choice.draw = random.Random(7).choices
    sent = Counter()
    for _ in range(calls):
        host = context.choice.choose(context.servers, ())
        sent[host.name] += 1
        with context.choice.watch_call(host) as result:
            result.reached, result.failed = True, False
            context.clock.now += 0.05
    assert sent["near"] >= least and sent["near2"] >= least and not sent["far"], sent


# Sharing.


@given("a daemon that sums for its domain, and {listed:d} listed")
def summing_daemon(context, listed):
    me = SimpleNamespace(name="a", domain="lagos")
    domains = {"lagos": "lagos", "kano": "kano"} if listed > 1 else {"lagos": "lagos"}
    membership = SimpleNamespace(
        me=me, live=lambda: ["a"], domains=lambda: domains,
        owners=lambda _duty, domain: ["a" if domain == "lagos" else "b"],
    )  # fmt: skip
    context.asked, context.clock = [], Clock()

    async def call(name, message, _timeout):
        context.asked.append(message)
        if context.answers != name:
            raise PeerUnreachable(name)
        return ServerUses((ServerUse("near", 1),), of_domain=True)

    context.sharing = UseSharing(
        membership, SimpleNamespace(call=call, handlers={}), ServerUseView(context.clock),
        lambda: set("abc"[:listed]), UseBoard(context.clock),
    )  # fmt: skip


@when("it has had {what} plain call for {rounds:d} rounds, and {whom} answers")
def share_rounds(context, what, rounds, whom):
    context.answers, context.logged = whom, []
    if what == "a":
        context.sharing.view.begin("near")
    with patch.object(logs, "info", lambda kind, **_more: context.logged.append(kind)):
        for _ in range(rounds):
            asyncio.run(context.sharing.share())
            context.clock.now += 0.5


@then("it has asked {times:d} times in all")
def has_asked(context, times):
    assert len(context.asked) == times, context.asked


@then("it has logged {times:d} times that it knows its own calls alone")
def has_logged(context, times):
    assert context.logged.count("use of servers known of this daemon alone") == times


@given("reports of {daemons:d} daemons on {servers:d} servers")
def many_reports(context, daemons, servers):
    context.board = UseBoard(Clock())
    for daemon in range(daemons):
        uses = (ServerUse(f"server-{n}", n / servers, 1, 0.05) for n in range(daemon, servers, 9))
        context.board.record_daemon(f"d{daemon}", uses)


@then("the answer to one of them names {count:d} servers, the busiest of all first")
def bounded_answer(context, count):
    context.uses = context.board.of_others("d0")
    assert len(context.uses) == count == MAX_REPORTED
    assert context.uses[0].running == max(use.running for use in context.board.of_domain())


@then("it is shorter than {size:d} bytes")
def short_answer(context, size):
    assert len(encode(Frame(1, True, ServerUses(context.uses)))) < size


@then("what it reported itself is not in the answer")
def own_left_out(context):
    board = UseBoard(Clock())
    board.record_daemon("a", [ServerUse("near", 3.0), ServerUse("far", 1.0)])
    board.record_daemon("b", [ServerUse("near", 2.0)])
    assert [(use.server, use.running) for use in board.of_others("a")] == [("near", 2.0)]
    board.record_daemon("a", [ServerUse("near", 9.0)])
    assert board.of_others("a")[0].running == 2.0, "the sum is of the report before"


# Real daemons.


@when('callers send a plain call each {each:d} ms through "{names}" for {seconds:d} s')
def send_plain_calls(context, each, names, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        for name in names_in(names):
            fleet_of(context).ask(name, "GET", "/view/1")
            time.sleep(each / 1000)


@then('"{names}" have shared how "{engine}" is used')
def have_shared(context, names, engine):
    for name in names_in(names):
        fleet = fleet_of(context)
        lines = [line for line in fleet.metrics(name).splitlines() if "_plain_use_" in line]
        assert any(line.startswith("papayacourse_plain_use_shared") for line in lines), lines
        assert all(line.startswith("#") or line.endswith(" 1.0") for line in lines), lines
        assert not fleet.lines(name, "use of servers known of this daemon alone")
