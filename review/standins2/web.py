"""A small HTTP/1.1 server and client on asyncio, for the stand-ins of this review."""

import asyncio
import contextlib
import json
import socket

REASONS = {200: "OK", 204: "No Content", 503: "Service Unavailable"}


class Request:
    """One request as it came."""

    def __init__(self, method, target, headers, body):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.path, _, self.query = target.partition("?")

    def get(self, name, default=""):
        """Return a header's value."""
        return self.headers.get(name.lower(), default)


async def read_head(reader):
    """Return the first line and the headers (lower-case names); None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunks(reader):
    """Yield the chunks of a body; raises IncompleteReadError if it breaks off."""
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return
        yield data[:-2]


async def read_request(reader):
    """Return the next request of a connection; None at its end."""
    head = await read_head(reader)
    if head is None:
        return None
    method, target, _ = head[0].split(" ")
    headers = head[1]
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b"".join([chunk async for chunk in read_chunks(reader)])
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, body)


def head_bytes(status, headers):
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin1")


async def answer(writer, status, body=b"", headers=None):
    """Write a whole answer."""
    if isinstance(body, dict | list):
        body = json.dumps(body).encode()
    found = {"Content-Length": str(len(body))} | (headers or {})
    writer.write(head_bytes(status, found) + body)
    await writer.drain()


def go_dark(server):
    """Let a server answer no handshake any more, as if its machine had lost power.

    Its listening socket is left with a full queue: the kernel then drops the opening packets.
    Returns what keeps the queue full; close it to end that.
    """
    address = server.sockets[0].getsockname()
    loop = asyncio.get_running_loop()
    listening = server.sockets[0]._sock
    loop.remove_reader(listening.fileno())
    listening.listen(0)
    fillers = []
    for _ in range(64):
        filler = socket.socket()
        filler.setblocking(False)
        filler.connect_ex(address)
        fillers.append(filler)
    return fillers


async def listen(handler, host="127.0.0.1"):
    """Serve `handler(request, reader, writer)` on a free port; returns the server and address.

    A handler that returns True keeps the connection for the next request.
    """

    async def serve(reader, writer):
        try:
            while True:
                request = await read_request(reader)
                if request is None or not await handler(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            with contextlib.suppress(Exception):
                writer.close()

    server = await asyncio.start_server(serve, host, 0, limit=4 * 1024 * 1024)
    return server, "{}:{}".format(*server.sockets[0].getsockname()[:2])


class Answer:
    """What a client got: status 0 if the connection ended before an answer was whole."""

    def __init__(self, status=0, headers=None, body=b"", whole=False, sent=False):
        self.status, self.headers, self.body = status, headers or {}, body
        self.whole, self.sent = whole, sent


async def ask(address, method, path, headers, body=b"", limit=10.0, on_data=None):
    """Send one request on a connection of its own; returns what came."""
    found = Answer()
    try:
        async with asyncio.timeout(limit):
            await _ask(address, method, path, headers, body, found, on_data)
    except (TimeoutError, OSError, asyncio.IncompleteReadError, ValueError):
        pass
    return found


async def _ask(address, method, path, headers, body, found, on_data):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=4 * 1024 * 1024)
    try:
        lines = {"Content-Length": str(len(body))} | headers
        text = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
        writer.write(f"{method} {path} HTTP/1.1\r\n{text}\r\n".encode("latin1") + body)
        await writer.drain()
        found.sent = True
        head = await read_head(reader)
        if head is None:
            return
        found.status, found.headers = int(head[0].split(" ")[1]), head[1]
        if "chunked" in found.headers.get("transfer-encoding", ""):
            async for chunk in read_chunks(reader):
                found.body += chunk
                if on_data:
                    on_data(chunk)
        elif "content-length" in found.headers:
            found.body = await reader.readexactly(int(found.headers["content-length"]))
        else:
            found.body = await reader.read()
        found.whole = True
    finally:
        writer.close()
