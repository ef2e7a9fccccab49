"""A proxy before one engine that can partition it: nothing passes, and nobody is told."""

import asyncio
import contextlib

from web import go_dark

CHUNK = 64 * 1024


class Proxy:
    """Forwards connections to a target; while `is_cut`, everything hangs."""

    def __init__(self, target):
        self.target, self.passing = target, asyncio.Event()
        self.passing.set()
        self.fillers = []

    async def start(self):
        """Listen; returns the address."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = "{}:{}".format(*self.server.sockets[0].getsockname()[:2])
        return self.address

    def cut(self):
        """Let nothing through: open connections hang, and new ones get no handshake."""
        self.passing.clear()
        self.fillers = go_dark(self.server)

    def heal(self):
        """Let everything through again, also what was on its way."""
        for filler in self.fillers:
            filler.close()
        listening = self.server.sockets[0]._sock
        listening.listen(100)
        loop = asyncio.get_running_loop()
        loop._start_serving(
            self.server._protocol_factory, listening, None, self.server, 100, None, None
        )
        self.passing.set()

    async def _serve(self, reader, writer):
        await self.passing.wait()
        host, _, port = self.target.rpartition(":")
        try:
            onward_reader, onward = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(self._pump(reader, onward), self._pump(onward_reader, writer))

    async def _pump(self, reader, writer):
        with contextlib.suppress(OSError):
            while True:
                data = await reader.read(CHUNK)
                await self.passing.wait()
                if not data:
                    break
                writer.write(data)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()
