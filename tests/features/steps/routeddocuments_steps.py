"""Steps about settings documents that are malformed or unusual."""

import asyncio
import json
import re
import sys

from behave import then, when
from routed_steps import fleet_of
from tornado.httputil import HTTPHeaders

from papayacourse.callmessages import Strike, StrikesUpdate
from papayacourse.catalog import Catalog
from papayacourse.exceptions import PlatformError, RequestRefused
from papayacourse.linkclasses import LinkClass
from papayacourse.meshmessages import SettingsUpdate
from papayacourse.routed.admitted import admit
from papayacourse.routed.derived import TEAM, derived_values, update_catalog
from papayacourse.routed.document import Document
from papayacourse.routed.generationrequest import generation_request
from papayacourse.routed.migration.moveschedule import copy_time
from papayacourse.routed.seams import Call, Dispatch
from papayacourse.types import Host, HostKind
from papayacourse.wire import Frame, decode, encode
from standins.fleet import wait_until
from tests.oddvalues import check_loggable, check_random, encoded, mutated, values
from tests.routedfleet import HOST, KEY, ROOT, document

sys.path.append(str(ROOT / "platform"))

from userplatform.codec import HeaderCodec
from userplatform.documents import read_document
from userplatform.fields import MAX_WHOLE

STEP = re.compile(r"(\w+)(?:\[(\d+)\])?")
SERVER = Host("desk/e@1", HostKind.ENGINE, "127.0.0.1:9", "lagos", "lagos", service="desk")


def changed(version: int, path: str, value: object) -> dict:
    """Return a document with one value changed, at a path such as ``Routes[1].Name``."""
    found = document(version)
    steps = [key for m in STEP.finditer(path) for key in (m[1], m[2]) if key is not None]
    *before, last = [int(key) if key.isdecimal() else key for key in steps]
    inner = found
    for key in before:
        inner = inner[key]
    inner[last] = value
    return found


@when('documents that are malformed are written, GET "{path}" through "{name}" stays answered 200')
def write_malformed(context, path, name):
    routed = fleet_of(context)
    context.fields = []
    for number, row in enumerate(context.table):
        # The value is written as it is, since no Python float is 1e400.
        text = json.dumps(changed(10 + number, row["path"], "HERE"))
        routed.write({"op/config": text.replace('"HERE"', row["value"])})
        context.fields.append(row["path"])
        wait_until(f"{row['path']} is refused", lambda n=number: refusals(context, name) > n, 5.0)
        answer = routed.ask(name, "GET", path)
        assert answer.status == 200, (row["path"], row["value"], answer)


def refusals(context, name: str) -> int:
    """Return how many documents a daemon has refused."""
    return len(fleet_of(context).lines(name, "document not readable"))


@then('the log of "{name}" names the field of each of them')
def fields_are_named(context, name):
    found = [line["why"] for line in fleet_of(context).lines(name, "document not readable")]
    not_named = [
        (field, why)
        for field, why in zip(context.fields, found, strict=True)
        if field not in why and "finite" not in why
    ]
    assert not not_named, not_named


@then("documents with these values are taken")
def unusual_are_taken(context):
    for row in context.table:
        source = encoded(changed(7, row["path"], json.loads(row["value"])))
        check_document(read_document(source))


@then("a document that begins with a byte order mark is taken")
def marked_is_taken(context):
    assert read_document(json.dumps(document(9)).encode("utf-8-sig")).version == 9


@then(
    "{count:d} random documents are refused, or requests on their routes can be routed and logged"
)
def random_documents(context, count):
    taken = []

    def check(raw) -> None:
        try:
            found = read_document(encoded(raw))
        except PlatformError as error:
            check_loggable(why=str(error))
            return
        taken.append(found)
        check_document(found)

    check_random(count, mutated(document(7)) | values, check)
    assert len(taken) > count / 20, len(taken)


def check_document(found: Document) -> None:
    """Fail if anything that follows from a document cannot be used."""
    assert found.version > 0 and found.limits.header_bytes > 0 and found.limits.body_bytes > 0
    assert found.limits.idle_time > 0
    check_loggable(version=found.version, routes=len(found.routes))
    update_catalog(Catalog(), found, TEAM)
    check_frame(SettingsUpdate(tuple(derived_values(found, TEAM))))
    for service in found.services.values():
        if service.engine:
            assert copy_time(1, service.engine.copy_rate, LinkClass.SAME_DOMAIN) > 0
            assert service.engine.event_tokens > 0
    hosts = [HOST, *(route.host for route in found.routes)]
    paths = ["/view/1", *(route.prefix for route in found.routes)]
    keys = [KEY, *(key for account in found.accounts for key in account.keys)]
    for host, path, key in zip(hosts, paths, keys * len(hosts), strict=False):
        check_request(found, host, path, key)


def check_request(found: Document, host: str, path: str, key: str) -> None:
    """Fail if a request is neither refused nor can be sent and logged."""
    call = Call("id", "GET", path, host, HTTPHeaders(), b"", key)
    try:
        admitted = admit(found, call, 0.0)
    except RequestRefused as refused:
        check_loggable(why=str(refused), reason=refused.reason)
        return
    assert admitted.fingerprint and admitted.deadline >= 0
    dispatch = Dispatch(SERVER, admitted.time_left(), admitted.account_name, admitted.rank)
    headers = HTTPHeaders(HeaderCodec().headers(call, dispatch))
    "".join(f"{name}: {value}" for name, value in headers.get_all()).encode("latin-1")
    asyncio.run(wait_for_nothing(admitted.route.timeout))
    check_loggable(
        route=admitted.route.name, account=admitted.account_name, service=admitted.service,
        rank=admitted.rank, gap=admitted.route.max_gap, objective=admitted.route.objective,
    )  # fmt: skip
    check_frame(StrikesUpdate((Strike(admitted.fingerprint, admitted.service, 1.0),)))
    assert generation_request(admitted).account == admitted.account_name


async def wait_for_nothing(limit: float) -> None:
    """Fail if a route's timeout is no time that can be waited for."""
    async with asyncio.timeout(limit + 0.1):
        await asyncio.sleep(0)


def check_frame(message) -> None:
    """Fail if a message cannot be sent to another daemon."""
    assert decode(encode(Frame(0, False, message))).message == message


@when('a document whose "{path}" is the largest number comes into force on "{name}"')
def largest_in_force(context, path, name):
    routed = fleet_of(context)
    routed.write({"op/config": changed(9, path, MAX_WHOLE)})
    wait_until(
        "it is in force",
        lambda: any(x["version"] == 9 for x in routed.lines(name, "document in force")),
    )


@then('POST "{path}" of {tokens:d} tokens through "{name}" is answered {status:d}')
def generation_answered(context, path, tokens, name, status):
    plan = {"X-Model": "m", "X-Token-Counts": f"100,{tokens}"}
    answer = fleet_of(context).ask(name, "POST", path, b"x", **plan)
    assert answer.status == status, answer
    for kind in ("request failed", "loop failed", "task failed", "settings rejected"):
        assert fleet_of(context).lines(name, kind) == []
