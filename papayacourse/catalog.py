"""The settings in force at this daemon: for each path, the highest revision received."""

import hashlib
import hmac
import time
from collections import defaultdict
from collections.abc import Callable, Iterator
from fnmatch import fnmatchcase

import xxhash
from attrs import define, field, frozen
from returns.result import Failure, Result, Success

from papayacourse import invariants, logs
from papayacourse.meshmessages import SettingsValue, SettingsVersion
from papayacourse.settings import (
    AccountSettings,
    DeploymentSettings,
    ServiceSettings,
    Setting,
    SettingsPath,
    TeamSettings,
)
from papayacourse.settingsparser import parse_path, parse_setting
from papayacourse.types import Fault, HostKind

BUCKETS = 64
TOMBSTONE_RETENTION_SECONDS = 24 * 3600.0
PRUNE_INTERVAL_SECONDS = 60.0

PathReader = Callable[[str], Result[SettingsPath, list[Fault]]]
SettingReader = Callable[[SettingsPath, str], Result[Setting, list[Fault]]]


@frozen
class Client:
    """A client account with its team and name."""

    team: str
    name: str
    settings: AccountSettings


@define
class Catalog:
    """Holds every settings value and looks up those in force.

    Attributes
    ----------
    values : dict of str to SettingsValue
        The highest revision received for each path, including tombstones of recent deletions.
    in_force : dict
        The last valid value of each path that has one, by (team, kind) and name.
    revisions : dict of str to int
        The revision in force of each path.
    rejected : dict of str to SettingsValue
        Newer values that failed validation, by path.
    last_good : dict of str to SettingsValue
        The values in force for rejected paths, sent to peers that have neither value.
    digests : list of int
        For each bucket, a hash of its paths that have a value and of their revisions.
    informed : bool
        Whether the platform or a peer has sent its complete state at least once.
    complete_to : int
        Every change up to this revision has been received from the key-value service.
    forgotten_to : int
        A path missing from ``values`` has no value at or below this revision. This allows
        tombstones to be removed: a peer partitioned for longer than their retention cannot
        restore the deleted values.
    read_path, read_setting : callable
        Parse and validate the path and the text of a value.
    """

    clock: Callable[[], float] = time.monotonic
    values: dict[str, SettingsValue] = field(factory=dict)
    in_force: dict[tuple[str, str], dict[str, Setting]] = field(factory=lambda: defaultdict(dict))
    revisions: dict[str, int] = field(factory=dict)
    rejected: dict[str, SettingsValue] = field(factory=dict)
    last_good: dict[str, SettingsValue] = field(factory=dict)
    keys: dict[str, dict[str, Client]] = field(factory=lambda: defaultdict(dict))
    digests: list[int] = field(factory=lambda: [0] * BUCKETS)
    deleted_at: dict[str, float] = field(factory=dict)
    informed: bool = False
    complete_to: int = 0
    forgotten_to: int = 0
    next_prune_at: float = 0.0
    read_path: PathReader = parse_path
    read_setting: SettingReader = parse_setting

    # Commands.

    def apply(self, value: SettingsValue, from_platform: bool = False) -> bool:
        """Apply a value if it is newer than the known one; return True if it was applied."""
        known = self.values.get(value.path)
        if known is not None and value.revision <= known.revision:
            return False
        if known is None and not from_platform and value.revision <= self.forgotten_to:
            return False
        # XOR updates the digest in constant time, whatever the number of paths.
        self.digests[bucket(value.path)] ^= fingerprint(value) ^ fingerprint(known)
        if known is not None and known.path not in self.rejected:
            self.last_good[known.path] = known
        self.values[value.path] = value
        self.deleted_at.pop(value.path, None)
        if value.text is None:
            self.deleted_at[value.path] = self.clock()
        self._check(value)
        if value.path not in self.rejected:
            self.last_good.pop(value.path, None)
        return True

    def apply_full_listing(self, paths: set[str], revision: int) -> None:
        """Mark known paths as deleted if a full listing at a revision does not contain them."""
        for value in list(self.values.values()):
            gone = value.path not in paths and value.text is not None
            if gone and value.revision <= revision:
                self.apply(SettingsValue(value.path, revision, None), from_platform=True)
        self.informed = True

    def record_complete_to(self, revision: int) -> None:
        """Record that every change up to a revision is known, and remove expired tombstones."""
        self.complete_to = max(self.complete_to, revision)
        if self.clock() < self.next_prune_at:
            return
        self.next_prune_at = self.clock() + PRUNE_INTERVAL_SECONDS
        before = self.clock() - TOMBSTONE_RETENTION_SECONDS
        for path in [path for path, at in self.deleted_at.items() if at < before]:
            if self.values[path].revision <= self.complete_to:
                self.forgotten_to = max(self.forgotten_to, self.values[path].revision)
                del self.values[path], self.deleted_at[path]
                self.revisions.pop(path, None)

    def restore(self, value: SettingsValue) -> bool:
        """Put an earlier value in force for a path that has only a rejected value.

        Return True if the earlier value is valid and now in force.
        """
        if value.path not in self.rejected or value.path in self.revisions:
            return False
        path = self.read_path(value.path)
        match path, path.bind(lambda known: self.read_setting(known, value.text or "")):
            case Success(path), Success(setting):
                self._put_in_force(path, value.revision, setting)
                self.last_good[value.path] = value
                return True
        return False

    def _check(self, value: SettingsValue) -> None:
        self.rejected.pop(value.path, None)
        match self.read_path(value.path):
            case Success(path):
                pass
            case Failure(faults):
                self._reject(value, faults)
                return
        if value.text is None:
            self._put_in_force(path, value.revision, None)
            return
        match self.read_setting(path, value.text):
            case Success(setting):
                self._put_in_force(path, value.revision, setting)
            case Failure(faults):
                # The last valid value of this path stays in force; other paths are unaffected.
                self._reject(value, faults)

    def _put_in_force(self, path: SettingsPath, revision: int, setting: Setting | None) -> None:
        known = self.revisions.get(str(path), 0)
        if not invariants.check(
            revision > known, "settings_never_revert", path=str(path), known=known, new=revision
        ):
            return
        named = self.in_force[path.team, path.kind]
        self._index_keys(path, named.get(path.name), setting)
        if setting is None:
            named.pop(path.name, None)
        else:
            named[path.name] = setting
        self.revisions[str(path)] = revision
        logs.info("settings in force", path=str(path), revision=revision)

    def _reject(self, value: SettingsValue, faults: list) -> None:
        self.rejected[value.path] = value
        logs.error("settings rejected", path=value.path, faults=[str(fault) for fault in faults])

    def _index_keys(self, path: SettingsPath, old: Setting | None, new: Setting | None) -> None:
        if isinstance(old, AccountSettings):
            for digest in old.key_sha256:
                self.keys[digest].pop(str(path), None)
                if not self.keys[digest]:
                    del self.keys[digest]
        if isinstance(new, AccountSettings):
            for digest in new.key_sha256:
                self.keys[digest][str(path)] = Client(path.team, path.name, new)

    # Queries for synchronization with other daemons.

    @property
    def digest(self) -> int:
        """Return a hash of all paths that have a value and of their revisions."""
        return xxhash.xxh3_64_intdigest(",".join(map(str, self.digests)).encode())

    def differing_buckets(self, digests: tuple[int, ...]) -> tuple[int, ...]:
        """Return the numbers of the buckets whose digests differ from a peer's."""
        return tuple(i for i, mine in enumerate(self.digests) if digests[i : i + 1] != (mine,))

    def versions(self, number: int) -> tuple[SettingsVersion, ...]:
        """Return every path of a bucket with its revision."""
        return tuple(
            SettingsVersion(value.path, value.revision)
            for value in self.values.values()
            if bucket(value.path) == number
        )

    def missing_values(
        self, number: int, versions: tuple[SettingsVersion, ...]
    ) -> Iterator[SettingsValue]:
        """Yield the values of a bucket that are newer than a peer's versions."""
        theirs = {version.path: version.revision for version in versions}
        for value in self.values.values():
            if bucket(value.path) != number or value.revision <= theirs.get(value.path, 0):
                continue
            good = self.last_good.get(value.path)
            if good is not None and good.revision > theirs.get(value.path, 0):
                yield good
            yield value
        for path, revision in theirs.items():
            if path not in self.values and revision < self.forgotten_to:
                yield SettingsValue(path, self.forgotten_to, None)

    # Queries about what is in force.

    def client(self, key: str) -> Client | None:
        """Return the client account that an API key belongs to, or None."""
        digest = hashlib.sha256(key.encode()).hexdigest()
        holders = self.keys.get(digest)
        if not holders:
            return None
        # Two accounts share a key only if the settings were written without validation. Every
        # daemon must then choose the same account.
        found = holders[min(holders)]
        # The lookup is by hash, so its timing reveals nothing about the key.
        matches = [hmac.compare_digest(digest, known) for known in found.settings.key_sha256]
        return found if any(matches) else None

    def team_closed(self, team: str) -> bool:
        """Return True if a team accepts no new requests."""
        return self.team(team).closed

    def team(self, team: str) -> TeamSettings:
        """Return a team's own settings, or the defaults if it has none."""
        return self._named(team, "team").get("") or TeamSettings()

    def service(self, team: str, name: str) -> ServiceSettings | None:
        """Return a service's settings, or None."""
        return self._named(team, "services").get(name)

    def services(self, team: str) -> Iterator[tuple[str, ServiceSettings]]:
        """Yield a team's services by name."""
        yield from self._named(team, "services").items()

    def model_services(self) -> Iterator[tuple[str, str]]:
        """Yield every model service as (team, service)."""
        for (team, kind), named in self.in_force.items():
            if kind == "services":
                yield from ((team, n) for n, s in named.items() if s.kind == HostKind.ENGINE)

    def deployments(self, team: str, service: str) -> Iterator[DeploymentSettings]:
        """Yield the deployments of a service, ordered by name."""
        for _, setting in sorted(self._named(team, "deployments").items()):
            if setting.service == service:
                yield setting

    def all_deployments(self) -> Iterator[tuple[str, str, DeploymentSettings]]:
        """Yield every deployment with its team and name, ordered by both."""
        for team, kind in sorted(self.in_force):
            if kind == "deployments":
                for name, setting in sorted(self.in_force[team, kind].items()):
                    yield team, name, setting

    def account(self, team: str, name: str) -> AccountSettings | None:
        """Return an account's settings, or None."""
        return self._named(team, "accounts").get(name)

    def revision_in_force(self, path: str) -> int:
        """Return the revision of a path that is in force, or 0 if it never had a value."""
        missing = 0 if path in self.values else self.forgotten_to
        return self.revisions.get(path, missing)

    def _named(self, team: str, kind: str) -> dict[str, Setting]:
        return self.in_force.get((team, kind), {})

    def account_names(self, team: str) -> set[str]:
        """Return the names of a team's accounts."""
        return set(self._named(team, "accounts"))


def may_use(client: Client, service: str) -> bool:
    """Return True if an account may use a service."""
    return any(fnmatchcase(service, pattern) for pattern in client.settings.services)


def parse_value(value: SettingsValue) -> Result[Setting, list[Fault]]:
    """Parse and validate the path and the text of a value."""
    return parse_path(value.path).bind(lambda path: parse_setting(path, value.text or ""))


def faults_of(value: SettingsValue) -> list[Fault]:
    """Return the validation faults of a value."""
    match parse_value(value):
        case Failure(faults):
            return faults
    return []


def bucket(path: str) -> int:
    """Return the number of the bucket that a path belongs to."""
    return xxhash.xxh3_64_intdigest(path.encode()) % BUCKETS


def fingerprint(value: SettingsValue | None) -> int:
    """Return a hash of a path and its revision, or 0 if the path has no value."""
    if value is None or value.text is None:
        return 0
    return xxhash.xxh3_64_intdigest(f"{value.path} {value.revision}".encode())
