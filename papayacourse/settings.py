"""Data classes of the operators' settings, one for each kind of path."""

from fnmatch import fnmatchcase

from attrs import frozen

from papayacourse.types import HostKind

ROOT = "/teams/"
CELL_ENGINES = 12  # engines that one daemon schedules together; default of the service setting


@frozen
class TeamSettings:
    """A team: whether it accepts new requests, and the limits of its records.

    Attributes
    ----------
    record_bytes : int
        The size of a record bucket above which it accepts no new calls, in bytes.
    record_forget_after : float
        How long a key is refused after its outcome has expired, counted from its first call, in
        seconds.
    """

    closed: bool = False
    record_bytes: int = 16 * 1024 * 1024
    record_forget_after: float = 30 * 86400.0


@frozen
class CallPattern:
    """A method and a path pattern, such as ``POST /refunds*``."""

    method: str
    path: str

    def matches(self, method: str, path: str) -> bool:
        """Return True if a call matches the pattern."""
        return self.method in ("*", method) and fnmatchcase(path, self.path)


@frozen
class ServiceSettings:
    """A service that callers may ask for.

    Attributes
    ----------
    kind : HostKind
        ``engine`` for model engines, ``plain`` for a plain service.
    non_repeatable : tuple of CallPattern
        Calls of a plain service that must not run twice.
    max_output_tokens : int
        The maximum output length that a caller may request, in tokens.
    wait_limit : float
        The maximum time in a queue before a request is refused, in seconds.
    resume_window : float
        How long a stream is kept after its caller disconnects, in seconds.
    call_timeout : float
        The maximum duration of a plain call, in seconds.
    retry_budget : bool
        Whether retries are limited.
    retry_share : float
        Retries allowed as a fraction of requests.
    spill_same_region, spill_other_region : float
        The minimum reduction of the expected wait for which a request is sent to another failure
        domain, of the same or another region, in seconds.
    record_retention : float
        How long the outcome of a non-repeatable call is kept, in seconds.
    cell_engines : int
        The approximate number of a failure domain's engines that one daemon schedules together.
    """

    kind: HostKind
    non_repeatable: tuple[CallPattern, ...] = ()
    max_output_tokens: int = 32768
    wait_limit: float = 30.0
    resume_window: float = 30.0
    call_timeout: float = 30.0
    retry_budget: bool = True
    retry_share: float = 0.1
    spill_same_region: float = 1.0
    spill_other_region: float = 5.0
    record_retention: float = 4 * 3600.0
    cell_engines: int = CELL_ENGINES


@frozen
class AccountSettings:
    """A client account.

    Attributes
    ----------
    key_sha256 : tuple of str
        The hashes of its keys, in hexadecimal.
    services : tuple of str
        Patterns of the services it may use.
    share : float
        Its weight in fair sharing between accounts.
    max_in_progress : int
        The maximum number of its in-flight requests at one daemon.
    priority : int
        The priority of its requests; higher values are served first.
    """

    key_sha256: tuple[str, ...]
    services: tuple[str, ...] = ("*",)
    share: float = 1.0
    max_in_progress: int = 1000
    priority: int = 0


@frozen
class DeploymentSettings:
    """A set of backend servers that serve one service.

    Attributes
    ----------
    model, adapter, version, role : str
        What its engines are ordered to load and their role; without a model they get no orders.
    backends : tuple of str
        Patterns of the names of the backend servers it may use.
    memory_tokens : int
        The memory of one engine, in tokens.
    max_batch : int
        The maximum number of concurrent decodes on one engine.
    memory_margin : float
        The fraction of memory that admission control keeps free.
    memory_spread : float
        Standard deviations added to the mean of the memory forecast.
    affinity_bound : float or None
        How much fuller than the emptiest engine one with a cached prefix may be and still be
        chosen, as a fraction of its memory; with 0, prefixes only decide between equally full
        engines, and with None they are ignored.
    decode_batch : int
        The maximum number of concurrent decodes under the predicted policy, which bounds the time
        between tokens; 0 applies ``max_batch``.
    prompt_wait : float
        The maximum time a prompt should wait on an engine until it is computed, in seconds; a
        request that no engine can serve in this time waits in the queue. 0 sets no limit.
    length_templates : bool
        Whether output lengths are learned by how a prompt begins as well as by account.
    engine_choice : str
        How to choose between several engines on which a request fits.
    policy : str
        The admission policy's name.
    checks_fencing : bool
        Whether its engines refuse orders with an old fencing number.
    leaving : tuple of str
        Patterns of the names of backend servers that must get no new work.
    """

    service: str
    backends: tuple[str, ...]
    model: str = ""
    adapter: str = ""
    version: str = ""
    role: str = ""
    priority: int = 0
    memory_tokens: int = 16384
    max_batch: int = 32
    memory_margin: float = 0.1
    memory_spread: float = 1.0
    affinity_bound: float | None = 0.5
    decode_batch: int = 0
    prompt_wait: float = 0.0
    length_templates: bool = True
    engine_choice: str = "least-delay"
    policy: str = "predicted"
    checks_fencing: bool = False
    leaving: tuple[str, ...] = ()


Setting = TeamSettings | ServiceSettings | AccountSettings | DeploymentSettings


@frozen
class SettingsPath:
    """A path split into its parts; a team's own path has the kind ``team``."""

    team: str
    kind: str
    name: str = ""

    def __str__(self) -> str:
        tail = "" if self.kind == "team" else f"/{self.kind}/{self.name}"
        return f"{ROOT}{self.team}{tail}"
