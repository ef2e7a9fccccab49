"""Measures how long a change of settings takes to be in force at the last daemon."""

import asyncio
import hashlib
import json
import statistics
import time
from pathlib import Path

from papayacourse.catalog import BUCKETS, Catalog
from papayacourse.editor import Editor, checked_change
from papayacourse.exceptions import BackendError
from papayacourse.kvstore import KeyValueStore
from papayacourse.meshmessages import SettingsDigest, SettingsSummary, SettingsValue
from papayacourse.rollout import ask_daemon
from papayacourse.types import Address
from papayacourse.wire import Frame, encode
from standins.fleet import MESH_KEY, Fleet, wait_until

ROOT = Path(__file__).parents[1]
EXAMPLES = ("examples/sound-trust.ini", "examples/bottle-returns.ini")
PATH = "/teams/sound-trust/services/planner"
DAEMONS_PER_DOMAIN = 4
CHANGES = 20
ACCOUNTS = 2200
LIMIT = 60.0  # seconds
POLL_INTERVAL = 0.02  # seconds
PAUSE = 1.3  # seconds between changes, so that they do not fall in step with the watches


async def in_force_after(fleet: Fleet, names: list[str], number: int) -> float:
    """Write a change and return the seconds until the last daemon has it in force."""
    editor = Editor(KeyValueStore(Address.parse(fleet.processes["kv"].http)), "bench")
    change = checked_change(PATH, f"[service]\nkind = model\nwait_limit = {10 + number}\n")
    started = time.monotonic()
    revision = await editor.write([change])

    async def follow(name: str) -> None:
        address = Address.parse(fleet.processes[name].http)
        while time.monotonic() - started < LIMIT:
            try:
                body = await ask_daemon(address, MESH_KEY, f"/debug/settings?path={PATH}")
                if body["paths"][PATH]["revision"] >= revision:
                    return
            except BackendError:
                pass
            await asyncio.sleep(POLL_INTERVAL)
        raise TimeoutError(f"{name} does not have revision {revision}")

    await asyncio.gather(*map(follow, names))
    return time.monotonic() - started


def measure(fleet: Fleet, names: list[str], first: int) -> dict:
    """Return the figures of a series of changes, in seconds."""
    seconds = []
    for number in range(CHANGES):
        seconds.append(asyncio.run(in_force_after(fleet, names, first + number)))
        time.sleep(PAUSE)
    return {
        "changes": CHANGES,
        "median_s": round(statistics.median(seconds), 3),
        "worst_s": round(max(seconds), 3),
    }


def measure_size() -> dict:
    """Return what settings of the target size cost one daemon, without a network."""
    catalog = Catalog()
    started = time.process_time()
    for number in range(ACCOUNTS):
        digest = hashlib.sha256(str(number).encode()).hexdigest()
        text = f"[account]\nkey_sha256 = {digest}\nservices = planner, hiredesk\nshare = 2\n"
        path = f"/teams/sound-trust/accounts/account-{number:04d}"
        catalog.apply(SettingsValue(path, number + 1, text, "bench"))
    seconds = time.process_time() - started
    every = tuple(version for number in range(BUCKETS) for version in catalog.versions(number))
    return {
        "apply_all_cpu_s": round(seconds, 3),
        "frame_of_all_versions_bytes": size(SettingsDigest(0, every)),
        "frame_of_bucket_digests_bytes": size(SettingsSummary(tuple(catalog.digests))),
        "frame_of_one_bucket_bytes": size(SettingsDigest(0, catalog.versions(0))),
    }


def size(message) -> int:
    """Return the bytes of a message's frame."""
    return len(encode(Frame(1, False, message)))


def start(fleet: Fleet) -> list[str]:
    """Start two domains; the second reaches the platform through proxies."""
    fleet.platform()
    fleet.apply(*(str(ROOT / file) for file in EXAMPLES))
    proxies = {
        kind: fleet.proxy(f"{kind}-proxy", fleet.processes[kind].http).ready["address"]
        for kind in ("kv", "hosts")
    }
    names = []
    for number in range(DAEMONS_PER_DOMAIN):
        fleet.daemon(f"near-{number}", "lagos-1", "lagos")
        fleet.daemon(f"far-{number}", "lagos-2", "lagos", **proxies)
        names += [f"near-{number}", f"far-{number}"]
    for name in names:
        wait_until(f"{name} has the settings", lambda n=name: fleet.status(n)["settings"]["paths"])
        wait_until(f"{name} sees its domain", lambda n=name: sees_domain(fleet, n))
    return names


def sees_domain(fleet: Fleet, name: str) -> bool:
    """Tell whether a daemon hears all others of its domain."""
    status = fleet.status(name)
    alive = [p for p in status["peers"] if p["alive"] and p["domain"] == status["domain"]]
    return len(alive) == DAEMONS_PER_DOMAIN - 1


def main() -> None:
    """Measure with the platform reachable, then with one domain cut off, and print JSON."""
    with Fleet() as fleet:
        names = start(fleet)
        figures = {"daemons": len(names), "platform_reachable": measure(fleet, names, 0)}
        for kind in ("kv", "hosts"):
            fleet.admin(f"{kind}-proxy", {"mode": "cut"})
        figures["one_domain_cut_off"] = measure(fleet, names, CHANGES)
    print(json.dumps(figures | {"at_2200_accounts": measure_size()}, indent=2))


if __name__ == "__main__":
    main()
