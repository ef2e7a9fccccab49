"""Steps about what is cut off, frozen or killed."""

from behave import given, then, when
from leaving_steps import cut_platform, heal_platform, live
from stopping_steps import mark_disturbance

from standins.fleet import wait_until
from tests.callers import check_all_whole, start_plans
from tests.steptext import names_in

ENGINE_MEMORY = 16384  # tokens
PLAN_LENGTH = 60  # tokens


@given('daemons "{names}" in domain "{domain}" of region "{region}" behind proxies')
def daemons_behind_proxies(context, names, domain, region):
    """Start daemons that reach the platform, and are reached, through proxies."""
    fleet = context.fleet
    context.sources = getattr(context, "sources", {})
    source = context.sources.setdefault(domain, f"127.0.{len(context.sources) + 1}.1")
    for name in names_in(names):
        kv = fleet.proxy(f"{name}-kv", fleet.processes["kv"].http).ready["address"]
        hosts = fleet.proxy(f"{name}-hosts", fleet.processes["hosts"].http).ready["address"]
        mesh = fleet.proxy(f"{name}-mesh", "").ready["address"]
        listen = f"advertise_mesh = {mesh}\n"
        daemon = fleet.daemon(
            name, domain, region, kv=kv, hosts=hosts, mesh=mesh, listen=listen, ip=source
        )
        fleet.admin(f"{name}-mesh", {"target": daemon.ready["mesh"]})
    fleet.wait_settled(*names_in(names), paths=12)


def daemons_of(context, domain):
    """Return the daemons of a domain."""
    rows = context.fleet.hosts.items()
    return [n for n, h in rows if h["kind"] == "entry" and h["domain"] == domain]


@given('the domains "{one}" and "{other}" see each other')
@then('the domains "{one}" and "{other}" see each other')
def domains_see(context, one, other):
    for here, there in ((one, other), (other, one)):
        wanted = sorted(daemons_of(context, there))
        for name in daemons_of(context, here):
            wait_until(
                f"{name} sees {there}", lambda n=name, t=there, w=wanted: live(context, n, t) == w
            )


@then('the domains "{one}" and "{other}" no longer see each other')
def domains_do_not_see(context, one, other):
    for here, there in ((one, other), (other, one)):
        for name in daemons_of(context, here):
            wait_until(f"{name} misses {there}", lambda n=name, t=there: not live(context, n, t))


@when("the domains are cut from each other")
def cut_links(context):
    for domain, source in context.sources.items():
        for name in daemons_of(context, domain):
            context.fleet.admin(f"{name}-mesh", {"spared": [source], "mode": "cut"})


@when("the domains are given back to each other")
def heal_links(context):
    for domain in context.sources:
        for name in daemons_of(context, domain):
            context.fleet.admin(f"{name}-mesh", {"mode": "pass"})


@when("the domains are cut from each other and from the platform")
def cut_domains(context):
    cut_links(context)
    for domain in context.sources:
        for name in daemons_of(context, domain):
            cut_platform(context, name)


@when("the domains and the platform are given back to each other")
def heal_domains(context):
    names = [name for domain in context.sources for name in daemons_of(context, domain)]
    context.before_heal = {name: context.fleet.status(name) for name in names}
    for name in names:
        heal_platform(context, name)
        context.fleet.admin(f"{name}-mesh", {"mode": "pass"})


@then("no daemon dialled more than {dials:d} times for the heal, nor read the host list more often")
def no_herd(context, dials):
    for name, before in context.before_heal.items():
        now = context.fleet.status(name)
        dialled = now["mesh"]["dials"] - before["mesh"]["dials"]
        read = now["hosts"]["reads"] - before["hosts"]["reads"]
        print(f"{name}: {dialled} dials, {read} reads of the host list")
        assert dialled <= dials and read <= dials, (name, dialled, read)


@then('{count:d} plans are whole through each of "{names}"')
def plans_through_each(context, count, names):
    daemons = names_in(names)
    plans = start_plans(context.fleet, daemons, count * len(daemons), PLAN_LENGTH)
    check_all_whole(plans, PLAN_LENGTH)


@then('"{names}" know a load of "{service}" in "{domain}"')
def know_load(context, names, service, domain):
    def knows(name):
        rows = context.fleet.status(name)["domains"]
        loads = [load for row in rows if row["name"] == domain for load in row["loads"]]
        return any(load["service"] == service and load["free_tokens"] > 0 for load in loads)

    for name in names_in(names):
        wait_until(f"{name} knows the load", lambda n=name: knows(n))


@when("the scheduling daemon is frozen")
def freeze_scheduler(context):
    context.fleet.processes[context.scheduler].freeze()
    mark_disturbance(context)


@when("the scheduling daemon is thawed")
def thaw_scheduler(context):
    context.fleet.processes[context.scheduler].thaw()


@when("the scheduling daemon is killed")
def kill_scheduler(context):
    context.fleet.processes[context.scheduler].kill()
    mark_disturbance(context)


@then("no engine held more than {times:g} times its memory or preempted")
def memory_bound(context, times):
    for name, host in context.fleet.hosts.items():
        if host["kind"] == "engine":
            counts = context.fleet.counts(name)
            assert counts["peak_memory"] <= times * ENGINE_MEMORY, counts
            assert counts["preemptions"] == 0, counts
