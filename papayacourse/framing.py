"""How the end of an HTTP answer is told; see RFC 9112, section 6.3."""

import enum

from tornado.httputil import HTTPHeaders

HTTP_1_0 = "HTTP/1.0"  # has no chunks: an answer without a length ends with its connection
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class Framing(enum.StrEnum):
    """What ends the body of an answer."""

    LENGTH = "length"  # its length is known from the head
    CHUNKS = "chunks"  # the last chunk ends it
    CLOSE = "close"  # the connection ends with it, which an answer that breaks off may do too


def framing_of(method: str, status: int, headers: HTTPHeaders) -> Framing:
    """Return the framing of the answer to a request with a method."""
    if method == "HEAD" or status in STATUSES_WITHOUT_BODY or "Content-Length" in headers:
        return Framing.LENGTH
    return Framing.CHUNKS if "Transfer-Encoding" in headers else Framing.CLOSE
