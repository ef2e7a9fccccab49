"""One connection to one peer: a bounded outbox for frames, and matching of answers to calls."""

import asyncio
import itertools
import time

from attrs import define, field
from websockets.asyncio.connection import Connection

from papayacourse import logs
from papayacourse.exceptions import PeerTimeout, PeerUnreachable
from papayacourse.linkclasses import LinkClass
from papayacourse.meshmessages import Hello
from papayacourse.messages import Message
from papayacourse.traffic import Traffic
from papayacourse.wire import Frame, encode

MAX_OUTBOX = 4096  # frames waiting to be written, per link
MAX_OUTBOX_BYTES = 8 * 1024 * 1024


@define(eq=False)
class Link:
    """One connection to one peer.

    Attributes
    ----------
    dialler : str
        The name of the daemon that opened the connection.
    last_heard, last_sent : float
        When a frame was last received and last put in the outbox, in seconds of the monotonic
        clock.
    traffic : Traffic
        Frame counters, shared by all links of the daemon.
    """

    peer: Hello
    connection: Connection
    dialler: str
    last_heard: float = field(factory=time.monotonic)
    last_sent: float = field(factory=time.monotonic)
    calls: dict[int, asyncio.Future] = field(factory=dict)
    outbox: asyncio.Queue[bytes] = field(factory=lambda: asyncio.Queue(MAX_OUTBOX))
    outbox_bytes: int = 0
    numbers: itertools.count = field(factory=lambda: itertools.count(1))
    answering: set[asyncio.Task] = field(factory=set)
    traffic: Traffic = field(factory=Traffic)
    link_class: LinkClass = LinkClass.SAME_DOMAIN

    def silent_for(self) -> float:
        """Return the time since the last frame was received, in seconds."""
        return time.monotonic() - self.last_heard

    def send(self, frame: Frame) -> None:
        """Put a frame in the outbox; raise PeerUnreachable if it is full."""
        self.send_encoded(frame, encode(frame))

    def send_encoded(self, frame: Frame, data: bytes) -> None:
        """Put an encoded frame in the outbox; raise PeerUnreachable if it is full."""
        if self.outbox.full() or self.outbox_bytes + len(data) > MAX_OUTBOX_BYTES:
            raise PeerUnreachable(f"the outbox of the link to {self.peer.name} is full")
        self.outbox_bytes += len(data)
        self.outbox.put_nowait(data)
        self.last_sent = time.monotonic()
        self.traffic.record_sent(frame.message, len(data), self.link_class)

    async def call(self, message: Message, timeout: float) -> Message:
        """Send a message and wait for its answer."""
        number = next(self.numbers)
        answer: asyncio.Future = asyncio.get_running_loop().create_future()
        self.calls[number] = answer
        try:
            self.send(Frame(number, False, message, logs.request()))
            async with asyncio.timeout(timeout):
                return await answer
        except TimeoutError as error:
            raise PeerTimeout(f"{self.peer.name} did not answer in {timeout:.1f} s") from error
        finally:
            self.calls.pop(number, None)

    async def write(self) -> None:
        """Write frames from the outbox until cancelled."""
        while True:
            data = await self.outbox.get()
            await self.connection.send(data)
            self.outbox_bytes -= len(data)

    def fail_calls(self) -> None:
        """Fail every call that awaits an answer on this link."""
        for number in self.calls:
            self.fail_call(number, f"the link to {self.peer.name} was lost")

    def fail_call(self, number: int, why: str) -> None:
        """Fail a call if it awaits an answer on this link."""
        answer = self.calls.get(number)
        if answer is not None and not answer.done():
            answer.set_exception(PeerTimeout(why))
