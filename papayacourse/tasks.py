"""Background tasks and their reliable cancellation."""

import asyncio
from collections.abc import Coroutine, Iterable

from attrs import define, field

from papayacourse import logs

CANCEL_INTERVAL = 0.5  # seconds after which a task that has not ended is cancelled again
CANCEL_TRIES = 20


async def cancel_all(tasks: Iterable[asyncio.Task]) -> None:
    """Cancel tasks and wait until they end.

    ``asyncio.wait_for`` loses a cancellation that arrives in the same event-loop iteration as its
    result, so a task that loops would run forever if it were cancelled only once.
    """
    pending = {task for task in tasks if not task.done()}
    for _ in range(CANCEL_TRIES):
        if not pending:
            return
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL)
    for task in pending:
        logs.error("task ignores cancellation", task=repr(task))


@define(eq=False)
class BackgroundTasks:
    """The tasks that run as long as their owner does; failures are logged."""

    running: set[asyncio.Task] = field(factory=set)

    def spawn(self, work: Coroutine) -> asyncio.Task:
        """Run a coroutine as a background task."""
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self._done)
        return task

    def _done(self, task: asyncio.Task) -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.failure("task failed", task.exception())
