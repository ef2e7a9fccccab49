"""Writes down what a scheduler decided, and what it knew of its engines then."""

from collections.abc import Iterable

from papayacourse import logs
from papayacourse.ledger import EngineLedger, Stream
from papayacourse.schedulingmessages import GrantRequest


def state_of(ledger: EngineLedger) -> dict[str, int | bool]:
    """Return what a ledger says of its engine; memory and prompts in tokens."""
    return {
        "streams": len(ledger.streams),
        "promised": ledger.tokens,
        "unexplained": ledger.foreign_tokens,
        "budget": int(ledger.budget),
        "prompts": int(ledger.prompt_queue.tokens),
        "prompt_speed": int(ledger.prompt_queue.speed),
        "held": ledger.held,
        "suspect": ledger.suspect,
    }


def log_granted(ledger: EngineLedger, stream: Stream, waited: float) -> None:
    """Write the line of a place granted; ``waited`` is in seconds."""
    logs.info(
        "granted", request=stream.generation.stream, engine=ledger.name,
        daemon_asking=stream.daemon, waited=round(waited, 3), tokens=stream.tokens,
        **state_of(ledger),
    )  # fmt: skip


def log_refused(request: GrantRequest, engines: Iterable[EngineLedger], why: str, **inputs) -> None:
    """Write the line of a request refused, with the engines that it could have had."""
    logs.info(
        "not granted", request=request.generation.stream, why=why,
        wait_limit=round(request.wait_limit, 3), engines=[state_of(led) for led in engines],
        **inputs,
    )  # fmt: skip
