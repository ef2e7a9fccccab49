"""Steps about the home regions of routes and accounts."""

import asyncio
import json
import time
from types import SimpleNamespace

from attrs import evolve
from behave import given, then, when
from routed_steps import fleet_of
from routedplaces_steps import engine, run
from userplatform.documents import read_document

from papayacourse.catalog import Catalog
from papayacourse.exceptions import RequestRefused
from papayacourse.membership import Membership
from papayacourse.meshmessages import Hello, ServiceLoad
from papayacourse.peers import Peers
from papayacourse.routed.admitted import AdmittedRequest
from papayacourse.routed.derived import TEAM, update_catalog
from papayacourse.routed.document import (
    Account,
    CallerLimits,
    Document,
    EngineCapacity,
    Repeat,
    Route,
    Service,
    Share,
)
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.generation import Generation
from papayacourse.routed.homes import ANYWHERE, Homes
from papayacourse.routed.migration.failover import Failover
from papayacourse.routed.notices import EngineNotices
from papayacourse.routed.placing import EngineSearch
from papayacourse.routed.relaying import Relaying
from papayacourse.routed.remoteplacing import RemoteSearch
from papayacourse.schedulingmessages import Granted, GrantRequest
from papayacourse.serverreach import ServerReach
from papayacourse.spill import Spill
from papayacourse.types import HostState
from tests.routedfleet import document, route
from tests.steptext import names_in

SERVICE = "desk"
REGIONS = ("lagos", "kano", "enugu")


def homes_of(text: str) -> Homes:
    """Return the homes that a step names."""
    if text == "any":
        return ANYWHERE
    return Homes(frozenset(() if text == "nowhere" else names_in(text)))


def regions_of(text: str) -> list[str]:
    """Return the regions that a step names, in order."""
    return [] if text == "none" else sorted(names_in(text))


def admitted(homes: Homes, account_homes: Homes = ANYWHERE) -> AdmittedRequest:
    """Return a request of a route and an account with homes."""
    shares = (Share(SERVICE, 1.0),)
    found = Route("r", "site", "/", Repeat.STREAM, shares, 20.0, 1.5, homes=homes)
    account = Account("shop", ("key",), homes=account_homes)
    return AdmittedRequest(None, found, account, SERVICE, time.monotonic() + 20, 1)


# What settings allow.


@given('a route with homes "{route_homes}" and an account with homes "{account_homes}"')
def with_homes(context, route_homes, account_homes):
    context.request = admitted(homes_of(route_homes), homes_of(account_homes))


@then('its requests may go to "{regions}" of "{known}"')
def may_go(context, regions, known):
    homes = context.request.homes()
    assert sorted(filter(homes.allow, names_in(known))) == regions_of(regions), homes


@then('a document whose route has homes {value} allows "{regions}" there, and the other routes all')
def odd_homes(_context, value, regions):
    odd = route("odd", "/odd/", "safe", SERVICE, HomeRegions=json.loads(value))
    found = read_document(json.dumps(document(5, odd)).encode())
    expected = sorted(REGIONS) if regions == "all" else regions_of(regions)
    assert sorted(filter(found.by_route_name["odd"].homes.allow, REGIONS)) == expected
    assert all(r.homes == ANYWHERE for r in found.routes if r.name != "odd")


@given('a request admitted when its route had homes "{homes}"')
def request_admitted(context, homes):
    context.request = admitted(homes_of(homes))


@when('a document comes into force in which its route has homes "{homes}"')
def homes_change(context, homes):
    changed = evolve(context.request.route, homes=homes_of(homes))
    newer = Document(2, (changed,), {}, (context.request.account,), CallerLimits())
    context.request.document_in_force = lambda: newer


@then('it may go to "{region}" only')
def goes_only(context, region):
    assert list(filter(context.request.homes().allow, REGIONS)) == [region]


# Other domains.


