"""Notices that engines send in their answers: they are leaving, or ask for a pause in calls."""

import time
from collections import Counter
from collections.abc import Callable, Collection, Iterable, Iterator

from attrs import define, field, frozen

from papayacourse import logs
from papayacourse.engines import EngineLoad
from papayacourse.exceptions import BackendPaused, BackendUnreachable
from papayacourse.routed.brittleservers import BrittleServers
from papayacourse.routed.coldservers import ColdServers
from papayacourse.routed.seams import CopyResult, EngineCalls, EngineNotice, EngineRuns
from papayacourse.routed.serverlimits import ServerLimits
from papayacourse.serverreach import ServerReach
from papayacourse.types import Host, HostState

NOTICE_RETENTION = 120.0  # seconds after its engine is unlisted; it may be listed again
MAX_MOVES_IN_PAUSE = 1  # calls; another may be in flight when the engine asks for a pause
PAUSED_STATUS = 503  # HTTP status reported for a call that is not made during a pause


@define
class Pause:
    """A period in which an engine has asked this daemon to send no calls.

    Attributes
    ----------
    until : float
        The end of the pause, in seconds of the clock.
    moves : int
        How many calls that save a run may still be made.
    """

    until: float
    moves: int


@frozen
class Opening:
    """When an engine can be sent a request again.

    Attributes
    ----------
    wait : float
        In how many seconds; 0 for now.
    is_limited : bool
        Whether its limit is reached; otherwise it has asked for a pause.
    """

    engine: str
    wait: float
    is_limited: bool


