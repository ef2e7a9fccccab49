"""The rate-limited weight store: counts what is fetched and how fast."""

import time
from collections import deque

from attrs import define, field

from standins.common import JsonHandler, parser, serve


@define(eq=False)
class WeightStore:
    """The fetches of the last window, and how many are allowed."""

    per_window: int
    window: float
    recent: deque = field(factory=deque)
    fetches: list = field(factory=list)
    exceeded: int = 0


class Fetch(JsonHandler):
    """Fetches one set of weights."""

    def get(self, name: str) -> None:
        """Answer, or refuse over the rate."""
        store, now = self.standin, time.monotonic()
        while store.recent and now - store.recent[0] > store.window:
            store.recent.popleft()
        if len(store.recent) >= store.per_window:
            store.exceeded += 1
            self.set_status(429)
            self.finish({"error": "rate exceeded"})
            return
        store.recent.append(now)
        store.fetches.append(name)
        self.finish({"weights": name})


class Admin(JsonHandler):
    """The counts, for tests."""

    def get(self) -> None:
        """Answer with the fetches and how often the rate was exceeded."""
        self.finish({"fetches": self.standin.fetches, "exceeded": self.standin.exceeded})


def main() -> None:
    """Run the weight store."""
    options = parser("weight store")
    options.add_argument("--per-window", type=int, default=4)
    options.add_argument("--window", type=float, default=1.0)
    parsed = options.parse_args()
    shared = {"standin": WeightStore(parsed.per_window, parsed.window)}
    serve(parsed, [("/admin", Admin, shared), ("/weights/(.+)", Fetch, shared)])


if __name__ == "__main__":
    main()
