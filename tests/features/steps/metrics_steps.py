"""Steps about the labels of metrics."""

from behave import given, then, when
from hypothesis import HealthCheck, settings
from hypothesis import given as random_given
from hypothesis import strategies as st
from prometheus_client.parser import text_string_to_metric_families

from papayacourse.metrics import Metrics
from tests.oddtexts import odd_texts

ODD_LABELS = [
    "\ud800", "", 'a\nb"c\\d', "\r", "\0", "\x1b[0m", "\u2028", "\x85", "é", "漢", "\U0001f600",
    "x" * 1_000_000, "\ud800" * 100_000, 5, True, None, b"\xff", ["a"], {"a": 1}, 10**5000, -1,
    float("nan"), ("a", 1), object(),
]  # fmt: skip
texts = odd_texts(max_size=200)
random_labels = st.one_of(texts, st.integers(), st.floats(), st.binary(), st.lists(texts))


@given("the metrics of a daemon")
def make_metrics(context):
    context.metrics = Metrics("a")
    context.add_cleanup(context.metrics.provider.shutdown)
    context.totals = []
    context.metrics.watch_totals("papayacourse_sends", "", lambda: context.totals)
    context.expected = 0


def count_under(context, label):
    """Use one label in each kind of instrument."""
    context.metrics.requests.add(1, {"route": label, "account": "a"})
    context.metrics.request_time.record(1.0, {"route": label})
    context.totals.append((1, {"server": label}))
    context.expected += 1


@when("requests, times and totals are counted under odd labels")
def count_odd(context):
    for label in ODD_LABELS:
        count_under(context, label)


@when("requests, times and totals are counted under {count:d} random labels")
def count_random(context, count):
    run = settings(max_examples=count, deadline=None, database=None, derandomize=True,
                   suppress_health_check=list(HealthCheck))  # fmt: skip
    run(random_given(random_labels)(lambda label: count_under(context, label)))()


@when("requests are counted under {count:d} labels")
def count_many(context, count):
    for number in range(count):
        context.metrics.requests.add(1, {"route": f"r-{number}"})


def samples(context, name):
    """Return the samples of one kind on the page."""
    page = context.metrics.text().decode()
    families = list(text_string_to_metric_families(page))
    return [sample for family in families for sample in family.samples if sample.name == name]


@then("the page is read and has each of them, in at most {limit:d} characters")
def page_is_whole(context, limit):
    requests = samples(context, "papayacourse_requests_total")
    assert sum(sample.value for sample in requests) == context.expected, requests
    times = samples(context, "papayacourse_request_time_seconds_count")
    assert sum(sample.value for sample in times) == context.expected, times
    assert samples(context, "papayacourse_sends_total")
    longest = max(len(sample.labels["route"]) for sample in requests)
    assert longest <= limit, longest


@then("the page has at most {most:d} counts of requests, and their sum is {total:d}")
def counts_are_bounded(context, most, total):
    requests = samples(context, "papayacourse_requests_total")
    assert len(requests) <= most, len(requests)
    assert sum(sample.value for sample in requests) == total
