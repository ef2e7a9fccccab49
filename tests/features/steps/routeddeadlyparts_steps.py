"""Steps about parts of prompts that crash the engines which begin to answer, on the routed path."""

import itertools
import threading
import time

from behave import then, when
from routed_steps import fleet_of
from routedcrashes_steps import PLAN, reason, send

from standins.fleet import Answer
from tests.steptext import names_in

PAUSE = 0.3  # seconds between the requests of one sender
SOUND_PAUSE = 0.1  # seconds between sound requests
SOUND_TRIES = 4  # times that each daemon is asked for a sound request

numbers = itertools.count(1)


def send_prompt(context, kind: str, parts: str, daemon: str) -> Answer:
    """Send a request that no other equals: its body, its last part, and parts named with an N."""
    number = next(numbers)
    names = [*names_in(parts.replace("-N", f"-{number}")), f"own-{number}"]
    prefix = ",".join(f"{name}:250" for name in names)
    body = f"request {number}"
    return send(context, kind, body, daemon, X_Prompt_Prefix=prefix, **PLAN)


def send_prompts(context, kind: str, parts: str, count: int, daemons: str) -> list[Answer]:
    """Send requests one after another, through the daemons in turn."""
    turns, answers = itertools.cycle(names_in(daemons)), []
    for daemon in itertools.islice(turns, count):
        answers.append(send_prompt(context, kind, parts, daemon))
        time.sleep(PAUSE)
    return answers


@when('{kind}s with parts "{parts}" are sent {count:d} times in turn through "{daemons}"')
def send_parts(context, kind, parts, count, daemons):
    context.answers = send_prompts(context, kind, parts, count, daemons)


@when('parts "{one}" and parts "{two}" come in {count:d} plans each, sent in turn through "{daemons}"')  # noqa: E501  # fmt: skip
def send_both_parts(context, one, two, count, daemons):
    context.answers_to = {}

    def send_all(parts):
        context.answers_to[parts] = send_prompts(context, "plan", parts, count, daemons)

    threads = [threading.Thread(target=send_all, args=(parts,)) for parts in (one, two)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()


@when('sound plans with parts "{parts}" are sent all the while through "{daemons}"')
def send_sound(context, parts, daemons):
    context.sound, context.enough = [], threading.Event()

    def ask():
        for daemon in itertools.cycle(names_in(daemons)):
            if context.enough.wait(SOUND_PAUSE):
                return
            context.sound.append(send_prompt(context, "plan", parts, daemon))

    context.asking = threading.Thread(target=ask)
    context.asking.start()
    context.add_cleanup(context.enough.set)


@then('none of the sound plans was refused as "{why}", and the last {count:d} were served')
def sound_served(context, why, count):
    context.enough.set()
    context.asking.join()
    reasons = [reason(answer) for answer in context.sound]
    assert why not in reasons, reasons
    assert [a.status for a in context.sound[-count:]] == [200] * count, reasons


@then('{kind}s with parts "{parts}" are served through "{daemons}"')
def parts_served(context, kind, parts, daemons):
    for daemon in names_in(daemons) * SOUND_TRIES:
        answer = send_prompt(context, kind, parts, daemon)
        assert answer.status == 200, answer
        assert fleet_of(context).readiness(daemon) == 200
