"""Steps about what other programs write to the key-value service and the host list."""

import asyncio
import json

import attrs
from behave import then
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from papayacourse import jsontext, kvstore, logline, wire
from papayacourse.catalog import Catalog
from papayacourse.commits import COMMIT_KEY
from papayacourse.history import parse_revisions
from papayacourse.kvstore import Entry, KeyValueStore, Listing
from papayacourse.meshmessages import SettingsUpdate
from papayacourse.settings import SettingsPath
from papayacourse.settingsoptions import KINDS
from papayacourse.settingsparser import parse_setting
from papayacourse.types import Address
from papayacourse.watch import SettingsWatch
from tests.oddtexts import odd_texts

DECODERS = (
    kvstore.entry_from, kvstore.listing_from, kvstore.swap_result_from, kvstore.grant_from,
    kvstore.renewed_from,
)  # fmt: skip
TEAM = "[team]\nstate = closed\n"
HEAD = "# author: a\n# revision: {}\n# time: {}\n" + TEAM
ODD_VALUES = [
    None, "", "x", "[", "[team]\nstate", "[team]\n  state = open\n x", "[team\n", "\0", "\\ud800",
    HEAD.format(1, "1.2.3"), HEAD.format(1, "."), HEAD.format("9" * 5000, "1.000"),
    HEAD.format(1, "9" * 5000), HEAD.format("\u0663", "1.000"), HEAD.format(0, "1.000"),
    HEAD.format(10**18, "1.000"), HEAD.replace("author: a", "author: " + "a" * 100_000),
    "[team]\nstate = closed\nrecord_bytes = " + "9" * 4000, "x" * 70_000, "[DEFAULT]\na=b\n" + TEAM,
    "[team]\nstate = %(x)s\n", "[team]\nstate = closed\n[team]\n", "{}", "[]", "null",
    "\ufeff" + TEAM,
]  # fmt: skip
ODD_COMMITS = [
    "[", "[]", "{}", "5", "null", '{"batch": {}, "author": [], "at": {}, "changes": 5}',
    '{"batch": "b", "author": "a", "at": 1' + "0" * 400 + ', "changes": []}',
    '{"batch": "b", "author": "a", "at": 1, "changes": [{"path": [], "text": {}}]}',
    '{"batch": "b", "author": "a", "at": 1, "changes": [{"path": "\\ud800", "text": "\\ud800"}]}',
    '{"batch": "b", "author": "\\ud800", "at": 1, "changes": [{"path": "/teams/odd"}]}',
]  # fmt: skip

texts = odd_texts(max_size=10)
scalars = st.none() | st.booleans() | st.integers() | st.floats() | texts
names = st.sampled_from(
    ["key", "value", "revision", "entries", "swapped", "current", "lease", "ttl", "renewed"]
)
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(names | texts, inner, max_size=4),
    max_leaves=6,
)
entries = st.fixed_dictionaries(
    {"key": texts | scalars, "value": values, "revision": st.integers(-2, 2**64) | scalars}
)
answers = st.one_of(
    values,
    entries,
    st.fixed_dictionaries({"entries": st.lists(entries, max_size=2), "revision": scalars}),
    st.fixed_dictionaries({"swapped": scalars, "current": entries | values, "revision": scalars}),
)
fragments = [
    "# author: a\n", "# revision: 5\n", "# time: 1.000\n", "# deleted\n", "# revision: ",
    "# time: ", "[team]\n", "state = open\n", "state", "=", " ", "\n", "1.5", "[", "]",
]  # fmt: skip
pieces = st.lists(st.sampled_from(fragments) | texts, max_size=8).map("".join)
paths = st.one_of(
    st.just("/teams/odd"), st.just(COMMIT_KEY), texts.map("/teams/odd/services/".__add__),
    texts.map("/teams/".__add__), texts,
)  # fmt: skip
revisions = st.fixed_dictionaries(
    {"revision": scalars, "author": scalars, "at": scalars, "batch": scalars, "text": scalars}
)
changes = st.fixed_dictionaries({"path": paths | scalars, "text": pieces | scalars})
commits = st.fixed_dictionaries(
    {"batch": scalars, "author": scalars, "at": scalars, "changes": st.lists(changes)},
    optional={"removed": st.lists(scalars)},
)
stored = st.one_of(st.none(), pieces, commits.map(json.dumps), values.map(json.dumps))


def check_random(strategy, count, check):
    """Check random inputs, the same each time."""
    run = settings(max_examples=count, deadline=None, database=None, derandomize=True,
                   suppress_health_check=list(HealthCheck))  # fmt: skip
    run(given(strategy)(check))()


def escaped(value):
    """Return a value as it is after it was parsed."""
    try:
        return jsontext.parse(json.dumps(value))
    except ValueError:
        return None


@then("{count:d} random answers of the key-value service are decoded or refused with ValueError")
def answers_are_decoded(context, count):
    def check(answer):
        raw = escaped(answer)
        for decode in DECODERS:
            try:
                found = decode(raw)
            except ValueError as error:
                assert str(error).isprintable(), error
            else:
                logline.encode({"found": repr(found)})

    check_random(answers, count, check)


