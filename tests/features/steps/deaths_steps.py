"""Steps about what counts as a server's end under a request, without processes or network."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from types import SimpleNamespace

from attrs import define, evolve, field
from behave import given, then, when
from routedparts_steps import Clock, server

from papayacourse import partblame
from papayacourse.callmessages import Strike, StrikesUpdate
from papayacourse.copies import Copies
from papayacourse.deaths import ServerDeaths
from papayacourse.exceptions import BackendLinkLost, BackendUnanswered, PlatformUnavailable
from papayacourse.hostlist import HostListing
from papayacourse.ledger import EngineLedger
from papayacourse.policies import Predicted
from papayacourse.quarantine import Quarantine
from papayacourse.routed.keptstrikes import StoredStrikes
from papayacourse.types import Host, HostState
from tests.steptext import names_in

REQUEST = "request"


class NoPeers(SimpleNamespace):
    """The links of a daemon that is alone."""

    def __init__(self):
        super().__init__(handlers={}, links={}, hello=SimpleNamespace(domain="lagos"))

    def send_to_linked(self, names, _message) -> None:
        """Tell nobody."""
        assert not names


@define(eq=False, slots=False)
class Scene:
    """A server, the list, and what watches runs.

    Attributes
    ----------
    deserted : bool
        Whether nobody listens at the server's address.
    probes : int
        How often that was asked.
    """

    host: Host = field(factory=lambda: server("desk-1"))
    clock: Clock = field(factory=Clock)
    listed: dict = field(factory=dict)
    deserted: bool = False
    probes: int = 0

    def __attrs_post_init__(self) -> None:
        self.listed[self.host.name] = self.host
        self.quarantine = Quarantine(NoPeers(), limit=3, clock=self.clock)
        self.deaths = ServerDeaths(
            self.quarantine, self.listing, lambda _name: False, self.probe, self.clock
        )

    async def probe(self, _host) -> bool:
        """Answer a probe, after others had time to ask."""
        self.probes += 1
        await asyncio.sleep(0)
        return self.deserted

    def listing(self) -> HostListing:
        """Return the list as it is."""
        return HostListing(1, tuple(self.listed.values()))

    def look(self) -> None:
        """Take the list as it is."""
        self.deaths.check_lost_runs()

    async def lose(self, error: BaseException, fingerprint: str = REQUEST, heard=False) -> None:
        """Have a run on the server end in an error."""
        with contextlib.suppress(type(error)):
            async with self.deaths.watch_run(self.host, fingerprint) as run:
                if heard:
                    run.record_activity()
                raise error


def strikes(context, fingerprint=REQUEST) -> int:
    """Return a request's strikes."""
    return len(context.scene.quarantine.strikes_of(fingerprint))


@given("a request that runs on a listed server")
def make_scene(context):
    context.scene = Scene()


@given("{count:d} other requests that run there")
def other_requests(context, count):
    context.requests = [REQUEST, *(f"other-{number}" for number in range(count))]


@when("the server is listed as leaving")
def list_leaving(context):
    scene = context.scene
    scene.listed[scene.host.name] = evolve(scene.host, state=HostState.LEAVING)
    scene.look()


@when("the server vanishes from the list")
def vanish(context):
    context.scene.listed.clear()
    context.scene.look()


@when("{seconds:g} s pass for the server")
def time_passes(context, seconds):
    context.scene.clock.now += seconds
    context.scene.look()


@when("the connection of {which} run is closed, and {what}")
def connection_closed(context, which, what):
    context.scene.deserted = what == "nobody listens there"
    asyncio.run(context.scene.lose(BackendLinkLost("closed")))


@when("nothing comes any more, and the run is given up")
def given_up(context):
    asyncio.run(context.scene.lose(BackendUnanswered("silent")))


@when("a piece comes, and the caller leaves at once")
def caller_leaves(context):
    asyncio.run(context.scene.lose(asyncio.CancelledError(), heard=True))


@when("the request comes to its end on another server")
def comes_to_end(context):
    async def run_well():
        async with context.scene.deaths.watch_run(server("desk-2"), REQUEST) as run:
            run.record_answer(200)

    asyncio.run(run_well())


@when("all connections are closed at once, and nobody listens there")
def all_closed(context):
    scene = context.scene
    scene.deserted = True

    async def lose_all():
        await asyncio.gather(*(scene.lose(BackendLinkLost("closed"), f) for f in context.requests))

    asyncio.run(lose_all())


