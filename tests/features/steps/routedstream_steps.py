"""Steps about streams of the users' engines that continue elsewhere."""

import asyncio
import contextlib
import http.client
import re
import socket
import threading
import time

from attrs import define, field
from behave import given, step, then, when
from routed_steps import fleet_of
from tornado.httputil import HTTPMessageDelegate, HTTPServerConnectionDelegate
from tornado.netutil import bind_sockets
from websockets.asyncio.server import serve

from papayacourse.connections import CONNECTION_OPTIONS, open_connection
from papayacourse.httpcall import connect
from papayacourse.listener import Listener
from papayacourse.types import Address
from standins.fleet import wait_until
from tests.routedfleet import document, route

PLAN_LIMIT = 30.0  # seconds for a whole plan
SOON = 8.0  # seconds


@define(eq=False)
class Reader:
    """A caller that reads a stream in a thread of its own.

    Attributes
    ----------
    ended : bool
        Whether the answer came to its proper end.
    longest_gap : float
        The longest wait for a piece of the answer after its first, in seconds.
    """

    address: str
    headers: dict
    status: int = 0
    answer_headers: dict = field(factory=dict)
    text: bytes = b""
    ended: bool = False
    longest_gap: float = 0.0
    connection: http.client.HTTPConnection | None = None
    thread: threading.Thread | None = None

    def start(self) -> None:
        """Begin to read."""
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()

    def read(self) -> None:
        """Read the answer to its end."""
        host, _, port = self.address.rpartition(":")
        self.connection = http.client.HTTPConnection(host, int(port), timeout=PLAN_LIMIT)
        with contextlib.suppress(OSError, http.client.HTTPException, ValueError, AttributeError):
            self.connection.request("POST", "/plans/1", b"a plan", self.headers)
            answer = self.connection.getresponse()
            self.status, self.answer_headers = answer.status, dict(answer.getheaders())
            last = time.monotonic()
            while chunk := answer.read1(65536):
                now = time.monotonic()
                self.longest_gap, last = max(self.longest_gap, now - last), now
                self.text += chunk
            self.ended = True

    def ids(self) -> list[int]:
        """Return the ids of the events that have come, but for those as long as a head."""
        return [int(found) for found in re.findall(rb"^id: (\d{1,18})$", self.text, re.MULTILINE)]

    def tokens(self) -> list[int]:
        """Return the numbers in the data of the events that have come."""
        return [int(n) for n in re.findall(rb"^data: token (\d+)$", self.text, re.MULTILINE)]


def run_of(context, engine):
    """Return the plan's runs on an engine."""
    name = context.plan.headers["X-Attempt-Id"]
    return [run for run in fleet_of(context).runs(engine) if run["name"] == name]


def begin(context, count, name):
    """Begin to stream a plan."""
    routed = fleet_of(context)
    headers = routed.headers(**{"X-Model": "m", "X-Token-Counts": f"1000,{count}"})
    context.count, context.plan = count, Reader(routed.address(name), headers)
    context.plan.start()


@given('an engine "{name}" of "{service}" in "{domain}" behind a proxy')
def engine_proxied(context, name, service, domain):
    fleet_of(context).engine(name, service, domain, proxied=True)


@given('an engine "{name}" of "{service}" in "{domain}" that is listed last')
def engine_later(context, name, service, domain):
    # The first plan is begun before the daemon knows of it.
    context.later = (name, service, domain)


@when('a plan of {count:d} events is streamed through "{name}"')
def stream_plan(context, count, name):
    begin(context, count, name)
    wait_until("the plan has begun", lambda: context.plan.ids() or context.plan.ended, SOON)
    if hasattr(context, "later"):
        fleet_of(context).engine(*context.later)
        later = context.later[0]
        wait_until(
            "it is listed",
            # Only the daemon that follows the store logs "server listed"; each logs this one.
            lambda: any(
                later in host
                for line in fleet_of(context).lines(name, "host list taken")
                for host, state in line["changed"].items()
                if state == "live"
            ),
            SOON,
        )
        if getattr(context, "full", ""):
            context.fleet.admin(context.full, {"room": False})


@when("document {version:d} lets plans be resumed on {count:d} engines")
def plans_resumable(context, version, count):
    routed = fleet_of(context)
    plans = route("again", "/plans/", "streaming", "planner", Resumable=True, MaxAttempts=count)
    routed.write({"op/config": document(version, plans, without="plans")})
    in_force = "document in force"
    wait_until(
        "it is in force",
        lambda: any(line["version"] == version for line in routed.lines("a", in_force)),
        SOON,
    )


@given('"{name}" has no room for copies')
def no_room(context, name):
    context.full = name


