"""A TCP proxy whose open connections can go silent without a reset, while new ones work.

Lines on standard input are orders: ``silence`` stops all connections that are open.
"""

import asyncio
import json
import sys

from review.minihttp import HOST

CHUNK = 65536  # bytes


class Proxy:
    """The proxy; a connection passes bytes on while its generation is the current one."""

    def __init__(self, target: str):
        self.host, _, port = target.rpartition(":")
        self.port = int(port)
        self.generation = 0
        self.kept: list = []

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Pass a connection on."""
        far_reader, far_writer = await asyncio.open_connection(self.host, self.port)
        # Silent connections stay open until this process ends.
        self.kept += [writer, far_writer]
        generation = self.generation
        await asyncio.gather(
            self.pump(reader, far_writer, generation), self.pump(far_reader, writer, generation)
        )

    async def pump(self, source, sink, generation: int) -> None:
        """Pass bytes on, and the end of the connection, until it goes silent."""
        try:
            while True:
                data = await source.read(CHUNK)
                if generation != self.generation:
                    # Both sides hear nothing any more, not even that the other has closed.
                    return
                if not data:
                    break
                sink.write(data)
                await sink.drain()
        except ConnectionError:
            if generation != self.generation:
                return
        sink.close()


async def main() -> None:
    """Run the proxy."""
    proxy = Proxy(sys.argv[1])
    server = await asyncio.start_server(proxy.accept, HOST, 0)
    address = server.sockets[0].getsockname()
    print(json.dumps({"address": f"{address[0]}:{address[1]}"}), flush=True)
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        if line.strip() == "silence":
            proxy.generation += 1
            print(json.dumps({"silent": True}), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