@then("the request has {count:d} strikes")
@then("the request has {count:d} strike")
def has_strikes(context, count):
    assert strikes(context) == count


@then("each of them has {count:d} strike")
def each_has(context, count):
    found = {request: strikes(context, request) for request in context.requests}
    assert set(found.values()) == {count}, found


@then("the server was probed once")
def probed_once(context):
    assert context.scene.probes == 1, context.scene.probes


# What strikes come to.


async def nothing() -> None:
    """Let nothing happen."""


@define(eq=False)
class FakeStore:
    """Holds strikes, while it can be reached.

    Attributes
    ----------
    meanwhile : callable
        What happens while strikes are written.
    """

    away: bool = True
    era: int = 1
    calls: int = 0
    meanwhile: Callable[[], Awaitable[None]] = nothing
    held: dict = field(factory=dict)

    def ask(self) -> None:
        """Count a call, and fail it while the store is away."""
        self.calls += 1
        if self.away:
            raise PlatformUnavailable("away")

    async def keep_strikes(self, found: tuple[Strike, ...], _ttl: float) -> None:
        """Hold strikes."""
        self.ask()
        await self.meanwhile()
        self.held |= {(strike.fingerprint, strike.engine): strike for strike in found}

    async def drop_strikes(self, found: tuple[Strike, ...]) -> None:
        """Hold strikes no longer."""
        self.ask()
        for strike in found:
            del self.held[strike.fingerprint, strike.engine]


@given("a quarantine that condemns by 3 servers")
def make_quarantine(context):
    context.quarantine = Quarantine(NoPeers(), limit=3)


@given("a quarantine that condemns by 3 servers, with a clock of its own")
def make_clocked(context):
    context.clock = Clock()
    context.quarantine = Quarantine(NoPeers(), limit=3, clock=context.clock)


@when('a peer\'s strikes of "{name}" on servers "{servers}" end {seconds:g} s from now')
def peer_strikes(context, name, servers, seconds):
    end = context.clock() + seconds
    strikes = tuple(Strike(name, server_name, end) for server_name in names_in(servers))
    asyncio.run(context.quarantine.handle_strikes(None, StrikesUpdate(strikes)))


@when(
    'a peer\'s strikes of prompts with "{part}" on servers "{servers}" end {seconds:g} s from now'
)
def peer_strikes_parts(context, part, servers, seconds):
    for name in names_in(servers):
        peer_strikes(context, partblame.encode(f"request to {name}", [part]), name, seconds)
        # Deaths of one moment may have a cause in common.
        context.clock.now += 1


@then('prompts with "{part}" are refused')
def part_refused(context, part):
    marks = partblame.decode(partblame.encode("another request", [part]))
    assert context.quarantine.is_part_condemned(marks)


@then('prompts with "{part}" are not refused')
def part_not_refused(context, part):
    marks = partblame.decode(partblame.encode("another request", [part]))
    assert not context.quarantine.is_part_condemned(marks)


@when("{seconds:g} s have passed on that clock")
def clock_passes(context, seconds):
    context.clock.now += seconds


@then('the strike of "{name}" ends {seconds:g} s from now')
def strike_ends(context, name, seconds):
    (strike,) = context.quarantine.strikes_of(name)
    assert strike.expires == context.clock() + seconds, strike


@given("a quarantine that condemns by 3 servers, kept in a store that is away")
def make_kept(context):
    context.quarantine, context.store = Quarantine(NoPeers(), limit=3), FakeStore()
    context.kept = StoredStrikes(context.store, context.quarantine)


@when('"{one}" and "{two}" run on servers "{servers}", which end')
def servers_end(context, one, two, servers):
    for name in names_in(servers):
        context.quarantine.strike(name, (one, two))


@when('"{one}" runs on server "{name}", which ends')
def server_ends(context, one, name):
    context.quarantine.strike(name, (one,))


@when("the store is back")
def store_back(context):
    async def outage_ends():
        writing = asyncio.create_task(context.kept.write())
        await asyncio.sleep(0)
        context.store.away = False
        await writing

    asyncio.run(outage_ends())
    assert context.store.calls > 2, "the outage was not met"


@when("the store comes back from an older copy without strikes, and is read")
def store_lost_strikes(context):
    context.store.held.clear()
    context.store.era += 1
    read_strikes(context)


