"""Steps about entries of the platform's store that another writer has left."""

import asyncio
import json
import sys

from attrs import asdict
from behave import then, when
from deaths_steps import NoPeers
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from routed_steps import fleet_of

from papayacourse import partblame
from papayacourse.callmessages import Strike, StrikesUpdate
from papayacourse.exceptions import PlatformError
from papayacourse.hostchanges import digest
from papayacourse.meshmessages import HostsUpdate
from papayacourse.quarantine import Quarantine
from papayacourse.routed.keptstrikes import StoredStrikes
from papayacourse.types import Address
from papayacourse.wire import Frame, decode, encode
from standins.fleet import wait_until
from tests.oddvalues import check_loggable, check_random, encoded, mutated
from tests.oddvalues import texts as odd_texts
from tests.oddvalues import values as odd_values
from tests.routedfleet import ROOT
from tests.steptext import names_in

sys.path.append(str(ROOT / "platform"))

from userplatform.entries import read_entry
from userplatform.storeclient import Item, Items
from userplatform.storeview import (
    DAEMONS,
    LONG_STRIKES,
    STRIKES,
    StoreContent,
    read_strike,
    strike_key,
    strike_value,
)

HUGE = 10**400
LONG = "x" * 1_000_000
HALF_CHARACTER = "\ud800"
GOOD = {
    "Service": "desk", "Address": "127.0.0.1:9", "Zone": "lagos", "Version": "1", "Slots": 6,
    "State": "ready", "Sequence": 1, "born": 1,
}  # fmt: skip
DAEMON = {"address": "127.0.0.1:8", "mesh": "127.0.0.1:9", "domain": "lagos", "region": "lagos"}
STRIKE = {"engine": "desk/e@1", "expires": 1.5, "fingerprint": "parts:a,b"}
ODD = {
    "nested too deeply": "[" * 5000,
    "at a port out of range": GOOD | {"Address": "127.0.0.1:99999"},
    "at a name as long as a body": GOOD | {"Address": f"{LONG}:80"},
    "at an address that is no IP": GOOD | {"Address": "no host\u0000:80"},
    "of slots beyond all numbers": GOOD | {"Slots": HUGE},
    "of a service that is half a character": GOOD | {"Service": HALF_CHARACTER},
    "of a service as long as a body": GOOD | {"Service": LONG},
    "of a zone with a line end": GOOD | {"Zone": "lagos\r\nX: y"},
    "born beyond all numbers": GOOD | {"born": HUGE},
    "a daemon at a port out of range": DAEMON | {"mesh": "127.0.0.1:99999"},
    "a daemon of a zone that is half a character": DAEMON | {"domain": HALF_CHARACTER},
    "a strike without an end": '{"engine": "e", "expires": 1e999}',
    "a strike beyond all numbers": {"engine": "e", "expires": HUGE},
}
NOTHING = "nothing"  # of an entry that can be read
UNREADABLE = "entry not readable"
REGIONS = {"lagos": "lagos"}

texts = st.text(st.characters()) | st.sampled_from(["lagos", "desk", "127.0.0.1:9", "ready"])
scalars = st.none() | st.booleans() | st.integers() | st.floats() | texts
values = st.recursive(scalars, lambda inner: st.lists(inner) | st.dictionaries(texts, inner))
entries = st.fixed_dictionaries({}, optional=dict.fromkeys(GOOD, values)).map(
    lambda changed: GOOD | changed
)


@when('another writer leaves an entry under "{prefix}" that is "{odd}"')
def leave_entry(context, prefix, odd):
    fleet_of(context).write({f"{prefix}stranger": ODD[odd]})


@then('the log of "{names}" says of that entry that "{field}" is to blame')
def entry_is_explained(context, names, field):
    def reasons():
        lines = [x for n in names_in(names) for x in fleet_of(context).lines(n, UNREADABLE)]
        return [line.get("why", "") for line in lines if line["key"].endswith("stranger")]

    if field == NOTHING:
        assert reasons() == []
        return
    found = wait_until("the entry is logged", reasons)
    assert all(field in why for why in found), found


