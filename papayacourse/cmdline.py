"""The command line: parses, calls the library, reports."""

import sys
from collections.abc import Callable

import fire
from fire.decorators import SetParseFns
from returns.result import Failure, Result, Success

from papayacourse import control
from papayacourse.config import load_config
from papayacourse.exceptions import ConfigError
from papayacourse.explain import explain_request
from papayacourse.invocation import EXIT_BAD_INPUT, EXIT_FAILED, Invocation, run, switch
from papayacourse.routed.config import load_routed
from papayacourse.settingscommands import SettingsCommands
from papayacourse.statuscommands import STATUS, DebugCommands, show, status_lines
from papayacourse.version import __version__


def load_or_raise(file: str, load: Callable[[str], Result] = load_config):
    """Return a configuration; raise ConfigError if it has faults."""
    match load(file):
        case Success(config):
            return config
        case Failure(faults):
            raise ConfigError(faults)
    raise AssertionError("a Result is either a success or a failure")


class Commands:
    """papayacourse serves generations of unknown length on crowded engines."""

    def __init__(self):
        self.settings = SettingsCommands
        self.debug = DebugCommands

    def serve(self, config: str) -> Invocation:
        """Run a daemon with the configuration of an INI file."""
        return Invocation(lambda: control.serve(load_or_raise(str(config))))

    def check(self, config: str, routed: bool = False) -> Invocation:
        """Check a daemon's configuration file.

        Parameters
        ----------
        config : str
            The file.
        routed : bool
            Whether it is that of a daemon that serves routed requests.
        """

        def work() -> None:
            load_or_raise(str(config), load_routed if switch(routed, "--routed") else load_config)
            print(f"{config}: good")

        return Invocation(work)

    def status(self, daemon: str, key: str, json: bool = False) -> Invocation:
        """Show what a daemon thinks: peers, schedulers, engines, settings.

        Parameters
        ----------
        daemon : str
            ``host:port`` where it serves callers.
        key : str
            The mesh key.
        """
        return show(daemon, key, json, STATUS, status_lines)

    @SetParseFns(request=str)
    def explain(self, request: str) -> Invocation:
        """Tell what became of a request, from logs on standard input.

        Parameters
        ----------
        request : str
            The id that the caller has.
        """

        def work() -> int:
            lines = explain_request(str(request), sys.stdin)
            print("\n".join(lines) if lines else f"the logs do not name {request}")
            return 0 if lines else EXIT_FAILED

        return Invocation(work)

    def version(self) -> Invocation:
        """Show the version."""
        return Invocation(lambda: print(__version__))


def display(lines, out) -> None:
    """Print help without a pager, which would start another process."""
    out.write("\n".join(lines) + "\n")


def main() -> None:
    """Run the program."""
    fire.core.Display = display
    arguments = sys.argv[1:]
    for word in arguments[:2]:
        # Fire would offer every attribute as a command.
        if word.startswith("_"):
            print(f"papayacourse: there is no command {word!r}", file=sys.stderr)
            raise SystemExit(EXIT_BAD_INPUT)
    found = fire.Fire(
        Commands,
        command=arguments,
        name="papayacourse",
        serialize=lambda result: None if isinstance(result, Invocation) else result,
    )
    if isinstance(found, Invocation):
        raise SystemExit(run(found))