def membership(domain: str, region: str) -> Membership:
    """Return a daemon's view of the members, of whom there are none yet."""
    catalog = Catalog()
    services = {SERVICE: Service(SERVICE, EngineCapacity(24, 30_000))}
    update_catalog(catalog, Document(1, (), services, (), CallerLimits()), TEAM)
    hello = Hello("me", 1, domain, region, "127.0.0.1:1", b"")
    return Membership(hello, Peers(hello, "k" * 20), catalog, None)


def member(name: str, domain: str, region: str):
    """Return what is known of another daemon."""
    return SimpleNamespace(name=name, domain=domain, region=region)


@given('domains "{a}" in "{ra}", "{b}" in "{rb}" and "{c}" in "{rc}" that have room')
def domains_with_room(context, a, ra, b, rb, c, rc):
    view = membership("lagos-a", "lagos")
    places = {a: ra, b: rb, c: rc}
    view.members = {name: member(name, name, region) for name, region in places.items()}
    loads = lambda _domain, team, service: [ServiceLoad(team, service, 0, 0.0, 9)]  # noqa: E731
    context.spill = Spill(view, view.peers, None, loads)


@when('a request with homes "{homes}" finds no place in "{domain}"')
def finds_no_place(context, homes, domain):
    ask = GrantRequest(run("r"), 1.0)
    found = context.spill.domains_worth_asking(ask, float("inf"), homes_of(homes).allow)
    context.asked = found


@then('"{domain}" only is asked')
def only_asked(context, domain):
    assert context.asked == [domain], context.asked


class Placements:
    """Places in other domains; each has one from some moment on."""

    def __init__(self):
        self.free_after = {}
        self.asked = set()
        self.began = time.monotonic()

    async def place_in(self, domains, ask):
        """Return a place in the first domain that has one."""
        self.asked.update(domains)
        after = time.monotonic() - self.began
        for domain in domains:
            if after >= self.free_after.get(domain, 0.0):
                return Granted(ask.generation.stream, domain, "127.0.0.1:9")
        return None


@given('engines in domains "{a}" of "{ra}", "{b}" and "{c}" of "{rb}"')
def engines_in(context, a, ra, b, c, rb):
    context.placements = Placements()
    places = {a: ra, b: rb, c: rb}
    hosts = [evolve(engine(d), name=d, domain=d, region=r) for d, r in places.items()]
    by_name = {host.name: host for host in hosts}
    view = SimpleNamespace(
        me=SimpleNamespace(domain=a, region=ra),
        hosts=SimpleNamespace(by_name=by_name, by_service={SERVICE: tuple(hosts)}),
    )
    context.fleet_view = FleetView(
        view, context.placements, None, None, None, EngineNotices(), None, None, None,
        lambda _service: EngineCapacity(24, 30_000),
    )  # fmt: skip
    context.placements.spill = SimpleNamespace(loads=lambda *_: [])


@given('"{never}" never has a place, and "{later}" has one after {seconds:g} s')
def has_one_later(context, never, later, seconds):
    context.placements.free_after = {never: float("inf"), later: seconds}


@when('a request with homes "{homes}" that may wait for {seconds:g} s is placed in "{here}"')
def placed_by(context, homes, seconds, here):
    assert context.fleet_view.here.domain == here
    search = RemoteSearch(context.fleet_view, admitted(homes_of(homes)))
    began = context.placements.began = time.monotonic()
    context.refused = context.granted = None
    try:
        context.granted = asyncio.run(search.find(GrantRequest(run("r"), seconds)))
    except RequestRefused as refused:
        context.refused = refused
    context.took = time.monotonic() - began


