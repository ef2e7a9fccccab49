"""What goes wrong with the answers of the users' engines."""

import os
import re
import signal
import socket

from tornado.iostream import IOStream

from standins.platformruns import Run

NOISE = b"n" * 1000
ENDLESS = {
    "endless_noise": (b"", b"\x00\x81\xfe" * 300),
    "endless_line": (b"HTTP/1.1 200 OK\r\nX-Noise: ", NOISE),
    "endless_head": (b"HTTP/1.1 200 OK\r\n", b"X-Noise: " + NOISE + b"\r\n"),
    "endless_interim": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "endless_body": (b"HEAD\r\n", NOISE),
    "endless_chunks": (b"HEADTransfer-Encoding: chunked\r\n\r\n", b"3e8\r\n" + NOISE + b"\r\n"),
    "endless_extension": (b"HEADTransfer-Encoding: chunked\r\n\r\n2;", NOISE),
    "endless_trailer": (
        b"HEADTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n",
        b"X-Noise: " + NOISE + b"\r\n",
    ),
    "endless_surplus": (b"HEADContent-Length: 2\r\n\r\nok", NOISE),
    "endless_event": (b"HEAD\r\n", NOISE),
    "endless_comments": (b"HEAD\r\n", b": noise\n\n"),
    "endless_old": (b"HEAD\r\n", b"id: 1\ndata: token 1\n\n"),
}  # what an answer begins with, and what then comes again and again; HEAD is a good answer's head
ODD_STATUS = {
    "odd_status": b"HEADContent-Length: 2\r\n\r\nok",
    "odd_status_interim": b"HEAD\r\nHTTP/1.1 200 OK\r\nX-Attempt-Id: ID\r\n"
    b"X-Server-Signature: s\r\nContent-Length: 2\r\n\r\nok",
}  # answers whose head, or interim head, has the status that `status` says
UNFRAMED_ENDS = {
    "unframed": b"", "reset_unframed": b"", "unframed_half": b"id: 21\ndata: to",
    "unframed_early": b"id: 1\nda", "unframed_empty": b"",
}  # fmt: skip
PARTIAL_HEADS = {
    "half_head": b"HEAD",
    "half_line": b"HEADContent-Len",
    "half_head_after_interim": b"HTTP/1.1 103 Early Hints\r\n\r\nHEAD",
}  # where an answer breaks off within its head; HEAD is the lines of a good one
OLD_REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: an-earlier-one\r\n"
    b"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
FAILURES = {"fail": 500, "promise": 503}  # the status of a generation that ran and failed
MUTE_TIME = 60.0  # seconds
LATE_ANSWER = 0.3  # seconds from the close of a stopped run's stream to the order's answer
LATE_CLOSE = 0.15  # seconds from the order's answer to the close of a stopped run's stream
DEADLY_PART = re.compile(r"\bdead-\d+:\d+,")  # in a prompt's list of parts, never the last
CRASH_DELAY = 0.1  # seconds from the head of an answer to the crash
DEADLY = re.compile(r"\[(crash|hang)=(\d+)\]")  # in a body: how, and after how many events


def reset_at_close(stream: IOStream) -> None:
    """Make the closing of a connection a reset."""
    linger = b"\x01\x00\x00\x00\x00\x00\x00\x00"
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def die_if_due(run: Run) -> None:
    """End this engine, or stop it for good, if the run's body says that it does that now."""
    match DEADLY.search(run.body):
        case re.Match() as found if run.made >= int(found[2]):
            os.kill(os.getpid(), signal.SIGKILL if found[1] == "crash" else signal.SIGSTOP)
