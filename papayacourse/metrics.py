"""The metrics of a daemon: OpenTelemetry instruments, exported in Prometheus format."""

from collections.abc import Callable, Iterable

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation, View
from opentelemetry.sdk.resources import Resource
from prometheus_client import REGISTRY, generate_latest

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
SECONDS = (0.001, 0.002, 0.005, 0.01, 0.02, 0.044, 0.1, 0.2, 0.5, 1.0, 1.5, 3.0, 10.0, 30.0, 100.0)
TOKENS = tuple(float(2**power) for power in range(0, 18))


def buckets(name: str, edges: tuple[float, ...]) -> View:
    """Return a view that sets the bucket edges of a histogram."""
    return View(instrument_name=name, aggregation=ExplicitBucketHistogramAggregation(edges))


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
            buckets("papayacourse_output_length", TOKENS),
        ]
        self.provider = MeterProvider(
            resource=Resource({"service.name": "papayacourse", "service.instance.id": daemon}),
            metric_readers=[PrometheusMetricReader()],
            views=views,
        )
        meter = self.provider.get_meter("papayacourse")
        self.meter = meter
        self.first_token = meter.create_histogram("papayacourse_time_to_first_token", "s")
        self.between_tokens = meter.create_histogram("papayacourse_time_between_tokens", "s")
        self.stall = meter.create_histogram("papayacourse_stall_time", "s")
        self.queue_wait = meter.create_histogram("papayacourse_queue_wait", "s")
        self.request_time = meter.create_histogram("papayacourse_request_time", "s")
        self.first_event = meter.create_histogram("papayacourse_time_to_first_event", "s")
        self.output_length = meter.create_histogram("papayacourse_output_length", "{token}")
        self.requests = meter.create_counter("papayacourse_requests")
        self.refusals = meter.create_counter("papayacourse_refusals")
        self.retries = meter.create_counter("papayacourse_retries")
        self.resumes = meter.create_counter("papayacourse_resumes")
        self.preemptions = meter.create_counter("papayacourse_preemptions")
        self.strikes = meter.create_counter("papayacourse_strikes")
        self.quarantines = meter.create_counter("papayacourse_quarantines")
        self.platform_calls = meter.create_counter("papayacourse_platform_calls")
        self.violations = meter.create_counter("papayacourse_invariant_violations")

    def watch(self, name: str, unit: str, read: Callable[[], float]) -> None:
        """Register a gauge whose value is read at each export."""
        self.meter.create_observable_gauge(name, [lambda _: [Observation(read())]], unit)

    def watch_totals(
        self, name: str, unit: str, read: Callable[[], Iterable[tuple[int, dict[str, str]]]]
    ) -> None:
        """Register a counter whose totals and attributes are read at each export."""

        def observe(_options) -> list[Observation]:
            return [Observation(value, attributes) for value, attributes in read()]

        self.meter.create_observable_counter(name, [observe], unit)

    def count_platform(self, kind: str, result: str) -> None:
        """Count one call to the platform."""
        self.platform_calls.add(1, {"kind": kind, "result": result})

    def text(self) -> bytes:
        """Return all metrics in Prometheus format."""
        return generate_latest(REGISTRY)
