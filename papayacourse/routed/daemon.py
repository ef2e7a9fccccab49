"""The daemon that serves routed requests: owns every part, starts and stops them in order."""

import asyncio
import signal
import socket
import time
from collections import Counter
from collections.abc import Callable
from contextlib import AsyncExitStack

from attrs import define, field
from tornado.netutil import bind_sockets
from tornado.web import Application

from papayacourse import invariants, logs
from papayacourse.catalog import Catalog
from papayacourse.deaths import ServerDeaths
from papayacourse.exceptions import PeerError
from papayacourse.hostlist import HostListing
from papayacourse.lifecycle import Lifecycle
from papayacourse.linkclasses import Place
from papayacourse.listener import Listener
from papayacourse.mesh import Mesh
from papayacourse.meshmessages import Hello
from papayacourse.metrics import Metrics
from papayacourse.routed.admitted import Admitted
from papayacourse.routed.budget import FleetBudget
from papayacourse.routed.choice import ServerChoice
from papayacourse.routed.config import ConfigFile, RoutedConfig
from papayacourse.routed.derived import TEAM, bring_in_line
from papayacourse.routed.directory import HostDirectory
from papayacourse.routed.document import CallerLimits, Document, EngineCapacity
from papayacourse.routed.documents import Documents
from papayacourse.routed.evacuation import Evacuation
from papayacourse.routed.fleetview import FleetView
from papayacourse.routed.front import Front
from papayacourse.routed.keptstrikes import KeptStrikes
from papayacourse.routed.notices import EngineNotices, HeededCalls
from papayacourse.routed.pages import pages
from papayacourse.routed.reports import AdapterReports
from papayacourse.routed.seams import EngineCalls, EngineNotice, RequestCodec, Store
from papayacourse.routed.storefollower import StoreFollower
from papayacourse.routed.watchers import Watchers
from papayacourse.schedulingmessages import EngineLeaves
from papayacourse.tasks import BackgroundTasks, cancel_all
from papayacourse.ticks import next_tick
from papayacourse.types import Address, Host, HostKind
from papayacourse.version import __version__

HARD_LIMIT_FACTOR = 4  # what tornado bounds, against what the document allows
SEND_BUFFER_BYTES = 64 * 1024  # in the kernel, for each caller
EXIT_BAD_CONFIG = 2
MAX_DEATHS = 3  # different servers that may end under a request
LEAVING_TIME = 60.0  # seconds for which an engine that has said that it leaves gets no work
FILE_INTERVAL = 1.0  # seconds between looks at the configuration file
TICK = 0.25  # seconds between looks at what time changes


@define
class Adapter:
    """What a platform's adapter brings.

    Attributes
    ----------
    make_engine_calls : callable
        Returns the calls to engines, given what takes the notices in their answers.
    """

    store: Store
    codec: RequestCodec
    make_engine_calls: Callable[[Callable[[Host, EngineNotice], None]], EngineCalls]


class NoHostList:
    """Stands where a host list is read; here the store is followed instead."""

    async def get(self) -> None:
        """Return no list."""


