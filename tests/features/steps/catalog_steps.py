"""Steps of catalogs by themselves, without daemons."""

from itertools import permutations

from behave import given, then, when

from papayacourse.catalog import TOMBSTONE_RETENTION_SECONDS, Catalog, bucket
from papayacourse.meshmessages import SettingsValue
from papayacourse.settingsync import first_page
from papayacourse.wire import MAX_FRAME_BYTES, Frame, encode
from tests.operators import HIREDESK, PLANNER, service_text


class Clock:
    """A clock that a test moves."""

    now = 0.0

    def __call__(self):
        """Return the time, in seconds."""
        return self.now


def exchange(asker, asked):
    """Let one catalog take what the other has newer, as daemons do."""
    for number in asked.differing_buckets(tuple(asker.digests)):
        for value in first_page(asked.missing_values(number, asker.versions(number))).values:
            asker.apply(value)


OLD = SettingsValue(PLANNER, 5, service_text(5))
DELETED = SettingsValue(PLANNER, 8, None)
LATER = SettingsValue(HIREDESK, 9, service_text(9, "plain"))


def forgetful(from_platform):
    clock = Clock()
    catalog = Catalog(clock)
    for value in (OLD, DELETED, LATER):
        catalog.apply(value, from_platform=from_platform)
    complete_to = LATER.revision if from_platform else OLD.revision
    catalog.record_complete_to(complete_to)
    clock.now = TOMBSTONE_RETENTION_SECONDS * 2
    catalog.record_complete_to(complete_to)
    return catalog


@given("a catalog that has a path, and one that has seen the path's deletion")
def two_catalogs(context):
    assert forgetful(False).values[PLANNER] == DELETED


@when("the second catalog has forgotten the deletion")
def forgets(context):
    assert PLANNER not in forgetful(True).values


@then("the exchange between them deletes the path in both, in either order")
def deleted_in_both(context):
    for order in permutations(range(2)):
        stale, fresh = Catalog(), forgetful(True)
        stale.apply(OLD, from_platform=True)
        pairs = [(stale, fresh), (fresh, stale)]
        for index in order:
            exchange(*pairs[index])
        assert fresh.service("sound-trust", "planner") is None
        assert stale.service("sound-trust", "planner") is None
        assert stale.service("sound-trust", "hiredesk").wait_limit == 9
        assert stale.digest == fresh.digest


@then("a catalog that knows the deletion only from a peer does not forget it")
def does_not_forget(context):
    assert forgetful(False).values[PLANNER] == DELETED


@given("two catalogs of which one has {megabytes:d} megabytes of settings")
def large_catalogs(context, megabytes):
    context.full, context.empty = Catalog(), Catalog()
    padding = "# " + "x" * 60_000
    paths = (f"/teams/sound-trust/services/s{n}" for n in range(100_000))
    same_bucket = (path for path in paths if bucket(path) == 0)
    for number in range(megabytes * 16):
        text = f"{service_text(number + 1)}{padding}\n"
        context.full.apply(SettingsValue(next(same_bucket), number + 1, text))


@when("they exchange settings page by page")
def exchange_pages(context):
    context.sizes = []
    more = True
    while more:
        page = first_page(context.full.missing_values(0, context.empty.versions(0)))
        context.sizes.append(len(encode(Frame(1, True, page))))
        for value in page.values:
            context.empty.apply(value)
        more = page.more


@then("every message fits a frame and both have the same digest")
def pages_fit(context):
    assert max(context.sizes) < MAX_FRAME_BYTES, context.sizes
    assert context.empty.digest == context.full.digest
    assert len(context.sizes) > 4
