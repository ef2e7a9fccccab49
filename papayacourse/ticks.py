"""Aligns the periodic work of a process to common ticks, so that it wakes up less often."""

import asyncio
import random

TICK = 0.25  # seconds between ticks
PHASE = random.uniform(0.0, TICK)  # seconds, so that the daemons of a fleet do not wake together


async def next_tick(after: float) -> None:
    """Wait for the tick nearest to the given number of seconds from now."""
    now = asyncio.get_running_loop().time()
    number = round((now + after - PHASE) / TICK)
    await asyncio.sleep(max(0.0, PHASE + number * TICK - now))