@given('"{name}" takes {seconds:g} s to copy a run')
def slow_copies(context, name, seconds):
    context.fleet.admin(name, {"copy_time": seconds})


@when('after {count:d} events "{engine}" is listed as "{state}"')
def list_after(context, count, engine, state):
    wait_until(f"{count} events", lambda: len(context.plan.ids()) >= count, SOON)
    fleet_of(context).list_engine(engine, state)


@when('the run is copied to "{engine}"')
def run_copied(context, engine):
    wait_until("the copy is there", lambda: context.fleet.counts(engine)["copies"], SOON)
    # The daemon can go on from it once it has the engine's answer.
    wait_until("the daemon knows", lambda: fleet_of(context).lines("a", "copied"), SOON)


@when('"{engine}" is killed')
def kill_engine(context, engine):
    context.fleet.processes[engine].kill()


@when('"{engine}" is frozen')
def freeze_engine(context, engine):
    context.fleet.processes[engine].freeze()
    context.frozen = engine


@when('"{engine}" is frozen for {seconds:g} s')
def freeze_for(context, engine, seconds):
    context.fleet.processes[engine].freeze()
    time.sleep(seconds)
    context.fleet.processes[engine].thaw()


@when('the open connections to "{engine}" fall silent')
def fall_silent(context, engine):
    context.fleet.admin(f"{engine}-proxy", {"sever": "silent"})


@when('the open connections to "{engine}" are reset without its knowledge')
def reset_unheard(context, engine):
    context.fleet.admin(f"{engine}-proxy", {"sever": "reset"})


@when('"{engine}" says in its report that it leaves')
def says_leaves(context, engine):
    context.fleet.admin(engine, {"state": "draining"})


@when('routed daemon "{name}" is killed {seconds:g} s later')
def kill_later(context, name, seconds):
    time.sleep(seconds)
    context.fleet.processes[name].kill()


@when("the caller of the plan leaves")
def plan_caller_leaves(context):
    context.plan.connection.sock.close()
    context.plan.connection.close()


@given("the engines' streams come without length or chunks")
def unframed_streams(context):
    for name in ("planner-1", "planner-2"):
        if name in context.fleet.processes:
            context.fleet.admin(name, {"is_unframed": True})


@when('the streams of "{engine}" come without length or chunks')
def unframed_streams_of(context, engine):
    context.fleet.admin(engine, {"is_unframed": True})


def engine_of_plan(context):
    """Return the name of the engine that works on the plan."""
    engines = [name for name in context.fleet.processes if name.startswith("planner")]
    (engine,) = [name for name in engines if any(not r["end"] for r in run_of(context, name))]
    return engine


@when("the run is copied to the other engine")
def run_copied_anywhere(context):
    daemons = list(fleet_of(context).addresses)
    copied = lambda: [line for d in daemons for line in fleet_of(context).lines(d, "copied")]  # noqa: E731
    wait_until("a daemon has had it copied", copied, SOON)


@when("the plan's engine is {what}")
def plan_engine_ends(context, what):
    engine = engine_of_plan(context)
    if what == "killed":
        context.fleet.processes[engine].kill()
    else:
        fleet_of(context).list_engine(engine, "draining")


@when('"{engine}" has made {count:d} events of the plan')
def has_made(context, engine, count):
    made = lambda: any(r["made"] - r["first"] >= count for r in run_of(context, engine))  # noqa: E731
    wait_until(f"{count} events at {engine}", made, SOON)


@when('an engine "{name}" of "{service}" in "{domain}" is listed')
def engine_listed(context, name, service, domain):
    fleet_of(context).engine(name, service, domain)


@then('"{daemon}" has sent nothing to engines')
def sent_nothing(context, daemon):
    assert fleet_of(context).lines(daemon, "sent") == []


@step('"{engine}", ordered to stop a run, {manner}')
def stop_manner(context, engine, manner):
    context.fleet.admin(engine, {"stop_manner": manner})


@given('"{engine}" ends every run after event {last:d}')
def ends_after(context, engine, last):
    context.fleet.admin(engine, {"ends_after": last})


@when('after {count:d} events "{engine}" is killed')
def kill_after(context, count, engine):
    wait_until(f"{count} events", lambda: len(context.plan.ids()) >= count, SOON)
    context.fleet.processes[engine].kill()


@define(eq=False)
class OldReader(Reader):
    """A caller of HTTP/1.0, to whom the end of the connection is the end of the answer.

    Attributes
    ----------
    is_reset : bool
        Whether the connection was reset.
    """

    keeps: bool = False
    is_reset: bool = False

    def read(self) -> None:
        """Read the answer to its end."""
        host, _, port = self.address.rpartition(":")
        lines = [f"{name}: {value}" for name, value in self.headers.items()]
        lines += ["Connection: keep-alive"] if self.keeps else []
        head = "\r\n".join(["POST /plans/1 HTTP/1.0", *lines, "Content-Length: 6", "", ""])
        with socket.create_connection((host, int(port)), timeout=PLAN_LIMIT) as link:
            link.sendall(head.encode() + b"a plan")
            try:
                while chunk := link.recv(65536):
                    self.text += chunk
                self.ended = True
            except ConnectionResetError:
                self.is_reset = True