@when('another writer lists the address of "{engine}" under an id with a line end')
def list_under_odd_id(context, engine):
    routed = fleet_of(context)
    entry = GOOD | routed.places[engine]
    routed.write({"servers/odd\r\nX-Tenant: other": entry})


@then('{count:d} calls of "{path}" through "{name}" are all answered {status:d} by "{engine}"')
def all_answered(context, count, path, name, status, engine):
    for _ in range(count):
        answer = fleet_of(context).ask(name, "GET", path)
        assert (answer.status, answer.json["instance"]) == (status, engine), answer


@then('no loop of "{names}" has failed')
def no_loop_failed(context, names):
    for name in names_in(names):
        assert fleet_of(context).lines(name, "loop failed") == []
        assert fleet_of(context).lines(name, "task failed") == []


@then("{count:d} random entries each name a server that can be sent to daemons, or none")
def random_entries(context, count):
    @settings(max_examples=count, deadline=None, database=None, derandomize=True,
              suppress_health_check=list(HealthCheck))  # fmt: skip
    @given(entries | values, st.text(st.characters(), max_size=30))
    def check(entry, instance):
        try:
            host = read_entry(f"servers/{instance}", json.dumps(entry).encode(), REGIONS)
        except PlatformError as error:
            assert str(error).isprintable()
            return
        Address.parse(host.address)
        digest((host,))
        update = HostsUpdate(1, (host,))
        assert decode(encode(Frame(0, False, update))).message == update
        assert "\n" not in host.instance and host.instance.encode("latin1")

    check()


@then("{count:d} random daemons' entries and strikes are of use or are logged as not readable")
def random_content(context, count):
    read = []

    def check(prefix, suffix, entry) -> None:
        item = Item(f"{prefix}{suffix}", encoded(entry), 1)
        found = StoreContent(REGIONS, 1).apply(Items((item,), 1))
        read.append(found.members or found.strikes)
        for message in (HostsUpdate(1, found.members or ()), StrikesUpdate(found.strikes or ())):
            assert decode(encode(Frame(0, False, message))).message == message
        digest(found.members or ())
        check_loggable(members=[asdict(member) for member in found.members or ()])
        asyncio.run(take_strikes(found.strikes or ()))

    entries = st.tuples(
        st.sampled_from([DAEMONS, STRIKES, LONG_STRIKES]),
        st.just("a/1") | odd_texts,
        st.sampled_from([DAEMON, STRIKE]) | mutated(DAEMON) | mutated(STRIKE) | odd_values,
    )  # fmt: skip
    check_random(count, entries, lambda entry: check(*entry))
    assert len(list(filter(None, read))) > count / 50, len(read)


async def take_strikes(strikes) -> None:
    """Fail if strikes of the store cannot be taken."""
    quarantine = Quarantine(NoPeers())
    await StoredStrikes(None, quarantine).take(strikes, 1)
    for strike in strikes:
        check_loggable(fingerprint=strike.fingerprint, engine=strike.engine, at=strike.expires)


@then("the strike of a prompt of {count:d} parts is read back as it was written")
def strike_is_read_back(context, count):
    fingerprint = partblame.encode("request", [f"part-{n}" for n in range(count)])
    strike = Strike(fingerprint, "desk/e@1", 1.5)
    assert read_strike(strike_key(strike), strike_value(strike), REGIONS) == strike


@then('a strike without a fingerprint under the key "{key}" is one of "{fingerprint}"')
def strike_by_key(context, key, fingerprint):
    value = json.dumps({"engine": "desk/e@1", "expires": 1.5}).encode()
    assert read_strike(key, value, REGIONS) == Strike(fingerprint, "desk/e@1", 1.5)
