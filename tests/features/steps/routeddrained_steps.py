"""Steps about failure domains that the operator drains."""

import asyncio
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace
from unittest.mock import AsyncMock

import xxhash
from attrs import astuple, evolve
from behave import given, then, when
from routed_steps import SOON, fleet_of
from routedmoves_steps import add_engine, leaving_engine, move_runs
from routedparts_steps import empty_directory, server, update
from userplatform.storeclient import Item, Items
from userplatform.storeview import DRAINED, StoreContent

from papayacourse.hostchanges import host_digest
from papayacourse.routed.eventgaps import EventGaps
from papayacourse.routed.migration.failover import Failover
from papayacourse.routed.notices import EngineNotices
from papayacourse.types import HostState
from standins.fleet import wait_until
from tests.steptext import names_in

FIELDS_BEFORE = 10  # of a host, as daemons of earlier builds know it
REGIONS = {"lagos": "lagos", "kano": "kano"}


# The directory.


@given('a directory of "{here}" with "{one}" and of "{there}" with "{two}"')
def directory_of_two(context, here, one, there, two):
    empty_directory(context)
    context.entries = {
        one: evolve(server(one), domain=here), two: evolve(server(two), domain=there)
    }  # fmt: skip
    update(context, engines=tuple(context.entries.values()), drained=frozenset())


@when('the operator drains "{domains}"')
def operator_drains(context, domains):
    update(context, drained=frozenset(names_in(domains)))


@when("the operator drains nothing")
def operator_drains_nothing(context):
    update(context, drained=frozenset())


@when('"{name}" says that it leaves')
def entry_leaves(context, name):
    context.entries[name] = evolve(context.entries[name], state=HostState.LEAVING)
    update(context, engines=tuple(context.entries.values()))


@when("the store comes back from an older copy, without the drain")
def store_forgets_drain(context):
    context.directory.contact.record_failure("a test")
    context.clock.now += 1
    context.era, context.revision = context.era + 1, 0
    engines = tuple(context.entries.values())
    update(context, engines=engines, members=(), drained=frozenset(), is_complete=True)


@when('the whole store is read, with "{name}" in "{domain}", while "{drained}" is drained')
def whole_read_drained(context, name, domain, drained):
    engines = (evolve(server(name), domain=domain),)
    update(context, engines=engines, members=(), drained=frozenset({drained}), is_complete=True)


@when('the store is away for {seconds:g} s, and comes back without "{name}"')
def store_lacks(context, seconds, name):
    context.directory.contact.record_failure("a test")
    context.clock.now += seconds
    del context.entries[name]
    update(context, engines=tuple(context.entries.values()))


def published(context) -> dict:
    """Return the state of each published host, and whether it is drained."""
    hosts = context.published[-1].hosts
    return {host.name: (host.state, host.is_drained) for host in hosts}


@then('"{one}" is published as drained, and "{two}" as live')
def one_drained(context, one, two):
    found = published(context)
    assert found == {one: (HostState.LEAVING, True), two: (HostState.LIVE, False)}, found


@then('"{names}" are published as live')
def all_live(context, names):
    found = published(context)
    assert found == dict.fromkeys(names_in(names), (HostState.LIVE, False)), found


@then('"{names}" are published as drained')
def all_drained(context, names):
    found = published(context)
    assert found == dict.fromkeys(names_in(names), (HostState.LEAVING, True)), found


@then('"{name}" is published as leaving')
def one_leaves(context, name):
    assert published(context)[name] == (HostState.LEAVING, False), published(context)


@then('keys of the domains "{names}" with odd values drain "{drained}" only')
def odd_keys(context, names, drained):
    values = (b"", b"{", b"\xff" * 9)
    items = [Item(DRAINED + name, v, 7) for name, v in zip(names_in(names), values, strict=True)]
    update = StoreContent(REGIONS, 1).apply(Items(tuple(items), 7))
    assert update.drained == {drained}, update


@then("the hash of a host is that of daemons without drained domains, unless it is drained")
def hash_of_host(context):
    host = server("one")
    known = astuple(host)[:FIELDS_BEFORE]
    assert host_digest(host) == xxhash.xxh3_64_intdigest("\0".join(map(str, known)).encode())
    assert host_digest(evolve(host, is_drained=True)) != host_digest(host)


# The runs on a drained engine.


@given('an engine of a drained domain, with run "{names}" of {tokens:d} tokens in its report')
@given('an engine of a drained domain, with runs "{names}" of {tokens:d} tokens in its report')
def drained_engine(context, names, tokens):
    leaving_engine(context, names, tokens)
    context.fleet_view.drains = True


@given('an engine "{name}" in another region that has room after {seconds:g} s')
def far_engine_later(context, name, seconds):
    add_engine(context, name, "kano", seconds)