@when(
    'a request that may wait for {seconds:g} s waits in "{here}",'
    " which is drained after {after:g} s"
)
def waits_in_drained(context, seconds, here, after):
    view, wanted = context.fleet_view, admitted(ANYWHERE)

    async def refuse_once_drained(_ask, _may_use):
        await asyncio.sleep(after)
        drained = evolve(view.host(here), state=HostState.LEAVING, is_drained=True)
        others = [host for host in view.servers(SERVICE) if host.name != here]
        view.membership.hosts.by_service[SERVICE] = (drained, *others)
        raise RequestRefused(503, "no_engine", "no engine can serve now", retry_after=0.1)

    context.placements.place = refuse_once_drained
    search = EngineSearch(view, wanted, run("r"))
    began = context.placements.began = time.monotonic()
    context.refused = context.granted = None
    try:
        context.granted = asyncio.run(search.place(GrantRequest(search.request, seconds)))
    except RequestRefused as refused:
        context.refused = refused
    context.took = time.monotonic() - began


@then('it has a place in "{domain}" after {least:g} to {most:g} s, and "{other}" was not asked')
def has_place(context, domain, least, most, other):
    assert context.granted.engine == domain, context.refused
    assert least <= context.took <= most, context.took
    assert other not in context.placements.asked, context.placements.asked


@then("it is refused with {status:d} and a time to return within {most:g} s")
def is_refused(context, status, most):
    refused = context.refused
    assert refused.status == status and refused.retry_after > 0, refused
    assert context.took < most, context.took


# Runs.


@then('a run in "{domain}" with homes "{homes}" may be moved to "{others}" only')
@then('a run in "{domain}" with homes "{homes}" may be moved to "{others}"')
def may_be_moved(context, domain, homes, others):
    fleet = context.fleet_view
    targets = fleet.move_targets(fleet.host(domain), SERVICE, homes_of(homes))
    assert sorted(host.name for host in targets) == sorted(names_in(others)), targets


@then('a run in "{_}" with homes "{homes}" does not continue at a copy in "{other}"')
def does_not_continue(context, _, homes, other):
    fleet = context.fleet_view
    generation = Generation(admitted(homes_of(homes)), None, fleet, None, None, None)
    assert not Failover(generation)._may_continue_at(fleet.host(other))
    generation.admitted = admitted(ANYWHERE)
    assert Failover(generation)._may_continue_at(fleet.host(other))


# Real daemons.


def homes_document(version: int, region: str) -> dict:
    """Return a document of which half of the routes have one home region."""
    home = {"HomeRegions": [region]}
    return document(
        version,
        route("home", "/home/", "safe", "desk", **home),
        route("homeplans", "/homeplans/", "streaming", "planner", **home),
    )


@given('a platform store with homes "{region}" for half of the routes')
def store_with_homes(context, region):
    context.version = 5
    fleet_of(context).store(homes_document(context.version, region))


@when('homes change to "{region}"')
def write_homes(context, region):
    context.version += 1
    fleet_of(context).write({"op/config": homes_document(context.version, region)})


@then('{count:d} plans of "{path}" through "{name}" are served by "{planner}" only')
def plans_served_by(context, count, path, name, planner):
    routed = fleet_of(context)
    before = len(routed.runs(planner))
    for _ in range(count):
        answer = routed.ask(name, "POST", path, **{"X-Token-Counts": "1000,5"})
        assert answer.status == 200, (answer.status, answer.body)
    assert len(routed.runs(planner)) == before + count


# Relays.


@given(
    'daemons "{a}" of "{ra}", "{b}" of "{rb}" and "{c}" of "{rc}"'
    ' that a cut-off one in "{here}" may ask'
)
def daemons_to_ask(context, a, ra, b, rb, c, rc, here):
    members = {name: member(name, region, region) for name, region in ((a, ra), (b, rb), (c, rc))}
    view = SimpleNamespace(
        me=member("me", here, here), members=members,
        is_alive=lambda _name: True, may_take_duties=lambda _member: True,
    )  # fmt: skip
    peers = Peers(Hello("me", 1, here, here, "127.0.0.1:1", b""), "k" * 20)
    context.relaying = Relaying(view, peers, ServerReach(), None, None)


@then('a request with homes "{homes}" may be relayed to "{names}"')
def may_be_relayed(context, homes, names):
    found = context.relaying.candidates(homes_of(homes))
    assert sorted(found) == regions_of(names), found
