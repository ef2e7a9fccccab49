"""A connection to an engine goes silent: the run must not go on elsewhere beside that engine."""

import http.client
import itertools
import threading
import time
from pathlib import Path

from review.harness import (
    CONNECTIVITY,
    KEY,
    SITE_HOST,
    CaseError,
    Deployment,
    desired_state,
    has_trouble,
    main,
    route,
)

SILENCE_AT = 2.0  # seconds after the request was sent
ADDED_AT = 4.3  # seconds after the silence until an engine is added in the region
OVERLAP = 0.4  # seconds; the rule's limit
TOKENS = 1600  # 400 events, 16 s
PATIENCE = 7.2  # seconds without an event after which a client abandons a stream: 4 objectives
REMAINING = 39.0  # seconds


def case(deployment: Deployment) -> str:
    """Stream one long answer through a daemon."""
    summary = route(
        "summary", "streaming", "llm", TimeoutMs=39000, TargetLatencyMs=1800, TargetGapMs=180,
        Priority=1, StickySessions=True,
    )  # fmt: skip
    deployment.start_store()
    deployment.set_state(desired_state(7, summary))
    direct = deployment.start_engine("e1", "llm", "accra-tema")
    proxied = deployment.standin("proxy", "review.proxy", direct)
    deployment.list_engine("e1", Address=proxied, Slots=24)
    far = deployment.start_engine("e3", "llm", "kumasi-suame")
    deployment.list_engine("e3", Slots=24)
    # It registers later.
    deployment.start_engine("e2", "llm", "accra-tema")
    deployment.record("engines", e1=f"{direct} behind {proxied}", e3=far)
    deployment.start_daemons({"d1": "accra-tema", "d2": "accra-tema"})
    attempt = deployment.attempt_id()
    reader = threading.Thread(target=read_stream, args=(deployment, attempt), daemon=True)
    reader.start()
    time.sleep(SILENCE_AT)
    silenced_at = time.monotonic()
    if has_trouble():
        proxy = deployment.processes["proxy"]
        proxy.stdin.write(b"silence\n")
        proxy.stdin.flush()
        deployment.record("disruption", silent="the open connections to e1; new ones work")
    time.sleep(ADDED_AT)
    deployment.list_engine("e2", Slots=24)
    reader.join(REMAINING + 5)
    return judge(deployment, attempt, silenced_at)


def read_stream(deployment: Deployment, attempt: str) -> None:
    """Read a stream as a client does, until its end or a gap that it doesn't bear."""
    headers = {
        "Host": SITE_HOST, "X-Attempt-Id": attempt, "Api-Key": KEY, "X-Model": "m",
        "X-Time-Remaining": str(int(REMAINING * 1000)), "X-Token-Counts": f"3000,{TOKENS}",
        "X-Prompt-Prefix": "5c1e07a2:79,91bd3f06:2921",
    }  # fmt: skip
    host, port = deployment.ips["d1"], 8740
    connection = http.client.HTTPConnection(host, port, timeout=PATIENCE)
    deployment.record("sent", attempt=attempt, to="d1", request="POST /summary/week")
    read = b""
    try:
        connection.request("POST", "/summary/week", b"x" * 2600, headers)
        response = connection.getresponse()
        deployment.record("answer begins", attempt=attempt, status=response.status)
        while data := response.read1():
            read += data
        deployment.record("answer ends", attempt=attempt, events=read.count(b"id: "))
    except (OSError, http.client.HTTPException) as error:
        deployment.record("answer breaks off", events=read.count(b"id: "), why=repr(error))
    finally:
        connection.close()


def judge(deployment: Deployment, attempt: str, silenced_at: float) -> str:
    """Return the broken rule: two engines have worked on the run at the same time."""
    runs = []
    for engine in ("e1", "e2", "e3"):
        for run in deployment.runs(engine):
            runs.append((engine, run))
            deployment.record(
                "ran", server=engine, attempt=run["attempt"],
                events=f"{run['first']}-{run['made']}",
                began=deployment.at(run["began"]), worked_until=deployment.at(run["worked_at"]),
                end=run["end"],
            )  # fmt: skip
    runs = sorted(
        (run["began"], run["worked_at"], e) for e, run in runs if run["attempt"] == attempt
    )
    if not runs:
        raise CaseError("no engine has run the request")
    for (_, worked_until, before), (began, _, after) in itertools.pairwise(runs):
        in_touch = began > silenced_at + CONNECTIVITY
        overlap = worked_until - began
        deployment.record(
            "goes on", before=before, after=after, both_at_work_for=round(overlap, 3),
            since_the_silence=round(began - silenced_at, 3), in_touch=in_touch,
        )  # fmt: skip
        if in_touch and overlap > OVERLAP:
            return "TWICE"
    return ""


if __name__ == "__main__":
    main(Path(__file__).with_name("record.txt"), case)
