"""Consistency checks across the settings of several paths."""

from collections import defaultdict
from collections.abc import Iterator, Mapping

from returns.result import Success

from papayacourse.meshmessages import SettingsValue
from papayacourse.settings import AccountSettings, DeploymentSettings, Setting, SettingsPath
from papayacourse.settingsparser import parse_path, parse_setting
from papayacourse.types import Fault

PATTERN_CHARACTERS = set("*?[")


def valid_settings(values: Mapping[str, SettingsValue]) -> dict[SettingsPath, Setting]:
    """Return the settings whose path and text are valid."""
    found = {}
    for value in values.values():
        match parse_path(value.path):
            case Success(path) if value.text is not None:
                match parse_setting(path, value.text):
                    case Success(setting):
                        found[path] = setting
    return found


def new_faults(
    before: Mapping[str, SettingsValue], after: Mapping[str, SettingsValue], force: bool
) -> list[Fault]:
    """Return the faults that a change introduces, without those that existed before.

    Parameters
    ----------
    before, after : mapping of str to SettingsValue
        All settings by path, without and with the change.
    force : bool
        Whether to accept names of services that do not exist.
    """
    old, new = valid_settings(before), valid_settings(after)
    faults = list(shared_keys(new)) if force else [*missing_services(new), *shared_keys(new)]
    known = set() if not faults else {*missing_services(old), *shared_keys(old)}
    return [fault for fault in faults if fault not in known]


def missing_services(settings: Mapping[SettingsPath, Setting]) -> Iterator[Fault]:
    """Yield a fault for each reference to a service that the team does not have."""
    for path, setting in settings.items():
        match setting:
            case DeploymentSettings(service=service):
                section, option, wanted = "deployment", "service", (service,)
            case AccountSettings(services=services):
                section, option = "account", "services"
                wanted = tuple(name for name in services if not PATTERN_CHARACTERS & set(name))
            case _:
                continue
        for name in wanted:
            if SettingsPath(path.team, "services", name) not in settings:
                what = f"team {path.team} has no service {name!r}"
                yield Fault(str(path), section, option, what)


def shared_keys(settings: Mapping[SettingsPath, Setting]) -> Iterator[Fault]:
    """Yield a fault for each account that shares a key with another account of any team."""
    holders: dict[str, list[SettingsPath]] = defaultdict(list)
    for path, setting in settings.items():
        if isinstance(setting, AccountSettings):
            for digest in set(setting.key_sha256):
                holders[digest].append(path)
    for paths in holders.values():
        for path in paths[1:]:
            what = f"the same key as {paths[0]}"
            yield Fault(str(path), "account", "key_sha256", what)
