"""Steps about where long runs are put, without processes."""

import asyncio
import time
from collections import Counter

from behave import given, then, when

from papayacourse.catalog import Catalog
from papayacourse.cellmap import CellMap
from papayacourse.cells import Cell
from papayacourse.hostlist import HostList, HostListing
from papayacourse.linkclasses import Place
from papayacourse.membership import Membership
from papayacourse.meshmessages import Hello, ServiceLoad
from papayacourse.peers import Peers
from papayacourse.promptqueue import PromptQueue
from papayacourse.routed.admitted import AdmittedRequest
from papayacourse.routed.derived import TEAM, update_catalog
from papayacourse.routed.document import (
    CallerLimits,
    Document,
    EngineCapacity,
    Repeat,
    Route,
    Service,
    Share,
)
from papayacourse.routed.notices import EngineNotices
from papayacourse.routed.placing import EngineSearch
from papayacourse.routed.spareroom import spare_regions
from papayacourse.scheduler import Scheduler
from papayacourse.schedulingmessages import Granted, GrantRequest
from papayacourse.types import Address, GenerationRequest, Host, HostKind, HostState
from tests.limitfleet import NoLimits
from tests.steptext import names_in

SERVICE = "desk"
REGION = "lagos"
ENGINE_MEMORY = 30_000  # tokens


def engine(name: str, state: HostState = HostState.LIVE) -> Host:
    """Return a listed engine."""
    address = "127.0.0.1:9"
    return Host(
        f"{SERVICE}/{name}", HostKind.ENGINE, address, REGION, REGION, state, service=SERVICE
    )


def run(name: str, tokens: int = 1000) -> GenerationRequest:
    """Return a generation as schedulers know it; its output is one token."""
    return GenerationRequest(name, TEAM, SERVICE, "shop", "", tokens, 1, 0)


# Schedulers.


@given('a scheduler with engines "{names}" of {memory:d} tokens')
def make_scheduler(context, names, memory):
    shape = EngineCapacity(slots=24, memory_tokens=memory)
    catalog = Catalog()
    services = {SERVICE: Service(SERVICE, shape)}
    update_catalog(catalog, Document(1, (), services, (), CallerLimits()), TEAM)
    hello = Hello("me", 1, REGION, REGION, "127.0.0.1:1", b"")
    host_list = HostList(Address("127.0.0.1", 2))
    context.membership = Membership(hello, Peers(hello, "k" * 20), catalog, host_list)
    context.engines = {name: engine(name) for name in names_in(names)}
    context.version = 0
    list_engines(context)
    cell_map = CellMap(catalog, context.membership.host_sync)
    context.told = []

    async def tell(_daemon, answer) -> None:
        context.told.append(answer)

    cell = Cell(TEAM, SERVICE, 0)
    context.scheduler = Scheduler(cell, catalog, context.membership, cell_map, tell)
    # It has been there for long, and gives out its engines whole.
    context.scheduler.engines.started = float("-inf")
    context.scheduler.engines.refresh()


def list_engines(context) -> None:
    """Let the daemon learn the newest list of hosts."""
    context.version += 1
    hosts = tuple(context.engines.values())
    context.membership.host_sync.apply_listing(HostListing(context.version, hosts))


@when('engine "{name}" is listed as leaving')
def listed_as_leaving(context, name):
    context.engines[name] = engine(name, HostState.LEAVING)
    list_engines(context)


@when('engine "{name}" is listed')
def listed(context, name):
    context.engines[name] = engine(name)
    list_engines(context)


def ask(context, name: str, tokens: int = 1000):
    """Ask the scheduler for a place."""

    async def work():
        return context.scheduler.request_grant("me", GrantRequest(run(name, tokens), 5.0))

    return asyncio.run(work())


@then('the next {count:d} runs are put on "{name}" at once')
def next_runs(context, count, name):
    answers = [ask(context, f"run-{number}") for number in range(count)]
    placed = [getattr(answer, "engine", answer) for answer in answers]
    assert placed == [f"{SERVICE}/{name}"] * count, placed


@given("runs of {one:d} and {two:d} tokens there, and one of {waits:d} tokens that waits")
def one_waits(context, one, two, waits):
    for name, tokens in (("run-1", one), ("run-2", two)):
        assert isinstance(ask(context, name, tokens), Granted)
        for ledger in context.scheduler.ledgers.values():
            # Its prompt has been computed by now.
            ledger.prompt_queue = PromptQueue()
    assert not isinstance(ask(context, "waits", waits), Granted)


@when("the queue is served")
def serve_queue(context):
    async def work() -> None:
        context.scheduler.grant_queue.serve()
        await asyncio.sleep(0.01)

    asyncio.run(work())


@then('the run that waits is put on "{name}"')
def waiting_run(context, name):
    placed = [(answer.stream, answer.engine) for answer in context.told]
    assert placed == [("waits", f"{SERVICE}/{name}")], placed


