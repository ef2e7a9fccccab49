"""A caller as the tests need one: streams, keeps every event, and can resume."""

import http.client
import json
import threading

from attrs import define, field

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
    over: bool = False
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
        with self.arrived:
            self.over = True
            self.arrived.notify_all()

    def _run(self) -> None:
        host, _, port = self.address.rpartition(":")
        connection = http.client.HTTPConnection(host, int(port), timeout=LIMIT)
        body = {
            "model": self.model,
            "messages": [{"role": "user", "content": self.prompt}],
            "stream": True,
            "max_tokens": 20000,
        }
        headers = {"Authorization": f"Bearer {KEYS[self.account]}"} | self.headers
        if self.last_event_id:
            headers["Last-Event-ID"] = self.last_event_id
        connection.request("POST", "/v1/chat/completions", json.dumps(body), headers)
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
            text = json.loads(event["data"])["choices"][0]["delta"].get("content")
            self.cursor = event.get("id", self.cursor)
            if text:
                with self.arrived:
                    self.texts.append(text)
                    self.arrived.notify_all()

    def wait_tokens(self, count: int) -> None:
        """Wait until so many tokens have come."""
        with self.arrived:
            self.arrived.wait_for(lambda: len(self.texts) >= count or self.over, LIMIT)
        assert len(self.texts) >= count, f"{len(self.texts)} tokens: {self.broken} {self.error}"

    def join(self) -> None:
        """Wait for the end of the answer."""
        self.thread.join(LIMIT)
        assert not self.thread.is_alive(), "the answer did not end"


def check_whole(texts: list[str], length: int) -> None:
    """Check that tokens are those of one generation, each once and in order."""
    marks = {text.split(":")[0] for text in texts}
    assert len(marks) <= 1, f"tokens of {len(marks)} generations"
    offsets = [int(text.split(":")[1]) for text in texts]
    assert offsets == list(range(length)), f"{len(offsets)} tokens, not 0 to {length - 1} in order"
