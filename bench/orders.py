"""Measures what reading engines for the orders holder costs the holder and a domain's reader.

Run ``python -m bench.orders slopes`` for processor time, measured in this process against one
stand-in engine listed under many names, or ``python -m bench.orders traffic`` for the messages
between a holder and a reader in another domain. Both print JSON lines.
"""

import asyncio
import json
import time
from collections.abc import Iterator

import fire
from attrs import define, field

from bench.mesh import read
from papayacourse.enginereader import EngineReader
from papayacourse.hostlist import HostListing
from papayacourse.meshmessages import Hello
from papayacourse.settings import DeploymentSettings
from papayacourse.targets import Targets
from papayacourse.types import Host, HostKind
from standins.fleet import Fleet, call, wait_until

SETTLE_TIME = 8.0  # seconds
MEASURE_TIME = 20.0  # seconds
ROUNDS = 30
SIZES = (16, 100, 400)  # engines of one domain; 400 at the size to come
DOMAINS = 8
HERE, THERE = ("lagos-1", "lagos"), ("kano-1", "kano")
DEPLOYMENT_PATH = "/teams/sound-trust/deployments/planner"
DEPLOYMENT = "[deployment]\nservice = planner\nbackends = planner-*\n"
ORDERED = "model = plans\nversion = 1\nchecks_fencing = yes\n"
LOADED = {"model": "plans", "adapter": "", "version": "1", "role": ""}


@define(eq=False)
class Alone:
    """What a reader asks of settings, membership and peers, for one that has no daemon."""

    hosts: HostListing
    digest: int = 1
    me: Hello = field(factory=lambda: Hello("a", 1, "domain-0", "", "", b""))
    handlers: dict = field(factory=dict)

    def backends(self, _kind: HostKind) -> Iterator[Host]:
        """Yield every engine."""
        return iter(self.hosts.hosts)

    def all_deployments(self) -> Iterator[tuple[str, str, DeploymentSettings]]:
        """Yield one deployment that wants what every engine has loaded."""
        deployment = DeploymentSettings("planner", ("planner-*",), model="plans", version="1")
        yield "sound-trust", "planner", deployment


def alone(address: str, engines: int, domains: int) -> Alone:
    """List one engine under many names, in several domains."""
    names = [(f"planner-{n}", f"domain-{n % domains}") for n in range(engines)]
    hosts = [Host(name, HostKind.ENGINE, address, domain, "") for name, domain in names]
    return Alone(HostListing(1, tuple(hosts)))


async def reader_round(address: str, engines: int) -> tuple[float, float]:
    """Return a reader's processor time for a round, in seconds, and the reads in it."""
    here = alone(address, engines, 1)
    reader = EngineReader(Targets(here, here), here, here)
    begun = time.process_time()
    for _ in range(ROUNDS):
        reader.read()
        await asyncio.gather(*reader.reading.values())
        await reader.answer(here.me, None)
    assert not reader.mismatched_engines() and reader.loaded, "the engines are not in line"
    return (time.process_time() - begun) / ROUNDS, reader.reads / ROUNDS


def holder_round(address: str, engines: int) -> float:
    """Return the holder's processor time for going through its targets, in seconds."""
    here = alone(address, engines, DOMAINS)
    targets = Targets(here, here)
    targets.by_name()
    begun = time.process_time()
    for _ in range(ROUNDS):
        for domain in targets.by_domain():
            targets.in_domain(domain)
    return (time.process_time() - begun) / ROUNDS


def load_engine(fleet: Fleet) -> str:
    """Start the engine and load what is wanted; returns its address."""
    address = fleet.engine("planner", *THERE).http
    call(address, "POST", "/orders", {"fence": 0, "load": LOADED})
    return address


def slopes() -> None:
    """Print the processor time of a round a second, by the number of engines."""
    with Fleet(log_level="warning") as fleet:
        fleet.platform()
        address = load_engine(fleet)
        for engines in SIZES:
            seconds, reads = asyncio.run(reader_round(address, engines))
            row = {
                "engines": engines,
                "reads_a_round": round(reads, 1),
                "reader_us_a_round": round(1e6 * seconds),
                "reader_us_a_read": round(1e6 * seconds / reads),
                "holder_us_a_round": round(1e6 * holder_round(address, DOMAINS * engines)),
            }
            print(json.dumps(row), flush=True)


def deploy(fleet: Fleet, text: str) -> None:
    """Put the deployment in force."""
    done = fleet.settings("set", DEPLOYMENT_PATH, text=text)
    if done.returncode:
        raise RuntimeError(done.stderr)
    time.sleep(SETTLE_TIME)


def rates(fleet: Fleet) -> dict:
    """Return the readings and the holder's bytes a second, counted for a while."""
    before, reads = read(fleet, "a"), fleet.counts("planner")["state_reads"]
    time.sleep(MEASURE_TIME)
    after, later = read(fleet, "a"), fleet.counts("planner")["state_reads"]
    seconds = after.at - before.at
    return {
        "reads_per_s": round((later - reads) / seconds, 1),
        "holder_bytes_per_s": round((after.wire - before.wire) / seconds),
    }


def traffic(*sizes: int) -> None:
    """Print readings and bytes a second, without a model to order and with one."""
    for engines in sizes or SIZES:
        with Fleet(log_level="warning") as fleet:
            fleet.platform()
            fleet.apply("examples/sound-trust.ini")
            deploy(fleet, DEPLOYMENT)
            load_engine(fleet)
            fleet.daemon("a", *HERE)
            wait_until("a holds the lease", lambda f=fleet: f.status("a")["orders"] is not None)
            fleet.daemon("m", *THERE)
            host = fleet.hosts["planner"]
            rows = [host | {"name": f"planner-{number}"} for number in range(engines)]
            fleet.admin("hosts", {"put": rows, "remove": ["planner"]})
            time.sleep(SETTLE_TIME)
            idle = rates(fleet)
            deploy(fleet, DEPLOYMENT + ORDERED)
            print(json.dumps({"engines": engines, "idle": idle, "reading": rates(fleet)}))


if __name__ == "__main__":
    fire.Fire({"slopes": slopes, "traffic": traffic})
