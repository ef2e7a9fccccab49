"""Reads a settings file, an INI file with one section for each path."""

import configparser
from pathlib import Path

from papayacourse.editor import Change, checked_change, checked_path
from papayacourse.exceptions import SettingsError
from papayacourse.settingsoptions import KINDS
from papayacourse.types import Fault


def read_settings_file(file: str) -> list[Change]:
    """Read and validate a settings file.

    Raises
    ------
    SettingsError
        If the file is invalid; lists every fault.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(Path(file).read_text(encoding="utf-8"), source=file)
    except (configparser.Error, OSError, UnicodeDecodeError) as error:
        raise SettingsError([Fault(file, "", "", " ".join(str(error).split()))]) from error
    changes, faults = [], []
    if parser.defaults():
        faults.append(Fault(file, parser.default_section, "", "a section is a path"))
    for section in parser.sections():
        try:
            changes.append(checked_change(section, section_text(section, dict(parser[section]))))
        except SettingsError as error:
            faults += error.faults
    if faults:
        raise SettingsError(faults)
    return changes


def section_text(path: str, options: dict[str, str]) -> str:
    """Return the INI text that a path holds for the options of its section."""
    lines = [f"[{KINDS[checked_path(path).kind].section}]"]
    lines += [f"{name} = {value}".replace("\n", "\n    ") for name, value in options.items()]
    return "\n".join(lines) + "\n"


def replace_state(path: str, text: str, state: str) -> str:
    """Return a team's INI text with the state replaced and the other options unchanged."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read_string(text)
    return section_text(path, dict(parser["team"]) | {"state": state})
