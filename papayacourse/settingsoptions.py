"""The options of each kind of settings path, and their parsers for INI text."""

from attrs import frozen

from papayacourse.config import (
    MAX_NUMBER,
    Option,
    nonempty,
    positive,
    whole_number,
    yes_or_no,
)
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
    """Parse a comma-separated list of names or patterns."""
    parts = tuple(part.strip() for part in text.split(",") if part.strip())
    if not parts:
        raise ValueError("needs at least one name")
    return parts


def optional_names(text: str) -> tuple[str, ...]:
    """Parse a comma-separated list of names or patterns, which may be empty."""
    return tuple(part.strip() for part in text.split(",") if part.strip())


def call_patterns(text: str) -> tuple[CallPattern, ...]:
    """Parse call patterns, separated by newlines or commas."""
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
    """Parse SHA-256 hashes in hexadecimal."""
    hashes = tuple(part.lower() for part in names(text))
    for value in hashes:
        if len(value) != SHA256_HEX_LENGTH or set(value) - set("0123456789abcdef"):
            raise ValueError("a key is given as the SHA-256 of it, 64 hexadecimal digits")
    return hashes


def service_kind(text: str) -> HostKind:
    """Parse a service's kind."""
    kinds = {"model": HostKind.ENGINE, "plain": HostKind.PLAIN}
    if text not in kinds:
        raise ValueError(f"{text!r} is neither model nor plain")
    return kinds[text]


def policy_name(text: str) -> str:
    """Parse an admission policy's name."""
    if text not in POLICIES:
        raise ValueError(f"{text!r} is not one of {', '.join(POLICIES)}")
    return text


def engine_choice(text: str) -> str:
    """Parse the rule by which an engine is chosen."""
    if text not in ENGINE_CHOICES:
        raise ValueError(f"{text!r} is not one of {', '.join(ENGINE_CHOICES)}")
    return text


def fraction(text: str) -> float:
    """Parse a number from 0 (inclusive) to 1 (exclusive)."""
    value = float(text)
    if not 0 <= value < 1:
        raise ValueError(f"{text!r} is not from 0 to below 1")
    return value


def not_negative(text: str) -> float:
    """Parse a number from 0 to `MAX_NUMBER`."""
    value = float(text)
    if not 0 <= value <= MAX_NUMBER:
        raise ValueError(f"{text!r} is not a number from 0 to {MAX_NUMBER}")
    return value


def team_state(text: str) -> bool:
    """Parse a team's state; return True if it is closed."""
    if text not in ("open", "closed"):
        raise ValueError(f"{text!r} is neither open nor closed")
    return text == "closed"


def affinity(text: str) -> float | None:
    """Parse an affinity bound from 0 to 1; return None for ``off``."""
    value = None if text == "off" else float(text)
    if value is not None and not 0 <= value <= 1:
        raise ValueError(f"{text!r} is neither off nor from 0 to 1")
    return value


def retry_limit(text: str) -> bool:
    """Parse a retry limit; return True if retries are limited."""
    if text not in ("limited", "unlimited"):
        raise ValueError(f"{text!r} is neither limited nor unlimited")
    return text == "limited"


def optional(section: str, option: str, attribute: str, read) -> Option:
    """Return an option that has a default."""
    return Option(section, option, attribute, read, required=False)


@frozen
class Kind:
    """One kind of path: the class of its settings and its options."""

    cls: type
    section: str
    options: tuple[Option, ...]


KINDS = {
    "team": Kind(
        TeamSettings,
        "team",
        (
            Option("team", "state", "closed", team_state),
            optional("team", "record_bytes", "record_bytes", positive(int)),
            optional("team", "record_forget_after", "record_forget_after", positive(float)),
        ),
    ),
    "services": Kind(
        ServiceSettings,
        "service",
        (
            Option("service", "kind", "kind", service_kind),
            optional("service", "non_repeatable", "non_repeatable", call_patterns),
            optional("service", "max_output_tokens", "max_output_tokens", positive(int)),
            optional("service", "wait_limit", "wait_limit", positive(float)),
            optional("service", "resume_window", "resume_window", positive(float)),
            optional("service", "call_timeout", "call_timeout", positive(float)),
            optional("service", "retry_budget", "retry_budget", retry_limit),
            optional("service", "retry_share", "retry_share", fraction),
            optional("service", "spill_same_region", "spill_same_region", positive(float)),
            optional("service", "spill_other_region", "spill_other_region", positive(float)),
            optional("service", "record_retention", "record_retention", positive(float)),
            optional("service", "cell_engines", "cell_engines", positive(int)),
        ),
    ),
    "accounts": Kind(
        AccountSettings,
        "account",
        (
            Option("account", "key_sha256", "key_sha256", key_hashes),
            optional("account", "services", "services", names),
            optional("account", "share", "share", positive(float)),
            optional("account", "max_in_progress", "max_in_progress", positive(int)),
            optional("account", "priority", "priority", whole_number),
        ),
    ),
    "deployments": Kind(
        DeploymentSettings,
        "deployment",
        (
            Option("deployment", "service", "service", nonempty),
            Option("deployment", "backends", "backends", names),
            optional("deployment", "model", "model", nonempty),
            optional("deployment", "adapter", "adapter", nonempty),
            optional("deployment", "version", "version", nonempty),
            optional("deployment", "role", "role", nonempty),
            optional("deployment", "priority", "priority", whole_number),
            optional("deployment", "memory_tokens", "memory_tokens", positive(int)),
            optional("deployment", "max_batch", "max_batch", positive(int)),
            optional("deployment", "memory_margin", "memory_margin", fraction),
            optional("deployment", "memory_spread", "memory_spread", not_negative),
            optional("deployment", "affinity_bound", "affinity_bound", affinity),
            optional("deployment", "decode_batch", "decode_batch", positive(int)),
            optional("deployment", "prompt_wait", "prompt_wait", not_negative),
            optional("deployment", "length_templates", "length_templates", yes_or_no),
            optional("deployment", "engine_choice", "engine_choice", engine_choice),
            optional("deployment", "policy", "policy", policy_name),
            optional("deployment", "checks_fencing", "checks_fencing", yes_or_no),
            optional("deployment", "leaving", "leaving", optional_names),
        ),
    ),
}
