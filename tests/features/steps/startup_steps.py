"""Steps about what a daemon loads and compiles at its start."""

import asyncio
import subprocess
import sys
import tempfile
from pathlib import Path
from types import SimpleNamespace

from behave import then, when
from routed_steps import fleet_of

from papayacourse import classcode
from papayacourse.cells import Cell
from papayacourse.duties import Duties
from standins.fleet import wait_until
from tests.routedfleet import ROOT
from tests.steptext import names_in

START = f"import sys; sys.path[:1] = {[str(ROOT / 'platform'), str(ROOT)]!r}\n"
IMPORTS = "import userplatform.adapter, papayacourse.routed.daemon\n"
COUNT_COMPILED = """
from pathlib import Path
from papayacourse import classcode
with classcode.kept_in(Path(sys.argv[1])) as codes:
    known = len(codes)
    import userplatform.adapter, papayacourse.routed.daemon
print(len(codes) - known)
"""
FEWEST_CLASSES = 100  # of a daemon


def run_python(program: str, *arguments: str) -> str:
    """Return what a program prints."""
    command = [sys.executable, "-c", START + program, *arguments]
    return subprocess.run(command, check=True, capture_output=True, text=True).stdout


def has_loaded(context, daemon: str, library: str) -> bool:
    """Return True if a daemon's process has mapped files of a library."""
    process = fleet_of(context).fleet.processes[daemon].popen
    return f"/{library}/" in Path(f"/proc/{process.pid}/maps").read_text()


@then('the process of "{daemon}" has not loaded "{library}" when it is ready')
def has_not_loaded_library(context, daemon, library):
    assert not has_loaded(context, daemon, library)


@then('the process of "{daemon}" loads "{library}"')
def loads_library(context, daemon, library):
    wait_until(f"{daemon} loads {library}", lambda: has_loaded(context, daemon, library))


@when('a daemon owns cells at seconds "{first}" and "{later}" of {seconds:d}')
def own_for_a_while(context, first, later, seconds):
    owned = {int(second) for second in names_in(f"{first}, {later}")}
    now = SimpleNamespace(second=0)
    membership = SimpleNamespace(
        me=SimpleNamespace(domain="lagos"), owns=lambda _: now.second in owned
    )
    cells = SimpleNamespace(
        cells=lambda _: [Cell("team", "planner", 0)], has=lambda _domain, _cell: True
    )
    duties = Duties(membership, cells, make=None, clock=lambda: now.second)
    context.prepared = []
    for now.second in range(seconds):
        asyncio.run(duties.prepare_forecasts())
        if duties.has_forecasts:
            context.prepared.append(now.second)


@then("it has prepared forecasts at second {second:d} only")
def prepared_at(context, second):
    assert context.prepared == [second], context.prepared


@then('importing the daemon loads none of "{names}"')
def loads_none(context, names):
    loaded = run_python(IMPORTS + "print(*sys.modules)").split()
    assert not set(names_in(names)) & set(loaded)


@when("the build compiles the daemon's classes into a folder")
def compile_classes(context):
    context.folder = tempfile.TemporaryDirectory()
    context.add_cleanup(context.folder.cleanup)
    script = ROOT / "deploy" / "compileclasses.py"
    subprocess.run([sys.executable, str(script), context.folder.name], check=True)
    context.class_file = Path(context.folder.name) / classcode.FILE_NAME


@when("the file there is {state}")
def spoil_file(context, state):
    data = context.class_file.read_bytes()
    match state:
        case "missing":
            context.class_file.unlink()
        case "of another Python":
            context.class_file.write_bytes(b"other" + data[5:])
        case "cut short":
            context.class_file.write_bytes(data[: len(data) // 2])


@then("a start with that folder compiles no class")
def compiles_none(context):
    compiled = int(run_python(COUNT_COMPILED, str(context.class_file)))
    assert compiled == 0, compiled


@then("a start with that folder compiles all classes")
def compiles_all(context):
    compiled = int(run_python(COUNT_COMPILED, str(context.class_file)))
    assert compiled >= FEWEST_CLASSES, compiled
