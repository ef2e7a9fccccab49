"""Orders to the stand-in engine: what it has loaded, and what it fetches from the weight store."""

import time

from attrs import define, field
from tornado.httpclient import AsyncHTTPClient

from standins.common import JsonHandler


@define(eq=False)
class OrderBook:
    """What the engine has loaded, and the orders that it was given.

    Attributes
    ----------
    weights : set of str
        The weights at hand.
    cut_by_orders : int
        Streams that ran while an order changed the weights.
    """

    fence: int = 0
    loaded: dict = field(factory=dict)
    orders: list = field(factory=list)
    weights: set = field(factory=set)
    stale_orders: int = 0
    state_reads: int = 0
    cut_by_orders: int = 0


class Orders(JsonHandler):
    """Orders to load a model, adapter or version, or to change role."""

    def answer(self) -> dict:
        """Return what is loaded, and what there is to load."""
        engine = self.standin
        busy = len(engine.running) + len(engine.waiting)
        weights = sorted(engine.book.weights)
        return {
            "loaded": engine.book.loaded,
            "fence": engine.book.fence,
            "weights": weights,
            "running": busy,
            "orders": engine.book.orders,
        }

    def get(self) -> None:
        """Answer with what is loaded and which orders were carried out."""
        self.standin.book.state_reads += 1
        self.finish(self.answer())

    async def post(self) -> None:
        """Carry an order out, unless its fencing number is old and that is checked."""
        body = self.body()
        engine = self.standin
        if engine.options.checks_fencing and body["fence"] < engine.book.fence:
            engine.book.stale_orders += 1
            self.set_status(412)
            self.finish({"error": "old fencing number", "fence": engine.book.fence})
            return
        engine.book.fence = max(engine.book.fence, body["fence"])
        parts = [body["load"].get(name) for name in ("model", "adapter", "version")]
        name = "@".join(part for part in parts if part)
        if not await self.fetched(name):
            self.set_status(503)
            self.finish({"error": "the weights could not be fetched"})
            return
        # Streams that run while weights change would be cut off; tests look at this.
        engine.book.cut_by_orders += len(engine.running)
        engine.book.loaded = body["load"]
        engine.book.orders.append({"fence": body["fence"], "load": body["load"], "at": time.time()})
        self.finish(self.answer())

    async def fetched(self, name: str) -> bool:
        """Fetch weights that are not there yet."""
        engine = self.standin
        if name in engine.book.weights:
            return True
        if engine.options.weightstore:
            url = f"http://{engine.options.weightstore}/weights/{name}"
            answer = await AsyncHTTPClient().fetch(url, raise_error=False)
            if answer.code != 200:
                return False
        engine.book.weights.add(name)
        return True
