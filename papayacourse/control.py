"""The daemon: creates, connects, starts and stops its components."""

import asyncio
import hashlib
import hmac
import json
import socket
import sys
import time
from collections import Counter
from collections.abc import Hashable, Iterator
from contextlib import AsyncExitStack, contextmanager

from attrs import define, field
from tornado.netutil import bind_sockets
from tornado.web import Application

import papayacourse.forecastgrid  # noqa: F401  before the first request, which would wait for it
from papayacourse import invariants, linkclasses, logs, routes
from papayacourse.answermemory import AnswerMemory
from papayacourse.catalog import Catalog, Client
from papayacourse.config import DaemonConfig
from papayacourse.cursor import CursorSigner
from papayacourse.deaths import ServerDeaths
from papayacourse.enginelist import is_eligible
from papayacourse.enginereader import EngineReader
from papayacourse.exceptions import RequestRefused
from papayacourse.hostlist import HostList
from papayacourse.joins import KeyedRelays
from papayacourse.kvstore import KeyValueStore
from papayacourse.leases import Lease
from papayacourse.lifecycle import UNREAD, Lifecycle
from papayacourse.linkclasses import StreamTraffic
from papayacourse.listener import Listener
from papayacourse.mesh import Mesh
from papayacourse.meshmessages import Hello
from papayacourse.metrics import Metrics
from papayacourse.once import NonRepeatableRouter
from papayacourse.orders import LEASE_KEY, Orders, WeightBudget
from papayacourse.recenttimes import RecentTimes
from papayacourse.records import Records
from papayacourse.retries import RetryBudgets
from papayacourse.streams import Relay
from papayacourse.targets import Targets
from papayacourse.tasks import BackgroundTasks, cancel_all
from papayacourse.tokenclock import TokenClock, token_clock
from papayacourse.types import Address, GenerationRequest, Host, HostKind
from papayacourse.version import __version__
from papayacourse.watch import SettingsWatch
from papayacourse.web import Handler

IDLE_CONNECTION_TIMEOUT = 75.0  # seconds
HARD_LIMIT_FACTOR = 4
MIN_BUFFER_BYTES = 256 * 1024
SEND_BUFFER_BYTES = 64 * 1024  # in the kernel, for each caller


def derive_key(key: str, purpose: str) -> str:
    """Derive a separate key for one purpose from the mesh key."""
    return hmac.new(key.encode(), purpose.encode(), hashlib.sha256).hexdigest()


