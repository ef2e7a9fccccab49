"""Steps about what passes links of each class."""

from behave import given, then

from standins.fleet import wait_until
from standins.metricsreader import samples

TOKEN_EVENT_BYTES = (60, 120)  # of the stand-in engine, for one token


def by_class(context, daemon, metric, **labels) -> dict[str, float]:
    """Return a daemon's counter by the class of link, without those of nothing."""
    rows = samples(context.fleet.processes[daemon].http, metric)
    wanted = [(found, value) for found, value in rows if labels.items() <= found.items()]
    return {found["link"]: value for found, value in wanted if value}


@given('"{daemon}" knows that domain "{domain}" can serve "{service}"')
def knows_domain(context, daemon, domain, service):
    def knows() -> bool:
        rows = [d for d in context.fleet.status(daemon)["domains"] if d["name"] == domain]
        loads = [load for row in rows for load in row["loads"]]
        return any(load["service"] == service and load["free_tokens"] > 0 for load in loads)

    wait_until(f"{daemon} knows {domain}", knows)


@then('"{daemon}" has placed 1 generation over a "{link}" link and none over another')
def placed_over(context, daemon, link):
    assert by_class(context, daemon, "papayacourse_placements_total") == {link: 1}


@then('"{daemon}" has placed none')
def placed_none(context, daemon):
    assert not by_class(context, daemon, "papayacourse_placements_total")


@then('"{daemon}" has counted that generation\'s bytes over a "{link}" link and none over another')
def stream_bytes(context, daemon, link):
    found = by_class(context, daemon, "papayacourse_link_bytes_total", carried="stream")
    assert set(found) == {link}, found
    low, high = (size * len(context.caller.texts) for size in TOKEN_EVENT_BYTES)
    assert low < found[link] < high, found


@then('"{one}" and "{other}" have counted control bytes over a "{link}" link and none over another')
def control_bytes(context, one, other, link):
    for daemon in (one, other):
        found = by_class(context, daemon, "papayacourse_link_bytes_total", carried="control")
        assert set(found) == {link}, (daemon, found)
