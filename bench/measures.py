"""Turns the exchanges of one cell into its measures."""

from collections.abc import Iterable, Iterator
from statistics import median

from attrs import asdict, define, field, frozen
from hdrh.histogram import HdrHistogram

from bench.caller import Exchange

STALL_THRESHOLD = 0.25  # seconds between two tokens beyond which a stream stalls
MICROSECONDS = 1_000_000
LONGEST = 120 * MICROSECONDS
DIGITS = 3
PERCENTILES = {"p50": 50.0, "p95": 95.0, "p99": 99.0, "p999": 99.9}


def histogram() -> HdrHistogram:
    """Return an empty histogram of times, in microseconds."""
    return HdrHistogram(1, LONGEST, DIGITS)


def percentiles(times: HdrHistogram) -> dict[str, float]:
    """Return the percentiles of a histogram, in milliseconds."""
    return {
        name: times.get_value_at_percentile(percent) / 1000 if times.total_count else 0.0
        for name, percent in PERCENTILES.items()
    }


@define(eq=False)
class Times:
    """The times of some streams.

    Attributes
    ----------
    stall : float
        The sum over the streams of the time between two tokens beyond the threshold, in seconds.
    """

    between: HdrHistogram = field(factory=histogram)
    first: HdrHistogram = field(factory=histogram)
    stall: float = 0.0
    tokens: int = 0
    completed: int = 0

    def add(self, made: Exchange, start: float, end: float) -> None:
        """Count one exchange's tokens between two instants of the monotonic clock."""
        if made.times and start <= made.sent < end:
            self.first.record_value(max(1, int((made.times[0][0] - made.sent) * MICROSECONDS)))
        elif made.status in (0, 200) and not made.times and start <= made.sent < end:
            # Still without a token when the cell ended: it waited at least so long.
            self.first.record_value(max(1, int((end - made.sent) * MICROSECONDS)))
        for gap, count in gaps(made, end):
            at, seconds = gap
            if start <= at < end:
                self.tokens += count
                if seconds is None:
                    continue
                self.between.record_value(max(1, int(seconds * MICROSECONDS)))
                if count > 1:
                    self.between.record_value(1, count - 1)
                self.stall += max(0.0, seconds - STALL_THRESHOLD)
        if made.done and made.times and start <= made.times[-1][0] < end:
            self.completed += 1

    def summary(self, seconds: float) -> dict:
        """Return the measures as plain values."""
        return {
            "tokens_per_second": self.tokens / seconds,
            "completed": self.completed,
            "stall_seconds": self.stall,
            "between_tokens_ms": percentiles(self.between),
            "first_token_ms": percentiles(self.first),
        }


def gaps(made: Exchange, end: float) -> Iterator[tuple[tuple[float, float | None], int]]:
    """Yield when each piece came, the time since the one before, and its tokens.

    A stream that is still open when the cell ends yields the gap it is in, without a token.
    """
    last: float | None = None
    for at, count in made.times:
        yield (at, None if last is None else at - last), count
        last = at
    if last is not None and not made.done and not made.failed and end - last > STALL_THRESHOLD:
        yield (end - 1e-6, end - last), 0


@frozen
class Cell:
    """What one policy did with one load and seed."""

    shape: str
    policy: str
    load: float
    seed: int
    total: dict
    classes: dict[str, dict]
    accounts: dict[str, dict]
    preemptions: int
    prompt_tokens: int
    prefix_hits: int
    offered_requests: int
    refused: int
    refusal_ms: dict[str, float]
    retried: int
    retried_served: int
    failed: int
    caller_cpu: float

    def as_dict(self) -> dict:
        """Return it as plain values for JSON."""
        return asdict(self)


def times_of(made: Iterable[Exchange], start: float, end: float) -> Times:
    """Return the times of some exchanges."""
    times = Times()
    for one in made:
        times.add(one, start, end)
    return times


def spread(values: list[float]) -> tuple[float, float, float]:
    """Return the median, the least and the greatest."""
    return median(values), min(values), max(values)
