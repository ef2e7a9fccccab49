"""The ``settings`` commands: operators' reads and changes of settings."""

import getpass
import hashlib
import json as jsonlib
import secrets
import sys
import time
from collections.abc import Sequence
from pathlib import Path

from attrs import asdict, frozen

from papayacourse.editor import Change, Editor, checked_change, checked_path
from papayacourse.exceptions import NotInForce, SettingsError, UsageError
from papayacourse.history import Revision
from papayacourse.hostlist import HostList
from papayacourse.invocation import Invocation, address, switch, whole_number
from papayacourse.kvstore import KeyValueStore
from papayacourse.meshmessages import SettingsValue
from papayacourse.rollout import Rollout, RolloutWatch
from papayacourse.settings import ROOT, SettingsPath
from papayacourse.settingsfile import read_settings_file, replace_state
from papayacourse.types import Fault

KEY_BYTES = 32
WAIT_LIMIT = 60  # seconds


@frozen
class WriteOptions:
    """Options for writing and reporting a change."""

    revision: int | None
    force: bool
    wait: bool
    limit: int
    json: bool


class SettingsCommands:
    """Reads and changes operators' settings in the platform's key-value service.

    Parameters
    ----------
    platform : str
        ``host:port`` of the key-value service.
    author : str
        Who makes the change; the login name by default.
    hostlist : str
        ``host:port`` of the platform's host list, for ``--wait``.
    key : str
        The mesh key, for ``--wait``.
    """

    def __init__(self, platform: str = "", author: str = "", hostlist: str = "", key: str = ""):
        self._platform = platform
        self._author = str(author)
        self._hostlist = hostlist
        self._key = str(key)

    def get(self, path: str, json: bool = False) -> Invocation:
        """Show one path's text and revision."""

        async def work() -> None:
            value = await editor(self).get(str(path))
            show_values([value], switch(json, "--json"))

        return Invocation(work)

    def list(self, prefix: str = ROOT, json: bool = False) -> Invocation:
        """List the paths that have a value."""

        async def work() -> None:
            show_values(await editor(self).list(str(prefix)), switch(json, "--json"))

        return Invocation(work)

    def history(self, path: str, json: bool = False) -> Invocation:
        """Show a path's revisions that are still kept, the oldest first."""

        async def work() -> None:
            show_history(await editor(self).history(str(path)), switch(json, "--json"))

        return Invocation(work)

    def set(
        self,
        path: str,
        file: str = "-",
        revision: int | None = None,
        force: bool = False,
        wait: bool = False,
        limit: int = WAIT_LIMIT,
        json: bool = False,
    ) -> Invocation:
        """Write one path from an INI file, or from standard input."""

        async def work() -> None:
            write_options = check_write_options(revision, force, wait, limit, json)
            await write(self, [checked_change(str(path), read_text(str(file)))], write_options)

        return Invocation(work)

    def delete(
        self,
        *paths: str,
        revision: int | None = None,
        force: bool = False,
        wait: bool = False,
        limit: int = WAIT_LIMIT,
        json: bool = False,
    ) -> Invocation:
        """Delete paths together; one that ends in / stands for all paths under it."""

        async def work() -> None:
            write_options = check_write_options(revision, force, wait, limit, json)
            await write(self, await deletions(editor(self), paths), write_options)

        return Invocation(work)

    def apply(
        self,
        *files: str,
        revision: int | None = None,
        force: bool = False,
        wait: bool = False,
        limit: int = WAIT_LIMIT,
        json: bool = False,
    ) -> Invocation:
        """Write every path of settings files together, or none of them."""

        async def work() -> None:
            write_options = check_write_options(revision, force, wait, limit, json)
            changes = [change for file in files for change in read_settings_file(str(file))]
            await write(self, changes, write_options)

        return Invocation(work)

    def close_team(
        self, team: str, wait: bool = False, limit: int = WAIT_LIMIT, json: bool = False
    ) -> Invocation:
        """Let a team's requests finish and take no new ones."""
        return change_team_state(self, str(team), "closed", wait, limit, json)

    def open_team(
        self, team: str, wait: bool = False, limit: int = WAIT_LIMIT, json: bool = False
    ) -> Invocation:
        """Take a team's requests again."""
        return change_team_state(self, str(team), "open", wait, limit, json)

    def new_key(self, json: bool = False) -> Invocation:
        """Print a new account key and the hash that goes into the settings."""

        def work() -> None:
            account_key = secrets.token_urlsafe(KEY_BYTES)
            digest = hashlib.sha256(account_key.encode()).hexdigest()
            if switch(json, "--json"):
                print(jsonlib.dumps({"key": account_key, "key_sha256": digest}))
                return
            print(f"key        = {account_key}\nkey_sha256 = {digest}")

        return Invocation(work)


