"""A model engine: its options, its load report, and the switches that make it fail."""

from standins.batching import Engine
from standins.common import JsonHandler, parser, serve
from standins.engineorders import Orders
from standins.enginestreams import Generate, StreamInfo, Streams
from standins.prefixcache import CacheEvents, PrefixCache


class Load(JsonHandler):
    """The lagging load report."""

    def get(self) -> None:
        """Answer with the load of a while ago."""
        if self.standin.mute:
            self.set_status(503)
            self.finish({"error": "no report"})
            return
        self.finish(self.standin.load_lagging())


class Admin(JsonHandler):
    """The load without its lag, and the switches, for tests."""

    def get(self) -> None:
        """Answer with the present load, and the beginning of every prompt begun."""
        engine = self.standin
        prompts = {"prompt_tokens": engine.prompt_tokens, "prefix_hits": engine.prefix_hits}
        self.finish(engine.load_now() | prompts | {"begun": engine.begun})

    def post(self) -> None:
        """Set switches; ``reset`` cancels everything."""
        switches = self.body()
        if switches.pop("reset", False):
            self.standin.reset()
        for name, value in switches.items():
            setattr(self.standin, name, value)
        self.finish({})


def main() -> None:
    """Run the engine."""
    options = parser("model engine")
    options.add_argument("--memory", type=int, default=16384)
    options.add_argument("--max-batch", type=int, default=64)
    options.add_argument("--step", type=float, default=0.005)
    options.add_argument("--step-per-stream", type=float, default=0.0002)
    options.add_argument("--prefill-per-token", type=float, default=0.00001)
    options.add_argument("--cache-tokens", type=int, default=8192)
    options.add_argument("--median-length", type=float, default=60)
    options.add_argument("--sigma", type=float, default=1.2)
    options.add_argument("--lag", type=float, default=0.3)
    options.add_argument("--events-late", type=int, default=4)
    options.add_argument("--events-gap", type=int, default=7)
    options.add_argument("--checks-fencing", action="store_true")
    options.add_argument("--weightstore", default="")
    options.add_argument("--seed", type=int, default=1)
    parsed = options.parse_args()
    engine = Engine(parsed, PrefixCache(parsed.cache_tokens))
    shared = {"standin": engine}
    routes = [
        ("/generate", Generate, shared),
        ("/streams/([^/]+)/state", StreamInfo, shared),
        ("/streams/([^/]+)", Streams, shared),
        ("/load", Load, shared),
        ("/events", CacheEvents, shared),
        ("/orders", Orders, shared),
        ("/admin", Admin, shared),
    ]
    serve(parsed, routes, engine.run())


if __name__ == "__main__":
    main()
