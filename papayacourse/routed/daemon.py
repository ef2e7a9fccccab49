"""The daemon that serves routed requests: owns the components, starts and stops them in order."""

import asyncio
import signal
import socket
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import AsyncExitStack

from attrs import define, field
from tornado.netutil import bind_sockets
from tornado.web import Application

from papayacourse import invariants, logs
from papayacourse.deaths import ServerDeaths
from papayacourse.exceptions import PeerError
from papayacourse.hostlist import HostListing
from papayacourse.lifecycle import Lifecycle
from papayacourse.linkclasses import Place
from papayacourse.listener import Listener
from papayacourse.mesh import Mesh
from papayacourse.meshmessages import Hello
from papayacourse.metrics import Metrics
from papayacourse.relaymessages import RelayRequest
from papayacourse.routed.admitted import AdmittedRequest
from papayacourse.routed.budget import FleetRetryBudget
from papayacourse.routed.choice import ServerChoice
from papayacourse.routed.config import ConfigFile, RoutedConfig
from papayacourse.routed.derived import TEAM, derived_catalog, update_catalog
from papayacourse.routed.directory import HostDirectory
from papayacourse.routed.document import CallerLimits, ColdStart, Document, EngineCapacity
from papayacourse.routed.documents import Documents, log_unknown_homes
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.front import Frontend
from papayacourse.routed.keptstrikes import StoredStrikes
from papayacourse.routed.migration.supervisor import RunSupervisor
from papayacourse.routed.notices import EngineNotices, GuardedEngineCalls
from papayacourse.routed.pages import pages
from papayacourse.routed.relaying import Relaying
from papayacourse.routed.reports import AdapterReports
from papayacourse.routed.router import Router
from papayacourse.routed.seams import EngineCalls, EngineNotice, RequestCodec, Store
from papayacourse.routed.sendlimiter import SendLimiter
from papayacourse.routed.statemetrics import watch_states
from papayacourse.routed.storefollower import StoreFollower
from papayacourse.routed.usesharing import UseSharing
from papayacourse.routed.watchers import Watchers
from papayacourse.schedulingmessages import EngineLeaves
from papayacourse.tasks import SHORT_CANCEL_INTERVAL, BackgroundTasks, cancel_all
from papayacourse.ticks import next_tick
from papayacourse.types import Address, Host, HostKind
from papayacourse.version import __version__

HARD_LIMIT_FACTOR = 4  # tornado's limits as a multiple of the default caller limits
SEND_BUFFER_BYTES = 64 * 1024  # kernel buffer of each caller's connection
EXIT_BAD_CONFIG = 2
MAX_DEATHS = 3  # distinct servers that may end while they run a request
LEAVING_TIME = 60.0  # seconds without new work for an engine that reported it is leaving
FILE_INTERVAL = 1.0  # seconds between checks of the configuration file
TICK = 0.25  # seconds between checks for expired entries and host list changes


@define
class Adapter:
    """The components that a platform's adapter provides.

    Attributes
    ----------
    make_engine_calls : callable
        Returns the engine calls, given the callback for notices in the engines' answers.
    """

    store: Store
    codec: RequestCodec
    make_engine_calls: Callable[[Callable[[Host, EngineNotice], None]], EngineCalls]


class NoHostList:
    """Host list source for the mesh that reads nothing: the daemon follows the store instead."""

    async def get(self) -> None:
        """Return no list."""


