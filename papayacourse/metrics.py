"""The metrics of a daemon: OpenTelemetry instruments, exported in Prometheus format."""

from collections.abc import Callable, Iterable, Mapping
from types import MappingProxyType

from attrs import frozen
from opentelemetry import metrics
from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

from papayacourse.printable import printable

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
SECONDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.044, 0.1, 0.2, 0.5, 1.0, 1.5, 3.0, 10.0, 30.0, 100.0)
GAP_SECONDS = (0.02, 0.05, 0.1, 0.15, 0.2, 0.25, 0.3, 0.5, 1.0, 2.0, 5.0, 10.0)
MAX_LABEL_CHARACTERS = 100  # beyond which a label is cut
CUT = "..."
TOKENS = tuple(float(2**power) for power in range(0, 18))


def buckets(name: str, edges: tuple[float, ...]) -> View:
    """Return a view that sets the bucket edges of a histogram."""
    return View(instrument_name=name, aggregation=ExplicitBucketHistogramAggregation(edges))


def label(value: object) -> str:
    """Return a label that the page can show: printable and of bounded length."""
    text = value if isinstance(value, str) else type(value).__name__
    if isinstance(value, int) and value.bit_length() < MAX_LABEL_CHARACTERS:
        text = str(value)
    shown = printable(text[: MAX_LABEL_CHARACTERS + 1])
    return shown if len(shown) <= MAX_LABEL_CHARACTERS else shown[:MAX_LABEL_CHARACTERS] + CUT


def labelled(attributes: Mapping[str, object]) -> dict[str, str]:
    """Return attributes whose values the page can show."""
    return {name: label(value) for name, value in attributes.items()}


@frozen
class Counter:
    """A counter whose labels may hold any text."""

    instrument: metrics.Counter

    def add(self, amount: int, attributes: Mapping[str, object] = MappingProxyType({})) -> None:
        """Count an amount under some labels."""
        self.instrument.add(amount, labelled(attributes))


@frozen
class Histogram:
    """A histogram whose labels may hold any text."""

    instrument: metrics.Histogram

    def record(
        self, amount: float, attributes: Mapping[str, object] = MappingProxyType({})
    ) -> None:
        """Record an amount under some labels."""
        self.instrument.record(amount, labelled(attributes))


class Metrics:
    """All instruments of one daemon.

    Histograms carry the attributes ``team``, ``service`` and ``account``.
    """

    def __init__(self, daemon: str):
        views = [
            buckets("papayacourse_time_to_first_token", SECONDS),
            buckets("papayacourse_time_between_tokens", SECONDS),
            buckets("papayacourse_stall_time", SECONDS),
            buckets("papayacourse_queue_wait", SECONDS),
            buckets("papayacourse_request_time", SECONDS),
            buckets("papayacourse_time_to_first_event", SECONDS),
            buckets("papayacourse_longest_gap", GAP_SECONDS),
            buckets("papayacourse_output_length", TOKENS),
        ]
        self.provider = MeterProvider(
            resource=Resource({"service.name": "papayacourse", "service.instance.id": daemon}),
            metric_readers=[PrometheusMetricReader()],
            views=views,
        )
        self.meter = self.provider.get_meter("papayacourse")
        self.first_token = self._histogram("papayacourse_time_to_first_token", "s")
        self.between_tokens = self._histogram("papayacourse_time_between_tokens", "s")
        self.stall = self._histogram("papayacourse_stall_time", "s")
        self.queue_wait = self._histogram("papayacourse_queue_wait", "s")
        self.request_time = self._histogram("papayacourse_request_time", "s")
        self.first_event = self._histogram("papayacourse_time_to_first_event", "s")
        self.longest_gap = self._histogram("papayacourse_longest_gap", "s")
        self.output_length = self._histogram("papayacourse_output_length", "{token}")
        self.requests = self._counter("papayacourse_requests")
        self.refusals = self._counter("papayacourse_refusals")
        self.retries = self._counter("papayacourse_retries")
        self.resumes = self._counter("papayacourse_resumes")
        self.preemptions = self._counter("papayacourse_preemptions")
        self.strikes = self._counter("papayacourse_strikes")
        self.quarantines = self._counter("papayacourse_quarantines")
        self.platform_calls = self._counter("papayacourse_platform_calls")
        self.violations = self._counter("papayacourse_invariant_violations")

    def _counter(self, name: str) -> Counter:
        return Counter(self.meter.create_counter(name))

    def _histogram(self, name: str, unit: str) -> Histogram:
        return Histogram(self.meter.create_histogram(name, unit))

    def watch(self, name: str, unit: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read at each export."""
        self.meter.create_observable_gauge(name, [lambda _: [Observation(read())]], unit)

    def watch_totals(
        self, name: str, unit: str, read: Callable[[], Iterable[tuple[int, dict[str, str]]]]
    ) -> None:
        """Register a counter whose totals and attributes are read at each export."""

        def observe(_options) -> list[Observation]:
            return [Observation(value, labelled(attributes)) for value, attributes in read()]

        self.meter.create_observable_counter(name, [observe], unit)

    def count_platform(self, kind: str, result: str) -> None:
        """Count one call to the platform."""
        self.platform_calls.add(1, {"kind": kind, "result": result})

    def text(self) -> bytes:
        """Return all metrics in Prometheus format."""
        return generate_latest(REGISTRY)