@when("{count:d} runs of {tokens:d} tokens come at once")
def come_at_once(context, count, tokens):
    answers = [ask(context, f"run-{number}", tokens) for number in range(count)]
    context.granted = [answer for answer in answers if isinstance(answer, Granted)]
    context.waiting = len(answers) - len(context.granted)


@then("{count:d} are put on each engine, and {waiting:d} wait")
def put_on_each(context, count, waiting):
    names = [f"{SERVICE}/{name}" for name in context.engines]
    found = Counter(answer.engine for answer in context.granted)
    assert found == dict.fromkeys(names, count), found
    assert context.waiting == waiting, context.waiting


@when("{seconds:g} s pass and the queue is served")
def time_passes(context, seconds):
    time.sleep(seconds)
    serve_queue(context)


@then("the {count:d} that waited are put on engines")
def waited_are_put(context, count):
    assert len(context.told) == count, context.told


# What engines compute prompts at.


@given("an engine that computes {rate:d} prompt tokens a second")
def computing_engine(context, rate):
    context.true_rate, context.prompts = rate, PromptQueue()


@when("{count:d} prompts of {tokens:d} tokens come {pause:g} s after each other")
def prompts_come(context, count, tokens, pause):
    idle_at, now = 0.0, 0.0
    for _ in range(count):
        ahead = context.prompts.add_prompt(tokens, now)
        idle_at = max(idle_at, now) + tokens / context.true_rate
        context.prompts.update_speed(ahead, idle_at - now)
        now += pause


@then("its rate is taken for {rate:d} within {part:d} in 100")
def rate_is_learnt(context, rate, part):
    found = context.prompts.speed
    assert abs(found - rate) <= rate * part / 100, found


# Daemons that know less than schedulers.


class Places:
    """Gives places on engines in turn, but those to avoid; notes what is given back."""

    def __init__(self, names):
        self.names = names
        self.given_back = 0

    async def place(self, ask: GrantRequest, _may_use) -> Granted:
        """Give a place."""
        name = next(name for name in self.names if name not in ask.avoid)
        return Granted(ask.generation.stream, name, "127.0.0.1:9")

    async def release_grant(self, _generation) -> None:
        """Note that a place was given back."""
        self.given_back += 1


class Fleet:
    """A daemon's view of the fleet: the engines it knows, some of them only later."""

    def __init__(self, placement):
        self.placement = placement
        self.known = {}
        self.notices = EngineNotices()
        self.limiter = NoLimits()
        self.here = Place(REGION, REGION)

    def servers(self, _service):
        """Return the engines that are known from the start."""
        return map(engine, self.known)

    def host(self, name):
        """Return a host that is known by now."""
        since = self.known.get(name)
        now = asyncio.get_running_loop().time()
        return engine(name) if since is not None and now >= since else None


@given('a scheduler that gives a place on "{first}", then on "{second}"')
def gives_places(context, first, second):
    context.places = Places([first, second])
    context.fleet_view = Fleet(context.places)


@given('a daemon that knows "{name}" only')
def knows_one(context, name):
    context.knows_after = {name: 0.0}


@given('a daemon that knows "{name}", and "{later}" after {seconds:g} s')
def knows_later(context, name, later, seconds):
    context.knows_after = {name: 0.0, later: seconds}


@when("a run is placed")
def place_run(context):
    route = Route("r", "h", "/", Repeat.STREAM, (Share(SERVICE, 1),), 9.0, 5.0)

    async def work() -> Host:
        now = asyncio.get_running_loop().time()
        context.fleet_view.known = {n: now + after for n, after in context.knows_after.items()}
        admitted = AdmittedRequest(None, route, None, SERVICE, now + 9.0, 1)
        placing = EngineSearch(context.fleet_view, admitted, run("run-1"))
        return await placing.find(is_long=False)

    context.placed = asyncio.run(work())


@then('it is on "{name}", and the place on "{other}" was given back')
def place_given_back(context, name, other):
    assert context.placed.name == f"{SERVICE}/{name}", (context.placed, other)
    assert context.places.given_back == 1


@then('it is on "{name}", and no place was given back')
def nothing_given_back(context, name):
    assert context.placed.name == f"{SERVICE}/{name}", context.placed
    assert context.places.given_back == 0


# Regions with room to spare.


@given("{count:d} engines in a region, with {free:d} tokens free of {memory:d} each")
def engines_with_room(context, count, free, memory):
    context.listed = [engine(f"e{number}") for number in range(count)]
    context.free = [ServiceLoad(TEAM, SERVICE, 0, 0.0, free)]
    assert memory == ENGINE_MEMORY


@given("{count:d} engines in a region of which nothing is known")
def engines_unknown(context, count):
    context.listed = [engine(f"e{number}") for number in range(count)]
    context.free = []


@then("the region can take over the runs of any one of them")
def can_take_over(context):
    assert spare(context) == {REGION}


@then("the region cannot take over the runs of any one of them")
def cannot_take_over(context):
    assert spare(context) == set()


def spare(context) -> set[str]:
    """Return the regions with room to spare."""
    return spare_regions(context.listed, lambda _domain: context.free, ENGINE_MEMORY)
