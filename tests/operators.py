"""An operator as the tests need one: runs settings commands and reads what daemons have."""

import json
from concurrent.futures import ThreadPoolExecutor

from papayacourse.kvstore import KeyValueStore
from papayacourse.types import Address
from standins.fleet import MESH_KEY, Fleet, call

PLANNER = "/teams/sound-trust/services/planner"
HIREDESK = "/teams/sound-trust/services/hiredesk"
LEDGER = "/teams/bottle-returns/services/deposit-ledger"


def service_text(wait_limit: int, kind: str = "model") -> str:
    """Return a service's settings."""
    return f"[service]\nkind = {kind}\nwait_limit = {wait_limit}\n"


def set_text(fleet: Fleet, path: str, text: str) -> int:
    """Set a path's text and return the revision that it got."""
    done = fleet.settings("set", path, text=text)
    assert done.returncode == 0, done.stderr
    return int(done.stdout.rsplit(" ", 1)[1])


def takes_duties(fleet: Fleet, asked: str, name: str) -> bool:
    """Tell whether one daemon thinks that another may be given duties."""
    rows = fleet.status(asked)["peers"]
    return any(row["name"] == name and row["alive"] and not row["leaving"] for row in rows)


def store(fleet: Fleet) -> KeyValueStore:
    """Return the fleet's key-value service, for what goes past the commands."""
    return KeyValueStore(Address.parse(fleet.processes["kv"].http))


def entries(fleet: Fleet, prefix: str = "/teams/") -> dict[str, dict]:
    """Return the settings that the command line lists, by path."""
    done = fleet.settings("list", prefix, "--json")
    assert done.returncode == 0, done.stderr
    return {entry["path"]: entry for entry in json.loads(done.stdout)}


def history(fleet: Fleet, path: str) -> list[dict]:
    """Return a path's history."""
    done = fleet.settings("history", path, "--json")
    assert done.returncode == 0, done.stderr
    return json.loads(done.stdout)


def paths_at(fleet: Fleet, daemon: str) -> dict[str, dict]:
    """Return what a daemon says of each settings path."""
    headers = {"Authorization": f"Bearer {MESH_KEY}"}
    answer = call(fleet.processes[daemon].http, "GET", "/debug/settings", headers=headers)
    return answer.json["paths"]


def at_once(work, items) -> list:
    """Run one thing for each item, all at the same time."""
    items = list(items)
    with ThreadPoolExecutor(len(items)) as pool:
        return list(pool.map(work, items))
