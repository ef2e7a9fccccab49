"""Steps about how the runs of an engine that leaves are moved, without processes."""

import asyncio
import time

from behave import given, then, when

from papayacourse.exceptions import BackendNoRoom
from papayacourse.linkclasses import Place
from papayacourse.routed.document import EngineCapacity
from papayacourse.routed.homes import ANYWHERE, Homes
from papayacourse.routed.migration.emptying import Emptying
from papayacourse.routed.notices import EngineNotices
from papayacourse.routed.seams import CopyResult, EngineRuns, RunState
from papayacourse.routed.stoporders import StopOrders
from papayacourse.types import Host, HostKind
from tests.limitfleet import NoLimits
from tests.steptext import names_in

SERVICE = "planner"
LEAVER = "leaver"
NO_ROOM = 503
NEVER = float("inf")
STOP_TIME = 0.01  # seconds until an order to stop is answered
COPY_RATE = 10_000.0  # tokens a second


def engine(name: str, region: str) -> Host:
    """Return a listed engine."""
    return Host(name, HostKind.ENGINE, "127.0.0.1:9", region, region, service=SERVICE)


class Run:
    """A run in progress, as far as moving it goes."""

    def __init__(self, name: str, tokens: int):
        self.run_id = name
        self.memory_tokens = tokens
        self.events = 10
        self.copy = self.pending_move = None
        self.unmovable = self.is_moved = self.goes_on = False
        self.copy_lock = asyncio.Lock()
        self.stop_orders = StopOrders()
        self.admitted = self

    def homes(self) -> Homes:
        """Return where it may be served."""
        return ANYWHERE

    def may_go_to(self, host) -> bool:
        """Return True if it may go on at an engine."""
        return host.name not in self.stop_orders.unproven

    def can_move(self) -> bool:
        """Tell whether it can be moved."""
        return not self.unmovable and not self.is_moved

    def time_to_end(self) -> float:
        """Return how long it goes on, in seconds."""
        return 60.0

    def finish_move(self, standby) -> None:
        """Note that it has been moved, and where to."""
        self.is_moved, self.moved_to = standby is not None, standby
        if self.goes_on and self.is_moved and standby.host.name == LEAVER:
            self.is_moved, self.pending_move, self.copy = False, None, None


class Engines:
    """Calls to engines, which are noted; some have room only after a while."""

    def __init__(self):
        self.report = EngineRuns(None, ())
        self.room_after = {}
        self.began = 0.0
        self.loses_last = False
        self.stops = 0
        self.asked = []
        self.copied = []
        self.reports = 0
        self.on_second_report = None

    async def runs(self, _engine) -> EngineRuns:
        """Return what the engine that leaves says of itself."""
        self.reports += 1
        if self.reports == 2 and self.on_second_report is not None:
            await self.on_second_report()
        return self.report

    async def copy_run(self, _source, run, target, stop) -> CopyResult:
        """Copy a run, in no time."""
        after = time.monotonic() - self.began
        self.asked.append(target.name)
        if after < self.room_after[target.name]:
            raise BackendNoRoom(NO_ROOM, "/kv-move")
        if stop:
            self.stops += 1
            await asyncio.sleep(STOP_TIME)
        else:
            self.copied.append((run, target.name, after))
        arrives = not (stop and self.loses_last)
        return CopyResult("h2" if stop else "h1", arrives)


class Fleet:
    """A daemon's view of the fleet."""

    def __init__(self):
        self.engine_calls = Engines()
        self.limiter = NoLimits()
        self.notices = EngineNotices()
        self.others = []
        self.drains = False
        self.takes_work_after = 0.0
        self.taken_back_after = NEVER

    def after(self) -> float:
        """Return for how long runs have been moved, in seconds."""
        return time.monotonic() - self.engine_calls.began

    def is_drained(self, _name) -> bool:
        """Tell whether the engine's domain is drained."""
        return self.drains

    def move_targets(self, _engine, _service, homes=ANYWHERE) -> list[Host]:
        """Return the other engines in some regions, the nearest first."""
        if self.after() < self.takes_work_after:
            return []
        return [host for host in self.others if homes.allow(host.region)]

    def best_move_target(self, engine, service) -> Host | None:
        """Return the nearest other engine."""
        return next(iter(self.move_targets(engine, service)), None)

    def reach(self, engine, other):
        """Return how far two engines are apart."""
        return Place(engine.domain, engine.region).link_to(other.domain, other.region)

    def is_near(self, engine, other) -> bool:
        """Tell whether two engines are in one region."""
        return engine.region == other.region

    def shape(self, _service) -> EngineCapacity:
        """Return what engines can do."""
        return EngineCapacity(24, 30_000, moves=True, copy_rate=COPY_RATE)

    def stays(self, name) -> bool:
        """Tell whether an engine stays."""
        return name != LEAVER or self.after() >= self.taken_back_after


