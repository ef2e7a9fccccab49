"""Reads a daemon's configuration from its INI file into a validated object."""

import configparser
from collections.abc import Callable
from pathlib import Path

from attrs import Factory, frozen
from returns.result import Failure, Result, Success

from papayacourse.logs import LogLevel
from papayacourse.types import Address, Fault

MIN_MESH_KEY_LENGTH = 16  # characters
MAX_NUMBER = 2**53  # beyond which a float is no longer exact
SHOWN = 40  # characters of a value in a fault


@frozen
class DaemonConfig:
    """The configuration that a daemon needs before it contacts the platform.

    Attributes
    ----------
    name : str
        The entry host's name, as the platform's host list has it.
    domain, region : str
        The failure domain and region of the daemon.
    http, mesh : Address
        The addresses to listen on for callers and for other daemons.
    kvstore, hostlist : Address
        The addresses of the platform's key-value service and host list.
    weight_rate : float
        Fetches per second that the platform's weight store allows for the whole fleet.
    mesh_key : str
        The shared secret that daemons authenticate with.
    seeds : tuple of Address
        Mesh addresses to try when the platform is unreachable.
    max_body_bytes, max_header_bytes : int
        The largest request body and header accepted, in bytes.
    body_timeout : float
        The longest a caller may take to send its request, in seconds.
    stop_timeout : float
        The longest a graceful stop waits for requests in progress, in seconds.
    stop_notice : float
        How long a stopping daemon still accepts connections after it reports not ready, so that
        the load balancer can notice, in seconds.
    advertise_mesh : Address or None
        The address where other daemons reach the mesh listener, if not the one it is bound to.
    fatal_invariants : bool
        True if a violated invariant ends the process; for tests.
    """

    name: str
    domain: str
    region: str
    http: Address
    mesh: Address
    kvstore: Address
    hostlist: Address
    mesh_key: str
    weight_rate: float = 1.0
    seeds: tuple[Address, ...] = ()
    log_level: str = "info"
    max_body_bytes: int = 4 * 1024 * 1024
    max_header_bytes: int = 32 * 1024
    body_timeout: float = 20.0
    stop_timeout: float = 3600.0
    stop_notice: float = 2.0
    advertise_mesh: Address | None = None
    fatal_invariants: bool = False


def address_list(text: str) -> tuple[Address, ...]:
    """Parse addresses separated by commas or spaces."""
    return tuple(Address.parse(part) for part in text.replace(",", " ").split())


def log_level(text: str) -> str:
    """Validate the name of a log level."""
    if text.upper() not in LogLevel.__members__:
        raise ValueError(f"{text!r} is not one of error, warning, info, debug")
    return text.lower()


def secret(text: str) -> str:
    """Validate the length of a shared secret."""
    if len(text) < MIN_MESH_KEY_LENGTH:
        raise ValueError(f"needs at least {MIN_MESH_KEY_LENGTH} characters")
    return text


def nonempty(text: str) -> str:
    """Validate that a text is not empty, and strip it."""
    if not text.strip():
        raise ValueError("must not be empty")
    return text.strip()


def yes_or_no(text: str) -> bool:
    """Parse yes or no."""
    if text.lower() not in ("yes", "no"):
        raise ValueError(f"{text!r} is neither yes nor no")
    return text.lower() == "yes"


def positive(kind: Callable) -> Callable:
    """Return a parser of numbers above zero and at most `MAX_NUMBER`."""

    def read(text: str):
        value = kind(text)
        if not 0 < value <= MAX_NUMBER:
            raise ValueError(f"{text[:SHOWN]!r} must be a number above zero, at most {MAX_NUMBER}")
        return value

    return read


def whole_number(text: str) -> int:
    """Parse a whole number of at most `MAX_NUMBER`, above or below zero."""
    value = int(text)
    if abs(value) > MAX_NUMBER:
        raise ValueError(f"{text[:SHOWN]!r} must be at most {MAX_NUMBER}")
    return value


@frozen
class Option:
    """One option of an INI file: its location, its parser, and whether it is required."""

    section: str
    option: str
    attribute: str
    read: Callable
    required: bool = True


