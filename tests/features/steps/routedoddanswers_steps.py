"""Steps about an engine that answers with any bytes."""

import asyncio
import gc
import itertools
import random
import socketserver
import sys
import threading
import time
from http.client import HTTPException

from behave import given, then, when
from routed_steps import fleet_of
from tornado.httputil import HTTPHeaders

from papayacourse.exceptions import BackendError
from papayacourse.routed.notices import EngineNotices
from papayacourse.routed.seams import Call, Dispatch
from papayacourse.routed.sendhistory import SendHistory
from papayacourse.routed.sending import RequestNotExecuted, open_call
from papayacourse.types import Host, HostKind
from standins.fleet import wait_until
from tests.routedfleet import ROOT

sys.path.append(str(ROOT / "platform"))

from userplatform.codec import HeaderCodec

SEED = 7
TIME_ALLOWED = 1.5  # seconds that the caller waits
SLACK = 2.0  # seconds
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n"
OK = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\nX-Server-Signature: s\r\n"
REPORT = OK + (
    b"Content-Length: 78\r\n\r\n"
    b'{"RunningRequests":0,"WaitingRequests":0,"KvCacheUsed":0,"KvCacheTotal":30000}'
)
PLAN = {"X_Model": "m", "X_Token_Counts": "100,3"}
STATUSES = (0, 99, 101, 199, 204, 205, 299, 304, 404, 418, 499, 500, 503, 599, 600, 999, 1000)
HEADERS = (
    b"X-A: b\r\n folded", b"NoColon", b": none", b"X A: b", b"X-\xff: \xfe", b"X-A: \0", b"X-A:",
    b"X-A: \xc4\x80\x85", b"X-A: a\rb", b"Content-Length: 1\r\nContent-Length: 2",
    b"Content-Length: -1", b"Content-Length: 99999999999999999999", b"Content-Length: 1_0",
    b"Transfer-Encoding: gzip", b"Transfer-Encoding: chunked\r\nContent-Length: 4",
    b"Connection: X-Attempt-Id, \xff", b"Server-Limit: 1e400", b"Server-Limit: \xff",
    b"Server-Brittle: nan", b"Retry-After: inf", b"X-Attempt-Id: other", b"Content-Encoding: br",
    b"X-A: " + b"z" * 70000, b"\r\n".join([b"X-A: z"] * 80),
)  # fmt: skip
CHUNKS = (
    b"zz\r\nab\r\n0\r\n\r\n", b"-5\r\nabcde\r\n0\r\n\r\n", b"f" * 70 + b"\r\nab\r\n",
    b"5;x\r\nabcde", b"5\r\nabcdeXX\r\n0\r\n\r\n", b"\r\n", b"ffffffffffffffff\r\nab",
    b"5\r\nabcde\r\n0\r\nX: y\r\n\r\n",
)  # fmt: skip
IDS = (
    b"id: -1", b"id: 99999999999999999999999", b"id: x", b"id: \xff\x01", b"id: " + b"9" * 9000,
    b"id", b"id: 2\nid: 1", b"data: a\rid: 2", b": c", b"\xff\xfe", b"id: 1", b"id: 1.0",
    b"id: \xb2",
)  # fmt: skip


def odd_answers():
    """Yield answers whose head, framing or events are odd."""
    yield from (b"", b"\xff" * 50, b"\r\n\r\n", b"HTTP/1.1 200\r\n\r\n", b"HTTP/9.9 200 OK\r\n\r\n")
    for status in STATUSES:
        line = OK.replace(b"200 OK", b"%d Odd" % status)
        yield from (line + b"\r\n", line + b"Content-Length: 2\r\n\r\nok")
    for header in HEADERS:
        yield OK + header + b"\r\n\r\n" + EVENTS
    for chunks in CHUNKS:
        yield OK + b"Transfer-Encoding: chunked\r\n\r\n" + chunks
    for odd in IDS:
        yield OK + b"\r\nid: 1\ndata: a\n\n" + odd + b"\ndata: b\n\nid: 3\ndata: c\n\n"
    yield OK + b"\r\n" + EVENTS.replace(b"\n", b"\r")
    yield OK + b"\r\n" + EVENTS.replace(b"\n", b"\r\n")
    yield OK + b"\r\n" + b"x" * 300_000
    generated = random.Random(SEED)
    whole = OK + b"Content-Length: %d\r\n\r\n" % len(EVENTS) + EVENTS
    for _ in range(40):
        begin = generated.randrange(len(whole))
        odd = generated.randbytes(generated.randrange(1, 6))
        yield whole[:begin] + odd + whole[begin + generated.randrange(6) :]


