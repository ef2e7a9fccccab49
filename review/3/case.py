"""Another writer leaves an entry that can't be read: daemons must still follow the store."""

import json
import time
from pathlib import Path

from review.harness import (
    CONFIGURATION_APPLY,
    CONNECTIVITY,
    DRAIN,
    Deployment,
    desired_state,
    has_trouble,
    main,
    route,
)

UNREADABLE = "[" * 5000  # bytes; far below ValueBytes
MARGIN = 1.0  # seconds beyond the bounds
REQUESTS = 9
RECOVERY = 12.0  # seconds
DAEMONS = {"d1": "accra-tema", "d2": "kumasi-suame", "d3": "tamale-central"}


def case(deployment: Deployment) -> str:
    """Move a route to another service, and drain a server, after the entry was written."""
    servers = {"e1": "accra-tema", "e2": "kumasi-suame", "e3": "tamale-central"}
    deployment.start_store()
    deployment.set_state(desired_state(7, route("payout", "unsafe", "ledger")))
    for name, zone in servers.items():
        deployment.start_engine(name, "ledger", zone)
        deployment.list_engine(name)
    for name, zone in (("n1", "accra-tema"), ("n2", "kumasi-suame")):
        deployment.start_engine(name, "newledger", zone)
        deployment.list_engine(name)
    deployment.start_daemons(DAEMONS)
    time.sleep(CONNECTIVITY)
    if has_trouble():
        deployment.write({"servers/i-stranger": UNREADABLE}, "another writer")
        deployment.record("disruption", entry="servers/i-stranger", value="not JSON")
    time.sleep(CONNECTIVITY)
    deployment.set_state(desired_state(11, route("payout", "unsafe", "newledger")))
    deployment.list_engine("e1", State="draining")
    acknowledged = time.monotonic()
    time.sleep(max(CONFIGURATION_APPLY, DRAIN) + MARGIN)
    names = list(DAEMONS)
    sent = {}
    for number in range(REQUESTS):
        daemon = names[number % 3]
        attempt, *_ = deployment.ask(daemon, "POST", "/payout/refunds", f"refund {number}")
        sent[attempt] = daemon
    broken = judge(deployment, sent, acknowledged)
    restart(deployment)
    return broken


def restart(deployment: Deployment) -> None:
    """Kill all daemons, and record which are ready a while later; this is not judged."""
    for name in DAEMONS:
        deployment.processes[name].kill()
        deployment.processes[name].wait()
    deployment.record("killed", daemons="all")
    for name, zone in DAEMONS.items():
        deployment.start_daemon(name, zone, list(DAEMONS))
    time.sleep(RECOVERY)
    ready = [name for name in DAEMONS if deployment.is_ready(name)]
    deployment.record("after the kill", seconds=RECOVERY, ready=ready or "none")


def judge(deployment: Deployment, sent: dict[str, str], acknowledged: float) -> str:
    """Return the broken rule: the old service has run what only the old version allows."""
    old = 0
    for server in ("e1", "e2", "e3", "n1", "n2"):
        for run in deployment.runs(server):
            old += run["attempt"] in sent and server.startswith("e")
            deployment.record(
                "ran", server=server, attempt=run["attempt"], sent_to=sent.get(run["attempt"]),
                after_the_ack=round(run["began"] - acknowledged, 3),
            )  # fmt: skip
    items = deployment.admin("store", {})["items"]
    version = json.loads(items["op/config"])["Version"]
    deployment.record(
        "run by the old service", requests=old, of=len(sent), version_in_store=version
    )
    return "CONFIG" if old else ""


if __name__ == "__main__":
    main(Path(__file__).with_name("record.txt"), case)
