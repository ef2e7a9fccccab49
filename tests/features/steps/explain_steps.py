"""Steps about the command that tells what became of a request."""

import json
import subprocess
import sys
from pathlib import Path

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as random_given
from hypothesis import strategies as st

from papayacourse import logline
from papayacourse.explain import explain_request
from tests.oddtexts import odd_texts

ROOT = Path(__file__).parents[3]
REQUEST = 'id-"\\é/\u2028漢'
TIMES = [
    "x", None, [1], {}, True, 10**400, -(10**400), "1.5", "nan", "-inf", 1.5, -1, "\ud800",
    "1" * 5000,
]  # fmt: skip
VALUES = ["\ud800", "\x1b[2J", "a\nb", "\r", "\u2028", {"a": "\udfff"}, 10**400]

texts = odd_texts(max_size=20)
scalars = (
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | texts
)
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3),
    max_leaves=5,
)
names = texts | st.sampled_from(["timestamp", "daemon", "message_type", "level"])
records = st.dictionaries(names, values, max_size=5)


def written(record):
    """Return a record in each form in which it is written or could be."""
    return [
        logline.encode(record).decode(),
        json.dumps(record, ensure_ascii=False),
        "Dec 5 07:00 host prefix: " + json.dumps(record),
    ]


def check_told(count, lines):
    """Check that a number of lines are told, each as one printable line."""
    told = explain_request(REQUEST, ["", "{", "[" * 10_000, "{}", f'["{REQUEST}"]', *lines])
    assert len(told) == count, (count, told)
    assert all(line.isprintable() for line in told), told


@given("the log lines of a request with odd times, ids, names and values")
def odd_lines(context):
    odd = [{"timestamp": at} for at in TIMES] + [{"v": value, "\x1b": 1} for value in VALUES]
    context.odd = [line for record in odd for line in written({"request": REQUEST} | record)]


@then("each of its lines is told as one printable line")
def all_told(context):
    check_told(len(context.odd), context.odd)
    assert " inf s" not in "\n".join(explain_request(REQUEST, context.odd))


@then("of {count:d} random logs each line of the request is told as one printable line")
def random_told(context, count):
    def check(found):
        lines = [line for record in found for line in written(record | {"request": REQUEST})]
        others = [line for record in found for line in written(record | {"request": "other"})]
        check_told(len(lines), lines + others)

    run = settings(max_examples=count, deadline=None, database=None, derandomize=True,
                   suppress_health_check=list(HealthCheck))  # fmt: skip
    run(random_given(st.lists(records, max_size=4))(check))()


@when('the program is called to explain "{request}" from a log that names it')
def explain_by_program(context, request):
    log = json.dumps({"request": request, "timestamp": 1.0, "message_type": "request ended"})
    context.done = subprocess.run(
        [sys.executable, "-m", "papayacourse", "explain", request], input=log, text=True,
        capture_output=True, check=False, timeout=30, cwd=ROOT,
    )  # fmt: skip


@then("it tells one line")
def tells_one_line(context):
    done = context.done
    assert done.returncode == 0 and len(done.stdout.splitlines()) == 1, done
