"""Streams a plan and pays a refund through two daemons, shows what operators see, and stops."""

import configparser
import json
import sys
import time
from pathlib import Path

from openai import OpenAI

from standins.fleet import MESH_KEY, Fleet, call

HERE = Path(__file__).parent
SETTINGS = ("sound-trust.ini", "bottle-returns.ini")
SETTINGS_PATHS = 12
ENGINE_OPTIONS = ("--step", "0.01", "--median-length", "400", "--sigma", "0.4")
SHOWN_WIDTH = 100  # characters


def prompts() -> configparser.ConfigParser:
    """Return the demonstration's prompts."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.read(HERE / "prompts.ini", encoding="utf-8")
    return parser


def start(fleet: Fleet) -> None:
    """Start the platform, both teams' backend servers, and a daemon in each of two domains."""
    fleet.platform()
    fleet.apply(*(str(HERE / name) for name in SETTINGS))
    for number in range(5):
        fleet.engine(f"planner-{number}", "lagos-ikeja", "lagos", *ENGINE_OPTIONS)
    for number in range(3):
        fleet.plain(f"hiredesk-{number}", "lagos-ikeja", "lagos")
    for number in range(7):
        fleet.engine(f"papaya-{number}", "accra-tema", "accra", *ENGINE_OPTIONS)
    for number in range(3):
        fleet.plain(f"ledger-{number}", "accra-tema", "accra")
    fleet.daemon("ikeja-1", "lagos-ikeja", "lagos")
    fleet.daemon("tema-1", "accra-tema", "accra")
    fleet.wait_settled("ikeja-1", "tema-1", paths=SETTINGS_PATHS)


def stream_plan(fleet: Fleet, ask: configparser.SectionProxy) -> int:
    """Stream a plan with an OpenAI client; returns the tokens, or 0 when out of order."""
    address = fleet.processes["ikeja-1"].http
    client = OpenAI(base_url=f"http://{address}/v1", api_key="organisers-key", max_retries=0)
    messages = [{"role": "user", "content": ask["prompt"]}]
    offsets = []
    stream = client.chat.completions.create(model=ask["model"], messages=messages, stream=True)
    for chunk in stream:
        text = chunk.choices[0].delta.content
        if text:
            offsets.append(int(text.split(":")[1]))
            print(text, end="", flush=True)
    in_order = offsets == list(range(len(offsets)))
    verdict = "each once and in order" if in_order else "NOT IN ORDER"
    print(f"\n-- {len(offsets)} tokens, {verdict}")
    return len(offsets) if in_order else 0


def pay_refund(fleet: Fleet, ask: configparser.SectionProxy) -> int:
    """Pay a refund and send it again; returns how often it ran at the backend servers."""
    address = fleet.processes["tema-1"].http
    headers = {"Authorization": "Bearer depots-key", "Idempotency-Key": ask["key"]}
    path = f"/services/{ask['service']}{ask['path']}"
    for _ in range(2):
        answer = call(address, "POST", path, ask["body"].encode(), headers)
        print(f"refund: status {answer.status} {answer.body.decode()[:SHOWN_WIDTH]}")
    ran = sum(fleet.counts(f"ledger-{n}")["ran"].get(ask["key"], 0) for n in range(3))
    print(f"-- sent twice, ran {ran} time")
    return ran


def show_operations(fleet: Fleet) -> None:
    """Show the metrics and the operators' status."""
    for name in ("ikeja-1", "tema-1"):
        address = fleet.processes[name].http
        done = fleet.command("status", f"--daemon={address}", f"--key={MESH_KEY}")
        print(done.stdout)
    text = call(fleet.processes["ikeja-1"].http, "GET", "/metrics").body.decode()
    for line in text.splitlines():
        if line.startswith("papayacourse") and "_bucket" not in line:
            print(line)


def stop(fleet: Fleet) -> list[int]:
    """Stop both daemons gracefully; returns their exit statuses."""
    for name in ("ikeja-1", "tema-1"):
        fleet.processes[name].terminate()
    return [fleet.processes[name].wait() for name in ("ikeja-1", "tema-1")]


def main() -> int:
    """Run the demonstration; returns the exit status."""
    asks = prompts()
    began = time.monotonic()
    with Fleet(log_level="warning") as fleet:
        start(fleet)
        tokens = stream_plan(fleet, asks["plan"])
        ran = pay_refund(fleet, asks["refund"])
        show_operations(fleet)
        statuses = stop(fleet)
    good = tokens > 0 and ran == 1 and statuses == [0, 0]
    print(json.dumps({"good": good, "seconds": round(time.monotonic() - began, 1)}))
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
