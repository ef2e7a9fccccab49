"""What a request in progress needs of its daemon: hosts, placement, retry budget, codec."""

import random
from collections.abc import Callable, Iterator

from attrs import define, field

from papayacourse import logs
from papayacourse.answermemory import AnswerMemory
from papayacourse.deaths import ServerDeaths
from papayacourse.exceptions import BackendError
from papayacourse.linkclasses import LINK_CLASSES_NEAREST_FIRST, LinkClass, Place
from papayacourse.membership import Membership
from papayacourse.meshmessages import ServiceLoad
from papayacourse.placement import Placement
from papayacourse.routed.admitted import AdmittedRequest
from papayacourse.routed.budget import FleetRetryBudget
from papayacourse.routed.derived import TEAM
from papayacourse.routed.document import EngineCapacity
from papayacourse.routed.enginereturns import EngineReturns
from papayacourse.routed.homes import ANYWHERE, Homes
from papayacourse.routed.notices import EngineNotices
from papayacourse.routed.seams import EngineCalls, RequestCodec
from papayacourse.routed.sendlimiter import SendLimiter
from papayacourse.routed.spareroom import spare_regions
from papayacourse.tasks import BackgroundTasks
from papayacourse.types import GenerationRequest, Host, HostKind, HostState


@define(eq=False)
class FleetView:
    """The daemon as requests in progress see it.

    Attributes
    ----------
    note_first_event : callable
        Called with a request whose first event has been relayed.
    shape : callable
        Returns the capacity and features of a model service's engines.
    notices : EngineNotices
        The notices that engines sent, which the host list may not show yet.
    limiter : SendLimiter
        Permits requests to servers with a limit.
    answers : AnswerMemory
        The memory for answers that are buffered whole.
    deaths : ServerDeaths
        Tracks runs, and detects which servers end while they run them.
    tasks : BackgroundTasks
        The work that may outlast the request that began it.
    returns : EngineReturns
        Detects when engines that could not be reached accept connections again.
    """

    membership: Membership
    placement: Placement
    budget: FleetRetryBudget
    codec: RequestCodec
    engine_calls: EngineCalls
    notices: EngineNotices
    limiter: SendLimiter
    deaths: ServerDeaths
    note_first_event: Callable[[AdmittedRequest], None]
    shape: Callable[[str], EngineCapacity]
    answers: AnswerMemory = field(factory=AnswerMemory)
    tasks: BackgroundTasks = field(factory=BackgroundTasks)
    returns: EngineReturns = field(factory=EngineReturns)

    @property
    def here(self) -> Place:
        """Return the failure domain and region of this daemon."""
        return Place(self.membership.me.domain, self.membership.me.region)

    def host(self, name: str) -> Host | None:
        """Return a listed host by its name."""
        return self.membership.hosts.by_name.get(name)

    def is_listed(self, name: str) -> bool:
        """Return True if a host is listed, leaving or not."""
        return self.host(name) is not None

    def servers(self, service: str) -> Iterator[Host]:
        """Yield the backend servers of a service."""
        return iter(self.membership.hosts.by_service.get(service, ()))

    def is_drained(self, name: str) -> bool:
        """Return True if a host is of a failure domain that the operator drains."""
        host = self.host(name)
        return host is not None and host.is_drained

    def stays(self, name: str) -> bool:
        """Return True if a host is listed and not leaving."""
        host = self.host(name)
        return host is not None and self.is_live(host)

    def is_live(self, host: Host) -> bool:
        """Return True if neither the host list nor the host itself says that it is leaving."""
        return host.state == HostState.LIVE and not self.notices.is_leaving(host.name)

    def leaving(self) -> Iterator[Host]:
        """Yield the engines known to be leaving."""
        engines = self.membership.backends(HostKind.ENGINE)
        return (host for host in engines if not self.is_live(host))

    def reach(self, engine: Host, other: Host) -> LinkClass:
        """Return the link class between two engines."""
        return Place(engine.domain, engine.region).link_to(other.domain, other.region)

    def is_near(self, engine: Host, other: Host) -> bool:
        """Return True if a run can be copied between two engines within a stop notice."""
        return self.reach(engine, other) != LinkClass.OTHER_REGION

    def others(self, engine: Host, service: str, homes: Homes = ANYWHERE) -> list[Host]:
        """Return the other engines of a service that accept work, in some regions."""
        return [
            host
            for host in self.servers(service)
            if host.name != engine.name
            and homes.allow(host.region)
            and self.notices.takes_work(host)
        ]

    def move_targets(self, engine: Host, service: str, homes: Homes = ANYWHERE) -> list[Host]:
        """Return the engines to move a run to: near ones first, then those with near peers.

        Engines with a limit come last, since a run that arrives may have to wait for permission,
        and cold ones after them.

        Parameters
        ----------
        homes : Homes
            The regions that the run may be moved to.
        """
        return sorted(
            self.others(engine, service, homes),
            key=lambda host: (
                self.notices.cold.is_cold(host.name),
                self.notices.limits.rate(host.name) is not None,
                LINK_CLASSES_NEAREST_FIRST.index(self.reach(engine, host)),
                not self.has_near_target(host, service),
                random.random(),
            ),
        )

    def best_move_target(self, engine: Host, service: str, homes: Homes = ANYWHERE) -> Host | None:
        """Return the best engine to move a run to, or None."""
        return next(iter(self.move_targets(engine, service, homes)), None)

    def has_near_target(self, engine: Host, service: str) -> bool:
        """Return True if a run can be moved from an engine within its stop notice."""
        return any(self.is_near(engine, host) for host in self.others(engine, service))

    def safer_domains(self, admitted: AdmittedRequest) -> list[str]:
        """Return the failure domains to prefer for a long run, the nearest first.

        The region of such a domain has room to take over the runs of any one of its engines. The
        list is empty if the region of this domain has that room itself.
        """
        service, homes = admitted.service, admitted.homes()
        listed = (host for host in self.servers(service) if homes.allow(host.region))
        engines = [host for host in listed if self.is_live(host)]
        spare = spare_regions(
            engines, lambda domain: self.loads(domain, service), self.shape(service).memory_tokens
        )
        here = self.here
        if here.region in spare and any(host.domain == here.domain for host in engines):
            return []
        places = {host.domain: host.region for host in engines if host.region in spare}
        return sorted(places, key=lambda domain: (places[domain] != here.region, random.random()))

    def loads(self, domain: str, service: str) -> list[ServiceLoad]:
        """Return the known loads of a service in a failure domain."""
        return self.placement.spill.loads(domain, TEAM, service)

    async def drop_copy(self, source: Host, handle: str) -> None:
        """Free the memory of a copy."""
        try:
            await self.engine_calls.drop_copy(source, handle)
        except BackendError as error:
            # The engines free a copy that is not renewed.
            logs.info("copy not dropped", engine=source.name, why=str(error))

    async def rebind(
        self, request: GenerationRequest, before: Host, now: Host, generated: int
    ) -> None:
        """Report to the schedulers that a run continues on another engine."""
        await self.placement.end(request, before.name, generated, "failed")
        self.placement.adopt(request, now.name, now.domain)
        self.placement.progress(request, now.name, generated)