def begin_old(context, count, name, keeps):
    """Begin to stream a plan to a caller of HTTP/1.0."""
    routed = fleet_of(context)
    headers = routed.headers(**{"X-Model": "m", "X-Token-Counts": f"1000,{count}"})
    context.plan = OldReader(routed.address(name), headers, keeps=keeps)
    context.plan.start()


@when('a plan of {count:d} events is streamed through "{name}" to a caller of HTTP/1.0')
@when('a plan of {count:d} events is streamed through "{name}" to a caller of HTTP/1.0 that closes')
def stream_old(context, count, name):
    begin_old(context, count, name, keeps=False)


@when(
    'a plan of {count:d} events is streamed through "{name}" '
    "to a caller of HTTP/1.0 that asks to keep it"
)
def stream_old_kept(context, count, name):
    begin_old(context, count, name, keeps=True)


@then("the connection of that caller is reset after whole events")
def old_reset(context):
    context.plan.thread.join(PLAN_LIMIT)
    ids = context.plan.ids()
    assert context.plan.is_reset and len(ids) >= 20, (context.plan.ended, ids[-3:])
    assert ids == list(range(1, len(ids) + 1)) and context.plan.text.endswith(b"\n\n"), ids[-3:]


@then("that caller has {count:d} events, and the connection has ended")
def old_whole(context, count):
    context.plan.thread.join(SOON)
    assert context.plan.ended, context.plan.ids()[-3:]
    assert context.plan.ids() == list(range(1, count + 1)), context.plan.ids()[-3:]


@then("the plan is whole after event {last:d}")
def whole_after(context, last):
    context.count = last
    context.plan.thread.join(PLAN_LIMIT)
    assert context.plan.ended, context.plan.ids()[-3:]
    assert context.plan.ids() == list(range(1, last + 1)), context.plan.ids()[-3:]


@given('"{engine}" sends ids {odd} from event {first:d} on')
def odd_ids(context, engine, odd, first):
    marks = {"with a control character": "\x01", "as long as a head": "9" * 10000}
    context.fleet.admin(engine, {"id_mark": marks[odd], "marked_from": first})


@when("a plan of {count:d} events is streamed, and its engine is killed after {events:d} events")
def stream_and_kill(context, count, events):
    begin(context, count, "a")
    wait_until(f"{events} events", lambda: len(context.plan.tokens()) >= events, SOON)
    (engine,) = [name for name in ("planner-1", "planner-2") if run_of(context, name)]
    context.fleet.processes[engine].kill()


@then("the data of the plan is whole")
def data_whole(context):
    context.plan.thread.join(PLAN_LIMIT)
    assert context.plan.ended, context.plan.tokens()[-3:]
    assert context.plan.tokens() == list(range(1, context.count + 1)), context.plan.tokens()[-3:]


@then("the data of the plan breaks off")
def data_cut(context):
    context.plan.thread.join(PLAN_LIMIT)
    tokens = context.plan.tokens()
    assert tokens == list(range(1, len(tokens) + 1)) and len(tokens) < context.count, tokens[-3:]
    assert not context.plan.ended and context.plan.text.endswith(b"\n\n")


@then("the plan is whole")
def plan_whole(context):
    context.plan.thread.join(PLAN_LIMIT)
    assert context.plan.ended, context.plan.ids()[-3:]
    assert context.plan.ids() == list(range(1, context.count + 1)), context.plan.ids()[-3:]


@then("the caller waited less than {seconds:g} s for any event")
def short_waits(context, seconds):
    assert context.plan.longest_gap < seconds, context.plan.longest_gap


@then("the plan breaks off and does not look complete")
def plan_broken(context):
    context.plan.thread.join(PLAN_LIMIT)
    ids = context.plan.ids()
    assert ids == list(range(1, len(ids) + 1)) and len(ids) < context.count, ids[-3:]
    assert not context.plan.ended and context.plan.text.endswith(b"\n\n")


@then("the plan ends after event {last:d} and does not look complete")
def plan_cut(context, last):
    context.plan.thread.join(PLAN_LIMIT)
    assert context.plan.ids() == list(range(1, last + 1)), context.plan.ids()
    assert not context.plan.ended and context.plan.text.endswith(b"\n\n")