@define(eq=False)
class EngineNotices:
    """The engines that asked this daemon for no new work.

    The name of an engine contains its start time, so a notice applies to one process only.

    Attributes
    ----------
    on_leaving : callable
        Called with an engine that was not yet known to be leaving.
    leaving : dict of str to float
        When each leaving engine was last listed or last reported that, in seconds of the clock.
    pauses : dict of str to Pause
        The pauses that engines asked for, by engine name.
    limits : ServerLimits
        The request limits that engines named.
    brittle : BrittleServers
        The servers that fall over when they reject too many requests.
    cold : ColdServers
        The servers that have just started and bear few requests.
    reach : ServerReach
        Tells whether any server can be reached.
    sends : Counter of str
        How many callers' requests were sent to each engine, repeats included.
    """

    clock: Callable[[], float] = time.monotonic
    on_leaving: Callable[[Host], None] = lambda _host: None
    leaving: dict[str, float] = field(factory=dict)
    pauses: dict[str, Pause] = field(factory=dict)
    limits: ServerLimits = field(factory=ServerLimits)
    brittle: BrittleServers = field(factory=BrittleServers)
    cold: ColdServers = field(factory=ColdServers)
    reach: ServerReach = field(factory=ServerReach)
    sends: Counter = field(factory=Counter)

    # Queries.

    def is_leaving(self, name: str) -> bool:
        """Return True if an engine has reported that it is leaving."""
        return name in self.leaving

    def pause_left(self, name: str) -> float:
        """Return the remaining seconds of an engine's pause, or 0.0."""
        pause = self.pauses.get(name)
        return max(0.0, pause.until - self.clock()) if pause else 0.0

    def takes_work(self, host: Host) -> bool:
        """Return True if an engine may be sent a new request."""
        stays = host.state == HostState.LIVE and host.name not in self.leaving
        available = not self.pause_left(host.name) and not self.limits.blocked_for(host.name)
        may_send = not self.brittle.wait_for(host) and not self.cold.wait_for(host.name)
        return stays and available and may_send

    def earliest(self, hosts: Iterable[Host]) -> Opening | None:
        """Return which engine that stays can be sent a request first, and when.

        None if no engine stays, or if one of them can be sent a request now.
        """
        stay = (h for h in hosts if h.state == HostState.LIVE and h.name not in self.leaving)
        first = min(map(self._opening, stay), key=lambda opening: opening.wait, default=None)
        return first if first is not None and first.wait else None

    def _opening(self, host: Host) -> Opening:
        name = host.name
        waits = self.pause_left(name), self.brittle.wait_for(host), self.cold.wait_for(name)
        pause = max(waits)
        turn = self.limits.turn_in(name)
        return Opening(name, max(pause, turn), is_limited=turn > pause)

    def sends_by_server(self) -> Iterator[tuple[int, dict[str, str]]]:
        """Yield the number of requests sent to each engine, for the metrics."""
        yield from ((number, {"server": name}) for name, number in self.sends.items())

    # Commands.

    def admit_send(self, host: Host, saves_run: bool) -> None:
        """Admit a request over a connection that has just been opened.

        Parameters
        ----------
        saves_run : bool
            Whether it continues a run, which then goes ahead of new requests, except at a cold
            server.

        Raises
        ------
        BackendUnreachable
            When other requests have taken this daemon's places at a brittle server meanwhile, or
            its turn at a cold one.
        """
        self.reach.record_contact()
        if not saves_run and self.brittle.wait_for(host):
            raise BackendUnreachable(f"no place at {host.name}, which is brittle")
        if self.cold.wait_for(host.name):
            self.cold.record_declined(host.name)
            raise BackendUnreachable(f"{host.name} is cold, and others have been sent to it")

    def record_send(self, host: Host) -> None:
        """Log and count a caller's request that is sent to an engine."""
        self.brittle.record_begin(host.name)
        self.cold.record_send(host.name)
        self.sends[host.name] += 1
        age = self.limits.age(host.name)
        logs.info(
            "sent", server=host.name, limit=self.limits.rate(host.name),
            limit_age=None if age is None else round(age, 3),
        )  # fmt: skip

    def take(self, host: Host, notice: EngineNotice, asked_at: float | None = None) -> None:
        """Record the notice in an engine's answer.

        Parameters
        ----------
        asked_at : float, optional
            When the request was sent, in seconds of the limits' clock, if the answer certainly
            belongs to it. Other answers can name a limit, but not lift one.
        """
        if notice.leaves:
            self.record_leaving(host, "its answer")
        if notice.pause is not None:
            until = max(self.clock() + notice.pause, self.clock() + self.pause_left(host.name))
            self.pauses[host.name] = Pause(until, MAX_MOVES_IN_PAUSE)
            logs.info("engine wants a pause", engine=host.name, seconds=round(notice.pause, 3))
        self.limits.record_answer(host.name, asked_at, notice.limit)
        self.brittle.record_answer(host, notice.rejections, asked_at is not None)
        self.cold.record_answer(host, notice.cold)

    def record_leaving(self, host: Host, source: str) -> bool:
        """Record that an engine is leaving; returns True if the host list and notices lacked it."""
        known = host.name in self.leaving
        self.leaving[host.name] = self.clock()
        if known:
            return False
        logs.info("engine says it leaves", engine=host.name, listed=host.state.value, source=source)
        if host.state == HostState.LIVE:
            self.on_leaving(host)
        return host.state == HostState.LIVE

    def forget_unlisted(self, listed: Collection[str]) -> None:
        """Forget expired pauses, and notices of engines that have long been unlisted."""
        now = self.clock()
        self.leaving |= dict.fromkeys(self.leaving.keys() & set(listed), now)
        self.leaving = {
            name: at for name, at in self.leaving.items() if now - at < NOTICE_RETENTION
        }
        self.pauses = {name: pause for name, pause in self.pauses.items() if pause.until > now}
        self.limits.forget_unlisted(listed)
        self.brittle.forget_unlisted(listed)
        self.sends = Counter({name: n for name, n in self.sends.items() if name in listed})

    def admit_call(self, host: Host, saves_run: bool) -> None:
        """Admit a call to an engine, or raise BackendPaused during its pause.

        Parameters
        ----------
        saves_run : bool
            Whether the call saves a run from being lost; a pause permits a few such calls.
        """
        if not self.pause_left(host.name):
            return
        pause = self.pauses[host.name]
        if not saves_run or not pause.moves:
            raise BackendPaused(PAUSED_STATUS, f"{host.name} wants to be left alone")
        pause.moves -= 1


@define(eq=False)
class GuardedEngineCalls:
    """Engine calls that are refused while the engine has asked for a pause.

    Attributes
    ----------
    calls : EngineCalls
        The calls without this check.
    """

    calls: EngineCalls
    notices: EngineNotices

    async def load(self, host: Host) -> EngineLoad:
        """Return an engine's load; raises BackendError."""
        self.notices.admit_call(host, saves_run=False)
        try:
            load = await self.calls.load(host)
        except BackendUnreachable:
            self.notices.reach.record_failure()
            raise
        self.notices.reach.record_contact()
        return load

    async def runs(self, host: Host) -> EngineRuns:
        """Return the runs on an engine; raises BackendError."""
        self.notices.admit_call(host, saves_run=False)
        return await self.calls.runs(host)

    async def copy_run(self, source: Host, run: str, target: Host, stop: bool) -> CopyResult:
        """Copy a run to another engine, and stop it if asked to; raises BackendError."""
        self.notices.admit_call(source, saves_run=stop)
        return await self.calls.copy_run(source, run, target, stop)

    async def drop_copy(self, source: Host, handle: str) -> None:
        """Free the memory of a copy; raises BackendError."""
        self.notices.admit_call(source, saves_run=False)
        await self.calls.drop_copy(source, handle)
