"""Steps about requests that crash the servers which run them, on the routed path."""

import contextlib
import http.client
import json
import threading
import time
from pathlib import Path

from attrs import define, field
from behave import given, then, when
from routed_steps import fleet_of

from standins.fleet import Answer, wait_until
from tests.routedfleet import RoutedFleet, document, route
from tests.steptext import names_in

ENTRY_LIFE = 3.6  # seconds for which the platform lists a server that has gone silent
POLL = 0.02  # seconds
MILLISECOND = 0.001  # seconds
CUT = Answer(0, {}, b"")  # no whole answer came
PLAN = {"X_Model": "m", "X_Token_Counts": "1000,20"}
LONG_PLAN = PLAN | {"X_Token_Counts": "1000,600"}
PATHS = {
    "call": "/book/1", "repeatable call": "/view/1", "plan": "/plans/1",
    "resumable plan": "/again/1", "long plan": "/plans/1",
}  # fmt: skip


@define(eq=False)
class Obituaries:
    """Notes when engines end or stop, and takes them off the platform's list a while later.

    Attributes
    ----------
    ended : dict of str to float
        When each engine that has ended was seen to, in seconds of the monotonic clock.
    """

    routed: RoutedFleet
    engines: list[str] = field(factory=list)
    ended: dict[str, float] = field(factory=dict)
    unlisted: set[str] = field(factory=set)
    closing: threading.Event = field(factory=threading.Event)

    def watch(self) -> None:
        """Look until closed."""
        while not self.closing.wait(POLL):
            now = time.monotonic()
            for name in list(self.engines):
                if name not in self.ended and has_ended(self.routed, name):
                    self.ended[name] = now
            for name, at in self.ended.items():
                if name not in self.unlisted and now > at + ENTRY_LIFE:
                    self.unlisted.add(name)
                    with contextlib.suppress(OSError):
                        self.routed.write({f"servers/{name}": None})


def has_ended(routed: RoutedFleet, name: str) -> bool:
    """Tell whether a process has ended or been stopped."""
    popen = routed.fleet.processes[name].popen
    if popen.poll() is not None:
        return True
    return Path(f"/proc/{popen.pid}/stat").read_text().rpartition(")")[2].split()[0] == "T"


def send(context, kind: str, body: str, daemon: str, **more) -> Answer:
    """Send a request; CUT where no whole answer comes."""
    match kind:
        case "long plan":
            extra = LONG_PLAN
        case "plan" | "resumable plan":
            extra = PLAN
        case _:
            extra = {}
    try:
        return fleet_of(context).ask(daemon, "POST", PATHS[kind], body.encode(), **(extra | more))
    except (OSError, http.client.HTTPException):
        return CUT


def reason(answer: Answer) -> str:
    """Return the reason that a refusal gives."""
    with contextlib.suppress(ValueError):
        return str(json.loads(answer.body).get("reason", ""))
    return ""


@given("a platform store with document {version:d} and resumable plans")
def store_with_resumable(context, version):
    again = route("again", "/again/", "streaming", "planner", Resumable=True, MaxAttempts=3)
    fleet_of(context).store(document(version, again))


@given('{count:d} engines of "{service}" in "{domain}"')
def start_engines(context, count, service, domain):
    routed = fleet_of(context)
    if not hasattr(context, "obituaries"):
        context.obituaries = Obituaries(routed)
        threading.Thread(target=context.obituaries.watch, daemon=True).start()
        context.add_cleanup(context.obituaries.closing.set)
    for number in range(1, count + 1):
        name = f"{service}-{domain}-{number}"
        routed.engine(name, service, domain)
        context.obituaries.engines.append(name)


@given('a routed daemon "{name}" in "{domain}" that shares no mesh key with the others')
def start_stranger(context, name, domain):
    fleet_of(context).daemon(name, domain, mesh_key="s" * 20)


@when('{kind} "{mark}" of a caller with {patience:d} ms is sent through "{names}" until it is quarantined, {count:d} times at most')  # noqa: E501  # fmt: skip
def send_until_quarantined(context, kind, mark, patience, names, count):
    # A try that is refused for want of a place takes no time, and shows nothing.
    turns, context.answers = names_in(names), []
    for number in range(count):
        began = time.monotonic()
        daemon = turns[number % len(turns)]
        context.answers.append(send(context, kind, mark, daemon, X_Time_Remaining=str(patience)))
        if reason(context.answers[-1]) == "quarantined":
            return
        time.sleep(max(0.0, began + patience * MILLISECOND - time.monotonic()))


@when('{kind} "{mark}" is sent {count:d} times in turn through "{names}"')
def send_in_turn(context, kind, mark, count, names, **more):
    turns = names_in(names)
    context.answers = [
        send(context, kind, mark, turns[number % len(turns)], **more) for number in range(count)
    ]


