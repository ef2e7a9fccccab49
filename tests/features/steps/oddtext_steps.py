"""Steps about text of other programs that cannot be encoded."""

import json

import cbor2
from behave import then, when
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from routed_steps import fleet_of

from papayacourse import jsontext
from standins.fleet import wait_until
from tests.oddtexts import odd_texts
from tests.routedfleet import document, route
from tests.steptext import names_in

HALF_CHARACTER = "\ud800"
OTHER_HALF = "\udfff"
LINE = "request ended"

texts = odd_texts(max_size=10)
scalars = st.none() | st.booleans() | st.integers() | st.floats() | texts
values = st.recursive(scalars, lambda inner: st.lists(inner) | st.dictionaries(texts, inner))
json_texts = st.one_of(
    values.map(json.dumps),
    values.map(lambda value: json.dumps(value, ensure_ascii=False)),
    values.map(lambda value: json.dumps(value, ensure_ascii=False).encode(errors="surrogatepass")),
    st.binary(),
    texts,
)


def try_parsing(parse, text):
    """Return what a text is parsed into; None if it is refused."""
    try:
        return parse(text)
    except ValueError:
        return None


def check_random(count, check):
    """Check random JSON texts, the same each time."""
    run = settings(max_examples=count, deadline=None, database=None, derandomize=True,
                   suppress_health_check=list(HealthCheck))  # fmt: skip
    run(given(json_texts)(check))()


@then("{count:d} random JSON texts are refused or parsed into values that can be logged and sent")
def texts_can_be_sent(context, count):
    def check(text):
        value = try_parsing(jsontext.parse, text)
        json.dumps(value, ensure_ascii=False, allow_nan=False).encode()
        assert cbor2.loads(cbor2.dumps(value)) == value

    check_random(count, check)


@then("{count:d} random JSON texts are refused or parsed exactly")
def texts_are_exact(context, count):
    def check(text):
        value = try_parsing(jsontext.parse_exact, text)
        if value is not None:
            json.dumps(value, ensure_ascii=False, allow_nan=False).encode()
            assert value == json.loads(text)

    check_random(count, check)


@when("the operator adds a route and a service that are named by half a character")
def add_half_named(context):
    added = document(9, route(OTHER_HALF, "/half/", "safe", HALF_CHARACTER))
    added["Services"].append({"Name": HALF_CHARACTER})
    fleet_of(context).write({"op/config": added})


@when('an engine "{name}" of that service is listed in "{domain}"')
def list_half_named(context, name, domain):
    fleet_of(context).engine(name, HALF_CHARACTER, domain)


@then('GET "{path}" through "{name}" is soon answered {status:d} by "{engine}"')
def soon_answered_by(context, path, name, status, engine):
    def is_answered():
        answer = fleet_of(context).ask(name, "GET", path)
        return answer.status == status and answer.json["instance"] == engine

    wait_until(f"{path} is answered {status} by {engine}", is_answered)
    context.answered = [*getattr(context, "answered", []), f"id-{fleet_of(context).number}"]


@then('each answered request of "{names}" has its line in the log')
def answered_are_logged(context, names):
    def logged():
        lines = [line for n in names_in(names) for line in fleet_of(context).lines(n, LINE)]
        return {line["request"] for line in lines if line["end"] == "answered"}

    wait_until("each request is logged", lambda: logged() >= set(context.answered))
