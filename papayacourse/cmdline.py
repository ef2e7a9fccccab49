"""The command line: parses, calls the library, reports."""

import asyncio
import getpass
import json
import sys
from pathlib import Path

import fire
from returns.result import Failure, Success

from papayacourse import control
from papayacourse.config import DaemonConfig, load_config
from papayacourse.editor import Editor, checked
from papayacourse.exceptions import PapayacourseError
from papayacourse.httpcall import HttpCall
from papayacourse.kvstore import Entry, KeyValueStore
from papayacourse.settings import ROOT
from papayacourse.settingsfile import read_settings_file
from papayacourse.types import Address
from papayacourse.version import __version__

EXIT_FAILED = 1
EXIT_BAD_INPUT = 2


def loaded(file: str) -> DaemonConfig:
    """Return a configuration, or report its faults and exit."""
    match load_config(str(file)):
        case Success(config):
            return config
        case Failure(faults):
            for fault in faults:
                print(f"papayacourse: {fault}", file=sys.stderr)
    raise SystemExit(EXIT_BAD_INPUT)


def run(work):
    """Run a coroutine; errors of ours become one line and an exit status."""
    try:
        return asyncio.run(work)
    except PapayacourseError as error:
        for line in str(error).splitlines():
            print(f"papayacourse: {line}", file=sys.stderr)
    raise SystemExit(EXIT_FAILED)


class SettingsCommands:
    """Reads and changes operators' settings in the platform's key-value service.

    Parameters
    ----------
    platform : str
        ``host:port`` of the key-value service.
    author : str
        Who makes the change; the login name by default.
    """

    def __init__(self, platform: str = "", author: str = ""):
        self._platform = platform
        self._author = author or getpass.getuser()

    def _editor(self) -> Editor:
        try:
            address = Address.parse(self._platform)
        except ValueError:
            print("papayacourse: --platform HOST:PORT is needed", file=sys.stderr)
            raise SystemExit(EXIT_BAD_INPUT) from None
        return Editor(KeyValueStore(address), self._author)

    def get(self, path: str, json: bool = False) -> None:
        """Show one path's text and revision."""
        show_entries([run(self._editor().get(path))], json)

    def list(self, prefix: str = ROOT, json: bool = False) -> None:
        """List the paths that have a value."""
        show_entries(run(self._editor().list(prefix)), json)

    def set(self, path: str, file: str = "-", revision: int | None = None) -> None:
        """Write one path from an INI file, or from standard input."""
        text = sys.stdin.read() if file == "-" else Path(file).read_text(encoding="utf-8")
        written = run(self._write(path, text, revision))
        print(f"{path} is at revision {written}")

    def delete(self, path: str, revision: int | None = None) -> None:
        """Delete one path."""
        written = run(self._write(path, None, revision))
        print(f"{path} is deleted at revision {written}")

    async def _write(self, path: str, text: str | None, revision: int | None) -> int:
        return await self._editor().write(checked(path, text), revision)

    def apply(self, *files: str) -> None:
        """Write every path of settings files; all are checked before the first is written."""
        run(self._apply(files))

    async def _apply(self, files: tuple[str, ...]) -> None:
        editor = self._editor()
        for change in [change for file in files for change in read_settings_file(file)]:
            print(f"{change.path} is at revision {await editor.write(change)}")


def show_entries(entries, as_json: bool) -> None:
    """Print settings entries."""
    if as_json:
        rows = [{"path": e.key, "revision": e.revision, "text": e.value} for e in entries]
        print(json.dumps(rows, indent=2))
        return
    for entry in entries:
        print(entry_text(entry))


def entry_text(entry: Entry) -> str:
    """Return one entry as text."""
    body = "(no value)" if entry.value is None else entry.value.rstrip()
    return f"## {entry.key} at revision {entry.revision}\n{body}\n"


class Commands:
    """papayacourse serves generations of unknown length on crowded engines."""

    def __init__(self):
        self.settings = SettingsCommands

    def serve(self, config: str) -> None:
        """Run a daemon with the configuration of an INI file."""
        raise SystemExit(control.serve(loaded(config)))

    def check(self, config: str) -> None:
        """Check a daemon's configuration file."""
        loaded(config)
        print(f"{config}: good")

    def status(self, daemon: str, key: str, json: bool = False) -> None:
        """Show what a daemon thinks: peers, schedulers, engines, settings.

        Parameters
        ----------
        daemon : str
            ``host:port`` where it serves callers.
        key : str
            The mesh key.
        """
        show_status(run(fetch_status(Address.parse(daemon), key)), json)

    def version(self) -> None:
        """Show the version."""
        print(__version__)


async def fetch_status(daemon: Address, key: str) -> dict:
    """Ask a daemon for its status."""
    headers = {"Authorization": f"Bearer {key}"}
    async with HttpCall(daemon, "GET", "/debug/status", headers) as call:
        body = await call.read()
    if call.status != 200:
        raise PapayacourseError(f"{daemon} answered status {call.status}")
    return json.loads(body)


def show_status(status: dict, as_json: bool) -> None:
    """Print a daemon's status."""
    if as_json:
        print(json.dumps(status, indent=2))
        return
    state = "ready" if status["ready"] else "not ready"
    print(f"{status['name']} in {status['domain']}: {state}, {status['in_progress']} in progress")
    settings = status["settings"]
    print(f"settings: {settings['paths']} paths, newest revision {settings['revision']}")
    for path in settings["rejected"]:
        print(f"  rejected: {path}")
    for peer in status["peers"]:
        words = ["alive" if peer["alive"] else "silent"] + ["leaving"] * peer["leaving"]
        print(f"peer {peer['name']} in {peer['domain']}: {', '.join(words)}")
    for duty in status["schedulers"]:
        print(f"schedules {duty['team']}/{duty['service']}: {duty['queued']} queued")
        for engine in duty["engines"]:
            use = f"{engine['tokens']} of {engine['memory_tokens']} tokens"
            print(f"  {engine['name']}: {engine['streams']} streams, {use}")


def main() -> None:
    """Run the program."""
    fire.Fire(Commands, name="papayacourse")
