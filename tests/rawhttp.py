"""Requests whose callers then do as they like with the connection."""

import json
import socket

LIMIT = 60.0  # seconds


def send(
    address: str,
    path: str,
    body: dict,
    headers: dict | None = None,
    receive_buffer: int = 0,
    version: str = "HTTP/1.1",
) -> socket.socket:
    """Connect and post a body; the connection is the caller's to read and to close.

    Parameters
    ----------
    receive_buffer : int
        The size of the kernel's receive buffer in bytes; 0 for the usual.
    """
    host, _, port = address.rpartition(":")
    data = json.dumps(body).encode()
    fields = {"Host": "x", "Content-Length": len(data)} | (headers or {})
    lines = [f"POST {path} {version}", *(f"{name}: {value}" for name, value in fields.items())]
    link = socket.socket()
    if receive_buffer:
        link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    link.settimeout(LIMIT)
    link.connect((host, int(port)))
    link.sendall(("\r\n".join(lines) + "\r\n\r\n").encode() + data)
    return link