def editor(options: SettingsCommands) -> Editor:
    """Return an editor for the given options."""
    store = KeyValueStore(address(options._platform, "--platform"))
    return Editor(store, options._author or getpass.getuser())


def check_write_options(revision, force, wait, limit, json) -> WriteOptions:
    """Validate the options that all changes share."""
    return WriteOptions(
        whole_number(revision, "--revision"),
        switch(force, "--force"),
        switch(wait, "--wait"),
        whole_number(limit, "--limit") or 0,
        switch(json, "--json"),
    )


def change_team_state(
    options: SettingsCommands, team: str, state: str, wait: bool, limit: int, json: bool
) -> Invocation:
    """Return the command that opens or closes a team."""

    async def work() -> None:
        write_options = check_write_options(None, False, wait, limit, json)
        path = checked_path(f"{ROOT}{team}")
        known = await editor(options).get(str(path))
        if known.text is None:
            raise SettingsError([Fault(str(path), "", "", "there is no such team")])
        text = replace_state(str(path), known.text, state)
        change = Change(path, checked_change(str(path), text).text)
        await write(
            options,
            [change],
            WriteOptions(
                known.revision, False, write_options.wait, write_options.limit, write_options.json
            ),
        )

    return Invocation(work)


async def deletions(operator: Editor, paths: Sequence[str]) -> list[Change]:
    """Return the changes that delete paths; a trailing slash includes all paths below."""
    wanted: dict[str, SettingsPath] = {}
    faults = []
    existing = [value.path for value in await operator.list()]
    for path in map(str, paths):
        whole = path.endswith("/")
        found = [one for one in existing if one == path or (whole and one.startswith(path))]
        if whole:
            found += [one for one in existing if one == path.rstrip("/")]
            checked_path(path.rstrip("/"))
        else:
            checked_path(path)
        if not found:
            faults.append(Fault(path, "", "", "there is no such path"))
        wanted |= {one: checked_path(one) for one in found}
    if faults:
        raise SettingsError(faults)
    return [Change(path, None) for path in wanted.values()]


async def write(
    options: SettingsCommands, changes: Sequence[Change], write_options: WriteOptions
) -> None:
    """Write changes, wait for the rollout if requested, and report the result."""
    if not changes:
        raise UsageError("nothing is given to change")
    watch = rollout_watch(options) if write_options.wait else None
    revision = await editor(options).write(changes, write_options.revision, write_options.force)
    if not write_options.json:
        for change in changes:
            is_at = "is deleted at" if change.text is None else "is at"
            print(f"{change.path} {is_at} revision {revision}", flush=True)
    rollout = None
    if watch is not None:
        rollout = await watch.wait(
            {str(change.path): revision for change in changes}, write_options.limit
        )
    report(changes, revision, rollout, write_options)


def rollout_watch(options: SettingsCommands) -> RolloutWatch:
    """Return the watch that ``--wait`` needs; called before anything is written."""
    if not options._key:
        raise UsageError("--wait needs --hostlist HOST:PORT and --key MESHKEY")
    return RolloutWatch(HostList(address(options._hostlist, "--hostlist")), options._key)


def report(
    changes: Sequence[Change], revision: int, rollout: Rollout | None, write_options: WriteOptions
) -> None:
    """Report the written changes, and raise NotInForce if a daemon lags."""
    if write_options.json:
        body = {"revision": revision, "paths": [str(change.path) for change in changes]}
        print(jsonlib.dumps(body | ({"rollout": asdict(rollout)} if rollout else {})))
    if rollout is None:
        return
    if rollout.lagging:
        names = ", ".join(rollout.lagging)
        raise NotInForce(
            f"revision {revision} is not yet in force after {write_options.limit} s at: {names}"
        )
    if not write_options.json:
        print(f"in force at {len(rollout.in_force)} daemons after {rollout.seconds:.1f} s")


def read_text(file: str) -> str:
    """Read a file, or standard input."""
    return sys.stdin.read() if file == "-" else Path(file).read_text(encoding="utf-8")


def show_values(values: Sequence[SettingsValue], as_json: bool) -> None:
    """Print settings."""
    if as_json:
        print(jsonlib.dumps([asdict(value) for value in values], indent=2))
        return
    for value in values:
        by = f" by {value.author}" if value.author else ""
        body = "(no value)" if value.text is None else value.text.rstrip()
        print(f"## {value.path} at revision {value.revision}{by}\n{body}\n")


def show_history(revisions: Sequence[Revision], as_json: bool) -> None:
    """Print a path's revisions."""
    if as_json:
        print(jsonlib.dumps([asdict(one) for one in revisions], indent=2))
        return
    for one in revisions:
        at = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(one.at))
        body = "(deleted)" if one.text is None else one.text.rstrip()
        print(f"## revision {one.revision} by {one.author} at {at} UTC\n{body}\n")
