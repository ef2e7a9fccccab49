"""Steps about the ends of generations that HTTP itself does not show."""

import json
import socket
import threading

from attrs import define, field
from behave import given, then, when

from standins.fleet import wait_until
from tests.callers import bearer, check_whole
from tests.engines import engines, total
from tests.rawhttp import send

SOON = 5.0  # seconds in which a connection ends after its answer
TOKENS_BEFORE = 5
KEEP = "asks to keep it"
END_MARK = b"data: [DONE]\n\n"


@define(eq=False)
class RawCaller:
    """Reads an answer in a thread of its own, to the end of its connection.

    Attributes
    ----------
    ended : bool
        Whether the connection has ended without a reset.
    """

    link: socket.socket
    text: bytes = b""
    ended: bool = False
    thread: threading.Thread = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.thread = threading.Thread(target=self.read, daemon=True)
        self.thread.start()

    def read(self) -> None:
        """Read to the end."""
        try:
            while chunk := self.link.recv(65536):
                self.text += chunk
            self.ended = True
        except OSError:
            pass

    def join(self) -> bytes:
        """Wait for the end of the connection; return what came."""
        self.thread.join(SOON)
        assert not self.thread.is_alive(), f"the connection has not ended: {self.text[-200:]}"
        return self.text


def ask(context, daemon, version, prompt, streamed, keeps=False):
    """Begin to ask for a completion."""
    body = {"model": "planner", "prompt": prompt, "max_tokens": 20000, "stream": streamed}
    headers = bearer("organisers") | {"Connection": "keep-alive" if keeps else "close"}
    address = context.fleet.processes[daemon].http
    context.raw = RawCaller(send(address, "/v1/completions", body, headers, version=version))


@given("the engines' own streams come without length or chunks")
def unframed_streams(context):
    for name in engines(context.fleet):
        context.fleet.admin(name, {"unframed": True})


@when('"{prompt}" is being streamed through "{daemon}" by a caller of {version} that {connection}')
def stream_raw(context, prompt, daemon, version, connection):
    ask(context, daemon, version, prompt, streamed=True, keeps=connection == KEEP)
    wait_until("tokens come", lambda: context.raw.text.count(b"data: ") >= TOKENS_BEFORE)


@when('"{prompt}" is being completed through "{daemon}" by a caller of {version}')
def complete_raw(context, prompt, daemon, version):
    ask(context, daemon, version, prompt, streamed=False)
    wait_until("tokens are made", lambda: total(context.fleet, "generated") >= TOKENS_BEFORE)


@when('"{prompt}" is completed through "{daemon}" by a caller of {version}')
def complete_raw_whole(context, prompt, daemon, version):
    ask(context, daemon, version, prompt, streamed=False)


def whole_body(text):
    """Return the body of an answer, whose length must be that of its head."""
    head, _, body = text.partition(b"\r\n\r\n")
    lengths = [
        line.partition(b":")[2]
        for line in head.lower().split(b"\r\n")
        if line.startswith(b"content-length:")
    ]
    assert len(lengths) == 1 and int(lengths[0]) == len(body), head
    return json.loads(body)


@then("the answer in one piece has a length and {count:d} tokens")
def piece_is_whole(context, count):
    text = whole_body(context.raw.join())["choices"][0]["text"]
    check_whole(text.split(), count)


@then("that caller is answered {status:d} with a length")
def piece_refused(context, status):
    text = context.raw.join()
    assert whole_body(text)["ran"] == "unknown"
    assert int(text.split()[1]) == status, text


@then("the connection of that caller ends, after an error event and without the end mark")
def ends_in_error_event(context):
    text = context.raw.join()
    assert b"event: error\n" in text and END_MARK not in text, text[-300:]


@then("the connection of that caller ends without the end mark")
def ends_without_mark(context):
    assert END_MARK not in context.raw.join(), context.raw.text[-300:]


@then("the connection of that caller ends after the end mark")
def ends_with_mark(context):
    text = context.raw.join()
    assert context.raw.ended and text.count(END_MARK) == 1, text[-300:]
