"""Sets up the fleet of one shape and changes its policy between cells."""

from attrs import define

from bench.benchfleet import BenchFleet
from bench.caller import Exchange
from bench.shapes import DAEMONS, Shape
from bench.trace import Arrival

SETTLE_TIME = 0.8  # seconds for the schedulers to take new settings
PATHS_BESIDE_ACCOUNTS = 3


@define(eq=False)
class Site(BenchFleet):
    """The processes of one shape in one failure domain."""

    def __enter__(self) -> "Site":
        shape, fleet = self.shape, self.fleet
        fleet.platform()
        self.write(shape.settings())
        self.write(shape.deployment("predicted"))
        for number in range(shape.engines):
            name = f"{shape.service}-{number}"
            options = ("--memory", str(shape.memory), "--max-batch", str(shape.max_batch))
            fleet.engine(name, shape.domain, shape.region, *shape.engine_options, *options)
        for name in DAEMONS:
            fleet.daemon(name, shape.domain, shape.region)
        fleet.wait_settled(*DAEMONS, paths=len(shape.accounts) + PATHS_BESIDE_ACCOUNTS)
        return self

    @property
    def daemons(self) -> list[str]:
        """Return the names of its daemons."""
        return list(DAEMONS)

    @property
    def engines(self) -> list[str]:
        """Return the names of its engines."""
        return [f"{self.shape.service}-{number}" for number in range(self.shape.engines)]

    def addresses(self) -> list[str]:
        """Return where the daemons that run listen for callers."""
        processes = [self.fleet.processes[name] for name in DAEMONS]
        return [process.http for process in processes if process.popen.poll() is None]

    def apply(self, shape: Shape, policy: str) -> None:
        """Put a deployment's settings in force, at every daemon that runs."""
        self.put_in_force(shape.deployment(policy), SETTLE_TIME)

    async def offer(
        self, trace: list[Arrival], seconds: float, tries: int, exchanges: list[Exchange]
    ) -> None:
        """Send every request at its time to the daemons that run; then drop what has not ended."""
        await self.offer_to(self.addresses, trace, seconds, tries, exchanges)