class OddServer(socketserver.ThreadingTCPServer):
    """Answers each request with the bytes that are set, and closes."""

    daemon_threads = True
    answer = b""


class OddHandler(socketserver.StreamRequestHandler):
    """Reads the head of a request and answers it; reports are sound, so that it stays in use."""

    def handle(self) -> None:
        """Answer one request."""
        name, is_report = b"", self.rfile.readline().startswith(b"GET /report ")
        for line in iter(self.rfile.readline, b"\r\n"):
            if not line:
                return
            if line.lower().startswith(b"x-attempt-id:"):
                name = line.partition(b":")[2].strip()
        answer = REPORT if is_report else self.server.answer
        self.wfile.write(answer.replace(b"ID", name))


@given('an engine of "{service}" in "{domain}" that answers with any bytes')
def odd_engine(context, service, domain):
    context.server = server = OddServer(("127.0.0.1", 0), OddHandler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    context.add_cleanup(server.shutdown)
    host, port = server.server_address
    routed = fleet_of(context)
    routed.places["odd-1"] = {"Service": service, "Address": f"{host}:{port}", "Zone": domain}
    routed.list_engine("odd-1")


@when('each odd answer is given to a {kind} that is sent through "{name}"')
def give_each(context, kind, name):
    routed, context.answers = fleet_of(context), []
    for number, answer in zip(itertools.count(), odd_answers(), strict=False):
        context.server.answer = answer
        began = time.monotonic()
        more = {"X_Time_Remaining": str(int(TIME_ALLOWED * 1000))}
        path = "/book/1"
        if kind != "call":
            more, path = more | PLAN, "/plans/1"
        try:
            status = routed.ask(name, "POST", path, b"%d" % number, **more).status
        except (OSError, HTTPException) as error:
            status = repr(error)
        seconds = time.monotonic() - began
        context.answers.append((answer[:200], status, seconds, f"id-{routed.number}"))


@then("each was answered in time, and none by an error of the daemon")
def all_answered(context):
    late = [each for each in context.answers if each[2] > TIME_ALLOWED + SLACK]
    assert not late, late
    sent = {line["request"] for line in fleet_of(context).lines("a", "sent")}
    assert sent == {request for *_, request in context.answers}, "some were not sent"
    failed = fleet_of(context).lines("a", "request failed")
    assert not failed, failed


@then('each has one line "{kind}" in the log of "{name}"')
def each_logged(context, kind, name):
    expected = sorted(request for *_, request in context.answers)

    def logged():
        return sorted(line["request"] for line in fleet_of(context).lines(name, kind))

    wait_until("each request is logged once", lambda: logged() == expected)


@given("a server that counts what it is sent")
def counting_server(context):
    context.arrived = []


@when("a request with {what} is sent to it")
def send_unsendable(context, what):
    target = "/a\r\nX: y" if what.startswith("a target") else "/"
    method = "GET\r\nX: y" if what.startswith("a method") else "GET"
    account = "a\0b" if what.startswith("an account") else "a\nX: y" if "header" in what else "a"
    call = Call("id-1", method, target, "site", HTTPHeaders(), b"")

    async def run():
        async def answer(reader, writer):
            context.arrived.append(await reader.read(1))
            writer.close()

        unhandled = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, context: unhandled.append(context))
        async with await asyncio.start_server(answer, "127.0.0.1", 0) as server:
            host, port = server.sockets[0].getsockname()[:2]
            engine = Host("e", HostKind.PLAIN, f"{host}:{port}", "lagos", "lagos", instance="e")
            dispatch = Dispatch(engine, TIME_ALLOWED, account)
            try:
                sends = SendHistory()
                codec = HeaderCodec()
                await open_call(codec, EngineNotices(), call, dispatch, TIME_ALLOWED, sends)
            except BackendError as error:
                context.error = error
            await asyncio.sleep(0.05)
            gc.collect()
        context.unhandled = unhandled

    asyncio.run(run())


@then("it fails as not executed, and nothing has arrived")
def not_executed(context):
    assert isinstance(context.error, RequestNotExecuted), repr(context.error)
    assert not any(context.arrived), context.arrived
    assert not context.unhandled, context.unhandled
