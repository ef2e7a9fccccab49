"""The configuration of a daemon that serves routed requests, from its INI file."""

from pathlib import Path

from attrs import define, frozen
from returns.result import Failure, Result, Success

from papayacourse import logs
from papayacourse.config import (
    Option,
    address_list,
    load_options,
    log_level,
    nonempty,
    parse_options,
    positive,
    secret,
    yes_or_no,
)
from papayacourse.routed.budget import RetryBudgetLimits
from papayacourse.types import Address, Fault

STOP_RESERVE = 0.6  # seconds for final answers and the end of the process, before the kill
MIN_STOP_TIMEOUT = 0.5  # seconds


@frozen
class RoutedConfig:
    """The settings that the daemon needs before it connects to the platform.

    Attributes
    ----------
    name : str
        The entry host's name.
    domain, region : str
        The entry host's failure domain and region.
    regions : dict of str to str
        The region of each failure domain.
    http, readiness, mesh, metrics : Address
        The addresses to listen on for callers, the balancer's health checks, other daemons and
        metrics scrapers.
    store : Address
        The platform's store.
    seeds : tuple of Address
        Mesh addresses to try if the store is unavailable.
    grace : float
        The time from the signal to the kill, in seconds.
    stop_notice : float
        How long a stopping daemon accepts connections after it is not ready, in seconds.
    retry_ratio, retry_slack, retry_window : float
        The retry budget per service, shared by all daemons; see RetryBudgetLimits.
    body_room : int
        The memory for the bodies of all requests in progress, in bytes.
    place_by_pace : bool
        Whether generations are placed by the pace of engines.
    """

    name: str
    domain: str
    region: str
    regions: dict[str, str]
    http: Address
    readiness: Address
    mesh: Address
    metrics: Address
    store: Address
    mesh_key: str
    seeds: tuple[Address, ...] = ()
    log_level: str = "info"
    grace: float = 8.0
    stop_notice: float = 2.2
    retry_ratio: float = 0.1
    retry_slack: float = 10.0
    retry_window: float = 10.0
    body_room: int = 24 * 1024 * 1024
    place_by_pace: bool = False

    @property
    def stop_timeout(self) -> float:
        """Return how long requests in progress may run after the notice, in seconds."""
        return max(MIN_STOP_TIMEOUT, self.grace - self.stop_notice - STOP_RESERVE)

    @property
    def budget(self) -> RetryBudgetLimits:
        """Return the limits of the retry budget."""
        return RetryBudgetLimits(self.retry_ratio, self.retry_slack, self.retry_window)


def region_table(text: str) -> dict[str, str]:
    """Parse lines of the form ``domain = region``."""
    table = {}
    for line in filter(None, map(str.strip, text.splitlines())):
        domain, equals, region = (part.strip() for part in line.partition("="))
        if not (domain and equals and region):
            raise ValueError(f"{line!r} is not DOMAIN = REGION")
        table[domain] = region
    return table


OPTIONS = (
    Option("daemon", "name", "name", nonempty),
    Option("daemon", "domain", "domain", nonempty),
    Option("daemon", "region", "region", nonempty),
    Option("daemon", "regions", "regions", region_table),
    Option("listen", "http", "http", Address.parse),
    Option("listen", "readiness", "readiness", Address.parse),
    Option("listen", "mesh", "mesh", Address.parse),
    Option("listen", "metrics", "metrics", Address.parse),
    Option("platform", "store", "store", Address.parse),
    Option("mesh", "key", "mesh_key", secret),
    Option("mesh", "seeds", "seeds", address_list, required=False),
    Option("log", "level", "log_level", log_level, required=False),
    Option("limits", "grace", "grace", positive(float), required=False),
    Option("limits", "stop_notice", "stop_notice", positive(float), required=False),
    Option("limits", "body_room", "body_room", positive(int), required=False),
    Option("scheduling", "place_by_pace", "place_by_pace", yes_or_no, required=False),
    Option("retries", "ratio", "retry_ratio", positive(float), required=False),
    Option("retries", "slack", "retry_slack", positive(float), required=False),
    Option("retries", "window", "retry_window", positive(float), required=False),
)


def parse_routed(where: str, text: str) -> Result[RoutedConfig, list[Fault]]:
    """Parse the configuration; return it or all of its faults."""
    return parse_options(where, text, OPTIONS, RoutedConfig)


def load_routed(file: str) -> Result[RoutedConfig, list[Fault]]:
    """Read the configuration from a file."""
    return load_options(file, parse_routed)


@define
class ConfigFile:
    """A configuration file that may change at run time, with or without a signal.

    Attributes
    ----------
    text : str
        The content when it was last read.
    """

    path: str
    text: str = ""

    def changed(self) -> bool:
        """Return True if the file has changed since it was last read."""
        try:
            return Path(self.path).read_text(encoding="utf-8") != self.text
        except (OSError, UnicodeDecodeError):
            # The file is being replaced; the next check sees the new one.
            return False

    def read(self) -> RoutedConfig | None:
        """Load the file; return None and log the faults if it is invalid."""
        match load_options(self.path, self._parse):
            case Success(config):
                return config
            case Failure(faults):
                logs.error("configuration refused", faults=[str(fault) for fault in faults])
        return None

    def _parse(self, where: str, text: str) -> Result[RoutedConfig, list[Fault]]:
        self.text = text
        return parse_routed(where, text)
