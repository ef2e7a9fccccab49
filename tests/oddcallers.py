"""Odd requests, as bytes that are sent as they are; the same each time."""

import random
import socket

from tests.callers import KEYS

LIMIT = 20.0  # seconds
HALF = b'"\\ud800"'
VALUES = [
    b"null", b"true", b"0", b"-1", b"1e999", b"NaN", b"-Infinity", b"9" * 400, b"9" * 5000,
    b"1e400", b'""', b'"x"', HALF, b'"\\udfff\\ud800"', b'"\xff\xfe"', b'"\\u0000"', b"[]", b"{}",
    b"[" * 50_000, b"[" * 900 + b"]" * 900, b"{\"a\":" * 900 + b"1" + b"}" * 900, b'"planner"',
    b'[{"role":"user","content":"x"}]', b'[{"role":"\\ud800","content":"x"}]',
    b'[{"role":"user","content":[{"type":"text","text":"\\ud800"}]}]', b'[{"role":1}]', b"[null]",
    b'"\xed\xa0\x80"', b'"' + b"x" * 100_000 + b'"', b"", b"]", b"1_0", b"0x1f", b"'x'",
]  # fmt: skip
MEMBERS = [
    b"model", b"prompt", b"messages", b"max_tokens", b"max_completion_tokens", b"stream", b"n",
    b"seed", b"stream_options", b"\\ud800", b"",
]  # fmt: skip
BODIES = [b"", b"\xff", b"\xef\xbb\xbf{}", b"[1]", b"null", b'"x"', "{}".encode("utf-16"), b"{" * 9]
HEADERS = [
    b"Idempotency-Key: ", b"Idempotency-Key: \xff\xfe", b"Idempotency-Key: " + b"k" * 300,
    b"Idempotency-Key: \xc3\xa9", b"Last-Event-ID: \xff~1", b"Last-Event-ID: ~",
    b"Last-Event-ID: x",
    b"Last-Event-ID: a.b~" + b"9" * 5000, b"Last-Event-ID: a.b~1e9", b"Content-Type: \xff/\xff",
    b"X-Request-Id: \xff\xff", b"x-request-id: " + b"i" * 9000, b"Accept-Encoding: \xed\xa0\x80",
    b"Expect: 100-continue", b"Traceparent: \xff", b"X: \x01\x02", b"Transfer-Encoding: odd",
    b"Content-Length: x", b"Content-Length: \xb2", b"Cookie: \xff=\xff; a", b"Host: \xff[",
]  # fmt: skip
PATHS = [
    b"/v1/chat/completions", b"/v1/completions", b"/v1/streams", b"/v1/models",
    b"/services/deposit-ledger/refunds", b"/services/deposit-ledger/\xff", b"/services/%ff/x",
    b"/services/deposit-ledger/%ed%a0%80?x=%ff&y", b"/services/deposit-ledger/refunds?\xff=%",
    b"/services//", b"/%ff", b"//[", b"/v1/\xff", b"http://[/v1/models", b"/readyz?%ff",
    b"/debug/settings?path=%ff", b"/debug/status", b"*",
]  # fmt: skip
METHODS = [b"POST"] * 6 + [b"GET"] * 3 + [b"PUT", b"DELETE", b"HEAD", b"OPTIONS", b"ODD", b"\xff"]
AUTHORIZATIONS = [b"Bearer \xff", b"Bearer", b"", b"Basic \xff", b"Bearer " + b"k" * 5000]


def odd_body(rng: random.Random) -> bytes:
    """Return a body with odd members."""
    if rng.random() < 0.1:
        return rng.choice(BODIES)
    members = {b"model": b'"planner"', b"prompt": b'"x"', b"messages": VALUES[22]}
    for name in rng.sample(MEMBERS, rng.randint(1, 3)):
        members[name] = rng.choice(VALUES)
    return b"{" + b",".join(b'"%s":%s' % member for member in members.items()) + b"}"


def odd_requests(count: int, seed: int) -> list[bytes]:
    """Return odd requests."""
    rng = random.Random(seed)
    return [odd_request(rng) for _ in range(count)]


def odd_request(rng: random.Random) -> bytes:
    """Return an odd request."""
    body = odd_body(rng)
    known = b"Bearer " + KEYS["organisers"].encode()
    authorization = known if rng.random() < 0.8 else rng.choice(AUTHORIZATIONS)
    lines = [
        rng.choice(METHODS) + b" " + rng.choice(PATHS[:4] if rng.random() < 0.6 else PATHS)
        + b" HTTP/1.1",
        b"Host: x", b"Connection: close", b"Authorization: " + authorization,
        b"Content-Length: %d" % len(body), *rng.sample(HEADERS, rng.choice([0, 0, 1, 2])),
    ]  # fmt: skip
    return b"\r\n".join(lines) + b"\r\n\r\n" + body


def exchange(address: str, request: bytes) -> int:
    """Send a request as it is; return the answer's status, 0 if there is none.

    An answer may be a stream; its beginning is enough.
    """
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), LIMIT) as link:
        received = b""
        try:
            link.sendall(request)
            while b"\r\n\r\n" not in received and (data := link.recv(65536)):
                received += data
        except ConnectionError:
            pass
    return int(received.split()[1]) if received else 0