@when('{kind} "{one}" and "{two}" are each sent {count:d} times in turn through "{names}"')
def send_both(context, kind, one, two, count, names):
    turns = names_in(names)
    context.answers_to = {one: [], two: []}

    def send_all(mark):
        for number in range(count):
            context.answers_to[mark].append(send(context, kind, mark, turns[number % len(turns)]))

    threads = [threading.Thread(target=send_all, args=(mark,)) for mark in (one, two)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@when('{count:d} neighbours, each a {kind}, run all the while through "{names}"')
def run_neighbours(context, count, kind, names):
    turns = names_in(names)
    for name in context.obituaries.engines:
        context.fleet.admin(name, {"plain_work": 0.1})
    context.neighbours = {f"neighbour {number}": [] for number in range(count)}
    context.enough = enough = threading.Event()

    def ask(neighbour, daemon, answers):
        while not enough.is_set():
            answers.append(send(context, kind, neighbour, daemon))

    context.asking = [
        threading.Thread(target=ask, args=(neighbour, turns[number % len(turns)], answers))
        for number, (neighbour, answers) in enumerate(context.neighbours.items())
    ]
    for thread in context.asking:
        thread.start()
    context.add_cleanup(enough.set)


@when("{seconds:g} s have passed")
def have_passed(context, seconds):
    time.sleep(seconds)


@when('routed daemons "{names}" are all killed, and started again')
def kill_all(context, names):
    fleet_of(context).restart_all(names_in(names))


@when("{count:d} engines are killed one after another while the same {kind} runs there")
def kill_engines(context, count, kind):
    routed = fleet_of(context)
    for _ in range(count):
        alive = [name for name in context.obituaries.engines if not has_ended(routed, name)]
        for name in alive:
            context.fleet.admin(name, {"plain_work": 1.0, "step": 0.1})
        thread = threading.Thread(target=send, args=(context, kind, "harmless", "a"))
        thread.start()
        at_work = wait_until("it runs", lambda a=alive: [n for n in a if runs_harmless(context, n)])
        context.fleet.processes[at_work[0]].kill()
        thread.join()


def runs_harmless(context, engine: str) -> bool:
    """Tell whether an engine works on the request that is not to blame."""
    runs = fleet_of(context).runs(engine)
    return any(run["body"] == "harmless" and not run["end"] for run in runs)


@then("{count:d} engines at most have ended")
def ended_at_most(context, count):
    time.sleep(2 * POLL)
    assert len(context.obituaries.ended) <= count, context.obituaries.ended


@then("{count:d} engines at most have ended later than {seconds:g} s after the third")
def ended_late(context, count, seconds):
    times = sorted(context.obituaries.ended.values())
    late = [at for at in times if at > times[2] + seconds]
    assert len(late) <= count, [round(at - times[0], 2) for at in times]


@then('the last {count:d} answers are 503 "{why}" with ran "{ran}" and Retry-After')
def last_refused(context, count, why, ran):
    for answer in context.answers[-count:]:
        assert answer.status == 503, [a.status for a in context.answers]
        assert reason(answer) == why, answer.body
        assert answer.json["ran"] == ran, answer.body
        assert float(answer.headers["retry-after"]) > 0, answer.headers


@then('the last answers to each are 503 "{why}"')
def last_of_each_refused(context, why):
    for answers in context.answers_to.values():
        assert (answers[-1].status, reason(answers[-1])) == (503, why), answers[-1]


@then('another {kind} is served through "{name}"')
def another_served(context, kind, name):
    answer = send(context, kind, "harmless", name)
    assert answer.status == 200, answer


@then("the same {kind} is served")
def same_served(context, kind):
    for name in context.obituaries.engines:
        if not has_ended(fleet_of(context), name):
            context.fleet.admin(name, {"plain_work": 0.0, "step": 0.01})
    answer = send(context, kind, "harmless", "b")
    assert answer.status == 200, answer


@then('every neighbour is served in the end, and none was ever refused as "{why}"')
def neighbours_served(context, why):
    served = {name: len(answers) for name, answers in context.neighbours.items()}

    def all_served_again():
        return all(
            any(answer.status == 200 for answer in answers[served[name] :])
            for name, answers in context.neighbours.items()
        )

    wait_until("every neighbour is served", all_served_again)
    context.enough.set()
    for thread in context.asking:
        thread.join()
    refused = [n for n, found in context.neighbours.items() if why in map(reason, found)]
    assert not refused, refused


@then("one attempt went on from a copy")
def went_on(context):
    routed = fleet_of(context)
    assert any(routed.lines(name, "continued") for name in routed.addresses)
