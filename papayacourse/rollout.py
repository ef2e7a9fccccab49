"""Tells when every live daemon has settings in force."""

import asyncio
import json
import time
from collections.abc import Mapping, Sequence
from urllib.parse import urlencode

from attrs import define, frozen

from papayacourse.exceptions import BackendError, PapayacourseError
from papayacourse.hostlist import HostList
from papayacourse.httpcall import HttpCall
from papayacourse.types import Address, Host, HostKind, HostState

POLL_INTERVAL = 0.2  # seconds
CALL_TIMEOUT = 2.0  # seconds
PATHS_IN_ONE_CALL = 50
DAEMONS_AT_ONCE = 32


@frozen
class Rollout:
    """How far a change has come.

    Attributes
    ----------
    in_force, lagging : tuple of str
        Names of daemons.
    seconds : float
        How long was waited.
    """

    in_force: tuple[str, ...]
    lagging: tuple[str, ...]
    seconds: float


@define
class RolloutWatch:
    """Asks the daemons of the host list which revisions they have in force."""

    hosts: HostList
    mesh_key: str

    async def wait(self, revisions: Mapping[str, int], limit: float) -> Rollout:
        """Wait until all live daemons have each path at its revision, or a limit in seconds."""
        started = time.monotonic()
        listing = await self.hosts.get()
        waiting = {
            host.name: host
            for host in listing.hosts
            if host.kind == HostKind.ENTRY and host.state == HostState.LIVE
        }
        done: list[str] = []
        while True:
            for name in await self._ready(list(waiting.values()), revisions):
                del waiting[name]
                done.append(name)
            seconds = time.monotonic() - started
            if not waiting or seconds > limit:
                return Rollout(tuple(sorted(done)), tuple(sorted(waiting)), round(seconds, 3))
            await asyncio.sleep(POLL_INTERVAL)

    async def _ready(self, hosts: Sequence[Host], revisions: Mapping[str, int]) -> list[str]:
        gate = asyncio.Semaphore(DAEMONS_AT_ONCE)

        async def ask(host: Host) -> bool:
            async with gate:
                return await self._has(host, revisions)

        answers = await asyncio.gather(*map(ask, hosts))
        return [host.name for host, ready in zip(hosts, answers, strict=True) if ready]

    async def _has(self, host: Host, revisions: Mapping[str, int]) -> bool:
        paths = list(revisions)
        for start in range(0, len(paths), PATHS_IN_ONE_CALL):
            some = paths[start : start + PATHS_IN_ONE_CALL]
            query = urlencode([("path", path) for path in some])
            try:
                target = Address.parse(host.address)
                body = await ask_daemon(target, self.mesh_key, f"/debug/settings?{query}")
            except (BackendError, ValueError):
                return False
            if any(body["paths"][path]["revision"] < revisions[path] for path in some):
                return False
        return True


async def ask_daemon(daemon: Address, mesh_key: str, path: str) -> dict:
    """Read one of a daemon's pages for operators.

    Raises
    ------
    BackendError
        When the daemon cannot be asked.
    PapayacourseError
        When it refuses the key.
    """
    headers = {"Authorization": f"Bearer {mesh_key}"}
    async with HttpCall(daemon, "GET", path, headers, idle_timeout=CALL_TIMEOUT) as call:
        body = await call.read()
    if call.status == 401:
        raise PapayacourseError(f"{daemon} does not know that mesh key")
    if call.status != 200:
        raise BackendError(f"{daemon} answered status {call.status}")
    return json.loads(body)
