"""Parses and validates settings paths and their INI text."""

import re

from returns.result import Failure, Result, Success

from papayacourse.config import parse_options
from papayacourse.settings import ROOT, Setting, SettingsPath
from papayacourse.settingsoptions import KINDS
from papayacourse.types import Fault

NAME = re.compile(r"[a-z0-9][a-z0-9.-]{0,62}")
MAX_VALUE_BYTES = 64 * 1024


def parse_path(text: str) -> Result[SettingsPath, list[Fault]]:
    """Parse a path such as ``/teams/sound/services/planner``."""
    match text.removeprefix(ROOT).split("/") if text.startswith(ROOT) else []:
        case [team] if NAME.fullmatch(team):
            return Success(SettingsPath(team, "team"))
        case [team, kind, name] if kind in KINDS and kind != "team":
            if NAME.fullmatch(team) and NAME.fullmatch(name):
                return Success(SettingsPath(team, kind, name))
    form = "/teams/TEAM or /teams/TEAM/{services,accounts,deployments}/NAME, in a-z 0-9 . -"
    return Failure([Fault(text, "", "", f"a path is {form}")])


def parse_setting(path: SettingsPath, text: str) -> Result[Setting, list[Fault]]:
    """Parse and validate the INI text of a path.

    Returns
    -------
    Result
        The settings, or every fault in the text.
    """
    where = str(path)
    if len(text.encode()) > MAX_VALUE_BYTES:
        return Failure([Fault(where, "", "", f"longer than {MAX_VALUE_BYTES} bytes")])
    kind = KINDS[path.kind]
    return parse_options(where, text, kind.options, kind.cls)