@define(eq=False, slots=False)
class Daemon:
    """One papayacourse daemon."""

    config: DaemonConfig
    ready: bool = False
    busy: Counter = field(factory=Counter)
    tasks: BackgroundTasks = field(factory=BackgroundTasks)
    held: set[asyncio.Task] = field(factory=set)
    reading: set[Handler] = field(factory=set)
    work_times: RecentTimes = field(factory=RecentTimes)

    def __attrs_post_init__(self) -> None:
        config = self.config
        self.lifecycle = Lifecycle(self)
        self.lifecycle.deadline.on_expire = self._refuse_unread
        self.idle = asyncio.Event()
        self.idle.set()
        self.metrics = Metrics(config.name)
        invariants.start(
            config.fatal_invariants, lambda name: self.metrics.violations.add(1, {"name": name})
        )
        self.catalog = Catalog()
        self.store = KeyValueStore(config.kvstore, self.metrics.count_platform)
        self.signer = CursorSigner(derive_key(config.mesh_key, "cursor"))
        self.joins = KeyedRelays()
        self.retries = RetryBudgets()
        self.streams = StreamTraffic()
        self.records = Records(self.store, self.catalog.team)
        self.watch = SettingsWatch(self.store, self.catalog)

    async def run(self) -> int:
        """Serve until a stop is requested, drain, and return the exit status."""
        async with AsyncExitStack() as stack:
            await self._open(stack)
            await self.lifecycle.stopping.wait()
            return await self.lifecycle.drain()

    async def _open(self, stack: AsyncExitStack) -> None:
        config = self.config
        incarnation = time.time_ns()
        hello = Hello(config.name, incarnation, config.domain, config.region, "", b"")
        self.mesh = Mesh(
            hello,
            config.mesh_key,
            config.seeds,
            self.catalog,
            HostList(config.hostlist),
            self.metrics,
            self.tasks.spawn,
        )
        self._bind_mesh_components()
        linkclasses.report(self.metrics, lambda: self.peers.traffic.by_class, self.streams)
        self.membership.informed = self.informed
        targets = Targets(self.catalog, self.membership)
        self.engine_reader = EngineReader(targets, self.membership, self.peers)
        self.metrics.watch_totals(
            "papayacourse_spill_questions", "", self.placement.spill.questions
        )
        self.orders = Orders(
            Lease(self.store, LEASE_KEY, config.name),
            targets,
            self.membership,
            self.engine_reader,
            WeightBudget(config.weight_rate),
            self.scheduling.drain,
        )
        self.answers = AnswerMemory()
        self.deaths = ServerDeaths(
            self.quarantine, lambda: self.membership.hosts, self.membership.is_leaving
        )
        self.once = NonRepeatableRouter(self.records, self.membership, self.peers, self)
        mesh = await stack.enter_async_context(self.peers.listening(config.mesh))
        advertised = str(config.advertise_mesh or mesh)
        self.mesh.advertise(advertised)
        http = self._listen(stack)
        stack.push_async_callback(self._stop_tasks)
        for loop in (
            self.watch.run,
            self.membership.host_sync.poll,
            *self.mesh.loops(),
            self.engine_reader.run,
            self.orders.run,
            self.deaths.run,
        ):
            self.tasks.keep(loop)
        self.lifecycle.listen_for_signals()
        self.ready = True
        logs.info("ready", http=str(http), mesh=str(mesh), version=__version__)
        print(json.dumps({"ready": config.name, "http": str(http), "mesh": str(mesh)}), flush=True)

    def _bind_mesh_components(self) -> None:
        """Bind the mesh's components to the attributes that handlers and commands use."""
        self.peers = self.mesh.peers
        self.membership = self.mesh.membership
        self.quarantine = self.mesh.quarantine
        self.gateways = self.mesh.gateways
        self.cell_map = self.mesh.cell_map
        self.duties = self.mesh.duties
        self.scheduling = self.mesh.scheduling
        self.placement = self.mesh.placement

    def _listen(self, stack: AsyncExitStack) -> Address:
        config = self.config
        self.server = Listener(
            Application(routes.routes(self), compress_response=False, log_function=lambda _: None),
            # Handlers enforce the configured limits with their own errors. These higher limits
            # only bound the memory of a connection before a handler runs.
            max_body_size=config.max_body_bytes * HARD_LIMIT_FACTOR,
            max_buffer_size=max(config.max_header_bytes * HARD_LIMIT_FACTOR, MIN_BUFFER_BYTES),
            max_header_size=config.max_header_bytes * HARD_LIMIT_FACTOR,
            body_timeout=config.body_timeout * HARD_LIMIT_FACTOR,
            idle_connection_timeout=IDLE_CONNECTION_TIMEOUT,
        )
        sockets = bind_sockets(config.http.port, config.http.host)
        for listener in sockets:
            # Accepted connections inherit this: a slow caller causes back-pressure on the engine.
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        self.server.add_sockets(sockets)
        stack.push_async_callback(self.server.close_all_connections)
        host, port = sockets[0].getsockname()[:2]
        return Address(host, port)

    def informed(self) -> bool:
        """Return True if settings and hosts have arrived from the platform or a peer."""
        return self.catalog.informed and self.membership.host_sync.known

    async def _stop_tasks(self) -> None:
        await self.duties.close()
        waiting = [*self.tasks.running, *self.held, *self.mesh.waiting()]
        await cancel_all(waiting)

    # Used by the handlers.

    @contextmanager
    def in_progress(self, client: Client) -> Iterator[None]:
        """Count an in-flight request of an account; refuse it over the account's limit.

        Raises
        ------
        StopExpired
            When a planned stop leaves it no more time.
        """
        account = (client.team, client.name)
        if self.busy[account] >= client.settings.max_in_progress:
            raise RequestRefused(
                429,
                "account_limit",
                "the account has too many requests in progress",
                retry_after=1.0,
            )
        with self._counted(account), self.lifecycle.deadline.bound():
            yield

    @contextmanager
    def beginning(self, team: str, service: str) -> Iterator[None]:
        """Record how long a request takes; begin none that a planned stop leaves no time for.

        Raises
        ------
        StopExpired
            When a planned stop leaves too little time for it.
        """
        kind = f"{team}/{service}"
        self.lifecycle.deadline.check_begin(self.work_times.expected(kind))
        with self.work_times.record(kind):
            yield

    @contextmanager
    def track_duty(self, duty: str) -> Iterator[None]:
        """Count work for another daemon, which a graceful stop completes first.

        Raises
        ------
        StopExpired
            When a planned stop leaves it no more time.
        """
        with self._counted(duty), self.lifecycle.deadline.bound():
            yield

    def begin_reading(self, handler: Handler) -> None:
        """Count a request whose headers have come as one in progress."""
        self.reading.add(handler)
        self._count(UNREAD, 1)

    def end_reading(self, handler: Handler) -> None:
        """Count a request no longer as unread: its body has come, or will not be read."""
        if handler in self.reading:
            self.reading.discard(handler)
            self._count(UNREAD, -1)

    def _refuse_unread(self) -> None:
        """Refuse the requests whose bodies have not come when a planned stop ends."""
        for handler in list(self.reading):
            handler.refuse_unread()

    @contextmanager
    def _counted(self, kind: Hashable) -> Iterator[None]:
        self._count(kind, 1)
        try:
            yield
        finally:
            self._count(kind, -1)

    def _count(self, kind: Hashable, change: int) -> None:
        self.busy[kind] += change
        if self.busy.total():
            self.idle.clear()
        else:
            self.idle.set()

    def pending(self) -> list[asyncio.Task]:
        """Return the tasks that a graceful stop awaits besides in-flight requests."""
        return [*self.held, *self.records.persisting]

    def unfinished(self) -> dict[str, int]:
        """Return the counts of pending work for the log lines of a graceful stop."""
        return {"held": len(self.held), "unwritten": len(self.records.persisting)}

    def token_clock(self, generation: GenerationRequest) -> TokenClock:
        """Return a clock that measures the token times of one generation."""
        return token_clock(self.metrics, generation)

    @property
    def stopping(self) -> bool:
        """Return True if a stop has been requested."""
        return self.lifecycle.stopping.is_set()

    def hold(self, relay: Relay | None, resume_window: float) -> None:
        """Keep the stream of a disconnected caller for its resume window in seconds."""
        if relay is not None:
            relay.held = True
            task = asyncio.create_task(self._hold(relay, resume_window))
            self.held.add(task)
            task.add_done_callback(self.held.discard)

    async def _hold(self, relay: Relay, resume_window: float) -> None:
        try:
            await relay.hold_then_cancel(resume_window)
        finally:
            self.joins.remove(relay)

    def plain_servers(self, team: str, service: str) -> list[Host]:
        """Return a plain service's backends: this domain first, then this region."""
        hosts = [
            host
            for deployment in self.catalog.deployments(team, service)
            for host in self.membership.backends(HostKind.PLAIN)
            if is_eligible(host, deployment)
        ]
        hosts.sort(
            key=lambda host: (host.domain != self.config.domain, host.region != self.config.region)
        )
        return hosts

    def is_operator(self, authorization: str) -> bool:
        """Return True if an Authorization header carries the mesh key."""
        expected = f"Bearer {self.config.mesh_key}".encode()
        return hmac.compare_digest(authorization.encode(), expected)

    def status(self) -> dict:
        """Return the daemon's view of the system for operators."""
        return {
            "name": self.config.name,
            "domain": self.config.domain,
            "version": __version__,
            "ready": self.ready,
            "in_progress": self.busy.total(),
            "clock_offset": round(self.store.clock.offset, 1),
            "settings": {
                "paths": sum(v.text is not None for v in self.catalog.values.values()),
                "digest": f"{self.catalog.digest:016x}",
                "revision": max((v.revision for v in self.catalog.values.values()), default=0),
                "rejected": sorted(self.catalog.rejected),
            },
            "peers": [
                {
                    "name": m.name,
                    "domain": m.domain,
                    "alive": self.membership.is_alive(m.name),
                    "leaving": m.leaving or m.listed_leaving,
                }
                for m in self.membership.members.values()
            ],
            "quarantine": self.quarantine.counts(),
            "schedulers": [
                {
                    "team": cell.team,
                    "service": cell.service,
                    "cell": cell.number,
                    "queued": len(scheduler.grant_queue.queue),
                    "engines": [
                        {
                            "name": ledger.name,
                            "usable": ledger.usable,
                            "streams": len(ledger.streams),
                            "tokens": ledger.tokens,
                            "generated": sum(s.generated for s in ledger.streams.values()),
                            "memory_tokens": ledger.memory_tokens,
                        }
                        for ledger in scheduler.ledgers.values()
                    ],
                }
                for cell, scheduler in self.duties.schedulers.items()
            ],
            "orders": self.orders.lease.fence if self.orders.lease.holds() else None,
            "engine_reads": self.engine_reader.reads,
            "mesh_bytes": self.peers.traffic.payload(),
            "mesh": {
                "frames": self.peers.traffic.frames(),
                "messages": self.peers.traffic.table(),
                "links": len(self.peers.all_links()),
                "dials": self.peers.dials,
                "accepted": self.peers.accepted,
            },
            "hosts": self.membership.host_sync.status(),
            "domains": [
                {
                    "name": domain,
                    "live": sorted(self.membership.live(domain)),
                    "loads": [
                        {
                            "team": load.team,
                            "service": load.service,
                            "cell": load.cell,
                            "queued": load.queued,
                            "free_tokens": load.free_tokens,
                        }
                        for load in self.gateways.loads(domain)
                    ],
                }
                for domain in sorted(self.membership.domains())
            ],
        }


def serve(config: DaemonConfig) -> int:
    """Run a daemon and return its exit status."""
    logs.start(config.log_level, config.name)
    try:
        return asyncio.run(Daemon(config).run())
    except OSError as error:
        print(f"papayacourse: cannot start: {error}", file=sys.stderr)
        return 1