@define(eq=False, slots=False)
class RoutedDaemon:
    """One daemon in front of a platform.

    Attributes
    ----------
    file : ConfigFile
        The file that the configuration was read from.
    """

    config: RoutedConfig
    adapter: Adapter
    file: ConfigFile
    tasks: BackgroundTasks = field(factory=BackgroundTasks)

    def __attrs_post_init__(self) -> None:
        config = self.config
        self.metrics = Metrics(config.name)
        invariants.start(False, lambda name: self.metrics.violations.add(1, {"name": name}))
        self.lifecycle = Lifecycle(self)
        self.catalog = derived_catalog()
        self.ready = False
        self.checked_hosts: HostListing | None = None
        self.notices = EngineNotices(
            on_leaving=lambda host: self.tasks.spawn(self._report_leaving(host))
        )
        engine_calls = GuardedEngineCalls(
            self.adapter.make_engine_calls(self.notices.take), self.notices
        )
        incarnation = time.time_ns()
        self.hello = Hello(
            config.name, incarnation, config.domain, config.region, str(config.mesh), b""
        )
        self.mesh = Mesh(
            self.hello, config.mesh_key, config.seeds, self.catalog, NoHostList(), self.metrics,
            self.tasks.spawn,
            AdapterReports(engine_calls, self.host, self._engine_leaves), MAX_DEATHS,
        )  # fmt: skip
        self.deaths = ServerDeaths(
            self.mesh.quarantine, lambda: self.membership.hosts, self.notices.is_leaving,
            reach=self.notices.reach,
        )  # fmt: skip
        self.stored_strikes = StoredStrikes(self.adapter.store, self.mesh.quarantine)
        self.membership, self.duties = self.mesh.membership, self.mesh.duties
        self.notices.reach.servers = self.servers
        self.notices.brittle.me = config.name
        self.notices.brittle.daemons = lambda: {config.name, *self.membership.members}
        self.notices.brittle.servers = self._servers_of
        self.notices.cold.me = config.name
        self.notices.cold.daemons = self._listed_daemons
        self.notices.cold.cold_start = self._cold_start
        self.membership.on_listing = lambda listing: self.notices.cold.apply_listing(listing.hosts)
        self.documents = Documents(self.mesh.peers, self.adapter.store.decode_document, self._news)
        self.directory = HostDirectory(
            self.membership.host_sync.apply_listing,
            in_force=lambda: self.membership.hosts,
            cold_start=self._cold_start,
        )
        self.membership.informed = self._can_take_duties
        self.mesh.peers.handlers[EngineLeaves] = self._on_engine_leaves
        self.membership.document_version = lambda: self.documents.version
        self.membership.compare_document = self.documents.request_if_newer
        self.budget = FleetRetryBudget(config.budget, self._daemons)
        self.limiter = SendLimiter(
            self.membership, self.mesh.peers, self.notices.limits, self.host, self._daemons
        )
        self.mesh.on_linked = self.limiter.send_known
        self.fleet = FleetView(
            self.membership, self.mesh.placement, self.budget, self.adapter.codec,
            engine_calls, self.notices, self.limiter, self.deaths, self._note_first_event,
            self._shape, tasks=self.tasks,
        )  # fmt: skip
        self.supervisor = RunSupervisor(self.fleet, lambda: self.directory.contact.is_failing)
        self.router = Router(
            self.documents, self.fleet,
            ServerChoice(Place(config.domain, config.region), is_cold=self.notices.cold.is_cold),
            self.supervisor, self.lifecycle.deadline, place_by_pace=config.place_by_pace,
        )  # fmt: skip
        self.front = Frontend(
            self.documents, self.router, self.metrics, self.lifecycle.deadline, config.body_room
        )
        use = self.router.choice.use
        self.use_sharing = UseSharing(self.membership, self.mesh.peers, use, self._listed_daemons)
        self.router.relaying = Relaying(
            self.membership, self.mesh.peers, self.notices.reach, self.front.begin_relayed,
            self._why_no_relays,
        )  # fmt: skip
        me = Host(
            config.name, HostKind.ENTRY, str(config.http), config.domain, config.region,
            mesh=str(config.mesh),
        )  # fmt: skip
        self.follower = StoreFollower(
            self.adapter.store, self.documents, self.directory, self.stored_strikes, me
        )
        self.watchers = Watchers(
            self.membership, self.mesh.peers, self.documents, lambda: self.follower.follows,
            self.directory.contact.record_answer,
        )  # fmt: skip
        self.adapter.store.on_answer = self.directory.contact.record_answer
        self.follower.should_follow = self.watchers.should_follow
        self.follower.on_contact = self.watchers.tell
        watch_states(self)

    # Interface for the lifecycle.

    @property
    def busy(self) -> Counter:
        """Return the requests in progress, by kind."""
        return self.front.busy

    @property
    def idle(self) -> asyncio.Event:
        """Return the event that is set while no request is in progress."""
        return self.front.idle

    def pending(self) -> list[asyncio.Task]:
        """Return the tasks that a planned stop waits for besides the requests in progress."""
        return []

    def unfinished(self) -> dict[str, int]:
        """Count the work that a planned stop waits for, for its log lines."""
        return {}

    # Queries.

    def informed(self) -> bool:
        """Return True if a document and a host list are known, from the store or from a peer."""
        return self.documents.current is not None and (
            self.directory.engines_known or self.membership.host_sync.known
        )

    def _can_take_duties(self) -> bool:
        """Return True if this daemon can schedule servers: it knows them, and can reach some."""
        return self.informed() and not self.notices.reach.is_cut_off

    def _why_no_relays(self, request: RelayRequest) -> str:
        """Return why this daemon doesn't serve a request for another; empty if it does."""
        if not self.lifecycle.takes_requests():
            return "it stops"
        if self.front.body_bytes + len(request.body) > self.front.body_room:
            return "it is reading too many requests"
        return "" if self.informed() else "it knows no settings or no servers"

    def host(self, name: str) -> Host | None:
        """Return a listed host by its name."""
        return self.fleet.host(name)

    async def _engine_leaves(self, host: Host, daemons: set[str]) -> None:
        """Record an engine's report that it is leaving, and notify the daemons with runs there.

        Every such report notifies them again, since new runs may have started meanwhile.
        """
        self.notices.record_leaving(host, "its report")
        await self._send_leaving(host, daemons)

    async def _on_engine_leaves(self, peer: Hello, news: EngineLeaves) -> None:
        host = self.host(news.engine)
        if host is not None:
            self.notices.record_leaving(host, f"peer {peer.name}")
            self.supervisor.look()

    async def _report_leaving(self, host: Host) -> None:
        """Report a leaving engine to the daemons that cannot know it otherwise.

        A daemon that relays its requests here passes on what the engine says, but the answer does
        not name the engine.
        """
        self.supervisor.look()
        relaying = self.router.relaying.served_daemons()
        await self._send_leaving(host, relaying | self._drain(host))

    def _drain(self, host: Host) -> set[str]:
        """Drain a leaving engine; return the daemons to notify.

        These are the daemons with runs, or the engine's scheduler, which notifies them.
        """
        if (TEAM, host.service) not in self.catalog.model_services():
            return set()
        cell = self.mesh.cell_map.of_engine(host.domain, TEAM, host.service, host.name)
        owners = self.membership.owners(cell.duty, host.domain)[:1]
        if owners == [self.config.name]:
            return self.mesh.duties.drain_engine(cell, host.name, LEAVING_TIME)
        return set(owners)

    async def _send_leaving(self, host: Host, daemons: set[str]) -> None:
        for name in daemons - {self.config.name}:
            try:
                await self.mesh.peers.send(name, EngineLeaves(host.name))
            except PeerError as error:
                logs.info("leaving not told", engine=host.name, daemon=name, why=str(error))

    def servers(self) -> Iterator[Host]:
        """Yield the listed servers of all services."""
        yield from self.membership.backends(HostKind.ENGINE)
        yield from self.membership.backends(HostKind.PLAIN)

    def _servers_of(self, service: str) -> Iterator[Host]:
        """Yield the listed servers of a service."""
        return self.fleet.servers(service)

    def _listed_daemons(self) -> set[str]:
        """Return the names of all daemons in the host list, whether this one hears them or not."""
        listed = self.membership.hosts.by_kind.get(HostKind.ENTRY, ())
        return {host.name for host in listed}

    def _cold_start(self, service: str) -> ColdStart | None:
        """Return how the servers of a service start; None if that needs no care."""
        document = self.documents.current
        known = document.services.get(service) if document else None
        return known.cold_start if known else None

    def is_ready(self) -> bool:
        """Return True if the daemon is ready for callers."""
        return self.ready and not self.lifecycle.stopping.is_set() and self.informed()

    def _daemons(self) -> int:
        """Return how many daemons share fleet-wide limits, without those removed as dead."""
        return 1 + len(self.membership.members)

    # Commands.

    async def run(self) -> int:
        """Serve until asked to stop, then drain; returns the exit status."""
        async with AsyncExitStack() as stack:
            await self._open(stack)
            await self.lifecycle.stopping.wait()
            leaving = self.tasks.spawn(self.follower.remove_entry())
            status = await self.lifecycle.drain()
            leaving.cancel()
            return status

    async def _open(self, stack: AsyncExitStack) -> None:
        config = self.config
        await stack.enter_async_context(self.mesh.peers.listening(config.mesh))
        self.server = self._listen(stack, config.http, self.front)
        for address in {config.readiness, config.metrics}:
            self._listen(stack, address, Application(pages(self), log_function=lambda _: None))
        stack.push_async_callback(self._stop_tasks)
        for loop in (
            self.follower.follow,
            self.follower.stay_listed,
            self.stored_strikes.run,
            self.deaths.run,
            *self.mesh.loops(),
            self.supervisor.run,
            self.limiter.run,
            self.use_sharing.run,
            self.notices.reach.run,
            self._tick,
            self._watch_file,
        ):
            self.tasks.keep(loop)
        self.lifecycle.listen_for_signals()
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._reload, "signal")
        self.ready = True
        logs.info("started", version=__version__, http=str(config.http), mesh=str(config.mesh))

    def _listen(self, stack: AsyncExitStack, address: Address, served: object) -> Listener:
        limits = CallerLimits()
        server = Listener(
            served,
            max_body_size=limits.body_bytes * HARD_LIMIT_FACTOR,
            max_header_size=limits.header_bytes * HARD_LIMIT_FACTOR,
            max_buffer_size=limits.header_bytes * HARD_LIMIT_FACTOR * 2,
            idle_connection_timeout=limits.idle_time,
        )
        sockets = bind_sockets(address.port, address.host)
        for listener in sockets:
            # Accepted connections inherit the size. It bounds what is buffered for a slow caller;
            # the rest stays with the engine.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        server.add_sockets(sockets)
        stack.push_async_callback(server.close_all_connections)
        return server

    async def _stop_tasks(self) -> None:
        await self.duties.close()
        # The grace may end any moment.
        await cancel_all([*self.tasks.running, *self.mesh.waiting()], SHORT_CANCEL_INTERVAL)

    def _news(self, document: Document) -> None:
        """Put a newer document in force."""
        update_catalog(self.catalog, document, TEAM)
        log_unknown_homes(document, self.config.regions.values())
        self.notices.cold.apply_listing(self.membership.hosts.hosts)
        self.server.conn_params.header_timeout = document.limits.idle_time

    def _hosts_changed(self) -> None:
        """Forget hosts that are no longer listed, and move runs off engines that are leaving."""
        if self.membership.hosts is self.checked_hosts:
            return
        self.checked_hosts = self.membership.hosts
        self.notices.forget_unlisted(self.checked_hosts.by_name)
        self.limiter.forget_unlisted(self.checked_hosts.by_name)
        self.router.choice.forget_unlisted(self.checked_hosts.by_name.keys())
        self.supervisor.look()

    async def _tick(self) -> None:
        """Expire directory entries and check the host list, forever."""
        while True:
            await next_tick(TICK)
            self.directory.expire()
            self._hosts_changed()

    async def _watch_file(self) -> None:
        """Reload the configuration file when it changes without a signal, forever."""
        while True:
            await next_tick(FILE_INTERVAL)
            if self.file.changed():
                self._reload("file changed")

    def _reload(self, why: str) -> None:
        """Reload the settings that may change at run time from the configuration file."""
        fresh = self.file.read()
        if fresh is None:
            logs.error("configuration not reloaded", why=why)
            return
        self.config = fresh
        self.budget.limits = fresh.budget
        self.front.body_room = fresh.body_room
        self.router.place_by_pace = fresh.place_by_pace
        logs.info("configuration reloaded", why=why)

    def _shape(self, service: str) -> EngineCapacity:
        """Return a service's engine capacity, or a minimal one if the settings give none."""
        document = self.documents.current
        known = document.services.get(service) if document else None
        return known.engine if known and known.engine else EngineCapacity(1, 1)

    def _note_first_event(self, admitted: AdmittedRequest) -> None:
        seconds = time.monotonic() - admitted.received_at
        attributes = {"route": admitted.route.name, "account": admitted.account_name}
        self.metrics.first_event.record(seconds, attributes)


def serve(file: str, make_adapter: Callable[[RoutedConfig], Adapter]) -> int:
    """Run a daemon with the configuration of a file; returns its exit status."""
    logs.start("info", "")
    source = ConfigFile(file)
    config = source.read()
    if config is None:
        return EXIT_BAD_CONFIG
    logs.start(config.log_level, config.name)
    try:
        return asyncio.run(RoutedDaemon(config, make_adapter(config), source).run())
    except OSError as error:
        logs.failure("cannot start", error)
        return 1
