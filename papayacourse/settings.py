"""The operators' settings: what each path may hold, and how its INI text is checked."""

import re
from fnmatch import fnmatchcase

from attrs import frozen
from returns.result import Failure, Result, Success

from papayacourse.config import (
    IniFile,
    Option,
    parse_ini,
    positive,
    read_option,
    unknown_options,
    word,
    yes_or_no,
)
from papayacourse.types import Fault, HostKind

ROOT = "/teams/"
NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
SHA256_HEX_LENGTH = 64
MAX_VALUE_BYTES = 64 * 1024


@frozen
class TeamSettings:
    """A team: whether it still takes new requests, and how much its records may take.

    Attributes
    ----------
    record_bytes : int
        The size of a bucket of records above which it takes no new calls, in bytes.
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
        """Tell whether a call is one of these."""
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
        The longest output a caller may ask for, in tokens.
    wait_limit : float
        The longest wait in a queue before a request is refused, in seconds.
    resume_window : float
        How long a stream without a caller is held, in seconds.
    call_timeout : float
        The longest a plain call may take, in seconds.
    retry_budget : bool
        Whether retries are limited at all.
    retry_share : float
        Retries allowed as a fraction of requests.
    spill_same_region, spill_other_region : float
        The expected wait that another failure domain, of this region or of another, must save
        before a request is sent there, in seconds.
    record_retention : float
        How long the outcome of a non-repeatable call is kept, in seconds.
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
        Its weight when accounts compete.
    max_in_progress : int
        The most requests it may have in progress at one daemon.
    priority : int
        Its requests' priority; a higher one goes first.
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
        What its engines are ordered to load and to be; without a model they get no orders.
    backends : tuple of str
        Patterns of the names of the backend servers it may use.
    memory_tokens : int
        The memory of one engine, in tokens.
    max_batch : int
        The most decodes at once on one engine.
    memory_margin : float
        The fraction of memory kept free when admitting.
    memory_spread : float
        Standard deviations kept above the mean when memory is predicted.
    affinity_bound : float or None
        How much fuller than the emptiest an engine may be and still get a request whose prefix it
        holds, as a fraction of its memory; 0 lets a prefix decide between equals only, None
        leaves prefixes out of account.
    decode_batch : int
        The most decodes at once under the predicted policy, so that tokens keep their pace; 0
        leaves it to ``max_batch``.
    policy : str
        The admission policy's name.
    checks_fencing : bool
        Whether its engines refuse orders with an old fencing number.
    leaving : tuple of str
        Patterns of backend servers that must get no new work.
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
    affinity_bound: float | None = 0.2
    decode_batch: int = 0
    policy: str = "predicted"
    checks_fencing: bool = False
    leaving: tuple[str, ...] = ()


Setting = TeamSettings | ServiceSettings | AccountSettings | DeploymentSettings

POLICIES = ("predicted", "round-robin", "least-outstanding", "reserve-maximum", "mean-length")


def names(text: str) -> tuple[str, ...]:
    """Read names or patterns separated by commas."""
    parts = tuple(part.strip() for part in text.split(",") if part.strip())
    if not parts:
        raise ValueError("needs at least one name")
    return parts


def optional_names(text: str) -> tuple[str, ...]:
    """Read names or patterns separated by commas; there may be none."""
    return tuple(part.strip() for part in text.split(",") if part.strip())


def call_patterns(text: str) -> tuple[CallPattern, ...]:
    """Read call patterns, one a line or separated by commas."""
    patterns = []
    for part in text.replace(",", "\n").splitlines():
        if not part.strip():
            continue
        method, _, path = part.strip().partition(" ")
        if not path.strip().startswith("/"):
            raise ValueError(f"{part.strip()!r} is not a method and a path")
        patterns.append(CallPattern(method.upper(), path.strip()))
    return tuple(patterns)


def key_hashes(text: str) -> tuple[str, ...]:
    """Read SHA-256 hashes in hexadecimal."""
    hashes = tuple(part.lower() for part in names(text))
    for value in hashes:
        if len(value) != SHA256_HEX_LENGTH or set(value) - set("0123456789abcdef"):
            raise ValueError("a key is given as the SHA-256 of it, 64 hexadecimal digits")
    return hashes


def service_kind(text: str) -> HostKind:
    """Read a service's kind."""
    kinds = {"model": HostKind.ENGINE, "plain": HostKind.PLAIN}
    if text not in kinds:
        raise ValueError(f"{text!r} is neither model nor plain")
    return kinds[text]


def policy_name(text: str) -> str:
    """Read an admission policy's name."""
    if text not in POLICIES:
        raise ValueError(f"{text!r} is not one of {', '.join(POLICIES)}")
    return text


def fraction(text: str) -> float:
    """Read a number from 0 to below 1."""
    value = float(text)
    if not 0 <= value < 1:
        raise ValueError(f"{text!r} is not from 0 to below 1")
    return value


def not_negative(text: str) -> float:
    """Read a number that is not below 0."""
    value = float(text)
    if not 0 <= value < float("inf"):
        raise ValueError(f"{text!r} is not a number from 0 up")
    return value


def team_state(text: str) -> bool:
    """Read a team's state; True when it is closed."""
    if text not in ("open", "closed"):
        raise ValueError(f"{text!r} is neither open nor closed")
    return text == "closed"


def affinity(text: str) -> float | None:
    """Read how much fuller an engine that holds a prefix may be; None when that counts nothing."""
    value = None if text == "off" else float(text)
    if value is not None and not 0 <= value <= 1:
        raise ValueError(f"{text!r} is neither off nor from 0 to 1")
    return value


