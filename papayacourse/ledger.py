"""The ledger of the memory committed on each engine, and its forecast."""

import math
from collections import Counter

from attrs import define, field, frozen

from papayacourse.lazymodule import LazyModule
from papayacourse.lengths import LengthModel, Template, continuation_probabilities
from papayacourse.policies import EngineChoice, LeastDelay, Policy
from papayacourse.promptqueue import PromptQueue
from papayacourse.promptrate import PromptRate
from papayacourse.types import GenerationRequest

MIN_FORECAST_AGE_SECONDS = 0.25  # up to which a forecast is accurate enough to admit a stream
MAX_FORECAST_AGE_SECONDS = 1.0  # up to which it is accurate enough to compare engines
MAX_GROWTH_FRACTION = 0.01  # of the memory, which streams may grow by meanwhile
INITIAL_SECONDS_PER_TOKEN = 0.044  # default until the engine has been measured

np, grid = LazyModule("numpy"), LazyModule("papayacourse.forecastgrid")


@frozen(eq=False)
class Forecast:
    """The predicted memory use of streams at each of ``HORIZON_STEPS``.

    Attributes
    ----------
    mean, variance : ndarray, shape (len(HORIZON_STEPS),) or (streams, len(HORIZON_STEPS))
        In tokens and squared tokens; the sum over all streams, or one row for each stream.
    """

    mean: "np.ndarray"
    variance: "np.ndarray"

    def plus(self, other: "Forecast") -> "Forecast":
        """Return the sum of two forecasts."""
        return Forecast(self.mean + other.mean, self.variance + other.variance)

    def minus(self, other: "Forecast") -> "Forecast":
        """Return this forecast without the share of another."""
        return Forecast(self.mean - other.mean, np.maximum(self.variance - other.variance, 0.0))

    def row(self, number: int) -> "Forecast":
        """Return the forecast of one stream, from the forecasts of several."""
        return Forecast(self.mean[number], self.variance[number])

    def total(self) -> "Forecast":
        """Return the sum over all streams."""
        return Forecast(self.mean.sum(axis=0), self.variance.sum(axis=0))


@define
class Stream:
    """A generation on an engine, as known to the scheduler.

    Attributes
    ----------
    generated : int
        Output tokens so far.
    daemon : str
        The entry daemon that relays it.
    seen_at : float
        When it was granted or last reported, in seconds of the monotonic clock.
    granted_at : float
        When it was granted.
    charged_tokens : float
        Output tokens that its account has been charged for.
    prompt_tokens_ahead : float
        Prompt tokens that its engine had to prefill before its first token, its own included;
        0 once they have been used to update the engine's prefill speed.
    template : Template
        The group of requests that its output length is predicted from.
    """

    generation: GenerationRequest
    daemon: str
    generated: int = 0
    seen_at: float = 0.0
    granted_at: float = 0.0
    charged_tokens: float = 0.0
    prompt_tokens_ahead: float = 0.0
    forecast: "Forecast | None" = None
    template: Template = field(init=False)

    @template.default
    def _template_of_prompt(self) -> Template:
        prefixes = self.generation.prefixes
        return Template(self.generation.account, prefixes[0] if prefixes else None)

    @property
    def tokens(self) -> int:
        """Return its current memory use, in tokens."""
        return self.generation.prompt_tokens + self.generated

    def prediction_template(self, by_template: bool) -> Template:
        """Return its template, or the template of its whole account if not ``by_template``."""
        return self.template if by_template else Template(self.generation.account)


@define
class EngineLedger:
    """The memory and streams committed on one engine.

    Attributes
    ----------
    memory_tokens : int
        The engine's memory, in tokens.
    max_batch : int
        Maximum number of concurrent streams.
    margin : float
        The fraction of memory kept free.
    share : float
        The fraction of the engine that may be used; below 1 while a new scheduler does not know
        all running streams.
    spread : float
        Number of standard deviations above the mean at which memory is predicted.
    affinity_bound : float or None
        How much fuller than the emptiest engine it may be to be chosen for a cached prefix, as a
        fraction of memory; None for no affinity.
    decode_batch : int
        Maximum number of concurrent streams under the predicted policy; 0 for ``max_batch``.
    by_template : bool
        Whether output lengths are predicted by prompt template instead of by account.
    choice : EngineChoice
        The rule that chooses among several engines on which a stream fits.
    prompt_rate : PromptRate
        The recent rate of prompt tokens to prefill.
    prompt_queue : PromptQueue
        The prompts still to be prefilled.
    prompt_wait : float
        The maximum time until a prompt is prefilled, in seconds; 0 for no limit.
    token_interval : float
        The time between two tokens of a stream, in seconds.
    memory_exceeded : bool
        Whether it gets no new streams because its memory is too small for those it runs.
    suspect : bool
        Whether it gets no new streams because a stream failed there and it has not answered since.
    unattributed_tokens : int
        Memory in use that no stream of this ledger accounts for, in tokens.
    forecast : Forecast
        The sum over its streams, made at ``forecast_at``, in seconds of the monotonic clock.
    fingerprints : Counter of str
        Number of its streams by request fingerprint; copies of a request have the same one.
    stream_forecasts : Forecast
        One row for each stream that ran when it was made; ``forecast_rows`` maps streams to rows.
    """

    name: str
    address: str
    memory_tokens: int
    max_batch: int
    margin: float
    policy: Policy
    share: float = 1.0
    usable: bool = True
    unattributed_tokens: int = 0
    spread: float = 1.0
    affinity_bound: float | None = 0.0
    decode_batch: int = 0
    by_template: bool = True
    choice: EngineChoice = field(factory=LeastDelay)
    prompt_rate: PromptRate = field(factory=PromptRate)
    prompt_queue: PromptQueue = field(factory=PromptQueue)
    prompt_wait: float = 0.0
    token_interval: float = INITIAL_SECONDS_PER_TOKEN
    memory_exceeded: bool = False
    suspect: bool = False
    streams: dict[str, Stream] = field(factory=dict)
    fingerprints: Counter[str] = field(factory=Counter)
    forecast: "Forecast | None" = None
    forecast_at: float = -math.inf
    stream_forecasts: "Forecast | None" = None
    forecast_rows: dict[str, int] = field(factory=dict)

    @property
    def budget(self) -> float:
        """Return the memory available to admission control, in tokens."""
        return self.memory_tokens * (1 - self.margin) * self.share

    def expected_tokens(self, now: float) -> float:
        """Return the estimated memory use of its streams now, in tokens."""
        if not self.streams:
            return 0.0
        streams = list(self.streams.values())
        prompts = sum(stream.generation.prompt_tokens for stream in streams)
        return prompts + float(estimated_outputs(streams, now, self.token_interval).sum())

    def forecast_age(self) -> float:
        """Return the maximum age of a forecast of its streams, in seconds."""
        steps = MAX_GROWTH_FRACTION * self.memory_tokens / max(1, len(self.streams))
        return min(
            max(steps * self.token_interval, MIN_FORECAST_AGE_SECONDS), MAX_FORECAST_AGE_SECONDS
        )

    @property
    def tokens(self) -> int:
        """Return the last known memory use of its streams and of unattributed ones, in tokens."""
        return sum(stream.tokens for stream in self.streams.values()) + self.unattributed_tokens


