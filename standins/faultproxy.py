"""A TCP proxy that injects faults: cuts, stalls, delays, one-way loss, closing midway."""

import asyncio
import json

from attrs import define, field
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from standins.common import HOST, JsonHandler, parser, serve

CHUNK_BYTES = 64 * 1024


@define(eq=False)
class Flow:
    """One connection, whether it comes from afar, and whether its ends lost each other."""

    source: str
    far: bool = True
    severed: bool = False


@define(eq=False, slots=False)
class Proxy(TCPServer):
    """Forwards connections to a target, with faults.

    Attributes
    ----------
    mode : str
        ``pass``, ``cut`` (refuse and close), ``stall`` (hold everything), ``stall-back`` (hold
        only what the target sends).
    spared : list of str
        Source addresses that neither a cut, a stall nor the delay touches.
    delay : float
        Added one way, in seconds.
    far_markers : list of str
        Delay only connections whose first piece to the target contains one of these; empty: all.
    opening : float
        Added to a connection's first piece, for the round trip that opened it, in seconds.
    close_after : int
        Close a connection once the target has sent so many bytes; -1 for never.
    hold_marker : str
        Hold a connection's pieces to the target from one that contains this text on.
    """

    target: str = ""
    mode: str = "pass"
    spared: list = field(factory=list)
    delay: float = 0.0
    far_markers: list = field(factory=list)
    opening: float = 0.0
    close_after: int = -1
    hold_marker: str = ""
    held: int = 0
    bytes_forward: int = 0
    bytes_back: int = 0
    connections: set = field(factory=set)
    switched: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_pre_init__(self) -> None:
        super().__init__()

    async def handle_stream(self, stream, address) -> None:
        """Forward one connection."""
        source = address[0]
        if self._is_cut(source):
            stream.close()
            return
        host, _, port = self.target.rpartition(":")
        try:
            onward = await TCPClient().connect(host, int(port))
        except OSError:
            stream.close()
            return
        if self._is_cut(source):
            # The cut came while the onward connection was being made.
            stream.close()
            onward.close()
            return
        flow = Flow(source)
        pair = (stream, onward, flow)
        self.connections.add(pair)
        for one in (stream, onward):
            one.set_nodelay(True)
        await asyncio.gather(
            self.pump(stream, onward, False, flow), self.pump(onward, stream, True, flow)
        )
        self.connections.discard(pair)

    def _is_cut(self, source: str) -> bool:
        return self.mode == "cut" and source not in self.spared

    async def pump(self, source, sink, back: bool, flow: Flow) -> None:
        """Copy one direction."""
        sent = 0
        queue: asyncio.Queue = asyncio.Queue(64)
        writer = asyncio.ensure_future(self.drain(queue, sink))
        loop = asyncio.get_running_loop()
        try:
            while True:
                data = await source.read_bytes(CHUNK_BYTES, partial=True)
                await self.unstalled(back, flow.source)
                if flow.severed:
                    continue
                if not back:
                    await self.let_through(data)
                opening = not back and not sent
                if opening:
                    flow.far = self.is_far(flow, data)
                sent += len(data)
                self.count(len(data), back)
                due = loop.time() + self.delay_of(flow, opening)
                await queue.put((due, data))
                if back and 0 <= self.close_after <= sent:
                    self.close_after = -1
                    break
        except StreamClosedError:
            pass
        if flow.severed:
            writer.cancel()
            # The other end does not hear of the close.
            await asyncio.Event().wait()
        await queue.put((0.0, None))
        await writer
        source.close()
        sink.close()

    async def unstalled(self, back: bool, source: str) -> None:
        """Wait while this direction is held."""
        while self._is_stalled(back) and source not in self.spared:
            self.switched.clear()
            await self.switched.wait()

    async def let_through(self, data: bytes) -> None:
        """Hold a piece that carries the marker until the marker is taken away."""
        marker = self.hold_marker.encode()
        if not marker or marker not in data:
            return
        self.held += 1
        while self.hold_marker:
            self.switched.clear()
            await self.switched.wait()

    def is_far(self, flow: Flow, data: bytes) -> bool:
        """Tell by a connection's source and first piece whether it is to be delayed."""
        if flow.source in self.spared:
            return False
        return not self.far_markers or any(mark.encode() in data for mark in self.far_markers)

    def delay_of(self, flow: Flow, opening: bool) -> float:
        """Return the delay of a piece, in seconds."""
        if not flow.far:
            return 0.0
        return self.delay + (self.opening if opening else 0.0)

    def count(self, size: int, back: bool) -> None:
        """Count bytes by direction."""
        if back:
            self.bytes_back += size
        else:
            self.bytes_forward += size

    async def drain(self, queue: asyncio.Queue, sink) -> None:
        """Write what is due, in order."""
        loop = asyncio.get_running_loop()
        while True:
            due, data = await queue.get()
            if data is None:
                return
            await asyncio.sleep(max(0.0, due - loop.time()))
            try:
                await sink.write(data)
            except StreamClosedError:
                data = None

    def _is_stalled(self, back: bool) -> bool:
        return self.mode == "stall" or (back and self.mode == "stall-back")

    def cut_all(self) -> None:
        """Close every connection."""
        for stream, onward, flow in list(self.connections):
            if self._is_cut(flow.source):
                stream.close()
                onward.close()

    def sever(self, how: str) -> None:
        """Part the ends of all open connections, while new ones work.

        ``silent`` drops what either end sends, its close as well; ``reset`` also closes the
        dialler's end. The target hears of neither.
        """
        for stream, _onward, flow in self.connections:
            flow.severed = True
            if how == "reset":
                stream.close()


class Admin(JsonHandler):
    """The switches, for tests."""

    def get(self) -> None:
        """Answer with the bytes forwarded."""
        proxy = self.standin
        self.finish({"forward": proxy.bytes_forward, "back": proxy.bytes_back, "held": proxy.held})

    def post(self) -> None:
        """Set switches; ``mode: cut`` also closes what is open, ``sever`` parts its ends."""
        switches = self.body()
        if "sever" in switches:
            self.standin.sever(switches.pop("sever"))
        for name, value in switches.items():
            setattr(self.standin, name, value)
        self.standin.switched.set()
        if switches.get("mode") == "cut":
            self.standin.cut_all()
        self.finish({})


async def listen(proxy: Proxy, name: str) -> None:
    """Listen for connections to forward, and say where."""
    proxy.listen(0, HOST)
    port = next(iter(proxy._sockets.values())).getsockname()[1]
    print(json.dumps({"proxy": name, "address": f"{HOST}:{port}"}), flush=True)


def main() -> None:
    """Run the proxy; its admin address is the ready line's, its own is the proxy line's."""
    options = parser("fault-injecting proxy")
    options.add_argument("--target", default="")
    parsed = options.parse_args()
    proxy = Proxy(target=parsed.target)
    serve(parsed, [("/admin", Admin, {"standin": proxy})], listen(proxy, parsed.name))


if __name__ == "__main__":
    main()