def retry_limit(text: str) -> bool:
    """Read whether retries are limited."""
    if text not in ("limited", "unlimited"):
        raise ValueError(f"{text!r} is neither limited nor unlimited")
    return text == "limited"


def may_be_left_out(section: str, option: str, attribute: str, read) -> Option:
    """Describe an option with a default."""
    return Option(section, option, attribute, read, required=False)


@frozen
class Kind:
    """One kind of path: the class that holds it and the options it has."""

    cls: type
    section: str
    options: tuple[Option, ...]


KINDS = {
    "team": Kind(
        TeamSettings,
        "team",
        (
            Option("team", "state", "closed", team_state),
            may_be_left_out("team", "record_bytes", "record_bytes", positive(int)),
            may_be_left_out("team", "record_forget_after", "record_forget_after", positive(float)),
        ),
    ),
    "services": Kind(
        ServiceSettings,
        "service",
        (
            Option("service", "kind", "kind", service_kind),
            may_be_left_out("service", "non_repeatable", "non_repeatable", call_patterns),
            may_be_left_out("service", "max_output_tokens", "max_output_tokens", positive(int)),
            may_be_left_out("service", "wait_limit", "wait_limit", positive(float)),
            may_be_left_out("service", "resume_window", "resume_window", positive(float)),
            may_be_left_out("service", "call_timeout", "call_timeout", positive(float)),
            may_be_left_out("service", "retry_budget", "retry_budget", retry_limit),
            may_be_left_out("service", "retry_share", "retry_share", fraction),
            may_be_left_out("service", "spill_same_region", "spill_same_region", positive(float)),
            may_be_left_out("service", "spill_other_region", "spill_other_region", positive(float)),
            may_be_left_out("service", "record_retention", "record_retention", positive(float)),
        ),
    ),
    "accounts": Kind(
        AccountSettings,
        "account",
        (
            Option("account", "key_sha256", "key_sha256", key_hashes),
            may_be_left_out("account", "services", "services", names),
            may_be_left_out("account", "share", "share", positive(float)),
            may_be_left_out("account", "max_in_progress", "max_in_progress", positive(int)),
            may_be_left_out("account", "priority", "priority", int),
        ),
    ),
    "deployments": Kind(
        DeploymentSettings,
        "deployment",
        (
            Option("deployment", "service", "service", word),
            Option("deployment", "backends", "backends", names),
            may_be_left_out("deployment", "model", "model", word),
            may_be_left_out("deployment", "adapter", "adapter", word),
            may_be_left_out("deployment", "version", "version", word),
            may_be_left_out("deployment", "role", "role", word),
            may_be_left_out("deployment", "priority", "priority", int),
            may_be_left_out("deployment", "memory_tokens", "memory_tokens", positive(int)),
            may_be_left_out("deployment", "max_batch", "max_batch", positive(int)),
            may_be_left_out("deployment", "memory_margin", "memory_margin", fraction),
            may_be_left_out("deployment", "memory_spread", "memory_spread", not_negative),
            may_be_left_out("deployment", "affinity_bound", "affinity_bound", affinity),
            may_be_left_out("deployment", "decode_batch", "decode_batch", positive(int)),
            may_be_left_out("deployment", "policy", "policy", policy_name),
            may_be_left_out("deployment", "checks_fencing", "checks_fencing", yes_or_no),
            may_be_left_out("deployment", "leaving", "leaving", optional_names),
        ),
    ),
}


@frozen
class SettingsPath:
    """A path split into its parts; a team's own path has the kind ``team``."""

    team: str
    kind: str
    name: str = ""

    def __str__(self) -> str:
        tail = "" if self.kind == "team" else f"/{self.kind}/{self.name}"
        return f"{ROOT}{self.team}{tail}"


def parse_path(text: str) -> Result[SettingsPath, list[Fault]]:
    """Split a path such as ``/teams/sound/services/planner``."""
    match text.removeprefix(ROOT).split("/") if text.startswith(ROOT) else []:
        case [team] if NAME.fullmatch(team):
            return Success(SettingsPath(team, "team"))
        case [team, kind, name] if kind in KINDS and kind != "team":
            if NAME.fullmatch(team) and NAME.fullmatch(name):
                return Success(SettingsPath(team, kind, name))
    form = "/teams/TEAM or /teams/TEAM/{services,accounts,deployments}/NAME, in a-z 0-9 . -"
    return Failure([Fault(text, "", "", f"a path is {form}")])


def parse_setting(path: SettingsPath, text: str) -> Result[Setting, list[Fault]]:
    """Check the INI text of a path.

    Returns
    -------
    Result
        The checked value, or every fault in the text.
    """
    where = str(path)
    if len(text.encode()) > MAX_VALUE_BYTES:
        return Failure([Fault(where, "", "", f"longer than {MAX_VALUE_BYTES} bytes")])
    match parse_ini(where, text):
        case Failure(faults):
            return Failure(faults)
        case Success(ini):
            return _build(where, KINDS[path.kind], ini)
    raise AssertionError("a Result is either a success or a failure")


def _build(where: str, kind: Kind, ini: IniFile) -> Result[Setting, list[Fault]]:
    known = {(option.section, option.option) for option in kind.options}
    faults = unknown_options(where, ini, known)
    arguments: dict = {}
    for option in kind.options:
        match read_option(where, ini, option):
            case Success(found):
                arguments |= found
            case Failure(more):
                faults += more
    return Failure(faults) if faults else Success(kind.cls(**arguments))
