"""The settings in force at this daemon: per path the highest revision it has seen."""

import hashlib
import hmac
from collections.abc import Iterator
from fnmatch import fnmatchcase

import xxhash
from attrs import define, field, frozen
from returns.result import Failure, Success

from papayacourse import logs
from papayacourse.messages import SettingsValue, SettingsVersion
from papayacourse.settings import (
    AccountSettings,
    DeploymentSettings,
    ServiceSettings,
    Setting,
    SettingsPath,
    TeamSettings,
    parse_path,
    parse_setting,
)
from papayacourse.types import HostKind


@frozen
class Client:
    """An account together with the names it is known by."""

    team: str
    name: str
    settings: AccountSettings


@define
class Catalog:
    """Holds every settings value and answers questions about those in force.

    Attributes
    ----------
    values : dict of str to SettingsValue
        The highest revision seen of each path, deletions included.
    in_force : dict of SettingsPath to Setting
        The last good value of each path that has one.
    rejected : dict of str to SettingsValue
        Newer values that failed their check, by path.
    digest : int
        A hash over all paths and revisions known, to compare with a peer's.
    """

    values: dict[str, SettingsValue] = field(factory=dict)
    in_force: dict[SettingsPath, Setting] = field(factory=dict)
    rejected: dict[str, SettingsValue] = field(factory=dict)
    keys: dict[str, Client] = field(factory=dict)
    digest: int = 0

    def apply(self, value: SettingsValue) -> bool:
        """Take a value if it is newer than the one known; True when it was."""
        known = self.values.get(value.path)
        if known is not None and value.revision <= known.revision:
            return False
        # Kept by exclusive or, so that a change costs the same however many paths there are.
        self.digest ^= fingerprint(value) ^ (fingerprint(known) if known else 0)
        self.values[value.path] = value
        self._put_in_force(value)
        return True

    def _put_in_force(self, value: SettingsValue) -> None:
        match parse_path(value.path):
            case Success(path):
                pass
            case Failure(faults):
                self._reject(value, faults)
                return
        self.rejected.pop(value.path, None)
        if value.text is None:
            self.in_force.pop(path, None)
        else:
            match parse_setting(path, value.text):
                case Success(setting):
                    self.in_force[path] = setting
                case Failure(faults):
                    # The last good value stays in force, for this path alone.
                    self._reject(value, faults)
        if path.kind == "accounts":
            self._index_keys()
        logs.info("settings in force", path=value.path, revision=value.revision)

    def _reject(self, value: SettingsValue, faults: list) -> None:
        self.rejected[value.path] = value
        logs.error("settings rejected", path=value.path, faults=[str(fault) for fault in faults])

    def _index_keys(self) -> None:
        self.keys = {
            digest: Client(path.team, path.name, setting)
            for path, setting in self.in_force.items()
            if isinstance(setting, AccountSettings)
            for digest in setting.key_sha256
        }

    def versions(self) -> tuple[SettingsVersion, ...]:
        """Return every path with its revision."""
        return tuple(SettingsVersion(value.path, value.revision) for value in self.values.values())

    def newer_than(self, versions: tuple[SettingsVersion, ...]) -> tuple[SettingsValue, ...]:
        """Return the values that a peer with these versions lacks."""
        theirs = {version.path: version.revision for version in versions}
        return tuple(v for v in self.values.values() if v.revision > theirs.get(v.path, 0))

    def client(self, key: str) -> Client | None:
        """Return the account that a key belongs to."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        found = self.keys.get(digest)
        if found is None:
            return None
        # The look-up is by hash, so its time tells nothing about the key itself.
        matches = [hmac.compare_digest(digest, known) for known in found.settings.key_sha256]
        return found if any(matches) else None

    def team_closed(self, team: str) -> bool:
        """Tell whether a team takes no new requests."""
        setting = self.in_force.get(SettingsPath(team, "team"))
        return isinstance(setting, TeamSettings) and setting.closed

    def service(self, team: str, name: str) -> ServiceSettings | None:
        """Return a service's settings."""
        return self.in_force.get(SettingsPath(team, "services", name))

    def services(self, team: str) -> Iterator[tuple[str, ServiceSettings]]:
        """Yield a team's services by name."""
        for path, setting in self.in_force.items():
            if path.team == team and isinstance(setting, ServiceSettings):
                yield path.name, setting

    def model_services(self) -> Iterator[tuple[str, str]]:
        """Yield every model service as (team, service)."""
        for path, setting in self.in_force.items():
            if isinstance(setting, ServiceSettings) and setting.kind == HostKind.ENGINE:
                yield path.team, path.name

    def deployments(self, team: str, service: str) -> Iterator[DeploymentSettings]:
        """Yield the deployments of a service, in the order of their names."""
        found = [
            (path.name, setting)
            for path, setting in self.in_force.items()
            if isinstance(setting, DeploymentSettings)
            and path.team == team
            and setting.service == service
        ]
        yield from (setting for _, setting in sorted(found, key=lambda pair: pair[0]))

    def all_deployments(self) -> Iterator[tuple[str, str, DeploymentSettings]]:
        """Yield every deployment with its team and name, in a fixed order."""
        for path in sorted(self.in_force, key=str):
            setting = self.in_force[path]
            if isinstance(setting, DeploymentSettings):
                yield path.team, path.name, setting

    def account(self, team: str, name: str) -> AccountSettings | None:
        """Return an account's settings."""
        return self.in_force.get(SettingsPath(team, "accounts", name))

    def account_names(self, team: str) -> set[str]:
        """Return the names of a team's accounts."""
        return {p.name for p in self.in_force if p.team == team and p.kind == "accounts"}


def may_use(client: Client, service: str) -> bool:
    """Tell whether an account may use a service."""
    return any(fnmatchcase(service, pattern) for pattern in client.settings.services)


def fingerprint(value: SettingsValue) -> int:
    """Return a hash of a path at a revision."""
    return xxhash.xxh3_64_intdigest(f"{value.path} {value.revision}".encode())