OPTIONS = (
    Option("daemon", "name", "name", nonempty),
    Option("daemon", "domain", "domain", nonempty),
    Option("daemon", "region", "region", nonempty),
    Option("listen", "http", "http", Address.parse),
    Option("listen", "mesh", "mesh", Address.parse),
    Option("listen", "advertise_mesh", "advertise_mesh", Address.parse, required=False),
    Option("platform", "kvstore", "kvstore", Address.parse),
    Option("platform", "hostlist", "hostlist", Address.parse),
    Option("platform", "weight_rate", "weight_rate", positive(float), required=False),
    Option("mesh", "key", "mesh_key", secret),
    Option("mesh", "seeds", "seeds", address_list, required=False),
    Option("log", "level", "log_level", log_level, required=False),
    Option("limits", "max_body_bytes", "max_body_bytes", positive(int), required=False),
    Option("limits", "max_header_bytes", "max_header_bytes", positive(int), required=False),
    Option("limits", "body_timeout", "body_timeout", positive(float), required=False),
    Option("limits", "stop_timeout", "stop_timeout", positive(float), required=False),
    Option("limits", "stop_notice", "stop_notice", positive(float), required=False),
    Option("invariants", "fatal", "fatal_invariants", yes_or_no, required=False),
)


@frozen
class IniFile:
    """The sections of one INI text."""

    sections: dict[str, dict[str, str]] = Factory(dict)


def parse_ini(where: str, text: str) -> Result[IniFile, list[Fault]]:
    """Parse an INI text into sections; a syntax error is reported with its line."""
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(text, source=where)
    except configparser.Error as error:
        return Failure([Fault(where, "", "", " ".join(str(error).split()))])
    return Success(IniFile({name: dict(parser[name]) for name in parser.sections()}))


def unknown_options(where: str, ini: IniFile, known: set[tuple[str, str]]) -> list[Fault]:
    """List the unknown sections and options, so that a misspelt one is reported."""
    sections = {section for section, _ in known}
    empty = [
        Fault(where, section, "", "unknown section")
        for section, options in ini.sections.items()
        if section not in sections and not options
    ]
    return empty + [
        Fault(where, section, option, "unknown option")
        for section, options in ini.sections.items()
        for option in options
        if (section, option) not in known
    ]


def read_option(where: str, ini: IniFile, spec: Option) -> Result[dict, list[Fault]]:
    """Parse one option into a keyword argument; an absent optional one gives none."""
    text = ini.sections.get(spec.section, {}).get(spec.option)
    if text is None:
        missing = [Fault(where, spec.section, spec.option, "missing")]
        return Failure(missing) if spec.required else Success({})
    try:
        return Success({spec.attribute: spec.read(text)})
    except ValueError as error:
        return Failure([Fault(where, spec.section, spec.option, str(error))])


def parse_options(
    where: str, text: str, options: tuple[Option, ...], cls: type
) -> Result[object, list[Fault]]:
    """Parse an INI text into an object of a class, or return every fault in it."""
    match parse_ini(where, text):
        case Failure(faults):
            return Failure(faults)
        case Success(ini):
            pass
    arguments: dict = {}
    faults = unknown_options(where, ini, {(spec.section, spec.option) for spec in options})
    for spec in options:
        match read_option(where, ini, spec):
            case Success(found):
                arguments |= found
            case Failure(more):
                faults += more
    return Failure(faults) if faults else Success(cls(**arguments))


def load_options(file: str, parse: Callable[[str, str], Result]) -> Result[object, list[Fault]]:
    """Read a file and parse its text with the given function."""
    try:
        text = Path(file).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        return Failure([Fault(file, "", "", f"cannot be read: {error}")])
    return parse(file, text)


def parse_config(where: str, text: str) -> Result[DaemonConfig, list[Fault]]:
    """Parse a daemon's configuration.

    Parameters
    ----------
    where : str
        The file's name, for fault messages.
    text : str
        Its INI text.

    Returns
    -------
    Result
        The configuration, or every fault in it.
    """
    return parse_options(where, text, OPTIONS, DaemonConfig)


def load_config(file: str) -> Result[DaemonConfig, list[Fault]]:
    """Read a daemon's configuration from a file."""
    return load_options(file, parse_config)
