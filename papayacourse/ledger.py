"""The ledger of memory promised on each engine, and its forecast."""

import math
from collections import Counter

import numpy as np
from attrs import define, field, frozen

from papayacourse.lengths import LengthModel, Template, remaining
from papayacourse.policies import EngineChoice, LeastDelay, Policy
from papayacourse.promptqueue import PromptQueue
from papayacourse.promptrate import PromptRate
from papayacourse.types import GenerationRequest

# How far ahead memory is predicted, in decode steps. Beyond the horizon streams that end make
# room for those that grow, or the queue stops admitting in time.
HORIZON = np.array([1, 16, 32, 64, 128, 256, 512, 1024, 2048, 4096])
MIN_FORECAST_AGE = 0.25  # seconds for which a forecast is good enough to put a stream there
MAX_FORECAST_AGE = 1.0  # seconds for which it is good enough to choose engines by
FORECAST_DRIFT = 0.01  # part of the memory that the streams may have grown by meanwhile
INITIAL_SECONDS_PER_TOKEN = 0.044  # seconds between tokens, until an engine's own pace is known


@frozen(eq=False)
class Forecast:
    """The memory that streams are predicted to take at each step of the horizon.

    Attributes
    ----------
    mean, variance : ndarray, shape (len(HORIZON),) or (streams, len(HORIZON))
        In tokens, and tokens squared; for all streams together, or for each.
    """

    mean: np.ndarray
    variance: np.ndarray

    def plus(self, other: "Forecast") -> "Forecast":
        """Return the forecast of both together."""
        return Forecast(self.mean + other.mean, self.variance + other.variance)

    def minus(self, other: "Forecast") -> "Forecast":
        """Return the forecast without a part of it."""
        return Forecast(self.mean - other.mean, np.maximum(self.variance - other.variance, 0.0))

    def row(self, number: int) -> "Forecast":
        """Return the forecast of one stream, of those of several."""
        return Forecast(self.mean[number], self.variance[number])

    def total(self) -> "Forecast":
        """Return the forecast of all streams together, from those of several."""
        return Forecast(self.mean.sum(axis=0), self.variance.sum(axis=0))


@define
class Stream:
    """One generation on an engine, as the scheduler knows it.

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
    charged : float
        The output tokens that its account has been charged for.
    prompts_ahead : float
        The prompt tokens that its engine had to compute until its first token, its own included;
        0 once that has been learnt from.
    template : Template
        What its output's length is learnt by.
    """

    generation: GenerationRequest
    daemon: str
    generated: int = 0
    seen_at: float = 0.0
    granted_at: float = 0.0
    charged: float = 0.0
    prompts_ahead: float = 0.0
    forecast: "Forecast | None" = None
    template: Template = field(init=False)

    @template.default
    def _template_of_prompt(self) -> Template:
        prefixes = self.generation.prefixes
        return Template(self.generation.account, prefixes[0] if prefixes else None)

    @property
    def tokens(self) -> int:
        """Return the memory it takes now, in tokens."""
        return self.generation.prompt_tokens + self.generated

    def predicted_by(self, by_template: bool) -> Template:
        """Return the template that predicts its output, or its account without one."""
        return self.template if by_template else Template(self.generation.account)


@define
class EngineLedger:
    """What has been promised on one engine.

    Attributes
    ----------
    memory_tokens : int
        The engine's memory.
    max_batch : int
        The most streams at once.
    margin : float
        The fraction of memory kept free.
    share : float
        The part of the engine that may be given out; below 1 while a new scheduler learns.
    spread : float
        Standard deviations kept above the mean when memory is predicted.
    affinity_bound : float or None
        How much fuller than the emptiest it may be and still get a request for its prefix.
    decode_batch : int
        The most streams at once under the predicted policy; 0 leaves it to ``max_batch``.
    by_template : bool
        Whether outputs are predicted by the template of the prompt, or by the account alone.
    choice : EngineChoice
        How one of several engines on which a stream fits is chosen.
    prompt_rate : PromptRate
        The prompt tokens that it has had to compute lately.
    prompt_queue : PromptQueue
        The prompts that it has yet to compute.
    prompt_wait : float
        The longest that a prompt may wait there until it is computed, in seconds; 0 for no limit.
    pace : float
        Its seconds between two tokens of a stream.
    held : bool
        Whether it gets nothing, since its memory proved too small for what it runs.
    suspect : bool
        Whether it gets nothing, since a stream has failed there and it has not answered since.
    foreign_tokens : int
        Memory in use there that no stream of this ledger explains.
    forecast : Forecast
        Of its streams together, made at ``forecast_at``, in seconds of the clock.
    fingerprints : Counter of str
        How many of its streams are copies of one request, by what it is recognised by.
    each : Forecast
        Of each stream that ran when it was made; ``rows`` tells where each is found.
    """

    name: str
    address: str
    memory_tokens: int
    max_batch: int
    margin: float
    policy: Policy
    share: float = 1.0
    usable: bool = True
    foreign_tokens: int = 0
    spread: float = 1.0
    affinity_bound: float | None = 0.0
    decode_batch: int = 0
    by_template: bool = True
    choice: EngineChoice = field(factory=LeastDelay)
    prompt_rate: PromptRate = field(factory=PromptRate)
    prompt_queue: PromptQueue = field(factory=PromptQueue)
    prompt_wait: float = 0.0
    pace: float = INITIAL_SECONDS_PER_TOKEN
    held: bool = False
    suspect: bool = False
    streams: dict[str, Stream] = field(factory=dict)
    fingerprints: Counter[str] = field(factory=Counter)
    forecast: "Forecast | None" = None
    forecast_at: float = -math.inf
    each: "Forecast | None" = None
    rows: dict[str, int] = field(factory=dict)

    @property
    def budget(self) -> float:
        """Return the memory that admission may plan with, in tokens."""
        return self.memory_tokens * (1 - self.margin) * self.share

    def expected_tokens(self, now: float) -> float:
        """Return the memory its streams probably take by now, in tokens."""
        streams = list(self.streams.values())
        prompts = sum(stream.generation.prompt_tokens for stream in streams)
        return prompts + float(progress(streams, now, self.pace).sum())

    def forecast_age(self) -> float:
        """Return for how long a forecast of its streams can be used, in seconds."""
        steps = FORECAST_DRIFT * self.memory_tokens / max(1, len(self.streams))
        return min(max(steps * self.pace, MIN_FORECAST_AGE), MAX_FORECAST_AGE)

    @property
    def tokens(self) -> int:
        """Return the memory its streams take now, in tokens."""
        return sum(stream.tokens for stream in self.streams.values()) + self.foreign_tokens


