"""Learns how fast each engine of a service generates, from the progress of its streams.

Engines of one kind may differ severalfold in pace, and each is slower the more streams it runs.
Medians are used throughout, so that single odd reports have little effect.
"""

from collections import deque
from collections.abc import Iterable
from statistics import median

from attrs import define, field, frozen

from papayacourse.lazymodule import LazyModule

SAMPLES_PER_BATCH_SIZE = 16  # kept; newer ones replace them
MIN_SAMPLES = 3  # samples or pauses from which those of an engine count as known
RENEW_AFTER_SAMPLES = 16  # new samples after which an engine's line is fitted again
MIN_SIZES_FOR_SLOPE = 3  # distinct batch sizes from which an engine's own slope is fitted
MAX_PAUSES = 32  # kept of each engine
PLAUSIBLE_SECONDS = (0.0005, 2.0)  # per token; others come from lost or late reports
LINE_FIELDS = ("base", "slope", "deviation")
PAUSE_QUANTILE = 0.9
MAD_TO_DEVIATION = 1.4826  # standard deviation of a normal distribution per median deviation

np = LazyModule("numpy")


@frozen
class Line:
    """The seconds per token of an engine as a linear function of its batch size.

    Attributes
    ----------
    base, slope : float
        In seconds per token, and seconds per token and stream.
    deviation : float
        The standard deviation of the measured seconds per token from the line.
    """

    base: float
    slope: float
    deviation: float = 0.0

    def seconds_per_token(self, batch: float) -> float:
        """Return the seconds per token at a batch size."""
        return self.base + self.slope * batch


@define
class EnginePace:
    """The pace of one engine.

    Attributes
    ----------
    samples : dict of int to deque of float
        The last measured seconds per token, by batch size.
    pauses : deque of float
        How much longer than usual streams waited for an event while a prompt was prefilled, in
        seconds.
    new_samples : int
        Number of samples since ``line`` was fitted.
    line : Line or None
        The line last fitted; None before the first.
    """

    samples: dict[int, deque[float]] = field(factory=dict)
    pauses: deque[float] = field(factory=lambda: deque(maxlen=MAX_PAUSES))
    new_samples: int = 0
    line: Line | None = None

    # Queries.

    def is_known(self) -> bool:
        """Return True if there are enough samples to tell its pace."""
        return sum(map(len, self.samples.values())) >= MIN_SAMPLES

    def has_slope(self) -> bool:
        """Return True if it has run enough batch sizes to tell how its pace depends on them."""
        return len(self.samples) >= MIN_SIZES_FOR_SLOPE

    def points(self) -> "tuple[np.ndarray, np.ndarray]":
        """Return the batch sizes of its samples, and the seconds per token of each."""
        pairs = [(batch, each) for batch, found in self.samples.items() for each in found]
        batches, seconds = np.array(pairs, dtype=float).T
        return batches, seconds

    def own_slope(self) -> float:
        """Return the slope by the Theil-Sen estimator, in seconds per token and stream.

        It is the median of the slopes between all pairs of batch sizes, of whose samples the
        medians are taken.
        """
        batches = np.array(sorted(self.samples), dtype=float)
        seconds = np.array([median(self.samples[int(batch)]) for batch in batches])
        low, high = np.triu_indices(len(batches), 1)
        slopes = (seconds[high] - seconds[low]) / (batches[high] - batches[low])
        return max(0.0, float(np.median(slopes)))

    def has_pause(self) -> bool:
        """Return True if there are enough pauses to tell how long they get."""
        return len(self.pauses) >= MIN_SAMPLES

    def long_pause(self) -> float:
        """Return a pause that few exceed, in seconds.

        A usual pause wouldn't do, since a single long one makes a stream late.
        """
        return float(np.quantile(self.pauses, PAUSE_QUANTILE))

    # Commands.

    def add(self, batch: int, seconds: float) -> None:
        """Add a measured time per token."""
        kept = self.samples.setdefault(batch, deque(maxlen=SAMPLES_PER_BATCH_SIZE))
        kept.append(seconds)
        self.new_samples += 1

    def renew_line(self, service_slope: float) -> Line:
        """Return the line through its samples, fitted again if many have come since.

        Parameters
        ----------
        service_slope : float
            The slope to assume while it has run too few batch sizes; in seconds per token and
            stream.
        """
        due = self.line is None or self.new_samples >= min(
            RENEW_AFTER_SAMPLES, sum(map(len, self.samples.values())) / 2
        )
        if due:
            slope = self.own_slope() if self.has_slope() else service_slope
            batches, seconds = self.points()
            base = max(0.0, float(np.median(seconds - slope * batches)))
            errors = np.abs(seconds - base - slope * batches)
            self.line = Line(base, slope, MAD_TO_DEVIATION * float(np.median(errors)))
            self.new_samples = 0
        return self.line


@define
class Paces:
    """The paces of the engines of one service.

    Attributes
    ----------
    engines : dict of str to EnginePace
        By the name of the engine, which is another one after a restart.
    """

    engines: dict[str, EnginePace] = field(factory=dict)

    # Queries.

    def line(self, engine: str) -> Line | None:
        """Return an engine's line, the service's if it is new, or None if none is known."""
        found = self.engines.get(engine)
        if found is not None and found.is_known():
            return found.renew_line(self._service_slope())
        slope = self._service_slope()
        lines = [each.renew_line(slope) for each in self.engines.values() if each.is_known()]
        if not lines:
            return None
        return Line(*(median(getattr(each, name) for each in lines) for name in LINE_FIELDS))

    def pause(self, engine: str) -> float:
        """Return the pause to expect while an engine prefills, in seconds; 0 if none was seen.

        For an engine whose pace isn't known, it is the median of the other engines' pauses.
        """
        found = self.engines.get(engine)
        if found is not None and found.is_known():
            return found.long_pause() if found.has_pause() else 0.0
        known = [each.long_pause() for each in self.engines.values() if each.has_pause()]
        return median(known) if known else 0.0

    def _service_slope(self) -> float:
        slopes = [
            each.line.slope for each in self.engines.values() if each.line and each.has_slope()
        ]
        return median(slopes) if slopes else 0.0

    # Commands.

    def record(self, engine: str, batch: int, seconds: float) -> None:
        """Record the seconds per token of one stream of a batch; implausible ones are dropped."""
        if PLAUSIBLE_SECONDS[0] <= seconds <= PLAUSIBLE_SECONDS[1]:
            self._pace_of(engine).add(batch, seconds)

    def record_pause(self, engine: str, seconds: float) -> None:
        """Record how much longer than usual a stream waited while its engine prefilled."""
        if seconds <= PLAUSIBLE_SECONDS[1]:
            self._pace_of(engine).pauses.append(max(0.0, seconds))

    def retain_engines(self, names: Iterable[str]) -> None:
        """Forget the engines that are not among the given names."""
        for name in self.engines.keys() - set(names):
            del self.engines[name]

    def _pace_of(self, engine: str) -> EnginePace:
        return self.engines.setdefault(engine, EnginePace())
