"""The options of each kind of settings path, and how each is read from INI text."""

from attrs import frozen

from papayacourse.config import Option, nonempty, positive, yes_or_no
from papayacourse.settings import (
    AccountSettings,
    CallPattern,
    DeploymentSettings,
    ServiceSettings,
    TeamSettings,
)
from papayacourse.types import HostKind

SHA256_HEX_LENGTH = 64
POLICIES = ("predicted", "round-robin", "least-outstanding", "reserve-maximum", "mean-length")
ENGINE_CHOICES = ("least-delay", "emptiest")


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


def engine_choice(text: str) -> str:
    """Read how an engine is chosen."""
    if text not in ENGINE_CHOICES:
        raise ValueError(f"{text!r} is not one of {', '.join(ENGINE_CHOICES)}")
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
            may_be_left_out("service", "cell_engines", "cell_engines", positive(int)),
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
            Option("deployment", "service", "service", nonempty),
            Option("deployment", "backends", "backends", names),
            may_be_left_out("deployment", "model", "model", nonempty),
            may_be_left_out("deployment", "adapter", "adapter", nonempty),
            may_be_left_out("deployment", "version", "version", nonempty),
            may_be_left_out("deployment", "role", "role", nonempty),
            may_be_left_out("deployment", "priority", "priority", int),
            may_be_left_out("deployment", "memory_tokens", "memory_tokens", positive(int)),
            may_be_left_out("deployment", "max_batch", "max_batch", positive(int)),
            may_be_left_out("deployment", "memory_margin", "memory_margin", fraction),
            may_be_left_out("deployment", "memory_spread", "memory_spread", not_negative),
            may_be_left_out("deployment", "affinity_bound", "affinity_bound", affinity),
            may_be_left_out("deployment", "decode_batch", "decode_batch", positive(int)),
            may_be_left_out("deployment", "prompt_wait", "prompt_wait", not_negative),
            may_be_left_out("deployment", "length_templates", "length_templates", yes_or_no),
            may_be_left_out("deployment", "engine_choice", "engine_choice", engine_choice),
            may_be_left_out("deployment", "policy", "policy", policy_name),
            may_be_left_out("deployment", "checks_fencing", "checks_fencing", yes_or_no),
            may_be_left_out("deployment", "leaving", "leaving", optional_names),
        ),
    ),
}
