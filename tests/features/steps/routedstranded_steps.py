"""Steps about routed daemons that reach no server while all else reaches them."""

import contextlib
import json
import os
import socket
import threading
import time

from attrs import define, field
from behave import given, then, when
from routed_steps import fleet_of
from routedcrashes_steps import reason
from routednotices_steps import arrivals, says_leaving

from standins.fleet import Answer, call, wait_until
from tests.rawhttp import send as send_raw
from tests.routedfleet import ROOT
from tests.steptext import names_in

CALL_KINDS = {"/view/1": "repeatable call", "/book/1": "call"}
CALL_LIMIT = 1.0  # seconds for a call; most of what the callers of a balance have
RECEIVE_BUFFER = 8192  # bytes
PLAN_PATH = "/plans/1"
LONG_WAIT = 30.0  # seconds
STOP_NOTICE = 4.0  # seconds; calls that are sent in it find the daemon still serving
MAX_CALLS = 60  # until each of a few servers has answered one
VIEW_PATH = "/view/1"


@define(eq=False)
class SilentPort:
    """A port at which connection attempts get no answer, since its queue is full."""

    listener: socket.socket = field(factory=socket.socket)
    fillers: list[socket.socket] = field(factory=list)

    def open(self) -> tuple[str, int]:
        """Fill the queue; returns the address."""
        self.listener.bind(("127.0.0.1", 0))
        self.listener.listen(0)
        address = self.listener.getsockname()
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            with contextlib.suppress(BlockingIOError):
                filler.connect(address)
            self.fillers.append(filler)
        return address

    def close(self) -> None:
        """Close all sockets."""
        for link in [self.listener, *self.fillers]:
            link.close()


@define(eq=False)
class BegunPlan:
    """A plan whose caller reads what comes until the end.

    Attributes
    ----------
    received : bytes
        What has come.
    ended : threading.Event
        Set when the connection is at its end.
    """

    link: socket.socket
    received: bytes = b""
    ended: threading.Event = field(factory=threading.Event)

    def read(self) -> None:
        """Read until the end."""
        with contextlib.suppress(OSError):
            while not self.is_whole():
                chunk = self.link.recv(65536)
                if not chunk:
                    break
                self.received += chunk
        self.ended.set()

    def is_whole(self) -> bool:
        """Return True if the answer's last chunk has come."""
        return self.received.endswith(b"0\r\n\r\n")

    def events(self) -> list[int]:
        """Return the ids of the events that have come."""
        lines = self.received.split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


def plan_headers(events: int) -> dict[str, str]:
    """Return the headers that make a request a plan."""
    return {"X_Model": "m", "X_Token_Counts": f"1000,{events}"}


def all_runs(context) -> list[dict]:
    """Return what ran at any engine that can still be asked."""
    routed = fleet_of(context)
    return [run for name in context.obituaries.engines for run in routed.runs(name)]


@given('daemons "{near}" in "{domain}" and "{far}" in "{other}" that can be cut off from servers')
def start_strandable(context, near, domain, far, other):
    routed = fleet_of(context)
    routed.wrapper = [str(ROOT / "tests" / "cutoff.py")]
    routed.stop_notice = STOP_NOTICE
    context.hole = SilentPort()
    context.hole_address = context.hole.open()
    context.add_cleanup(context.hole.close)
    for names, place in ((near, domain), (far, other)):
        for name in names_in(names):
            set_cut(context, name, "")
            routed.daemon(name, place)
    time.sleep(1.0)


def set_cut(context, name: str, mode: str, servers: list[str] | None = None) -> None:
    """Say how a daemon's connections to servers, or to some, fail; an empty mode heals them."""
    routed = fleet_of(context)
    names = routed.places if servers is None else servers
    addresses = [routed.places[name]["Address"] for name in names]
    ports = [int(address.rpartition(":")[2]) for address in addresses]
    cut = {"mode": mode, "ports": ports, "hole": context.hole_address}
    file = routed.cut_file(name)
    fresh = file.with_suffix(".new")
    fresh.write_text(json.dumps(cut))
    os.replace(fresh, file)


@when('daemons "{names}" are cut off from all servers, with connections {how}')
def cut_off(context, names, how):
    for name in names_in(names):
        set_cut(context, name, how)


@when('daemons "{names}" reach the servers again')
def heal(context, names):
    for name in names_in(names):
        set_cut(context, name, "")
    context.sent_before = {name: sends(context, name) for name in names_in(names)}


def sends(context, name: str) -> int:
    """Return how many requests a daemon has sent to servers."""
    return len(fleet_of(context).lines(name, "sent"))


@then('{count:d} calls of each kind through "{names}" are served, and each has run once')
def calls_served(context, count, names):
    turns = names_in(names)
    for path, kind in CALL_KINDS.items():
        for number in range(count):
            name = f"{kind}-{time.monotonic_ns()}"
            began = time.monotonic()
            answer = fleet_of(context).ask(
                turns[number % len(turns)], "POST", path, name.encode(), X_Attempt_Id=name
            )
            took = time.monotonic() - began
            assert answer.status == 200, (kind, number, answer)
            assert took < CALL_LIMIT, (kind, number, took)
            assert answer.headers["x-attempt-id"] == name, answer.headers
            ran = [run for run in all_runs(context) if run["name"] == name]
            assert [run["body"] for run in ran] == [name], ran


@then('{count:d} plans through "{names}" are served whole, and each has run once')
def plans_served(context, count, names):
    turns = names_in(names)
    for number in range(count):
        plan = begin_plan(context, turns[number % len(turns)], 40)
        assert plan.ended.wait(LONG_WAIT)
        assert plan.is_whole() and plan.events() == list(range(1, 41)), plan.received[:500]


