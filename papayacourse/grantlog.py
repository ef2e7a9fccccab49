"""Logs the decisions of a scheduler, and the state of its engines at that time."""

from collections.abc import Iterable

from papayacourse import logs
from papayacourse.ledger import EngineLedger, Stream
from papayacourse.schedulingmessages import GrantRequest


def engine_state(ledger: EngineLedger) -> dict[str, int | bool]:
    """Return the state of an engine for the log; memory and prompts in tokens."""
    return {
        "streams": len(ledger.streams),
        "promised": ledger.tokens,
        "unexplained": ledger.unattributed_tokens,
        "budget": int(ledger.budget),
        "prompts": int(ledger.prompt_queue.tokens),
        "prompt_speed": int(ledger.prompt_queue.speed),
        "held": ledger.memory_exceeded,
        "suspect": ledger.suspect,
    }


def log_granted(ledger: EngineLedger, stream: Stream, waited: float, **inputs) -> None:
    """Log a granted place; ``waited`` is in seconds."""
    logs.info(
        "granted", request=stream.generation.stream, engine=ledger.name,
        daemon_asking=stream.daemon, waited=round(waited, 3), tokens=stream.tokens,
        **inputs, **engine_state(ledger),
    )  # fmt: skip


def log_refused(request: GrantRequest, engines: Iterable[EngineLedger], why: str, **inputs) -> None:
    """Log a refused request, with the state of the engines that it could have used."""
    logs.info(
        "not granted", request=request.generation.stream, why=why,
        wait_limit=round(request.wait_limit, 3), engines=[engine_state(led) for led in engines],
        **inputs,
    )  # fmt: skip