@when("another daemon removes the strikes, and the store is read")
def strikes_removed(context):
    context.store.held.clear()
    read_strikes(context)


def read_strikes(context):
    """Read the store's strikes, and write what is to be written."""

    async def work():
        await context.kept.take(tuple(context.store.held.values()), context.store.era)
        await context.kept.write()

    asyncio.run(work())


@when('the store comes back with the strikes that "{name}" had, and is read')
def store_brings_back(context, name):
    for (request, engine), strike in list(context.store.held.items()):
        if request != name:
            context.store.held[name, engine] = evolve(strike, fingerprint=name)
    context.store.era += 1
    read_strikes(context)


@when('"{name}" comes to its end')
def absolve(context, name):
    asyncio.run(context.quarantine.clear_suspect(name))
    if "kept" in context:
        asyncio.run(context.kept.write())


@then('"{name}" must run apart')
def must_run_apart(context, name):
    assert context.quarantine.is_suspect(name)


@then('"{name}" is condemned')
def is_condemned(context, name):
    assert context.quarantine.is_condemned(name)


@then('"{name}" need not run apart and is not condemned')
def is_excused(context, name):
    assert not context.quarantine.is_suspect(name)
    assert not context.quarantine.is_condemned(name)


@then("the store is not asked")
def not_asked(context):
    asyncio.run(context.kept.write())
    assert context.store.calls == 0


@then('the store holds "{one}" and "{two}" with {count:d} strikes each')
def store_holds(context, one, two, count):
    held = [request for request, _ in context.store.held]
    assert sorted(held) == sorted([one, two] * count), held


@then('the store holds "{name}" alone')
def store_holds_alone(context, name):
    assert {request for request, _ in context.store.held} == {name}, context.store.held


@then('a daemon that reads it knows that "{one}" has {count:d} strikes, and "{two}" none')
def read_by_another(context, one, count, two):
    other = Quarantine(NoPeers(), limit=3)
    strikes = tuple(context.store.held.values())
    asyncio.run(StoredStrikes(context.store, other).take(strikes, context.store.era))
    assert len(other.strikes_of(one)) == count
    assert not other.strikes_of(two)


@when('the same strikes of "{name}" come once more')
def strikes_again(context, name):
    again = tuple(evolve(s, fingerprint=name) for s in context.quarantine.strikes_of("other"))
    asyncio.run(context.quarantine.handle_strikes(None, StrikesUpdate(again)))


@then('"{name}" has {count:d} strike')
def named_has_strikes(context, name, count):
    assert len(context.quarantine.strikes_of(name)) == count


# When a suspect runs again.


@given("a scheduler's {count:d} engines in one of {domains:d} failure domains")
def make_copies(context, count, domains):
    context.clock = Clock()
    context.quarantine = Quarantine(NoPeers(), clock=context.clock)
    context.ledgers = {
        f"engine-{number}": EngineLedger(
            f"engine-{number}", "127.0.0.1:9", 30000, 24, 0.0, Predicted()
        )
        for number in range(count)
    }
    context.copies = Copies(
        context.ledgers, lambda: range(domains), context.clock,
        context.quarantine.is_suspect, context.quarantine.was_struck_recently,
    )  # fmt: skip


@when("a request has just got a strike")
def just_struck(context):
    context.quarantine.strike("engine-9", (REQUEST,))


@when("a second has passed since the strike")
def strike_settles(context):
    context.clock.now += 1.1


@then("{count:d} of them may run it")
def may_run(context, count):
    choices = context.copies.candidate_groups(REQUEST, list(context.ledgers.values()))
    assert sum(map(len, choices)) == count


@when("another request comes to its end on that server")
def other_ends_well(context):
    async def run_well():
        async with context.scene.deaths.watch_run(context.scene.host, "other") as run:
            run.record_answer(200)

    asyncio.run(run_well())


@when("that request's next run there is closed, and the server still listens")
def other_closed(context):
    context.scene.deserted = False
    asyncio.run(context.scene.lose(BackendLinkLost("closed"), "other"))


@then("that request has no strike")
def other_not_struck(context):
    assert strikes(context, "other") == 0


@when('"{name}" comes to its end elsewhere while the strikes are written')
def absolved_meanwhile(context, name):
    async def absolve_it():
        await context.quarantine.clear_suspect(name)

    context.store.away, context.store.meanwhile = False, absolve_it
    asyncio.run(context.kept.write())
