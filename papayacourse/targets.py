"""Determines from the current deployments what each engine must load."""

from collections import Counter, defaultdict
from collections.abc import Iterator

from attrs import define, field, frozen

from papayacourse.catalog import Catalog
from papayacourse.enginelist import is_eligible
from papayacourse.engines import LoadSpec
from papayacourse.hostlist import HostListing
from papayacourse.membership import Membership
from papayacourse.settings import DeploymentSettings
from papayacourse.types import Host, HostKind


@frozen
class Target:
    """An engine and the deployment that determines what it must load."""

    team: str
    name: str
    host: Host
    deployment: DeploymentSettings

    @property
    def load_spec(self) -> LoadSpec:
        """Return what the engine must have loaded."""
        deployment = self.deployment
        return LoadSpec(deployment.model, deployment.adapter, deployment.version, deployment.role)


@define(eq=False)
class Targets:
    """The engines whose deployments name a model.

    They are recomputed only when the settings or the host list change: matching thousands of
    names against every deployment each second would cost more than reading the engines.

    Attributes
    ----------
    found : dict of str to Target
        Keyed by engine name.
    sizes : Counter
        The number of engines of each (team, deployment).
    domains : dict of str to dict
        Keyed by failure domain, then by engine name.
    """

    catalog: Catalog
    membership: Membership
    found: dict[str, Target] = field(factory=dict)
    sizes: Counter = field(factory=Counter)
    domains: dict[str, dict[str, Target]] = field(factory=dict)
    digest: int = -1
    listing: HostListing | None = None

    def by_name(self) -> dict[str, Target]:
        """Return the current targets, keyed by engine name."""
        digest, listing = self.catalog.digest, self.membership.hosts
        if digest != self.digest or listing is not self.listing:
            self.found = {target.host.name: target for target in self._find()}
            self.sizes = Counter((target.team, target.name) for target in self.found.values())
            self.domains = defaultdict(dict)
            for name, target in self.found.items():
                self.domains[target.host.domain][name] = target
            self.digest, self.listing = digest, listing
        return self.found

    def by_domain(self) -> dict[str, dict[str, Target]]:
        """Return the targets, keyed by failure domain and engine name."""
        self.by_name()
        return self.domains

    def in_domain(self, domain: str) -> dict[str, Target]:
        """Return the targets of one failure domain."""
        return self.by_domain().get(domain, {})

    def _find(self) -> Iterator[Target]:
        hosts = list(self.membership.backends(HostKind.ENGINE))
        seen: set[str] = set()
        for team, name, deployment in self.catalog.all_deployments():
            if not deployment.model:
                continue
            for host in hosts:
                if host.name not in seen and is_eligible(host, deployment):
                    seen.add(host.name)
                    yield Target(team, name, host, deployment)
