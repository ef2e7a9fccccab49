"""The commands that show the state of a daemon."""

import json as jsonlib
from collections.abc import Callable, Iterator

from papayacourse.invocation import Invocation, address, switch
from papayacourse.rollout import ask_daemon

STATUS = "/debug/status"
SETTINGS = "/debug/settings"


def show(daemon, key, json, path: str, text: Callable[[dict], Iterator[str]]) -> Invocation:
    """Return the command that fetches a debug page of a daemon and prints it."""

    async def work() -> None:
        as_json = switch(json, "--json")
        body = await ask_daemon(address(daemon, "--daemon"), str(key), path)
        if as_json:
            print(jsonlib.dumps(body, indent=2))
            return
        for line in text(body):
            print(line)

    return Invocation(work)


class DebugCommands:
    """Shows one part of what a daemon thinks.

    Parameters
    ----------
    daemon : str
        ``host:port`` where it serves callers.
    key : str
        The mesh key.
    """

    def __init__(self, daemon: str = "", key: str = ""):
        self._daemon = daemon
        self._key = key

    def settings(self, json: bool = False) -> Invocation:
        """Show the revision in force of each path, and what was rejected and why."""
        return show(self._daemon, self._key, json, SETTINGS, settings_lines)

    def peers(self, json: bool = False) -> Invocation:
        """Show the other daemons and whether they live."""
        return show(self._daemon, self._key, json, STATUS, peer_lines)

    def schedulers(self, json: bool = False) -> Invocation:
        """Show the services that the daemon schedules."""
        return show(self._daemon, self._key, json, STATUS, scheduler_lines)

    def engines(self, json: bool = False) -> Invocation:
        """Show the engines of the services that the daemon schedules."""
        return show(self._daemon, self._key, json, STATUS, engine_lines)


def status_lines(status: dict) -> Iterator[str]:
    """Yield a daemon's status as text."""
    state = "ready" if status["ready"] else "not ready"
    yield f"{status['name']} in {status['domain']}: {state}, {status['in_progress']} in progress"
    settings = status["settings"]
    yield f"settings: {settings['paths']} paths, newest revision {settings['revision']}"
    for path in settings["rejected"]:
        yield f"  rejected: {path}"
    yield from peer_lines(status)
    yield from scheduler_lines(status)


def settings_lines(body: dict) -> Iterator[str]:
    """Yield the paths as text."""
    for path, state in body["paths"].items():
        deleted = " (deleted)" if state["deleted"] else ""
        yield f"{path}: revision {state['revision']} in force{deleted}"
        for fault in state["rejected"]:
            yield f"  revision {state['newest']} rejected: {fault}"


def peer_lines(status: dict) -> Iterator[str]:
    """Yield the peers as text."""
    for peer in status["peers"]:
        words = ["alive" if peer["alive"] else "silent"] + ["leaving"] * peer["leaving"]
        yield f"peer {peer['name']} in {peer['domain']}: {', '.join(words)}"


def scheduler_lines(status: dict) -> Iterator[str]:
    """Yield the schedulers and their engines as text."""
    for duty in status["schedulers"]:
        name = f"{duty['team']}/{duty['service']} cell {duty['cell']}"
        yield f"schedules {name}: {duty['queued']} queued"
        yield from (f"  {line}" for line in engine_lines({"schedulers": [duty]}))


def engine_lines(status: dict) -> Iterator[str]:
    """Yield the engines as text."""
    for duty in status["schedulers"]:
        for engine in duty["engines"]:
            use = f"{engine['tokens']} of {engine['memory_tokens']} tokens"
            usable = "" if engine["usable"] else ", not usable"
            yield f"{engine['name']}: {engine['streams']} streams, {use}{usable}"
