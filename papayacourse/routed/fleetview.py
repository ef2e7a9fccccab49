"""What a request in progress needs of its daemon: who is listed, places, budget, codec."""

import random
from collections.abc import Callable, Iterator

from attrs import define, field

from papayacourse import logs
from papayacourse.answerroom import AnswerRoom
from papayacourse.deaths import ServerDeaths
from papayacourse.exceptions import BackendError
from papayacourse.linkclasses import LinkClass, Place
from papayacourse.membership import Membership
from papayacourse.meshmessages import ServiceLoad
from papayacourse.placement import Placement
from papayacourse.routed.admitted import Admitted
from papayacourse.routed.budget import FleetBudget
from papayacourse.routed.derived import TEAM
from papayacourse.routed.document import EngineCapacity
from papayacourse.routed.notices import EngineNotices
from papayacourse.routed.seams import EngineCalls, RequestCodec
from papayacourse.routed.spareroom import spare_regions
from papayacourse.types import GenerationRequest, Host, HostKind, HostState

NEAREST_FIRST = (LinkClass.SAME_DOMAIN, LinkClass.SAME_REGION, LinkClass.OTHER_REGION)


@define(eq=False)
class FleetView:
    """The daemon as requests in progress see it.

    Attributes
    ----------
    note_first_event : callable
        Called with a request whose first event has been passed on.
    shape : callable
        Returns what the engines of a model service can do.
    notices : EngineNotices
        What engines have said of themselves, which the list may not tell yet.
    answers : AnswerRoom
        The memory for answers that are read whole.
    deaths : ServerDeaths
        Watches runs, and finds out which servers end under them.
    """

    membership: Membership
    placement: Placement
    budget: FleetBudget
    codec: RequestCodec
    engine_calls: EngineCalls
    notices: EngineNotices
    deaths: ServerDeaths
    note_first_event: Callable[[Admitted], None]
    shape: Callable[[str], EngineCapacity]
    answers: AnswerRoom = field(factory=AnswerRoom)

    @property
    def here(self) -> Place:
        """Return where this daemon stands."""
        return Place(self.membership.me.domain, self.membership.me.region)

    def host(self, name: str) -> Host | None:
        """Return a listed host by its name."""
        return self.membership.hosts.by_name.get(name)

    def is_listed(self, name: str) -> bool:
        """Tell whether a host is listed, leaving or not."""
        return self.host(name) is not None

    def servers(self, service: str) -> Iterator[Host]:
        """Yield the backend servers of a service."""
        return iter(self.membership.hosts.by_service.get(service, ()))

    def stays(self, name: str) -> bool:
        """Tell whether a host is listed and has not been told to leave."""
        host = self.host(name)
        return host is not None and self.is_live(host)

    def is_live(self, host: Host) -> bool:
        """Tell whether a listed host gets new work: nobody says that it leaves."""
        return host.state == HostState.LIVE and not self.notices.is_leaving(host.name)

    def leaving(self) -> Iterator[Host]:
        """Yield the engines that have been told to leave, as far as is known here."""
        engines = self.membership.backends(HostKind.ENGINE)
        return (host for host in engines if not self.is_live(host))

    def reach(self, engine: Host, other: Host) -> LinkClass:
        """Return how far two engines are apart."""
        return Place(engine.domain, engine.region).link_to(other.domain, other.region)

    def is_near(self, engine: Host, other: Host) -> bool:
        """Tell whether a run can be copied from one engine to another within a notice."""
        return self.reach(engine, other) != LinkClass.OTHER_REGION

    def others(self, engine: Host, service: str) -> list[Host]:
        """Return the other engines of a service that stay."""
        return [
            host
            for host in self.servers(service)
            if host.name != engine.name and self.notices.takes_work(host)
        ]

    def refuges(self, engine: Host, service: str) -> list[Host]:
        """Return the engines to move a run to: near ones first, and those not alone there."""
        return sorted(
            self.others(engine, service),
            key=lambda host: (
                NEAREST_FIRST.index(self.reach(engine, host)),
                not self.has_neighbour(host, service),
                random.random(),
            ),
        )

    def refuge(self, engine: Host, service: str) -> Host | None:
        """Return the best engine to move a run to, or None."""
        return next(iter(self.refuges(engine, service)), None)

    def has_neighbour(self, engine: Host, service: str) -> bool:
        """Tell whether a run can be moved from an engine within its notice."""
        return any(self.is_near(engine, host) for host in self.others(engine, service))

    def safer_domains(self, service: str) -> list[str]:
        """Return the failure domains to prefer for long runs, the nearest first.

        They are those whose region could take over the runs of any one of its engines. Where this
        domain's region can, there is nothing to prefer.
        """
        engines = [host for host in self.servers(service) if self.is_live(host)]
        spare = spare_regions(
            engines, lambda domain: self.loads(domain, service), self.shape(service).memory_tokens
        )
        here = self.here
        if here.region in spare and any(host.domain == here.domain for host in engines):
            return []
        places = {host.domain: host.region for host in engines if host.region in spare}
        return sorted(places, key=lambda domain: (places[domain] != here.region, random.random()))

    def loads(self, domain: str, service: str) -> list[ServiceLoad]:
        """Return how a service stands in a failure domain, as far as it is known."""
        return self.placement.spill.loads(domain, TEAM, service)

    async def drop_copy(self, source: Host, handle: str) -> None:
        """Free the memory that a copy takes."""
        try:
            await self.engine_calls.drop_copy(source, handle)
        except BackendError as error:
            # The engines free it by themselves after a while.
            logs.info("copy not dropped", engine=source.name, why=str(error))

    async def rebind(
        self, request: GenerationRequest, before: Host, now: Host, generated: int
    ) -> None:
        """Tell the schedulers that a run goes on at another engine."""
        await self.placement.end(request, before.name, generated, "failed")
        self.placement.adopt(request, now.name, now.domain)
        self.placement.progress(request, now.name, generated)