def estimated_outputs(streams: list[Stream], now: float, token_interval: float) -> "np.ndarray":
    """Extrapolate the tokens that streams have generated; reports are up to a second old."""
    generated = np.array([stream.generated for stream in streams], dtype=float)
    seen_at = np.array([stream.seen_at for stream in streams])
    longest = np.array([stream.generation.max_tokens for stream in streams])
    return np.minimum(generated + np.maximum(now - seen_at, 0.0) / token_interval, longest)


def predict_memory(
    streams: list[Stream],
    lengths: LengthModel,
    now: float,
    token_interval: float,
    by_template: bool = True,
) -> Forecast:
    """Predict the memory use of each stream at ``HORIZON_STEPS``.

    A stream keeps its prompt and output in memory until it ends, so its expected memory ``t`` steps
    ahead is its size then, times the probability that it still runs.

    Parameters
    ----------
    streams : list of Stream
        At least one.
    lengths : LengthModel
        The model that predicts output lengths.
    now : float
        Time of the monotonic clock, in seconds; progress is extrapolated to it.
    token_interval : float
        The time between two tokens of a stream, in seconds.
    by_template : bool
        Whether output lengths are predicted by prompt template instead of by account.
    """
    tails = lengths.tails([stream.prediction_template(by_template) for stream in streams])
    generated = estimated_outputs(streams, now, token_interval)
    prompts = np.array([stream.generation.prompt_tokens for stream in streams])
    longest = np.array([stream.generation.max_tokens for stream in streams])
    ahead = generated[:, None] + grid.HORIZON_STEPS
    alive = np.minimum(continuation_probabilities(tails, generated, grid.HORIZON_STEPS), 1.0)
    alive[ahead > longest[:, None]] = 0.0
    size = ahead + prompts[:, None]
    mean = alive * size
    return Forecast(mean, mean * (1 - alive) * size)


def is_forecast_fresh(ledger: EngineLedger, now: float) -> bool:
    """Return True if an engine's forecast is accurate enough to admit a stream."""
    return now - ledger.forecast_at < MIN_FORECAST_AGE_SECONDS


def current_forecast(ledger: EngineLedger, lengths: LengthModel, now: float) -> Forecast:
    """Return an engine's forecast, renewed if it is too old to compare engines."""
    if is_forecast_fresh(ledger, now) or now - ledger.forecast_at < ledger.forecast_age():
        return ledger.forecast
    return renew_forecast(ledger, lengths, now)


def renew_forecast(ledger: EngineLedger, lengths: LengthModel, now: float) -> Forecast:
    """Make a new forecast for an engine, and return it."""
    streams = list(ledger.streams.values())
    if streams:
        ledger.stream_forecasts = predict_memory(
            streams, lengths, now, ledger.token_interval, ledger.by_template
        )
        ledger.forecast = ledger.stream_forecasts.total()
    else:
        ledger.forecast = Forecast(
            np.zeros(len(grid.HORIZON_STEPS)), np.zeros(len(grid.HORIZON_STEPS))
        )
    ledger.forecast_rows = {name: number for number, name in enumerate(ledger.streams)}
    ledger.forecast_at = now
    return ledger.forecast


def add_stream(ledger: EngineLedger, stream: Stream) -> None:
    """Add a stream to an engine's ledger."""
    ledger.streams[stream.generation.stream] = stream
    ledger.fingerprints[stream.generation.fingerprint] += 1
    if ledger.forecast is not None and stream.forecast is not None:
        ledger.forecast = ledger.forecast.plus(stream.forecast)


def remove_stream(ledger: EngineLedger, name: str) -> Stream:
    """Remove a stream from an engine's ledger, and return it."""
    stream = ledger.streams.pop(name)
    fingerprint = stream.generation.fingerprint
    ledger.fingerprints[fingerprint] -= 1
    if not ledger.fingerprints[fingerprint]:
        del ledger.fingerprints[fingerprint]
    row = ledger.forecast_rows.pop(name, None)
    part = stream.forecast if row is None else ledger.stream_forecasts.row(row)
    if ledger.forecast is not None and part is not None:
        ledger.forecast = ledger.forecast.minus(part)
    return stream
