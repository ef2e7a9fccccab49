"""The store comes back from a copy, later all daemons are restarted: they must still drain."""

import time
from pathlib import Path

from review.harness import CONNECTIVITY, DRAIN, Deployment, desired_state, has_trouble, main, route

STORM = 25  # versions; the pages' storms bring one each 0.08 s for 2 s
STORM_GAP = 0.08  # seconds
COPY_AGE = 3.0  # seconds; "some seconds old"
AWAY = 1.0  # seconds; "a moment"
MARGIN = 1.0  # seconds beyond the bounds
FIRST = {"e1": "accra-tema", "e2": "kumasi-suame", "e3": "tamale-central"}
OLD = (*FIRST, "e4")
NEW = {"n1": "accra-tema", "n2": "kumasi-suame", "n3": "tamale-central"}
DAEMONS = {"d1": "accra-tema", "d2": "kumasi-suame", "d3": "tamale-central"}
REQUESTS = 9


def case(deployment: Deployment) -> str:
    """Drill, restart the daemons in turn, replace the servers, and ask after the bound."""
    refunds = route("payout", "unsafe", "ledger")
    deployment.start_store()
    deployment.set_state(desired_state(7, refunds))
    for name, zone in FIRST.items():
        deployment.start_engine(name, "ledger", zone)
        deployment.list_engine(name)
    deployment.start_daemons(DAEMONS)
    time.sleep(CONNECTIVITY)
    copied_at = time.monotonic()
    deployment.admin("store", {"copy": True})
    version = 8
    for version in range(8, 8 + STORM):
        deployment.set_state(desired_state(version, refunds))
        time.sleep(STORM_GAP)
    # A server is added as well, so that the list of servers is of the latest revisions.
    deployment.start_engine("e4", "ledger", "accra-tema")
    deployment.list_engine("e4")
    time.sleep(max(0.0, copied_at + COPY_AGE - time.monotonic()))
    if has_trouble():
        drill(deployment, version, refunds)
    time.sleep(2 * CONNECTIVITY)
    for daemon, zone in DAEMONS.items():
        deployment.stop(daemon)
        deployment.start_daemon(daemon, zone, list(DAEMONS))
        deployment.wait_ready(daemon)
        time.sleep(1.0)
    time.sleep(CONNECTIVITY + MARGIN)
    acknowledged = replace_servers(deployment)
    time.sleep(DRAIN + MARGIN)
    served = ask_all(deployment)
    broken = judge(deployment, acknowledged)
    for name in OLD:
        deployment.stop(name)
        deployment.write({f"servers/i-{name}": None}, "engine")
    time.sleep(CONNECTIVITY)
    deployment.record("served", while_old_servers_left=served, after=ask_all(deployment))
    return broken


def drill(deployment: Deployment, version: int, refunds: dict) -> None:
    """Let the store come back from the copy; the operator and the server write again."""
    before = deployment.admin("store", {})["revision"]
    deployment.record("disruption", away=AWAY, copy_age=COPY_AGE, revision=before)
    after = deployment.admin("store", {"drill": AWAY})
    deployment.record("store back", revision=after["revision"], era=after["era"])
    deployment.set_state(desired_state(version, refunds))
    deployment.list_engine("e4")


def replace_servers(deployment: Deployment) -> float:
    """Start new servers and drain the old ones; return when the last drain was acknowledged."""
    for name, zone in NEW.items():
        deployment.start_engine(name, "ledger", zone)
        deployment.list_engine(name)
    time.sleep(MARGIN)
    for name in OLD:
        deployment.list_engine(name, State="draining")
        deployment.admin(name, {"leaving": True})
    return time.monotonic()


def ask_all(deployment: Deployment) -> str:
    """Send requests at all daemons in turn; return how many were served."""
    served = 0
    for number in range(REQUESTS):
        daemon = list(DAEMONS)[number % len(DAEMONS)]
        served += deployment.ask(daemon, "POST", "/payout/refunds", f"refund {number}")[1] == 200
    return f"{served} of {REQUESTS}"


def judge(deployment: Deployment, acknowledged: float) -> str:
    """Return the broken rule: requests have reached leaving servers after the bound."""
    late = 0
    for server in (*OLD, *NEW):
        for run in deployment.runs(server):
            after = run["began"] - acknowledged
            late += server in OLD and after > DRAIN
            deployment.record(
                "ran", server=server, attempt=run["attempt"], after_the_ack=round(after, 3)
            )
    revision = deployment.admin("store", {})["revision"]
    deployment.record("reached leaving servers", late=late, revision=revision)
    return "DRAIN" if late else ""


if __name__ == "__main__":
    main(Path(__file__).with_name("record.txt"), case)