def progress(streams: list[Stream], now: float, pace: float) -> np.ndarray:
    """Return the tokens that streams have probably generated; reports are up to a second old."""
    generated = np.array([stream.generated for stream in streams], dtype=float)
    seen_at = np.array([stream.seen_at for stream in streams])
    longest = np.array([stream.generation.max_tokens for stream in streams])
    return np.minimum(generated + np.maximum(now - seen_at, 0.0) / pace, longest)


def forecasts(
    streams: list[Stream], lengths: LengthModel, now: float, pace: float, by_template: bool = True
) -> Forecast:
    """Predict the memory of each stream over the horizon.

    A stream holds its prompt and output until it ends, so its expected memory ``t`` steps ahead
    is its size then, times the probability that it still runs.

    Parameters
    ----------
    streams : list of Stream
        At least one.
    lengths : LengthModel
        What is known about output lengths.
    now : float
        Seconds of the monotonic clock, to carry the last known progress on.
    pace : float
        Seconds between two tokens of a stream.
    by_template : bool
        Whether to predict by the template of the prompt, or by the account alone.
    """
    tails = lengths.tails([stream.predicted_by(by_template) for stream in streams])
    generated = progress(streams, now, pace)
    prompts = np.array([stream.generation.prompt_tokens for stream in streams])
    longest = np.array([stream.generation.max_tokens for stream in streams])
    ahead = generated[:, None] + HORIZON
    alive = np.minimum(remaining(tails, generated, HORIZON), 1.0)
    alive[ahead > longest[:, None]] = 0.0
    size = ahead + prompts[:, None]
    mean = alive * size
    return Forecast(mean, mean * (1 - alive) * size)


def is_fresh(ledger: EngineLedger, now: float) -> bool:
    """Tell whether an engine's forecast is good enough to put a stream there."""
    return now - ledger.forecast_at < MIN_FORECAST_AGE


def bring_up_to_date(ledger: EngineLedger, lengths: LengthModel, now: float) -> Forecast:
    """Renew an engine's forecast when it is too old to compare engines by, and return it."""
    if is_fresh(ledger, now) or now - ledger.forecast_at < ledger.forecast_age():
        return ledger.forecast
    return renew(ledger, lengths, now)


def renew(ledger: EngineLedger, lengths: LengthModel, now: float) -> Forecast:
    """Make a new forecast of an engine, and return it."""
    streams = list(ledger.streams.values())
    if streams:
        ledger.each = forecasts(streams, lengths, now, ledger.pace, ledger.by_template)
        ledger.forecast = ledger.each.total()
    else:
        ledger.forecast = Forecast(np.zeros(len(HORIZON)), np.zeros(len(HORIZON)))
    ledger.rows = {name: number for number, name in enumerate(ledger.streams)}
    ledger.forecast_at = now
    return ledger.forecast


def put(ledger: EngineLedger, stream: Stream) -> None:
    """Put a stream on an engine's ledger."""
    ledger.streams[stream.generation.stream] = stream
    ledger.fingerprints[stream.generation.fingerprint] += 1
    if ledger.forecast is not None and stream.forecast is not None:
        ledger.forecast = ledger.forecast.plus(stream.forecast)


def take_off(ledger: EngineLedger, name: str) -> Stream:
    """Take a stream off an engine's ledger."""
    stream = ledger.streams.pop(name)
    fingerprint = stream.generation.fingerprint
    ledger.fingerprints[fingerprint] -= 1
    if not ledger.fingerprints[fingerprint]:
        del ledger.fingerprints[fingerprint]
    row = ledger.rows.pop(name, None)
    part = stream.forecast if row is None else ledger.each.row(row)
    if ledger.forecast is not None and part is not None:
        ledger.forecast = ledger.forecast.minus(part)
    return stream
