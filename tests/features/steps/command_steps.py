"""Steps that call the program's command line."""

import contextlib
import hashlib
import io
import json
import re
import shlex
import subprocess

from behave import given, then, when

from papayacourse import invocation
from papayacourse.cmdline import Commands
from papayacourse.config import OPTIONS
from papayacourse.editor import Editor, checked_change
from papayacourse.exceptions import PlatformAnswerLost, PlatformUnavailable
from papayacourse.kvstore import KeyValueStore
from papayacourse.routed.config import OPTIONS as ROUTED
from papayacourse.settingscommands import SettingsCommands
from papayacourse.settingsoptions import KINDS
from papayacourse.statuscommands import DebugCommands
from papayacourse.types import Address
from standins.fleet import MESH_KEY
from tests.operators import PLANNER, entries, service_text

FAULTY = """[daemon]
name = x
domain = d
[listen]
http = nowhere
mesh = 127.0.0.1:0
[platform]
kvstore = 127.0.0.1:1
hostlist = 127.0.0.1:1
[mesh]
key = short
[limits]
body_timout = 3
"""
FAULTS = ("[daemon] region", "[listen] http", "[mesh] key", "[limits] body_timout")


@when('the program is called with "{arguments}"')
def call_program(context, arguments):
    context.done = context.fleet.command(*shlex.split(arguments))


@given("a configuration file with four faults")
def faulty_file(context):
    context.file = context.fleet.path / "faulty.ini"
    context.file.write_text(FAULTY)


@when("the program is called to check it and to serve it")
def check_and_serve(context):
    context.outcomes = [
        context.fleet.command(command, f"--config={context.file}") for command in ("check", "serve")
    ]


@then("both name file, section and option of each fault and exit 2")
def faults_named(context):
    for done in context.outcomes:
        lines = done.stderr.splitlines()
        assert done.returncode == 2 and done.stdout == "", done
        assert len(lines) == len(FAULTS), lines
        for fault in FAULTS:
            (line,) = [line for line in lines if fault in line]
            assert line.startswith(f"papayacourse: {context.file}: {fault}: "), line


@then("the hash shown is that of the key shown")
def hash_of_key(context):
    shown = json.loads(context.done.stdout)
    assert hashlib.sha256(shown["key"].encode()).hexdigest() == shown["key_sha256"]
    assert len(shown["key"]) >= 32, shown


@then('"{commands}" of daemon "{name}" work as text and as JSON')
def shown_both_ways(context, commands, name):
    daemon = (f"--daemon={context.fleet.processes[name].http}", f"--key={MESH_KEY}")
    for command in commands.split(","):
        text = context.fleet.command(*command.split(), *daemon)
        assert text.returncode == 0 and "Traceback" not in text.stderr, text
        as_json = context.fleet.command(*command.split(), *daemon, "--json")
        assert as_json.returncode == 0 and isinstance(json.loads(as_json.stdout), dict), as_json
        if command.split()[-1] in ("status", "settings", "peers"):
            assert "lagos-1" in text.stdout or "/teams/sound-trust" in text.stdout, text


@then("docs/SETTINGS.md names every option of the daemon's file and of every settings path")
def options_named(context):
    text = (context.root / "docs" / "SETTINGS.md").read_text()
    options = [*OPTIONS, *ROUTED, *(option for kind in KINDS.values() for option in kind.options)]
    named = set(re.findall(r"^\| `\[(\w+)\] (\w+)` \|", text, re.MULTILINE))
    wanted = {(option.section, option.option) for option in options}
    assert named == wanted, named ^ wanted


@then("docs/COMMANDS.md names every command and every exit status")
def commands_named(context):
    text = (context.root / "docs" / "COMMANDS.md").read_text()
    groups = {"": Commands(), "settings ": SettingsCommands(), "debug ": DebugCommands()}
    names = [prefix + name for prefix, group in groups.items() for name in dir(group)]
    commands = [name.replace("_", "-") for name in names if not name.split()[-1].startswith("_")]
    missing = [name for name in commands if f"`papayacourse {name}" not in text]
    assert len(commands) > 15 and not missing, missing
    statuses = [value for name, value in vars(invocation).items() if name.startswith("EXIT_")]
    assert statuses and all(f"| {value} |" in text for value in statuses), statuses


class VanishingStore(KeyValueStore):
    """A platform that goes out of service between a write and its answer."""

    gone = False

    async def list(self, prefix):
        """Read, unless it has gone."""
        if self.gone:
            raise PlatformUnavailable("key-value service: out of service")
        return await super().list(prefix)

    async def swap(self, key, value, expected, lease=None):
        """Write, and go."""
        await super().swap(key, value, expected, lease)
        self.gone = True
        raise PlatformAnswerLost("key-value service: no answer")


@when('operator "{author}" changes the planner while the key-value service is out')
def change_in_outage(context, author):
    context.before = entries(context.fleet)
    context.fleet.admin("kv", {"outage": True})
    context.done = context.fleet.settings("set", PLANNER, text=service_text(80))
    context.fleet.admin("kv", {"outage": False})


@when('operator "{author}" changes the planner and the platform goes with the answer')
def change_and_vanish(context, author):
    store = VanishingStore(Address.parse(context.fleet.processes["kv"].http))
    change = checked_change(PLANNER, service_text(81))
    errors = io.StringIO()
    with contextlib.redirect_stderr(errors):
        work = invocation.Invocation(lambda: Editor(store, author).write([change]))
        status = invocation.run(work)
    context.done = subprocess.CompletedProcess("set", status, "", errors.getvalue())


@then("the change was written all the same")
def written_all_the_same(context):
    assert entries(context.fleet)[PLANNER]["text"] == service_text(81)
