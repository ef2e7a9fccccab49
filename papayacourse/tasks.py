"""Background tasks and their reliable cancellation."""

import asyncio
import random
import time
from collections.abc import Callable, Coroutine, Iterable

from attrs import define, field

from papayacourse import logs

CANCEL_INTERVAL = 0.5  # seconds after which a task that has not ended is cancelled again
SHORT_CANCEL_INTERVAL = 0.05  # seconds; for tasks that await nothing when they are cancelled
CANCEL_TRIES = 20
MIN_RESTART_PAUSE = 0.25  # seconds, on average, until a loop that failed is started again
MAX_RESTART_PAUSE = 2.0  # seconds, on average

Loop = Callable[[], Coroutine]


async def keep_running(loop: Loop) -> None:
    """Run a loop, and start it again whenever it fails; return when it ends by itself.

    An error that the loop does not expect may come from one entry or message. It must not end
    the loop's work for as long as the daemon runs.
    """
    pause = MIN_RESTART_PAUSE
    while True:
        began = time.monotonic()
        try:
            await loop()
            return
        except Exception as error:
            if time.monotonic() - began > MAX_RESTART_PAUSE:
                pause = MIN_RESTART_PAUSE
            logs.failure("loop failed", error, loop=loop.__qualname__, restart_in=pause)
        await asyncio.sleep(pause * random.uniform(0.5, 1.5))
        pause = min(MAX_RESTART_PAUSE, pause * 2)


async def is_done_within(future: asyncio.Future, seconds: float) -> bool:
    """Wait for a future and return True once it is done, or False after some seconds.

    ``asyncio.wait_for`` loses a cancellation that arrives in the same event-loop iteration as the
    result, as happens on a busy host: the caller's own timeout would have no effect. The future
    is not cancelled.
    """
    await asyncio.wait([future], timeout=seconds)
    return future.done()


async def cancel_all(tasks: Iterable[asyncio.Task], interval: float = CANCEL_INTERVAL) -> None:
    """Cancel tasks and wait until they end.

    A library may lose a cancellation (see `is_done_within`), so a task that loops could run forever
    if it were cancelled only once.

    Parameters
    ----------
    interval : float
        Seconds after which the tasks that have not ended are cancelled again, and so the longest
        that their clean-up may take at first; it is doubled up to ``CANCEL_INTERVAL``.
    """
    pending = {task for task in tasks if not task.done()}
    for _ in range(CANCEL_TRIES):
        if not pending:
            return
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=interval)
        interval = min(CANCEL_INTERVAL, 2 * interval)
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

    def keep(self, loop: Loop) -> asyncio.Task:
        """Run a loop as a background task, and start it again whenever it fails."""
        return self.spawn(keep_running(loop))

    def _done(self, task: asyncio.Task) -> None:
        self.running.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logs.failure("task failed", task.exception())
