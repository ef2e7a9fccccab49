"""Steps about model services with unusual names."""

import json

from behave import given, then
from hypothesis import assume
from hypothesis import strategies as st
from routed_steps import fleet_of
from routedcrashes_steps import PLAN

from papayacourse.catalog import Catalog
from papayacourse.enginelist import is_eligible
from papayacourse.meshmessages import SettingsValue
from papayacourse.routed.derived import TEAM, derived_catalog, derived_values, update_catalog
from papayacourse.routed.document import CallerLimits, Document, EngineCapacity, Service
from papayacourse.types import Host, HostKind
from standins.fleet import wait_until
from tests.oddvalues import check_random
from tests.routedfleet import document
from tests.steptext import names_in

CAPACITY = EngineCapacity(24, 30000)
ODD_NAMES = ["a", "A", "a b", " a", "a*", "[a]", "a,b", "a%20b", "%", "#a", ";", "a=b", "x" * 200]


@given('a platform store with a document whose model service is named "{name}"')
def store_with_service(context, name):
    text = json.dumps(document(5)).replace('"planner"', json.dumps(name))
    fleet_of(context).store(json.loads(text))


@then('plans of that service through "{names}" are answered {status:d} by "{engine}"')
def plans_served(context, names, status, engine):
    routed = fleet_of(context)

    def is_served(name) -> bool:
        return routed.ask(name, "POST", "/plans/1", b"x", **PLAN).status == status

    for name in names_in(names):
        wait_until(f"{name} serves plans", lambda name=name: is_served(name))
    assert len(routed.runs(engine)) == len(names_in(names)), routed.runs(engine)


def document_of(*names: str) -> Document:
    """Return a document with model services of these names."""
    return Document(5, (), {n: Service(n, CAPACITY) for n in names}, (), CallerLimits())


def engine_of(service: str) -> Host:
    """Return a server of a service."""
    return Host(f"{service}/e@1", HostKind.ENGINE, "127.0.0.1:9", "lagos", "lagos", service=service)


def check_service(catalog: Catalog, name: str, other: str) -> None:
    """Fail unless a catalog has a service, its own engines, and no others."""
    assert (TEAM, name) in catalog.model_services()
    assert catalog.service(TEAM, name).max_output_tokens == CAPACITY.memory_tokens
    (deployment,) = catalog.deployments(TEAM, name)
    assert is_eligible(engine_of(name), deployment)
    assert not is_eligible(engine_of(other), deployment)
    assert not catalog.rejected, catalog.rejected


@then(
    "{count:d} random names of model services each have their settings and their own engines alone"
)
def random_names(context, count):
    def check(pair) -> None:
        one, other = pair
        # The names of engines do not tell where their service's name ends.
        assume(one != other and not other.startswith(f"{one}/") and not one.startswith(f"{other}/"))
        here, there = derived_catalog(), derived_catalog()
        update_catalog(here, document_of(one, other), TEAM)
        for value in derived_values(document_of(one, other), TEAM):
            there.apply(value)
        for catalog in (here, there):
            check_service(catalog, one, other)
            check_service(catalog, other, one)
        update_catalog(here, Document(6, (), {}, (), CallerLimits()), TEAM)
        assert list(here.model_services()) == [] and not here.rejected

    printable = st.text(st.characters(exclude_categories=["C", "Z"]), min_size=1, max_size=9)
    names = st.sampled_from(ODD_NAMES) | printable
    check_random(count, st.tuples(names, names), check)


@then('the settings of model service "{name}" hold its name as it is')
def usual_names(context, name):
    service, deployment = derived_values(document_of(name), TEAM)
    assert isinstance(service, SettingsValue) and service.path == f"/teams/routed/services/{name}"
    assert deployment.path == f"/teams/routed/deployments/{name}"
    assert f"service = {name}\nbackends = {name}/*\n" in deployment.text
