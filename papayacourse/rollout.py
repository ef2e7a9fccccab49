"""Waits until every live daemon has given settings revisions in force."""

import asyncio
import time
from collections.abc import Mapping, Sequence
from urllib.parse import urlencode

from attrs import define, frozen

from papayacourse import jsontext
from papayacourse.exceptions import BackendError, PapayacourseError
from papayacourse.hostlist import HostList
from papayacourse.httpcall import HttpCall
from papayacourse.types import Address, Host, HostKind, HostState

POLL_INTERVAL_SECONDS = 0.2
CALL_TIMEOUT = 2.0  # seconds
MAX_PATHS_PER_CALL = 50
MAX_CONCURRENT_CALLS = 32


@frozen
class Rollout:
    """The progress of a rollout.

    Attributes
    ----------
    in_force, lagging : tuple of str
        Names of the daemons that have the change in force, and of those that do not yet.
    seconds : float
        The time waited, in seconds.
    """

    in_force: tuple[str, ...]
    lagging: tuple[str, ...]
    seconds: float


@define
class RolloutWatch:
    """Polls the daemons of the host list for the revisions they have in force."""

    hosts: HostList
    mesh_key: str

    async def wait(self, revisions: Mapping[str, int], limit: float) -> Rollout:
        """Wait until all live daemons have each path's revision, at most ``limit`` seconds."""
        started = time.monotonic()
        listing = await self.hosts.get()
        waiting = {
            host.name: host
            for host in listing.hosts
            if host.kind == HostKind.ENTRY and host.state == HostState.LIVE
        }
        done: list[str] = []
        while True:
            for name in await self._hosts_in_force(list(waiting.values()), revisions):
                del waiting[name]
                done.append(name)
            seconds = time.monotonic() - started
            if not waiting or seconds > limit:
                return Rollout(tuple(sorted(done)), tuple(sorted(waiting)), round(seconds, 3))
            await asyncio.sleep(POLL_INTERVAL_SECONDS)

    async def _hosts_in_force(
        self, hosts: Sequence[Host], revisions: Mapping[str, int]
    ) -> list[str]:
        semaphore = asyncio.Semaphore(MAX_CONCURRENT_CALLS)

        async def ask(host: Host) -> bool:
            async with semaphore:
                return await self._has_in_force(host, revisions)

        answers = await asyncio.gather(*map(ask, hosts))
        return [host.name for host, ready in zip(hosts, answers, strict=True) if ready]

    async def _has_in_force(self, host: Host, revisions: Mapping[str, int]) -> bool:
        paths = list(revisions)
        for start in range(0, len(paths), MAX_PATHS_PER_CALL):
            batch = paths[start : start + MAX_PATHS_PER_CALL]
            query = urlencode([("path", path) for path in batch])
            try:
                target = Address.parse(host.address)
                body = await ask_daemon(target, self.mesh_key, f"/debug/settings?{query}")
            except (BackendError, ValueError):
                return False
            if any(revision_of(body, path) < revisions[path] for path in batch):
                return False
        return True


def revision_of(body: dict, path: str) -> int:
    """Return the revision of a path on a daemon's page; 0 if the page has none."""
    try:
        revision = body["paths"][path]["revision"]
    except (KeyError, TypeError):
        return 0
    return revision if isinstance(revision, int) else 0


async def ask_daemon(daemon: Address, mesh_key: str, path: str) -> dict:
    """Fetch one of a daemon's debug pages.

    Raises
    ------
    BackendError
        If the daemon is unreachable, or answers with an unexpected status or no JSON object.
    PapayacourseError
        If the daemon rejects the mesh key.
    """
    headers = {"Authorization": f"Bearer {mesh_key}"}
    async with HttpCall(daemon, "GET", path, headers, idle_timeout=CALL_TIMEOUT) as call:
        body = await call.read()
    if call.status == 401:
        raise PapayacourseError(f"{daemon} does not know that mesh key")
    if call.status != 200:
        raise BackendError(f"{daemon} answered status {call.status}")
    try:
        return jsontext.parse_object(body)
    except ValueError as error:
        raise BackendError(f"{daemon} answered no JSON object: {error}") from error
