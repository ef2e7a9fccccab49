"""A small HTTP/1.1 server on asyncio streams, for the stand-ins of this folder."""

import asyncio
import json
import signal
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qs, urlsplit

HOST = "127.0.0.1"
REASONS = {200: "OK", 404: "Not Found", 408: "Request Timeout", 410: "Gone", 412: "Failed"}


@dataclass
class Request:
    """A request that has been read whole; header names are in lowercase."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter
    query: dict[str, str] = field(init=False)
    path: str = field(init=False)

    def __post_init__(self) -> None:
        parts = urlsplit(self.target)
        self.path = parts.path
        self.query = {name: values[0] for name, values in parse_qs(parts.query).items()}

    def json(self) -> dict:
        """Return the JSON body."""
        return json.loads(self.body or b"{}")

    async def answer(self, status: int, body: bytes | dict, headers: dict | None = None) -> None:
        """Write a complete answer."""
        data = json.dumps(body).encode() if isinstance(body, dict) else body
        self.writer.write(head(status, {"Content-Length": str(len(data)), **(headers or {})}))
        self.writer.write(data)
        await self.writer.drain()


def head(status: int, headers: dict[str, str]) -> bytes:
    """Return the status line and headers of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


Handler = Callable[[Request], Awaitable[None]]


async def read_request(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter
) -> Request | None:
    """Read one request; return None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
        first, *lines = raw.decode("latin1").strip().split("\r\n")
        method, target, _ = first.split(" ")
        pairs = (line.partition(":") for line in lines)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        body = await reader.readexactly(int(headers.get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Request(method, target, headers, body, reader, writer)


async def run_server(port: int, handler: Handler, *work: Awaitable[None]) -> None:
    """Serve until SIGTERM; print the address when ready."""

    async def serve_connection(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while request := await read_request(reader, writer):
                await handler(request)
                if request.headers.get("connection", "").lower() == "close":
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(serve_connection, HOST, port, limit=1 << 20)
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    tasks = [asyncio.ensure_future(each) for each in work]
    address = server.sockets[0].getsockname()
    print(json.dumps({"address": f"{address[0]}:{address[1]}"}), flush=True)
    await stop.wait()
    for task in tasks:
        task.cancel()
    sys.exit(0)
