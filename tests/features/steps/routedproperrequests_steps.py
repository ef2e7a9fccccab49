"""Steps about requests that every settings document in force allows."""

import signal
import threading
import time
from collections import Counter
from http.client import HTTPConnection, HTTPException
from itertools import count, cycle

from behave import then, when
from hypothesis import strategies as st
from routed_steps import SOON, fleet_of
from routeddocumentcopies_steps import CannedPeers
from tornado.httputil import HTTPHeaders
from wirefuzz_steps import check_random

from papayacourse.exceptions import RequestRefused
from papayacourse.routed.admitted import admit
from papayacourse.routed.documents import Documents
from papayacourse.routed.requesttarget import with_named_target
from papayacourse.routed.seams import Call
from standins.fleet import wait_until
from tests.requestdraws import HOSTS, WrittenRequest, deliveries, written_requests
from tests.routedfleet import KEY, document, route
from tests.steptext import names_in

FORMS = (  # of a request that all documents allow: target and Host
    ("/open/x", "site.example"),
    ("/view/x", "Site.Example.:80"),
    ("http://site.example/view/x", "site.example"),
    ("/%6Fpen/x", "site.example"),
)
MAY_COME_AGAIN = frozenset({408, 421, 429})
CALL_LIMIT = 5.0  # seconds
KILL_AT, START_AT = 0.3, 0.5  # parts of the time for which documents change


@then("{number:d} drawn requests in equivalent spellings find their routes, and are sent on as written")  # noqa: E501  # fmt: skip
def drawn_requests(context, number):
    def check(written: WrittenRequest) -> None:
        call = with_named_target(written.call)
        admitted = admit(written.document, call, 0.0)
        assert admitted.route is written.route, (written, admitted.route)
        assert call.target == written.forwarded, (written, call.target)

    check_random(number, written_requests(), check)


def status_of(documents: Documents, path: str, key: str) -> int:
    """Return how a request is admitted."""
    call = Call("id", "GET", path, HOSTS[0], HTTPHeaders(), b"", key)
    try:
        return 200 if admit(documents.current, call, 0.0) else 0
    except RequestRefused as refused:
        return refused.status


@then("{number:d} drawn sequences of documents admit what all allow, and the newest decides the rest")  # noqa: E501  # fmt: skip
def drawn_sequences(context, number):
    def check(sequence) -> None:
        documents = Documents(CannedPeers(), None, lambda _document: None)
        assert status_of(documents, "/", "kept") == 503
        newest = None
        for delivery in sequence:
            documents.apply(delivery.document(), delivery.source)
            if newest is None or delivery.version > newest.version:
                newest = delivery
            assert status_of(documents, "/x", "kept") == 200
            assert documents.origin == newest.source
            for key in ("k1", "k2"):
                expected = 200 if key in newest.keys else 401
                assert status_of(documents, "/look/x", key) == expected, sequence

    check_random(number, st.lists(deliveries, min_size=1, max_size=20), check)


def changed_document(version: int) -> dict:
    """Return a document whose further routes, keys and time limits change with its version."""
    prefixes = [f"/new{n}/" for n in range(version % 4)] + ["/open/more/"] * (version % 2)
    doc = document(version, *(route(f"r{p}", p, "safe", "desk") for p in prefixes))
    keys = [KEY, *(["key-that-comes-and-goes"] if version % 3 else [])]
    doc["Routes"] = doc["Routes"][version % 3 :] + doc["Routes"][: version % 3]
    return doc | {"Tenants": [{"Name": "organisers", "ApiKeys": keys}]}


