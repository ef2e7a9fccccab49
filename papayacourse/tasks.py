"""Ends tasks for certain."""

import asyncio
from collections.abc import Iterable

from papayacourse import logs

CANCEL_INTERVAL = 0.5  # seconds after which a task that has not ended is cancelled again
CANCEL_TRIES = 20


async def cancel_all(tasks: Iterable[asyncio.Task]) -> None:
    """Cancel tasks and wait for their end.

    A task that waits by ``asyncio.wait_for`` loses a cancellation that comes in the same turn as
    what it waits for, and a task that loops would then go on for ever.
    """
    pending = {task for task in tasks if not task.done()}
    for _ in range(CANCEL_TRIES):
        if not pending:
            return
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL)
    for task in pending:
        logs.error("task does not end", task=repr(task))
