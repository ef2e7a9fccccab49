"""A plain service that counts how often each key ran."""

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import struct
from collections import Counter

from attrs import define, field
from tornado.iostream import StreamClosedError

from standins.common import JsonHandler, parser, serve

ENDLESS = b"[endless]"  # in a body: the answer does not end
STATUS = re.compile(rb"\[status=(\w+)\]")  # in a body: the status of the answer
DEADLY = b"[crash]"  # in a body: the service ends when it begins to run the call
RESET_AT_CLOSE = struct.pack("ii", 1, 0)  # the value of SO_LINGER: on, for no time


@define(eq=False)
class PlainService:
    """The calls that ran, and the switches that make it fail.

    Attributes
    ----------
    ending : str
        If it is set, answers have neither a length nor chunks, and this ends them: ``whole``,
        ``killed`` (the service ends with its answer) or ``reset``.
    sent : float
        The part of the body, 0 to 1, that comes before an answer is ``killed`` or ``reset``.
    """

    name: str = ""
    ran: Counter = field(factory=Counter)
    calls: int = 0
    delay: float = 0.0
    hold_before: bool = False
    hold_after: bool = False
    holding: int = 0
    switched: asyncio.Condition = field(factory=asyncio.Condition)
    answer_id: str = ""
    padding: int = 0
    close_before: int = 0
    close_after: int = 0
    ending: str = ""
    sent: float = 0.5

    async def hold(self, switch: str) -> None:
        """Keep a call waiting for as long as a switch is set."""
        self.holding += 1
        async with self.switched:
            await self.switched.wait_for(lambda: not getattr(self, switch))
        self.holding -= 1


class Run(JsonHandler):
    """Any call: it runs, and says so."""

    async def _run(self) -> None:
        service = self.standin
        key = self.request.headers.get("Idempotency-Key", "")
        if service.close_before:
            service.close_before -= 1
            self.request.connection.stream.close()
            return
        await service.hold("hold_before")
        service.calls += 1
        if ENDLESS in self.request.body:
            await self.answer_for_ever()
            return
        if found := STATUS.search(self.request.body):
            await self.answer_with_status(found[1])
            return
        if DEADLY in self.request.body:
            os.kill(os.getpid(), signal.SIGKILL)
        if key:
            service.ran[key] += 1
        await service.hold("hold_after")
        if service.delay:
            await asyncio.sleep(service.delay)
        if service.close_after:
            service.close_after -= 1
            self.request.connection.stream.close()
            return
        self.set_header("X-Backend", service.name)
        if service.answer_id:
            self.set_header("X-Request-Id", service.answer_id)
        answer = {
            "method": self.request.method,
            "uri": self.request.uri,
            "key": key,
            "times": service.ran[key],
            "body": self.request.body.decode(errors="replace"),
            "padding": "p" * service.padding,
        }
        if service.ending:
            await self.answer_until_close(json.dumps(answer).encode())
        else:
            self.finish(answer)

    async def answer_until_close(self, body: bytes) -> None:
        """Write an answer with neither a length nor chunks, and end it as the switches say."""
        self._finished = True
        stream, service = self.request.connection.stream, self.standin
        part = body if service.ending == "whole" else body[: int(len(body) * service.sent)]
        with contextlib.suppress(StreamClosedError):
            await stream.write(f"HTTP/1.1 200 OK\r\nX-Backend: {service.name}\r\n\r\n".encode())
            if part:
                await stream.write(part)
        if service.ending == "killed":
            os.kill(os.getpid(), signal.SIGKILL)
        if service.ending == "reset":
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
        stream.close()

    async def answer_for_ever(self) -> None:
        """Write a body without end, until the other side closes."""
        self._finished = True
        stream = self.request.connection.stream
        with contextlib.suppress(StreamClosedError):
            await stream.write(b"HTTP/1.1 200 OK\r\n\r\n")
            while True:
                await stream.write(b"n" * 65536)

    async def answer_with_status(self, status: bytes) -> None:
        """Write a whole answer with any status."""
        self._finished = True
        stream = self.request.connection.stream
        await stream.write(b"HTTP/1.1 %b Odd\r\nContent-Length: 2\r\n\r\nok" % status)
        stream.close()

    get = post = put = patch = delete = _run


class Admin(JsonHandler):
    """The counts and switches, for tests."""

    def get(self) -> None:
        """Answer with how often each key ran."""
        self.finish(
            {
                "ran": dict(self.standin.ran),
                "calls": self.standin.calls,
                "holding": self.standin.holding,
            }
        )

    async def post(self) -> None:
        """Set switches: any field of the service."""
        for name, value in self.body().items():
            setattr(self.standin, name, value)
        async with self.standin.switched:
            self.standin.switched.notify_all()
        self.finish({})


def main() -> None:
    """Run the service."""
    options = parser("plain service").parse_args()
    shared = {"standin": PlainService(options.name)}
    serve(options, [("/admin", Admin, shared), (".*", Run, shared)])


if __name__ == "__main__":
    main()
