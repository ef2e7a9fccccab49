"""Sets up one shape over several failure domains, joined by delaying proxies."""

from attrs import define, frozen

from bench.benchfleet import BenchFleet
from bench.caller import Exchange
from bench.shapes import Shape
from bench.trace import Arrival
from standins.fleet import wait_until

REGION_DELAY = 0.012  # seconds one way between regions, of the brief
SETTLE_TIME = 1.0  # seconds for the schedulers to take new settings


@frozen
class Domain:
    """A failure domain with its region, engines and daemons."""

    name: str
    region: str
    engines: int
    daemons: int

    @property
    def daemon_names(self) -> list[str]:
        """Return the names of its daemons."""
        return [f"{self.region}-entry-{number}" for number in range(self.daemons)]

    @property
    def engine_names(self) -> list[str]:
        """Return the names of its engines."""
        return [f"planner-{self.region}-{number}" for number in range(self.engines)]


@define(eq=False)
class RegionSite(BenchFleet):
    """The processes of a shape over several regions.

    Daemons of other domains reach a domain's daemons and engines late, its own do not. With
    ``cuttable`` the daemons reach the platform through proxies too.
    """

    domains: tuple[Domain, ...]
    cuttable: bool = False
    other_settings: tuple[str, ...] = ()

    def __enter__(self) -> "RegionSite":
        fleet, shape = self.fleet, self.shape
        fleet.platform()
        lines = self._settings(shape)
        self.write(lines)
        for domain in self.domains:
            self._start_engines(domain)
        for number, domain in enumerate(self.domains, 1):
            self._start_daemons(domain, f"127.0.{number}.1")
        paths = sum(line.startswith("[/") for line in lines)
        fleet.wait_settled(*self.daemons, paths=paths)
        wait_until("the domains see each other", self.joined)
        return self

    def _start_engines(self, domain: Domain) -> None:
        shape, fleet = self.shape, self.fleet
        others = [other for other in self.domains if other is not domain]
        names = [name for other in others for name in other.daemon_names]
        # A generation's id begins with the name of its entry daemon.
        marks = [mark for n in names for mark in (f'"stream": "{n}-', f"/streams/{n}-")]
        for name in domain.engine_names:
            options = ("--memory", str(shape.memory), "--max-batch", str(shape.max_batch))
            process = fleet.standin("engine", name, *shape.engine_options, *options)
            proxy = f"{name}-link"
            address = fleet.proxy(proxy, process.http).ready["address"]
            fleet.admin(
                proxy,
                {"delay": REGION_DELAY, "opening": 2 * REGION_DELAY, "far_markers": marks},
            )
            fleet.list_host(name, "engine", address, domain.name, domain.region)

    def _start_daemons(self, domain: Domain, source: str) -> None:
        fleet = self.fleet
        platform = {}
        if self.cuttable:
            for kind in ("kv", "hosts"):
                proxy = fleet.proxy(f"{domain.region}-{kind}", fleet.processes[kind].http)
                platform[kind] = proxy.ready["address"]
        for name in domain.daemon_names:
            mesh = fleet.proxy(f"{name}-mesh", "").ready["address"]
            listen = f"advertise_mesh = {mesh}\n"
            process = fleet.daemon(
                name, domain.name, domain.region, mesh=mesh, listen=listen, ip=source, **platform
            )
            switches = {"target": process.ready["mesh"], "spared": [source], "delay": REGION_DELAY}
            fleet.admin(f"{name}-mesh", switches)

    @property
    def daemons(self) -> list[str]:
        """Return the names of all daemons."""
        return [name for domain in self.domains for name in domain.daemon_names]

    @property
    def engines(self) -> list[str]:
        """Return the names of all engines."""
        return [name for domain in self.domains for name in domain.engine_names]

    def joined(self) -> bool:
        """Tell whether every daemon sees the daemons of every domain."""
        wanted = {domain.name: sorted(domain.daemon_names) for domain in self.domains}
        for name in self.daemons:
            seen = {row["name"]: sorted(row["live"]) for row in self.fleet.status(name)["domains"]}
            if any(seen.get(domain) != names for domain, names in wanted.items()):
                return False
        return True

    def apply(self, shape: Shape) -> None:
        """Put settings in force at every daemon."""
        self.put_in_force(self._settings(shape), SETTLE_TIME)

    def _settings(self, shape: Shape) -> list[str]:
        return [*shape.settings(), *shape.deployment("predicted"), *self.other_settings]

    def cut(self, domain: Domain) -> None:
        """Cut a domain's daemons off from the other domains and from the platform."""
        for kind in ("kv", "hosts"):
            self.fleet.admin(f"{domain.region}-{kind}", {"mode": "cut"})
        for name in self.daemons:
            self.fleet.admin(f"{name}-mesh", {"mode": "cut"})

    def heal(self, domain: Domain) -> None:
        """Give a domain that was cut off back to the others and to the platform."""
        for kind in ("kv", "hosts"):
            self.fleet.admin(f"{domain.region}-{kind}", {"mode": "pass"})
        for name in self.daemons:
            self.fleet.admin(f"{name}-mesh", {"mode": "pass"})

    def address(self, name: str) -> str:
        """Return where a daemon listens for callers."""
        return self.fleet.processes[name].http

    async def offer(
        self, domain: Domain, trace: list[Arrival], seconds: float, exchanges: list[Exchange]
    ) -> None:
        """Send every request to its domain at its time; then drop what has not ended."""
        there = [self.address(name) for name in domain.daemon_names]
        await self.offer_to(lambda: there, trace, seconds, 1, exchanges)