@then("a value that is no text is an entry of its JSON")
def values_become_json(context):
    for value in (5, 1.5, True, [1], {"a": 1}):
        raw = {"key": "k", "value": value, "revision": 3}
        assert kvstore.entry_from(raw) == Entry("k", json.dumps(value), 3)
    assert kvstore.entry_from({"key": "k", "value": None, "revision": 3}) == Entry("k", None, 3)


def check_sound_in_force(odd: list[Entry], team: str, other: str) -> None:
    """Apply odd entries of a team beside a sound one of another, which must be in force."""
    catalog = Catalog()
    watch = SettingsWatch(KeyValueStore(Address("127.0.0.1", 1)), catalog)
    sound = Entry(f"/teams/{other}", TEAM, 7)
    watch.apply_listing(Listing((*odd, sound), 10))
    assert catalog.team_closed(other), odd
    assert watch.revision == 10
    values = tuple(value for value in catalog.values.values() if value.path != sound.key)
    frame = wire.Frame(1, False, SettingsUpdate(values))
    assert wire.decode(wire.encode(frame)) == frame
    catalog.team_closed(team)


@then('each odd entry of "{team}" leaves the settings of "{other}" in force')
def odd_entries_harm_nobody(context, team, other):
    for value in ODD_VALUES:
        check_sound_in_force([Entry(f"/teams/{team}", value, 5)], team, other)
    for value in ODD_COMMITS:
        check_sound_in_force([Entry(COMMIT_KEY, value, 5)], team, other)


@then('{count:d} random entries of "{team}" leave the settings of "{other}" in force')
def random_entries_harm_nobody(context, count, team, other):
    def check(found):
        odd = [
            Entry(escaped(key), escaped(value), number)
            for number, (key, value) in enumerate(found, 1)
        ]
        if all(entry.key != f"/teams/{other}" for entry in odd):
            check_sound_in_force(odd, team, other)

    check_random(st.lists(st.tuples(paths, stored), min_size=1, max_size=4), count, check)


@then("a history with an odd revision restores the sound one")
def sound_one_is_restored(context):
    sound = {"revision": 3, "author": "a", "at": 1.0, "batch": "b", "text": TEAM}
    found = json.dumps([sound, *(sound | {"revision": odd} for odd in (0, -1, 10**400))])

    class Store:
        async def get(self, key):
            return Entry(key, found, 9)

    catalog = Catalog()
    watch = SettingsWatch(Store(), catalog)
    watch.apply_listing(Listing((Entry("/teams/odd", "[", 8),), 9))
    asyncio.run(watch._restore())
    assert catalog.team_closed("odd")


@then("{count:d} random histories are decoded")
def histories_are_decoded(context, count):
    def check(found):
        for value in (json.dumps(found), json.dumps([found])):
            for revision in parse_revisions(Entry("/history/teams/odd", value, 5)):
                assert type(revision.revision) is int and revision.revision > 0, revision

    check_random(revisions | values, count, check)


NUMBERS = {
    "team": ("record_bytes", "record_forget_after"),
    "services": (
        "max_output_tokens", "wait_limit", "resume_window", "call_timeout", "retry_share",
        "spill_same_region", "spill_other_region", "record_retention", "cell_engines",
    ),
    "accounts": ("share", "max_in_progress", "priority"),
    "deployments": (
        "priority", "memory_tokens", "max_batch", "memory_margin", "memory_spread",
        "affinity_bound", "decode_batch", "prompt_wait",
    ),
}  # fmt: skip
REQUIRED = {
    "team": {"state": "open"},
    "services": {"kind": "model"},
    "accounts": {"key_sha256": "0" * 64},
    "deployments": {"service": "x", "backends": "x"},
}


def parse_number(kind: str, option: str, number: str):
    """Parse the text of a path that has one number."""
    path = SettingsPath("odd", kind, "" if kind == "team" else "x")
    lines = [f"{name} = {value}" for name, value in (REQUIRED[kind] | {option: number}).items()]
    return parse_setting(path, "\n".join([f"[{KINDS[kind].section}]", *lines]))


@then('each number of each kind of path is refused as "BIG", "-BIG", "1e300", "inf" and "nan"')
def numbers_are_refused(context):
    for number in ("9" * 400, "-" + "9" * 400, "9" * 5000, "1e300", "inf", "-inf", "nan"):
        for kind, options in NUMBERS.items():
            for option in options:
                match parse_number(kind, option, number):
                    case Failure(faults):
                        assert [fault.option for fault in faults] == [option], faults
                        assert len(str(faults[0])) < 8000, faults
                    case Success(found):
                        raise AssertionError((option, number[:20], found))


@then("each number of each kind of path is accepted as its default")
def defaults_are_accepted(context):
    for kind, options in NUMBERS.items():
        for spec in KINDS[kind].options:
            default = getattr(attrs.fields(KINDS[kind].cls), spec.attribute).default
            if spec.option in options and default:
                match parse_number(kind, spec.option, str(default)):
                    case Failure(faults):
                        raise AssertionError(faults)