@then('the run was on "{engine}" only')
def run_only_on(context, engine):
    (run,) = run_of(context, engine)
    assert run["made"] == context.count and run["end"] == "whole", run


@then('the run went on at "{second}" where it had stopped at "{first}"')
def went_on(context, second, first):
    (before,), (after,) = run_of(context, first), run_of(context, second)
    assert before["end"] == "stopped" and after["end"] == "whole", (before, after)
    assert after["first"] <= before["made"] + 1, (before, after)


@then('the run went on at "{engine}" itself, once it had stopped there')
def went_on_there(context, engine):
    before, after = run_of(context, engine)
    assert (before["end"], after["end"]) == ("stopped", "whole"), (before, after)
    assert after["first"] <= before["made"] + 1, (before, after)


@then('the run went on at "{first}" itself, and then at "{second}"')
def went_on_at_both(context, first, second):
    ends = [run["end"] for run in run_of(context, first)]
    assert ends == ["stopped", "stopped"], ends
    went_on_at(context, second)


@then('the run went on at "{second}"')
def went_on_at(context, second):
    (after,) = run_of(context, second)
    assert after["end"] == "whole" and after["first"] > 1, after


@then("the rest came from a new run at another engine")
def went_on_anew(context):
    runs = [run for name in ("planner-1", "planner-2") for run in run_of(context, name)]
    first, second = sorted(runs, key=lambda run: run["first"])
    assert (first["first"], second["first"]) == (1, 5), runs
    assert (first["end"], second["end"]) == ("cancelled", "whole"), runs


@then("the plan is answered {status:d} after a run at each engine")
def failed_at_each(context, status):
    context.plan.thread.join(SOON)
    assert context.plan.status == status, context.plan
    ends = [run["end"] for name in ("planner-1", "planner-2") for run in run_of(context, name)]
    assert ends == ["failed", "failed"], ends


@then('"{engine}" never worked on the run')
def never_worked(context, engine):
    assert run_of(context, engine) == []


@then("no two engines worked on the run at once")
def not_twice(context):
    (before,), (after,) = run_of(context, "planner-1"), run_of(context, "planner-2")
    assert before["end"] == "stopped" and after["first"] == before["made"] + 1, (before, after)


@then('"{second}" began to work on it after "{first}" had stopped')
def began_after(context, second, first):
    (before,), (after,) = run_of(context, first), run_of(context, second)
    assert before["worked_at"] < after["began"], (before, after)


@step("no engine works on the run after {seconds:g} s")
def nobody_works(context, seconds):
    time.sleep(seconds)
    engines = [name for name in context.fleet.processes if name.startswith("planner")]
    ends = {name: [run["end"] for run in run_of(context, name)] for name in engines}
    assert all(all(found) for found in ends.values()), ends


@then('a plan of {count:d} events through "{name}" is refused with {status:d} for a moment')
def plan_refused(context, count, name, status):
    begin(context, count, name)
    context.plan.thread.join(SOON)
    assert context.plan.status == status, context.plan
    assert float(context.plan.answer_headers["Retry-After"]) <= 0.2, context.plan.answer_headers


@then("the plan is answered {status:d} before its first event")
def fails_early(context, status):
    wait_until("it is answered", lambda: context.plan.status, SOON)
    assert (context.plan.status, context.plan.ids()) == (status, []), context.plan


@then("no connection that a daemon opens or accepts has TCP_USER_TIMEOUT set")
def no_user_timeout(context):
    found = asyncio.run(user_timeouts())
    assert found == {"server": 0, "caller": 0, "mesh, dialled": 0, "mesh, accepted": 0}, found


async def user_timeouts() -> dict[str, int]:
    """Return the user time-outs of each kind of connection, in milliseconds; 0 for none."""
    found = {}

    def read(link) -> int:
        return link.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)

    class Caller(HTTPServerConnectionDelegate):
        """Reads the option of an accepted connection."""

        def start_request(self, _server, connection):
            found["caller"] = read(connection.stream.socket)
            return HTTPMessageDelegate()

    listener = Listener(Caller())
    sockets = bind_sockets(0, "127.0.0.1")
    listener.add_sockets(sockets)
    address = Address("127.0.0.1", sockets[0].getsockname()[1])
    stream = await connect(address, 1.0)
    found["server"] = read(stream.socket)
    await stream.write(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")

    async def accept(connection):
        found["mesh, accepted"] = read(connection.transport.get_extra_info("socket"))

    async with serve(accept, "127.0.0.1", 0, **CONNECTION_OPTIONS) as server:
        place = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        link = await open_connection(place, None)
        found["mesh, dialled"] = read(link.transport.get_extra_info("socket"))
        await link.wait_closed()
    stream.close()
    listener.stop()
    return found
