"""Finds out whether a stream that ended with its connection is complete.

An answer with neither a length nor chunks ends with its connection. So does one whose engine has
stopped the run, or has died. Such a stream is complete only if its engine lives and has ended the
run by itself.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Iterator

from attrs import define, field

from papayacourse import logs
from papayacourse.exceptions import BackendAnswerLost, BackendError
from papayacourse.routed.generation import Generation
from papayacourse.routed.seams import EngineRuns
from papayacourse.serverlife import accepts_connections
from papayacourse.types import Address, Host

# Seconds before each question whether an engine has ended a run; its reports lag behind.
REPORT_PAUSES = (0.0, 0.2, 0.3, 0.5)
TIME_LIMIT_MARGIN = 0.1  # seconds; an engine ends what is left of a run at the caller's time limit


@define(eq=False)
class ClosedEnds:
    """Checks the ends of streams that ended with their connections.

    Attributes
    ----------
    counts : Counter of str
        How many ends were found to be of each kind: ``complete`` or ``broken``.
    """

    counts: Counter[str] = field(factory=Counter)

    def labelled(self) -> Iterator[tuple[int, dict[str, str]]]:
        """Yield the number of ends of each kind with its metric attributes."""
        yield from ((number, {"end": kind}) for kind, number in self.counts.items())

    async def check(self, generation: Generation) -> None:
        """Return if a stream is complete; raise BackendAnswerLost if nothing shows that it is."""
        began = time.monotonic()
        try:
            await _check(generation)
        except BackendAnswerLost as error:
            self._record(generation, "broken", str(error), began)
            raise
        self._record(generation, "complete", "the run ended by itself", began)

    def _record(self, generation: Generation, kind: str, why: str, began: float) -> None:
        self.counts[kind] += 1
        logs.info(
            "stream closed", request=generation.run_id, engine=generation.engine.name, end=kind,
            why=why, events=generation.events, seconds=round(time.monotonic() - began, 3),
        )  # fmt: skip


async def _check(generation: Generation) -> None:
    if generation.admitted.time_left() < TIME_LIMIT_MARGIN:
        raise BackendAnswerLost("the stream ended at the caller's time limit")
    await _check_orders(generation)
    await _check_engine(generation)
    await _check_orders(generation)  # a move may have stopped it between two reports


async def _check_orders(generation: Generation) -> None:
    """Raise BackendAnswerLost if an order may have stopped the run.

    Waits for a move that has ordered it: the engine may answer that the run had ended before.
    """
    orders, engine = generation.stop_orders, generation.engine.name
    if orders.may_have_stopped(engine) and generation.pending_move is not None:
        await asyncio.shield(generation.pending_move)
    if orders.may_have_stopped(engine):
        raise BackendAnswerLost("the run has been ordered to stop")


async def _check_engine(generation: Generation) -> None:
    """Raise BackendAnswerLost unless the engine lives and does not have the run any more."""
    engine, run = generation.engine, generation.run_id
    for pause in REPORT_PAUSES:
        await asyncio.sleep(pause)
        report = await _report(generation, engine)
        if report is None or all(state.name != run for state in report.runs):
            return
    raise BackendAnswerLost(f"{engine.name} still has the run")


async def _report(generation: Generation, engine: Host) -> EngineRuns | None:
    """Return an engine's report, or None if it lives but sends none.

    Raises BackendAnswerLost if nothing shows that it lives.
    """
    try:
        report = await generation.fleet.engine_calls.runs(engine)
    except BackendError as error:
        if await accepts_connections(Address.parse(engine.address)):
            return None
        raise BackendAnswerLost(f"the engine may have died: {error}") from error
    if not report.is_same_start:
        raise BackendAnswerLost(f"{engine.name} has started anew")
    return report
