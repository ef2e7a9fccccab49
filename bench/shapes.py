"""The deployments that the bench loads: engines, accounts and the lengths of their outputs."""

import hashlib
from collections.abc import Iterable, Iterator

from attrs import evolve, frozen

POLICIES = ("predicted", "round-robin", "least-outstanding", "reserve-maximum")
DAEMONS = ("entry-1", "entry-2", "entry-3")


@frozen
class WorkClass:
    """One class of requests; its outputs are log-normal, cut at a longest one.

    Attributes
    ----------
    median, longest : int
        Output lengths, in tokens.
    sigma : float
        The spread of the logarithm of the length.
    part : float
        The part of the requests that are of this class.
    """

    name: str
    median: int
    sigma: float
    longest: int
    part: float


@frozen
class Account:
    """A client account and its part of the requests.

    Attributes
    ----------
    burst : float
        The mean number of requests that it sends at a time.
    """

    name: str
    part: float
    burst: float = 1.0

    @property
    def key(self) -> str:
        """Return the key it calls with."""
        return f"{self.name}-key"


@frozen
class Shape:
    """One deployment at the scale of the bench.

    Attributes
    ----------
    engine_options : tuple of str
        Options of the stand-in engines.
    options : tuple of str
        Lines of the deployment's settings.
    service_options : tuple of str
        Lines of the service's settings.
    wait_limit : float
        The longest wait in the queue, in seconds.
    """

    name: str
    team: str
    service: str
    domain: str
    region: str
    engines: int
    memory: int
    max_batch: int
    classes: tuple[WorkClass, ...]
    accounts: tuple[Account, ...]
    engine_options: tuple[str, ...]
    options: tuple[str, ...] = ()
    wait_limit: float = 1.5
    service_options: tuple[str, ...] = ()

    @property
    def longest(self) -> int:
        """Return the longest output that callers ask for, in tokens."""
        return max(work.longest for work in self.classes)

    def step_time(self, streams: float, prefill: float) -> float:
        """Return the seconds of an engine's step, given its streams and new prompt tokens."""
        names, values = self.engine_options[::2], map(float, self.engine_options[1::2])
        options = dict(zip(names, values, strict=True))
        steps = options["--step"] + options["--step-per-stream"] * streams
        return steps + options["--prefill-per-token"] * prefill

    def with_options(self, lines: Iterable[str]) -> "Shape":
        """Return the shape with more lines of settings, in place of those of the same name."""
        found = {line.partition("=")[0].strip(): line for line in (*self.options, *lines)}
        return evolve(self, options=tuple(found.values()))

    def deployment(self, policy: str) -> Iterator[str]:
        """Yield the lines of its deployment's settings under a policy."""
        yield from (f"[/teams/{self.team}/deployments/{self.service}]", f"service = {self.service}")
        yield from (f"backends = {self.service}-*", f"memory_tokens = {self.memory}")
        yield from (f"max_batch = {self.max_batch}", f"policy = {policy}", *self.options)

    def settings(self) -> Iterator[str]:
        """Yield the lines of its other settings."""
        root = f"/teams/{self.team}"
        yield from (f"[{root}]", "state = open", f"[{root}/services/{self.service}]")
        yield from ("kind = model", f"wait_limit = {self.wait_limit}", "resume_window = 0.1")
        yield from self.service_options
        for account in self.accounts:
            digest = hashlib.sha256(account.key.encode()).hexdigest()
            yield from (f"[{root}/accounts/{account.name}]", f"key_sha256 = {digest}")


LARGE_PARTS = (0.3, 0.2, 0.15)
LARGE_BURST = 5.0  # requests that a large account sends at a time, on average
SMALL_ACCOUNTS = 7


def accounts(prefix: str) -> tuple[Account, ...]:
    """Return ten accounts, three of them large."""
    small = (1 - sum(LARGE_PARTS)) / SMALL_ACCOUNTS
    parts = [*LARGE_PARTS, *[small] * SMALL_ACCOUNTS]
    bursts = [LARGE_BURST] * len(LARGE_PARTS) + [1.0] * SMALL_ACCOUNTS
    return tuple(
        Account(f"{prefix}-{number}", part, burst)
        for number, (part, burst) in enumerate(zip(parts, bursts, strict=True), 1)
    )


ENGINE_OPTIONS = (
    "--step", "0.020", "--step-per-stream", "0.0002", "--prefill-per-token", "0.0002",
    "--cache-tokens", "768", "--lag", "0.5",
)  # fmt: skip

SOUND_TRUST = Shape(
    name="sound-trust",
    team="sound-trust",
    service="planner",
    domain="lagos-ikeja",
    region="lagos",
    engines=5,
    memory=4800,
    max_batch=32,
    classes=(WorkClass("plan", 150, 1.1, 2000, 0.55), WorkClass("check", 8, 0.6, 40, 0.45)),
    accounts=accounts("organiser"),
    engine_options=ENGINE_OPTIONS,
    options=("memory_margin = 0.1",),
)

BOTTLE_RETURNS = Shape(
    name="bottle-returns",
    team="bottle-returns",
    service="papaya-llm",
    domain="accra-tema",
    region="accra",
    engines=7,
    memory=4800,
    max_batch=32,
    classes=(WorkClass("summary", 160, 1.1, 2000, 0.4), WorkClass("note", 6, 0.5, 30, 0.6)),
    accounts=accounts("depot"),
    engine_options=ENGINE_OPTIONS,
    options=("memory_margin = 0.1",),
)

SHAPES = {shape.name: shape for shape in (SOUND_TRUST, BOTTLE_RETURNS)}
