"""A caller as the tests need one: streams, keeps every event, and can resume."""

import http.client
import json
import socket
import threading
import time

from attrs import define, field

from standins.fleet import Fleet

KEYS = {"organisers": "organisers-key", "depots": "depots-key", "single": "single-key"}
LIMIT = 60.0  # seconds


@define(eq=False)
class StreamingCaller:
    """Streams one answer in a thread of its own.

    Attributes
    ----------
    texts : list of str
        The text of each token event.
    cursor : str
        The id of the last event.
    method : str
        ``POST`` to send the request, ``GET`` to resume without a body.
    receive_buffer : int
        The size of the kernel's receive buffer in bytes; 0 for the usual.
    reading : bool
        Whether it reads its answer; :meth:`read_on` begins to.
    error : dict or None
        The problem details that ended the answer, if any did.
    """

    address: str
    account: str
    model: str
    prompt: str
    last_event_id: str = ""
    headers: dict = field(factory=dict)
    texts: list[str] = field(factory=list)
    cursor: str = ""
    status: int = 0
    error: dict | None = None
    done: bool = False
    broken: str = ""
    method: str = "POST"
    receive_buffer: int = 0
    reading: bool = True
    answer_id: str = ""
    ended_at: float = 0.0
    link: socket.socket | None = None
    may_read: threading.Event = field(factory=threading.Event)
    thread: threading.Thread | None = None
    arrived: threading.Condition = field(factory=threading.Condition)

    def start(self) -> "StreamingCaller":
        """Begin to stream."""
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()
        return self

    def run(self) -> None:
        """Stream to the end."""
        try:
            self._run()
        except (OSError, http.client.HTTPException) as error:
            self.broken = repr(error)
        self.ended_at = time.monotonic()
        with self.arrived:
            self.arrived.notify_all()

    def read_on(self) -> None:
        """Begin to read the answer."""
        self.may_read.set()

    def leave(self) -> None:
        """Go away in the middle of the answer."""
        self.link.shutdown(socket.SHUT_RDWR)
        self.join()

    def _connect(self) -> http.client.HTTPConnection:
        host, _, port = self.address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=LIMIT)
        self.link = socket.socket()
        if self.receive_buffer:
            self.link.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer)
        self.link.settimeout(LIMIT)
        self.link.connect((host, int(port)))
        connection.sock = self.link
        return connection

    def _run(self) -> None:
        connection = self._connect()
        body = {
            "model": self.model,
            "messages": [{"role": "user", "content": self.prompt}],
            "stream": True,
            "max_tokens": 20000,
        }
        headers = {"Authorization": f"Bearer {KEYS[self.account]}"} | self.headers
        if self.last_event_id:
            headers["Last-Event-ID"] = self.last_event_id
        if self.method == "GET":
            connection.request("GET", "/v1/streams", headers=headers)
        else:
            connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
        if not self.reading:
            self.may_read.wait(LIMIT)
        response = connection.getresponse()
        self.status = response.status
        if response.status != 200:
            self.error = json.loads(response.read())
            return
        event: dict[str, str] = {}
        for raw in response:
            line = raw.decode().rstrip("\n")
            if line:
                name, _, value = line.partition(": ")
                event[name] = value
                continue
            self._take(event)
            event = {}
        connection.close()

    def _take(self, event: dict[str, str]) -> None:
        if event.get("event") == "error":
            self.error = json.loads(event["data"])
        elif event.get("data") == "[DONE]":
            self.done = True
        elif event.get("data"):
            chunk = json.loads(event["data"])
            self.answer_id = chunk["id"]
            text = chunk["choices"][0]["delta"].get("content")
            self.cursor = event.get("id", self.cursor)
            if text:
                with self.arrived:
                    self.texts.append(text)
                    self.arrived.notify_all()

    def wait_tokens(self, count: int) -> None:
        """Wait until so many tokens have come."""
        with self.arrived:
            found = self.arrived.wait_for(lambda: len(self.texts) >= count or self.ended_at, LIMIT)
            came = len(self.texts)
        assert found and came >= count, f"{came} tokens came: {self.error or self.broken}"

    def join(self) -> None:
        """Wait for the end of the answer."""
        self.thread.join(LIMIT)
        assert not self.thread.is_alive(), "the answer did not end"


def marks_of(texts: list[str]) -> set[str]:
    """Return the generations that tokens come from."""
    return {text.split(":")[0] for text in texts}


def check_whole(texts: list[str], length: int) -> None:
    """Check that tokens are those of one generation, each once and in order."""
    marks = marks_of(texts)
    assert len(marks) <= 1, f"tokens of {len(marks)} generations"
    offsets = [int(text.split(":")[1]) for text in texts]
    assert offsets == list(range(length)), f"{len(offsets)} tokens, not 0 to {length - 1} in order"


def caller_of(
    fleet: Fleet,
    daemon: str,
    prompt: str,
    model: str = "planner",
    account: str = "organisers",
    **options,
) -> StreamingCaller:
    """Return a caller of one daemon, not yet started."""
    return StreamingCaller(fleet.processes[daemon].http, account, model, prompt, **options)


def start_plans(
    fleet: Fleet, daemons: list[str], count: int, length: int, model: str = "planner"
) -> list[StreamingCaller]:
    """Begin so many plans, through each of the daemons in turn."""
    turns = (daemons[number % len(daemons)] for number in range(count))
    return [caller_of(fleet, daemon, f"plan [len={length}]", model).start() for daemon in turns]


def bearer(account: str) -> dict:
    """Return the header that carries an account's key."""
    return {"Authorization": f"Bearer {KEYS[account]}"}


def check_all_whole(callers: list[StreamingCaller], length: int) -> None:
    """Check that every caller gets a whole answer."""
    for caller in callers:
        caller.join()
        assert not caller.broken and caller.error is None, caller.broken or caller.error
        assert caller.done, "no [DONE]"
    for caller in callers:
        check_whole(caller.texts, length)
