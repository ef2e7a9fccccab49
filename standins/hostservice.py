"""The platform's lagging list of live and leaving hosts."""

import asyncio

from attrs import define, field

from standins.common import JsonHandler, parser, serve


@define(eq=False)
class HostService:
    """The hosts as they are, and as the list shows them after its lag."""

    lag: float = 0.0
    version: int = 0
    hosts: dict[str, dict] = field(factory=dict)
    shown: dict = field(factory=lambda: {"version": 0, "hosts": []})
    outage: bool = False

    def change(self) -> None:
        """Show the present hosts once the lag has passed."""
        self.version += 1
        listing = {"version": self.version, "hosts": [dict(h) for h in self.hosts.values()]}
        if self.lag:
            asyncio.get_running_loop().call_later(self.lag, self.show, listing)
        else:
            self.show(listing)

    def show(self, listing: dict) -> None:
        """Show a listing."""
        self.shown = listing


class Hosts(JsonHandler):
    """The list, as daemons read it."""

    def get(self) -> None:
        """Answer with what is shown now."""
        if self.standin.outage:
            self.set_status(503)
            self.finish({"error": "outage"})
            return
        self.finish(self.standin.shown)


class Admin(JsonHandler):
    """Changes hosts and switches, for tests."""

    def post(self) -> None:
        """Put hosts, remove names, set the lag or an outage; ``version`` is where to count on.

        ``shown`` is a listing to show until the next change, as a lagging copy would.
        """
        body = self.body()
        self.standin.version = body.get("version", self.standin.version)
        self.standin.shown = body.get("shown", self.standin.shown)
        self.standin.lag = body.get("lag", self.standin.lag)
        self.standin.outage = body.get("outage", self.standin.outage)
        for host in body.get("put", []):
            self.standin.hosts[host["name"]] = self.standin.hosts.get(host["name"], {}) | host
        for name in body.get("remove", []):
            self.standin.hosts.pop(name, None)
        if "put" in body or "remove" in body:
            self.standin.change()
        self.finish({"version": self.standin.version})


def main() -> None:
    """Run the host list."""
    options = parser("host list")
    options.add_argument("--lag", type=float, default=0.0)
    parsed = options.parse_args()
    service = HostService(parsed.lag)
    shared = {"standin": service}
    serve(parsed, [("/hosts", Hosts, shared), ("/admin", Admin, shared)])


if __name__ == "__main__":
    main()