@then('daemons "{names}" send to servers themselves')
def send_themselves(context, names):
    for name in names_in(names):
        assert sends(context, name) > context.sent_before[name], name


def begin_plan(context, daemon: str, events: int) -> BegunPlan:
    """Send a plan; its answer is read in the background."""
    routed = fleet_of(context)
    headers = routed.headers(**plan_headers(events), X_Time_Remaining="30000")
    link = send_raw(routed.address(daemon), PLAN_PATH, {}, headers, RECEIVE_BUFFER)
    plan = BegunPlan(link)
    threading.Thread(target=plan.read, daemon=True).start()
    return plan


@when('a plan of {events:d} events is begun through "{daemon}"')
def plan_begun(context, events, daemon):
    plans_begun(context, 1, events, daemon)


@when('{count:d} plans of {events:d} events are begun through "{daemon}"')
def plans_begun(context, count, events, daemon):
    context.plans = [begin_plan(context, daemon, events) for _ in range(count)]
    for plan in context.plans:
        wait_until("events come", lambda p=plan: p.events())
    context.plan_events = events


@then("the plan that was begun comes whole")
def plan_comes_whole(context):
    plan = context.plans[0]
    assert plan.ended.wait(LONG_WAIT)
    assert plan.is_whole(), plan.received[-200:]
    assert plan.events() == list(range(1, context.plan_events + 1)), plan.events()


@then("the plan that was begun ends early and does not look complete")
def plan_ends_early(context):
    plan = context.plans[0]
    assert plan.ended.wait(LONG_WAIT)
    assert not plan.is_whole(), plan.received[-200:]
    assert plan.events() == list(range(1, len(plan.events()) + 1)), plan.events()


@when('"{engines}" say in their answers that they leave')
def say_leaving(context, engines):
    for name in names_in(engines):
        says_leaving(context, name)


@when('calls are sent through "{daemon}" until "{engines}" have answered')
def send_until_answered(context, daemon, engines):
    routed = fleet_of(context)
    waiting = set(names_in(engines))
    for _ in range(MAX_CALLS):
        answer = routed.ask(daemon, "GET", VIEW_PATH)
        assert answer.status == 200, answer
        waiting = {name for name in waiting if not routed.runs(name)}
        if not waiting:
            return
    raise AssertionError(f"no call reached {waiting}")


@then('{count:d} calls through "{daemon}" leave "{engines}" alone, and "{same}" sends them itself')
def leave_all_alone(context, count, daemon, engines, same):
    names = names_in(engines)
    before = {name: arrivals(context, name) for name in names}
    sent = sends(context, same)
    for _ in range(count):
        assert fleet_of(context).ask(daemon, "GET", VIEW_PATH).status == 200
    after = {name: arrivals(context, name) for name in names}
    assert after == before, (before, after)
    assert sends(context, same) - sent >= count, (sends(context, same), sent)


@then('"{daemon}" has sent requests itself, and none to "{engine}" without knowing its limit')
def sent_with_limit(context, daemon, engine):
    sent = fleet_of(context).lines(daemon, "sent")
    limits = [line["limit"] for line in sent if line["server"].startswith(f"desk/{engine}@")]
    assert sent and None not in limits, (len(sent), limits)


@when('routed daemons "{names}" are asked to stop at once')
def stop_all(context, names):
    for name in names_in(names):
        context.fleet.processes[name].terminate()
    stopping = lambda name: fleet_of(context).lines(name, "stopping")  # noqa: E731
    wait_until("all are stopping", lambda: all(map(stopping, names_in(names))))


@then('"{name}" has given no strikes')
def no_strikes(context, name):
    assert not fleet_of(context).lines(name, "strike")
    assert not fleet_of(context).lines(name, "server ended")


@when('{count:d} calls of each kind are sent through "{names}"')
def send_calls(context, count, names):
    for name in names_in(names) * count:
        for path in CALL_KINDS:
            ask_quietly(context, name, path)


def ask_quietly(context, daemon: str, path: str, **headers) -> Answer | None:
    """Send a request; None where no answer comes."""
    routed = fleet_of(context)
    with contextlib.suppress(OSError):
        return call(routed.address(daemon), "POST", path, b"{}", routed.headers(**headers))
    return None


@then('calls and plans through "{names}" are answered 503 with ran "{ran}" and Retry-After within {seconds:g} s')  # noqa: E501  # fmt: skip
def refused_at_once(context, names, ran, seconds):
    for name in names_in(names):
        for path, headers in [*((path, {}) for path in CALL_KINDS), (PLAN_PATH, plan_headers(20))]:
            began = time.monotonic()
            answer = ask_quietly(context, name, path, **headers)
            took = time.monotonic() - began
            assert answer is not None and answer.status == 503, answer
            assert answer.json["ran"] == ran, (answer.body, reason(answer))
            assert float(answer.headers["Retry-After"]) > 0, answer.headers
            assert took < seconds, (name, path, took)


@when('a caller of a plan of {events:d} events through "{daemon}" leaves after {seconds:g} s')
def caller_leaves(context, events, daemon, seconds):
    time.sleep(1.0)
    plan = begin_plan(context, daemon, events)
    wait_until("events come", plan.events)
    time.sleep(seconds)
    assert any(run["target"] == PLAN_PATH and not run["end"] for run in all_runs(context))
    plan.link.shutdown(socket.SHUT_RDWR)
    plan.link.close()


@then("no engine works on a plan {seconds:g} s later")
def nobody_works(context, seconds):
    time.sleep(seconds)
    busy = [r for r in all_runs(context) if r["target"] == PLAN_PATH and not r["end"]]
    assert not busy, busy
