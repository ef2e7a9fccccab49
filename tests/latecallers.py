"""Callers that send the end of a request at a chosen moment of a daemon's planned stop."""

import contextlib
import http.client
import socket
import threading
import time

from attrs import define, field

LIMIT = 12.0  # seconds
BODY = b"a body that is whole"


@define(eq=False)
class SignalMoment:
    """When a daemon gets its signal, chosen once all callers are there.

    On a busy machine the start of many threads takes over a second.

    Attributes
    ----------
    at : float
        The moment, on the monotonic clock; infinite until it is chosen.
    """

    at: float = float("inf")
    chosen: threading.Event = field(factory=threading.Event)

    def choose(self, seconds: float) -> float:
        """Choose the moment so many seconds from now, and return it."""
        self.at = time.monotonic() + seconds
        self.chosen.set()
        return self.at

    def wait_chosen(self) -> float:
        """Return the moment once it is chosen."""
        assert self.chosen.wait(LIMIT), "no moment was chosen"
        return self.at


@define(eq=False)
class LateCaller:
    """A connection whose request becomes whole late in a stop.

    Attributes
    ----------
    at : float
        When the request's last byte is sent, in seconds after the signal; negative for never.
    opened_at : float
        When the connection is opened.
    pause : float
        Seconds between that and the request's head.
    sent_at, ended_at : float or None
        When the last byte was sent and when the answer ended, in seconds after the signal.
    status : int
        The answer's status; 0 for none.
    is_whole : bool
        Whether the answer came to its proper end.
    said_close : bool
        Whether the answer said that the connection ends.
    is_connected : bool
        Whether the connection could be opened.
    failure : str
        How the connection ended without a whole answer.
    """

    address: str
    path: str
    headers: dict
    at: float
    opened_at: float
    pause: float = 0.0
    sent_at: float | None = None
    ended_at: float | None = None
    status: int = 0
    is_whole: bool = False
    said_close: bool = False
    is_connected: bool = False
    retry_after: str | None = None
    failure: str = ""
    text: bytes = b""
    thread: threading.Thread | None = None

    @property
    def name(self) -> str:
        """Return the id of the request."""
        return self.headers["X-Attempt-Id"]

    def start(self, moment: SignalMoment) -> None:
        """Begin, with the moment of the signal."""
        self.thread = threading.Thread(target=self._work, args=(moment,), daemon=True)
        self.thread.start()

    def _work(self, moment: SignalMoment) -> None:
        signal_at = moment.wait_chosen()
        try:
            wait_for(signal_at + self.opened_at)
            host, _, port = self.address.rpartition(":")
            with socket.create_connection((host, int(port)), timeout=LIMIT) as link:
                self.is_connected = True
                self._exchange(link, signal_at)
        except (OSError, http.client.HTTPException, ValueError) as error:
            self.failure = repr(error)
        self.ended_at = time.monotonic() - signal_at

    def _exchange(self, link: socket.socket, signal_at: float) -> None:
        link.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        time.sleep(self.pause)
        link.sendall(request_head(self.path, self.headers) + BODY[:-1])
        if self.at >= 0:
            wait_for(signal_at + self.at)
            with contextlib.suppress(OSError):
                link.sendall(BODY[-1:])
                self.sent_at = time.monotonic() - signal_at
        answer = http.client.HTTPResponse(link, method="POST")
        answer.begin()
        self.status = answer.status
        self.said_close = answer.getheader("Connection", "").lower() == "close"
        self.retry_after = answer.getheader("Retry-After")
        while chunk := answer.read1(65536):
            self.text += chunk
        self.is_whole = True


@define(eq=False)
class KeptCaller:
    """A caller that sends one request after another on its connection while it is kept.

    Attributes
    ----------
    pause : float
        Seconds between an answer and the next request.
    statuses : list of int
        The status of each answer.
    cut : int
        Connections that were closed between a request's sending and its answer.
    cut_after_use : int
        Those of `cut` whose last answer was given after the signal.
    """

    address: str
    path: str
    headers: list[dict]
    pause: float
    statuses: list[int] = field(factory=list)
    cut: int = 0
    cut_after_use: int = 0
    thread: threading.Thread | None = None

    def start(self, moment: SignalMoment) -> None:
        """Begin to send."""
        self.thread = threading.Thread(target=self._work, args=(moment,), daemon=True)
        self.thread.start()

    def _work(self, moment: SignalMoment) -> None:
        host, _, port = self.address.rpartition(":")
        while self.headers:
            with contextlib.suppress(OSError):
                link = socket.create_connection((host, int(port)), timeout=LIMIT)
                with link:
                    self._use(link, moment)
                continue
            return

    def _use(self, link: socket.socket, moment: SignalMoment) -> None:
        last_answer = -1.0
        while self.headers:
            try:
                link.sendall(request_head(self.path, self.headers.pop()) + BODY)
                answer = http.client.HTTPResponse(link, method="POST")
                answer.begin()
                answer.read()
            except (OSError, http.client.HTTPException):
                self.cut += 1
                self.cut_after_use += last_answer > moment.at
                return
            last_answer = time.monotonic()
            self.statuses.append(answer.status)
            if answer.getheader("Connection", "").lower() == "close":
                return
            time.sleep(self.pause)


@define(eq=False)
class PipeliningCaller:
    """A caller that sends all its requests at once on one connection.

    Attributes
    ----------
    answers : list of (int, bool)
        The status of each whole answer, and whether it said that the connection ends.
    """

    address: str
    path: str
    headers: list[dict]
    answers: list[tuple[int, bool]] = field(factory=list)
    thread: threading.Thread | None = None

    def start(self) -> None:
        """Send the requests, and begin to read the answers."""
        self.thread = threading.Thread(target=self._work, daemon=True)
        self.thread.start()

    def _work(self) -> None:
        host, _, port = self.address.rpartition(":")
        with contextlib.suppress(OSError, http.client.HTTPException):
            link = socket.create_connection((host, int(port)), timeout=LIMIT)
            with link, link.makefile("rb") as reader:
                link.sendall(b"".join(request_head(self.path, h) + BODY for h in self.headers))
                for _ in self.headers:
                    self.answers.append(read_answer(reader))


def read_answer(reader) -> tuple[int, bool]:
    """Read a whole answer with a length; return its status and whether the connection ends."""
    status = int(reader.readline().split()[1])
    fields = http.client.parse_headers(reader)
    if len(reader.read(int(fields["Content-Length"]))) < int(fields["Content-Length"]):
        raise http.client.IncompleteRead(b"")
    return status, fields.get("Connection", "").lower() == "close"


def request_head(path: str, headers: dict) -> bytes:
    """Return the head of a POST of `BODY`."""
    fields = {"Content-Length": len(BODY)} | headers
    lines = [f"POST {path} HTTP/1.1", *(f"{name}: {value}" for name, value in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def wait_for(moment: float) -> None:
    """Wait until a moment of the monotonic clock."""
    time.sleep(max(0.0, moment - time.monotonic()))
