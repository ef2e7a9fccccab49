"""Reads the load of engines through the platform's adapter."""

from collections.abc import Awaitable, Callable

from attrs import define

from papayacourse.engines import CacheEvents, EngineLoad
from papayacourse.enginewatch import EngineReports
from papayacourse.exceptions import BackendUnreachable
from papayacourse.ledger import EngineLedger
from papayacourse.routed.seams import EngineCalls
from papayacourse.types import Host

REPORT_INTERVAL = 1.0  # seconds; the ledger tracks grants in between, and each report has a cost


@define(eq=False)
class AdapterReports(EngineReports):
    """Reads the load of listed engines.

    Attributes
    ----------
    host : callable
        Returns a listed host by its name, or None.
    record_leaving : callable
        Called with an engine that reports it is leaving, and the daemons with runs there.
    """

    calls: EngineCalls
    host: Callable[[str], Host | None]
    record_leaving: Callable[[Host, set[str]], Awaitable[None]]
    interval: float = REPORT_INTERVAL

    async def load(self, ledger: EngineLedger) -> EngineLoad:
        """Return an engine's load; raises BackendError."""
        host = self.host(ledger.name)
        if host is None:
            raise BackendUnreachable(f"{ledger.name} is not listed")
        load = await self.calls.load(host)
        if load.leaving:
            daemons = {stream.daemon for stream in ledger.streams.values()}
            await self.record_leaving(host, daemons)
        return load

    async def cache_events(self, ledger: EngineLedger, after: int) -> CacheEvents:
        """Return no events: cached prefixes are inferred from the requests routed here."""
        return CacheEvents((), after)