@given('an engine that leaves, with run "{names}" of {tokens:d} tokens in its report')
@given('an engine that leaves, with runs "{names}" of {tokens:d} tokens in its report')
def leaving_engine(context, names, tokens):
    context.fleet_view = Fleet()
    context.runs = [Run(name, tokens) for name in names_in(names)]
    states = tuple(RunState(name, tokens) for name in names_in(names))
    context.fleet_view.engine_calls.report = EngineRuns(None, states, True)


@given('run "{name}" of {tokens:d} tokens that is not in its report')
def unreported_run(context, name, tokens):
    context.runs.append(Run(name, tokens))


@given('this daemon passes on "{name}" only')
def passes_on(context, name):
    context.runs = [run for run in context.runs if run.run_id == name]


@given("it says that it leaves in {seconds:g} s")
def says_when(context, seconds):
    calls = context.fleet_view.engine_calls
    calls.report = EngineRuns(seconds, calls.report.runs, True)


def add_engine(context, name: str, region: str, room_after: float) -> None:
    """Add an engine that stays."""
    context.fleet_view.others.append(engine(name, region))
    context.fleet_view.engine_calls.room_after[name] = room_after


@given('an engine "{name}" in its region')
def near_engine(context, name):
    add_engine(context, name, "lagos", 0.0)


@given('an engine "{name}" in its region that has room after {seconds:g} s')
def near_engine_later(context, name, seconds):
    add_engine(context, name, "lagos", seconds)


@given('an engine "{name}" in another region')
def far_engine(context, name):
    add_engine(context, name, "kano", 0.0)


@given("it keeps each run that it is ordered to stop")
def keeps_runs(context):
    context.fleet_view.engine_calls.loses_last = True
    for run in context.runs:
        run.goes_on = True


@given('its second report takes {seconds:g} s, and "{name}" goes on elsewhere meanwhile')
def goes_on_elsewhere(context, seconds, name):
    async def go_on() -> None:
        await asyncio.sleep(seconds)
        context.runs = [run for run in context.runs if run.run_id != name]

    context.fleet_view.engine_calls.on_second_report = go_on


@then("it was ordered to stop a run between {least:d} and {most:d} times")
def stop_count(context, least, most):
    assert least <= context.fleet_view.engine_calls.stops <= most


@when("its runs are moved for {seconds:g} s")
def move_runs(context, seconds):
    async def work() -> None:
        now = time.monotonic()
        context.fleet_view.engine_calls.began = now
        running = lambda: [run for run in context.runs if run.can_move()]  # noqa: E731
        leaver = engine(LEAVER, "lagos")
        emptying = Emptying(context.fleet_view, leaver, SERVICE, running, since=now)
        try:
            await asyncio.wait_for(emptying.run(), seconds)
        except TimeoutError:
            pass

    asyncio.run(work())


def copied_after(context, name: str, target: str) -> float:
    """Return when a run was copied to an engine, in seconds since the notice."""
    found = context.fleet_view.engine_calls.copied
    return next((after for run, where, after in found if (run, where) == (name, target)), NEVER)


@then('"{name}" was copied to "{target}" within {seconds:g} s')
def copied_within(context, name, target, seconds):
    assert copied_after(context, name, target) <= seconds, context.fleet_view.engine_calls.copied


@then('"{name}" was copied to "{target}" after {seconds:g} s')
def copied_late(context, name, target, seconds):
    after = copied_after(context, name, target)
    assert seconds <= after < NEVER, context.fleet_view.engine_calls.copied


@then('nothing was asked of "{target}"')
def not_asked(context, target):
    assert target not in context.fleet_view.engine_calls.asked
