"""Steps about the ring on which the daemons of a domain watch each other."""

import time

from behave import given, then, when
from leaving_steps import live
from membership_steps import alive, peer

from papayacourse.rendezvous import ranked
from standins.fleet import wait_until

DOMAIN = "lagos-1"


def is_told(context, name, what):
    """Return whether a daemon's log says that it took another one for dead."""
    log = (context.fleet.path / f"{name}.log").read_text(errors="replace")
    return any("taken for dead" in line and f'"peer":"{what}"' in line for line in log.splitlines())


@given('{count:d} daemons in domain "{domain}" of region "{region}"')
def start_many(context, count, domain, region):
    context.names = [f"d{number:02d}" for number in range(count)]
    for name in context.names:
        context.fleet.daemon(name, domain, region)
    everybody_alive(context)


@given('{count:d} daemons in domain "{domain}" of region "{region}" behind proxies of their own')
def start_behind_proxies(context, count, domain, region):
    fleet = context.fleet
    context.names = [f"d{number:02d}" for number in range(count)]
    context.sources = {name: f"127.0.{n + 1}.1" for n, name in enumerate(context.names)}
    for name, source in context.sources.items():
        mesh = fleet.proxy(f"{name}-mesh", "").ready["address"]
        listen = f"advertise_mesh = {mesh}\n"
        daemon = fleet.daemon(name, domain, region, mesh=mesh, listen=listen, ip=source)
        fleet.admin(f"{name}-mesh", {"target": daemon.ready["mesh"]})
    everybody_alive(context)


@then("every daemon sees every other one alive")
def everybody_alive(context):
    """Wait until all are alive, and may be given duties, for all."""
    for name in context.names:
        wait_until(f"{name} sees all", lambda n=name: live(context, n, DOMAIN) == context.names, 40)


@then('every other daemon knows within {seconds:d} seconds that "{leaver}" leaves')
def known_to_leave(context, seconds, leaver):
    for name in context.names:
        if name != leaver:
            wait_until(
                f"{name} is told", lambda n=name: peer(context, n, leaver)["leaving"], seconds
            )


@when("{count:d} daemons that are neighbours on the ring are frozen")
def freeze_neighbours(context, count):
    context.frozen = ranked("ring", context.names)[:count]
    for name in context.frozen:
        context.fleet.processes[name].freeze()


@when("the frozen daemons are thawed")
def thaw_frozen(context):
    for name in context.frozen:
        context.fleet.processes[name].thaw()


def agree(context, names, seconds):
    """Wait until each of some daemons takes exactly these for alive."""
    began = time.monotonic()
    for name in names:
        left = began + seconds - time.monotonic()
        wait_until(f"{name} agrees", lambda n=name: alive(context, n) == sorted(names), left)
    print(f"agreed after {time.monotonic() - began:.1f} s")


@then("every other daemon takes exactly those for dead within {seconds:d} seconds")
def others_agree(context, seconds):
    agree(context, [name for name in context.names if name not in context.frozen], seconds)


@then("no daemon that was frozen took another one for dead")
def frozen_took_nobody(context):
    told = [(n, o) for n in context.frozen for o in context.names if is_told(context, n, o)]
    assert not told, told


def freeze_links(context, one, other):
    """Hold what passes between two groups of daemons, without closing anything."""
    for here, there in ((one, other), (other, one)):
        spared = [source for name, source in context.sources.items() if name not in there]
        for name in here:
            context.fleet.admin(f"{name}-mesh", {"spared": spared, "mode": "stall"})


@when("the links between two neighbours on the ring are frozen")
def freeze_pair(context):
    context.pair = ranked("ring", context.names)[:2]
    freeze_links(context, context.pair[:1], context.pair[1:])


@when("the links between the first {count:d} daemons and the others are frozen")
def part(context, count):
    context.sides = context.names[:count], context.names[count:]
    freeze_links(context, *context.sides)


@when("the links are thawed")
def thaw_links(context):
    for name in context.names:
        context.fleet.admin(f"{name}-mesh", {"mode": "pass"})


@then("each side takes exactly its own daemons for alive within {seconds:d} seconds")
def sides_agree(context, seconds):
    for side in context.sides:
        agree(context, side, seconds)


@then("the two take each other for dead within {seconds:d} seconds")
def pair_apart(context, seconds):
    for name, other in (context.pair, context.pair[::-1]):
        wait_until(
            f"{name} misses {other}", lambda n=name, o=other: is_told(context, n, o), seconds
        )


@then("{seconds:d} seconds later nobody else has taken either for dead")
def others_unmoved(context, seconds):
    time.sleep(seconds)
    others = [name for name in context.names if name not in context.pair]
    told = [(n, o) for n in others for o in context.pair if is_told(context, n, o)]
    assert not told, told