@define(eq=False, slots=False)
class RoutedDaemon:
    """One daemon in front of a platform.

    Attributes
    ----------
    file : ConfigFile
        Where the configuration came from.
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
        self.catalog = Catalog()
        self.ready = False
        self.looked_at: HostListing | None = None
        self.notices = EngineNotices(
            on_leaving=lambda host: self.tasks.spawn(self._spread_leaving(host))
        )
        engine_calls = HeededCalls(self.adapter.make_engine_calls(self.notices.take), self.notices)
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
            self.mesh.quarantine, lambda: self.membership.hosts, self.notices.is_leaving
        )
        self.kept_strikes = KeptStrikes(self.adapter.store, self.mesh.quarantine)
        self.membership, self.duties = self.mesh.membership, self.mesh.duties
        self.metrics.watch_totals("papayacourse_mesh_frames", "", self.mesh.peers.traffic.labelled)
        self.documents = Documents(self.mesh.peers, self.adapter.store.decode_document, self._news)
        self.directory = HostDirectory(
            self.membership.host_sync.take,
            in_force=lambda: self.membership.backends(HostKind.ENGINE),
        )
        self.membership.informed = self.informed
        self.mesh.peers.handlers[EngineLeaves] = self._told_of_leaving
        self.membership.document_version = lambda: self.documents.version
        self.membership.peer_document = self.documents.request_if_newer
        self.budget = FleetBudget(config.budget, self._daemons)
        self.fleet = FleetView(
            self.membership, self.mesh.placement, self.budget, self.adapter.codec,
            engine_calls, self.notices, self.deaths, self._note_first_event, self._shape,
        )  # fmt: skip
        self.evacuation = Evacuation(self.fleet, lambda: self.directory.store_is_away)
        self.front = Front(
            self.documents, self.fleet, ServerChoice(Place(config.domain, config.region)),
            self.evacuation, self.metrics,
            self.lifecycle.stopping.is_set, config.body_room,
        )  # fmt: skip
        me = Host(
            config.name, HostKind.ENTRY, str(config.http), config.domain, config.region,
            mesh=str(config.mesh),
        )  # fmt: skip
        self.follower = StoreFollower(
            self.adapter.store, self.documents, self.directory, self.kept_strikes, me
        )
        self.watchers = Watchers(
            self.membership, self.mesh.peers, self.documents, lambda: self.follower.follows,
            self.directory.record_store_answer,
        )  # fmt: skip
        self.follower.should_follow = self.watchers.should_follow
        self.follower.on_contact = self.watchers.tell

    # What the lifecycle asks.

    @property
    def busy(self) -> Counter:
        """Return the requests in progress, by kind."""
        return self.front.busy

    @property
    def idle(self) -> asyncio.Event:
        """Return what is set while no request is in progress."""
        return self.front.idle

    def pending(self) -> list[asyncio.Task]:
        """Return what a planned stop waits for besides the requests in progress."""
        return []

    def unfinished(self) -> dict[str, int]:
        """Count what a planned stop waits for, for its log lines."""
        return {}

    # Queries.

    def informed(self) -> bool:
        """Tell whether a document and the servers are known, from the store or from a peer."""
        return self.documents.current is not None and (
            self.directory.engines_known or self.membership.host_sync.known
        )

    def host(self, name: str) -> Host | None:
        """Return a listed host by its name."""
        return self.fleet.host(name)

    async def _engine_leaves(self, host: Host, daemons: set[str]) -> None:
        """Take an engine's report that it leaves, and tell the daemons with runs there.

        They are told at each report until it is gone, since runs may have come meanwhile.
        """
        self.notices.note_leaving(host, "its report")
        await self._tell_leaving(host, daemons)

    async def _told_of_leaving(self, peer: Hello, news: EngineLeaves) -> None:
        host = self.host(news.engine)
        if host is not None:
            self.notices.note_leaving(host, f"peer {peer.name}")
            self.evacuation.look()

    async def _spread_leaving(self, host: Host) -> None:
        """Tell the engine's scheduler that it leaves, or as its scheduler the daemons with runs."""
        self.evacuation.look()
        if (TEAM, host.service) not in self.catalog.model_services():
            return
        cell = self.mesh.cell_map.of_engine(host.domain, TEAM, host.service, host.name)
        owners = self.membership.owners(cell.duty, host.domain)[:1]
        if owners == [self.config.name]:
            await self._tell_leaving(host, self.mesh.duties.empty(cell, host.name, LEAVING_TIME))
        else:
            await self._tell_leaving(host, set(owners))

    async def _tell_leaving(self, host: Host, daemons: set[str]) -> None:
        for name in daemons - {self.config.name}:
            try:
                await self.mesh.peers.send(name, EngineLeaves(host.name))
            except PeerError as error:
                logs.info("leaving not told", engine=host.name, daemon=name, why=str(error))

    def is_ready(self) -> bool:
        """Tell whether callers may be sent here."""
        return self.ready and not self.lifecycle.stopping.is_set() and self.informed()

    def _daemons(self) -> int:
        """Return how many daemons share the retry budget; forgotten ones count no more."""
        return 1 + len(self.membership.members)

    # Commands.

    async def run(self) -> int:
        """Serve until told to stop, then finish what is in progress; returns the exit status."""
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
        for work in (
            self.follower.follow(),
            self.follower.stay_listed(),
            self.kept_strikes.run(),
            self.deaths.run(),
            *self.mesh.work(),
            self.evacuation.run(),
            self._tick(),
            self._watch_file(),
        ):
            self.tasks.spawn(work)
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
            # Accepted connections inherit it: what a caller does not read stays with the engine.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        server.add_sockets(sockets)
        stack.push_async_callback(server.close_all_connections)
        return server

    async def _stop_tasks(self) -> None:
        await self.duties.close()
        await cancel_all([*self.tasks.running, *self.mesh.waiting()])

    def _news(self, document: Document) -> None:
        """Put a newer document in force."""
        bring_in_line(self.catalog, document, TEAM)
        self.server.conn_params.header_timeout = document.limits.idle_time

    def _hosts_changed(self) -> None:
        """Forget what hosts are gone, and empty engines that leave."""
        if self.membership.hosts is self.looked_at:
            return
        self.looked_at = self.membership.hosts
        self.notices.forget_unlisted(self.looked_at.by_name)
        self.front.choice.keep(self.looked_at.by_name.keys())
        self.evacuation.look()

    async def _tick(self) -> None:
        """Look at what time alone changes, for ever."""
        while True:
            await next_tick(TICK)
            self.directory.expire()
            self._hosts_changed()

    async def _watch_file(self) -> None:
        """Take a configuration file that changes without a signal, for ever."""
        while True:
            await next_tick(FILE_INTERVAL)
            if self.file.changed():
                self._reload("file changed")

    def _reload(self, why: str) -> None:
        """Take what may change while running from the configuration file."""
        fresh = self.file.read()
        if fresh is None:
            logs.error("configuration not reloaded", why=why)
            return
        self.config = fresh
        self.budget.limits = fresh.budget
        self.front.body_room = fresh.body_room
        logs.info("configuration reloaded", why=why)

    def _shape(self, service: str) -> EngineCapacity:
        """Return what the engines of a service can do, as far as the settings say."""
        document = self.documents.current
        known = document.services.get(service) if document else None
        return known.engine if known and known.engine else EngineCapacity(1, 1)

    def _note_first_event(self, admitted: Admitted) -> None:
        seconds = time.monotonic() - admitted.came_at
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