@given('an engine "{name}" in its region that takes work after {seconds:g} s')
def takes_work_later(context, name, seconds):
    add_engine(context, name, "lagos", 0.0)
    context.fleet_view.takes_work_after = seconds


@when("its runs are moved for {seconds:g} s, and its domain is taken back after {after:g} s")
def moved_until_back(context, seconds, after):
    context.fleet_view.taken_back_after = after
    move_runs(context, seconds)


@then("nothing was copied")
def nothing_copied(context):
    assert context.fleet_view.engine_calls.copied == [], context.fleet_view.engine_calls.copied


@given('an engine "{name}" in its region, to which last copies do not arrive')
def lossy_target(context, name):
    add_engine(context, name, "lagos", 0.0)
    context.fleet_view.engine_calls.loses_last = True


@then('run "{name}" continues at "{engine}", from the copy "{handle}"')
def continues_at(context, name, engine, handle):
    (found,) = [run for run in context.runs if run.run_id == name]

    async def resume() -> tuple[str, str]:
        moved = asyncio.get_running_loop().create_future()
        moved.set_result(found.moved_to)
        view = SimpleNamespace(
            is_listed=lambda _name: True, is_drained=lambda name: name != engine,
            notices=EngineNotices(), budget=SimpleNamespace(try_spend=lambda *_: True),
            rebind=AsyncMock(),
        )  # fmt: skip
        generation = SimpleNamespace(
            fleet=view, may_go_to=lambda _host: True, admitted=SimpleNamespace(service="planner"),
            guard=SimpleNamespace(is_condemned=lambda: False), log_failed=lambda _why: None,
            pending_move=moved, copy=found.copy, last_id="7", may_restart=lambda: False,
            broken=RuntimeError, request=None, engine=None, generated=7, gaps=EventGaps(),
        )  # fmt: skip
        resume = await Failover(generation).plan_resume("moved")
        return generation.engine.name, resume.handle

    assert asyncio.run(resume()) == (engine, handle)


# Real daemons.


@when('the operator writes that "{domain}" is drained')
def write_drained(context, domain):
    fleet_of(context).write({f"op/evacuate/{domain}": {}})


@when('the operator writes that "{domain}" is taken back')
def write_taken_back(context, domain):
    fleet_of(context).write({f"op/evacuate/{domain}": None})


@when('all of "{names}" are killed and started again')
def kill_all(context, names):
    fleet_of(context).restart_all(names_in(names), SOON)


@then('"{engine}" gets nothing for {seconds:g} s of calls through "{names}"')
def gets_nothing(context, engine, seconds, names):
    routed = fleet_of(context)
    before, end = len(routed.runs(engine)), time.monotonic() + seconds
    while time.monotonic() < end:
        for name in names_in(names):
            assert routed.ask(name, "GET", "/view/1").status == 200
    assert len(routed.runs(engine)) == before


@when('GET "{path}" through "{name}" is begun, with {seconds:g} s left')
def begin_call(context, path, name, seconds):
    routed, left = fleet_of(context), str(int(seconds * 1000))
    context.call_pool = ThreadPoolExecutor(1)
    context.begun_call = context.call_pool.submit(
        routed.ask, name, "GET", path, **{"X-Time-Remaining": left}
    )


@then('the call fails, and "{engine}" has run nothing')
def call_fails(context, engine):
    status = context.begun_call.result().status
    context.call_pool.shutdown()
    assert status in (502, 504) and not fleet_of(context).runs(engine), status


def drained_servers(context, name: str) -> float:
    """Return how many servers of drained domains a daemon's metrics count."""
    lines = fleet_of(context).metrics(name).splitlines()
    metric = "papayacourse_servers_drained"
    (value,) = [line.split()[-1] for line in lines if line.startswith(metric)]
    return float(value)


@then('the metrics of "{name}" count {count:d} drained servers')
def counts_drained(context, name, count):
    assert drained_servers(context, name) == count, drained_servers(context, name)


@when('"{name}" has learned of {count:d} drained servers')
def learned_drained(context, name, count):
    wait_until("it has learned", lambda: drained_servers(context, name) == count, SOON)


@then(
    'a second plan through "{name}" is answered {status:d} within {most:g} s, with a time to return'
)
def second_plan_refused(context, name, status, most):
    began = time.monotonic()
    answer = fleet_of(context).ask(name, "POST", "/plans/2", **{"X-Token-Counts": "1000,5"})
    assert answer.status == status, (answer.status, answer.body)
    assert time.monotonic() - began < most, time.monotonic() - began
    assert float(answer.headers["retry-after"]) > 0 and answer.json["ran"] == "no", answer
