"""The prefix cache of the stand-in engine, and its events: late, and with gaps."""

from collections import OrderedDict

import xxhash
from attrs import define, field

from standins.common import JsonHandler

PREFIX_BYTES = 256
BYTES_PER_TOKEN = 4


@define(eq=False)
class PrefixCache:
    """Blocks of prompts, the least recently used dropped first, and the events about them."""

    capacity: int
    blocks: OrderedDict = field(factory=OrderedDict)
    events: list = field(factory=list)

    def take(self, prompt: str) -> int:
        """Return how many of a prompt's tokens the prefix cache holds, and keep the prompt."""
        data, running, hit, missed = prompt.encode(), xxhash.xxh3_64(), 0, False
        for start in range(0, len(data) - PREFIX_BYTES + 1, PREFIX_BYTES):
            running.update(data[start : start + PREFIX_BYTES])
            block = running.intdigest()
            missed = missed or block not in self.blocks
            hit += 0 if missed else PREFIX_BYTES // BYTES_PER_TOKEN
            if block not in self.blocks:
                self.events.append({"kind": "stored", "prefix": block})
            self.blocks[block] = True
            self.blocks.move_to_end(block)
        while len(self.blocks) * PREFIX_BYTES // BYTES_PER_TOKEN > self.capacity:
            gone, _ = self.blocks.popitem(last=False)
            self.events.append({"kind": "removed", "prefix": gone})
        return hit


class CacheEvents(JsonHandler):
    """The prefix cache's events: late, and with gaps."""

    def get(self) -> None:
        """Answer with the events after a number; every gap-th one is missing."""
        after = int(self.get_argument("after", "0"))
        late = max(0, len(self.standin.cache.events) - self.standin.options.events_late)
        gap = self.standin.options.events_gap
        rows = [
            {"number": n + 1} | self.standin.cache.events[n]
            for n in range(after, late)
            if not gap or (n + 1) % gap
        ]
        self.finish({"events": rows, "last": late})