def ask_for_ever(address: str, name: str, statuses: Counter, over: threading.Event) -> None:
    """Send requests on connections that are kept, and now and then on a new one."""
    host, _, port = address.rpartition(":")
    connection = HTTPConnection(host, int(port), timeout=CALL_LIMIT)
    for number, (target, named) in zip(count(), cycle(FORMS), strict=False):
        if over.is_set():
            break
        headers = {"Host": named, "Api-Key": KEY, "X-Attempt-Id": f"{name}-{number}"}
        try:
            connection.request("GET", target, headers=headers | {"X-Time-Remaining": "4000"})
            response = connection.getresponse()
            statuses[response.status, target] += 1
            response.read()
        except (OSError, HTTPException):
            connection.close()
            time.sleep(0.02)
        if number % 50 == 49:
            connection.close()
    connection.close()


@when('for {seconds:g} s documents change {rate:d} times a second, "{killed}" is killed and started, and "{names}" get SIGHUPs')  # noqa: E501  # fmt: skip
def change_documents(context, seconds, rate, killed, names):
    routed, over, context.statuses = fleet_of(context), threading.Event(), {}
    context.version = 5
    callers = []
    for name in (*names_in(names), killed):
        counted = context.statuses[name] = Counter()
        arguments = (routed.address(name), name, counted, over)
        callers.append(threading.Thread(target=ask_for_ever, args=arguments))
        callers[-1].start()
    processes = routed.fleet.processes
    due = {int(seconds * rate * KILL_AT): processes[killed].kill}
    due[int(seconds * rate * START_AT)] = lambda: routed.start(killed)
    try:
        for step in range(int(seconds * rate)):
            context.version += 1 + step % 3
            routed.write({"op/config": changed_document(context.version)})
            due.get(step, lambda: None)()
            hupped = names_in(names)[step % len(names_in(names))]
            processes[hupped].popen.send_signal(signal.SIGHUP)
            time.sleep(1 / rate)
    finally:
        over.set()
        for caller in callers:
            caller.join()


@then('callers on kept and new connections to "{names}" had no 3xx or 4xx for what all documents allow')  # noqa: E501  # fmt: skip
def none_turned_away(context, names):
    for name in names_in(names):
        statuses = context.statuses[name]
        served = sum(n for (status, _), n in statuses.items() if status == 200)
        turned = {status for status, _ in statuses if 300 <= status < 500}
        assert not turned - MAY_COME_AGAIN, (name, statuses)
        assert served > 100, (name, statuses)


@then('the newest document is soon in force on "{names}", and its new route is served there')
def newest_in_force(context, names):
    routed, version = fleet_of(context), context.version + 4 - context.version % 4 + 1
    routed.write({"op/config": changed_document(version)})
    for name in names_in(names):
        wait_until(
            "its route is served",
            lambda name=name: routed.ask(name, "GET", "/new0/x").status == 200, SOON,
        )  # fmt: skip


@then('each form of a proper request through "{name}" is answered 200 by way of "{other}"')
def forms_over_relays(context, name, other):
    routed = fleet_of(context)
    served = lambda: routed.ask(name, "GET", "/open/x").status == 200  # noqa: E731
    wait_until("it is served", served, SOON)
    for target, host in FORMS:
        answer = routed.ask(name, "GET", target, Host=host)
        assert answer.status == 200, (target, answer)
        wait_until("its line", lambda: relayed_to(routed, name) == [other], SOON)


def relayed_to(routed, name: str) -> list[str]:
    """Return where a daemon relayed the last request, by its line."""
    lines = routed.lines(name, "request ended")
    return [li["relayed_to"] for li in lines if li["request"] == f"id-{routed.number}"]


@when('"{name}" answers all with a {status:d} that is not signed')
def answers_unsigned(context, name, status):
    fleet_of(context).fleet.admin(name, {"after_run": [status, [["X-Attempt-Id", "ID"]]]})


@then('the log of "{daemon}" names "{engine}" and {status:d} in a line "{kind}"')
def names_engine_and_status(context, daemon, engine, status, kind):
    lines = wait_until("the line", lambda: fleet_of(context).lines(daemon, kind), SOON)
    found = [(line["engine"].partition("@")[0], line["status"]) for line in lines]
    assert found == [(f"desk/{engine}", status)], lines
