"""What engines say of themselves in their answers: that they leave, or want to be left alone."""

import time
from collections.abc import Callable, Iterable

from attrs import define, field

from papayacourse import logs
from papayacourse.engines import EngineLoad
from papayacourse.exceptions import BackendRefused
from papayacourse.routed.seams import Copied, EngineCalls, EngineNotice, EngineRuns
from papayacourse.types import Host, HostState

KEPT = 120.0  # seconds for which a notice outlives its engine's entry, which may come back
MOVES_IN_PAUSE = 1  # calls; another may be on its way when the engine asks to be left alone
LEFT_ALONE = 503  # status of a call that was not made


@define
class Pause:
    """An engine wants nothing from this daemon for a while.

    Attributes
    ----------
    until : float
        The end of it, in seconds of the clock.
    moves : int
        Calls that save a run, which may still be made.
    """

    until: float
    moves: int


@define(eq=False)
class EngineNotices:
    """The engines that get no new work from this daemon, by their own word.

    The name of an engine holds the moment of its start, so that a notice ends with its process.

    Attributes
    ----------
    on_leaving : callable
        Called with an engine that was not known to leave.
    leaving : dict of str to float
        The engines that leave, and when each was last listed or said so, in seconds of the clock.
    pauses : dict of str to Pause
        The engines that want to be left alone.
    """

    clock: Callable[[], float] = time.monotonic
    on_leaving: Callable[[Host], None] = lambda _host: None
    leaving: dict[str, float] = field(factory=dict)
    pauses: dict[str, Pause] = field(factory=dict)

    # Queries.

    def is_leaving(self, name: str) -> bool:
        """Tell whether an engine has said that it leaves."""
        return name in self.leaving

    def pause_left(self, name: str) -> float:
        """Return for how long an engine still wants to be left alone, in seconds."""
        pause = self.pauses.get(name)
        return max(0.0, pause.until - self.clock()) if pause else 0.0

    def takes_work(self, host: Host) -> bool:
        """Tell whether an engine may be sent a new request."""
        stays = host.state == HostState.LIVE and host.name not in self.leaving
        return stays and not self.pause_left(host.name)

    def earliest(self, hosts: Iterable[Host]) -> float | None:
        """Return when the first engine that stays ends its pause, in seconds from now.

        None where none of the engines stays, or one of them takes work.
        """
        stay = [h.name for h in hosts if h.state == HostState.LIVE and h.name not in self.leaving]
        return min(map(self.pause_left, stay), default=0.0) or None

    # Commands.

    def take(self, host: Host, notice: EngineNotice) -> None:
        """Take what an answer of an engine says of it."""
        if notice.leaves:
            self.record_leaving(host, "its answer")
        if notice.pause is not None:
            until = max(self.clock() + notice.pause, self.clock() + self.pause_left(host.name))
            self.pauses[host.name] = Pause(until, MOVES_IN_PAUSE)
            logs.info("engine wants a pause", engine=host.name, seconds=round(notice.pause, 3))

    def record_leaving(self, host: Host, source: str) -> bool:
        """Note that an engine leaves; tells whether that was news."""
        known = host.name in self.leaving
        self.leaving[host.name] = self.clock()
        if known:
            return False
        logs.info("engine says it leaves", engine=host.name, listed=host.state.value, source=source)
        if host.state == HostState.LIVE:
            self.on_leaving(host)
        return host.state == HostState.LIVE

    def forget_unlisted(self, listed: Iterable[str]) -> None:
        """Forget what engines said that have not been listed for long."""
        now = self.clock()
        self.leaving |= dict.fromkeys(self.leaving.keys() & set(listed), now)
        self.leaving = {name: at for name, at in self.leaving.items() if now - at < KEPT}
        self.pauses = {name: pause for name, pause in self.pauses.items() if pause.until > now}

    def allow(self, host: Host, saves_run: bool) -> None:
        """Let a call to an engine pass; raises BackendRefused during its pause.

        Parameters
        ----------
        saves_run : bool
            Whether the call saves a run that would be lost, for which a few calls are kept.
        """
        if not self.pause_left(host.name):
            return
        pause = self.pauses[host.name]
        if not saves_run or not pause.moves:
            raise BackendRefused(LEFT_ALONE, f"{host.name} wants to be left alone")
        pause.moves -= 1


@define(eq=False)
class GuardedEngineCalls:
    """Calls to engines that heed what they have said of themselves.

    Attributes
    ----------
    calls : EngineCalls
        Makes the calls.
    """

    calls: EngineCalls
    notices: EngineNotices

    async def load(self, host: Host) -> EngineLoad:
        """Return an engine's load; raises BackendError."""
        self.notices.allow(host, saves_run=False)
        return await self.calls.load(host)

    async def runs(self, host: Host) -> EngineRuns:
        """Return what an engine works on; raises BackendError."""
        self.notices.allow(host, saves_run=False)
        return await self.calls.runs(host)

    async def copy_run(self, source: Host, run: str, target: Host, stop: bool) -> Copied:
        """Copy a run to another engine, and stop it if asked to; raises BackendError."""
        self.notices.allow(source, saves_run=stop)
        return await self.calls.copy_run(source, run, target, stop)

    async def drop_copy(self, source: Host, handle: str) -> None:
        """Free the memory that a copy takes; raises BackendError."""
        self.notices.allow(source, saves_run=False)
        await self.calls.drop_copy(source, handle)
