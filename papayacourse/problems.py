"""Problem details (RFC 9457) of error responses."""

import json
import math

from papayacourse.exceptions import RequestRefused

CONTENT_TYPE = "application/problem+json"
TITLES = {
    400: "Bad request",
    401: "Unknown key",
    403: "Not permitted",
    404: "Not found",
    405: "Method not allowed",
    408: "Request too slow",
    409: "Conflict",
    413: "Body too large",
    422: "Cannot be processed",
    429: "Overloaded",
    431: "Header too large",
    500: "Internal error",
    502: "Backend server failed",
    503: "Not available",
    504: "Timed out",
}


def problem(refused: RequestRefused, request_id: str) -> dict:
    """Return the problem details; ``error`` repeats them in the format of OpenAI clients."""
    body: dict = {
        "type": f"urn:papayacourse:problem:{refused.reason}",
        "title": TITLES.get(refused.status, "Error"),
        "status": refused.status,
        "detail": refused.detail,
        "reason": refused.reason,
        "ran": str(refused.ran),
        "request_id": request_id,
    }
    if refused.retry_after is not None:
        body["retry_after"] = retry_after_seconds(refused)
    body["error"] = {"message": refused.detail, "type": refused.reason, "code": refused.reason}
    return body


def retry_after_seconds(refused: RequestRefused) -> int:
    """Return the Retry-After header's value, in whole seconds."""
    return max(1, math.ceil(refused.retry_after or 0))


def error_event(refused: RequestRefused, request_id: str) -> bytes:
    """Return the server-sent event that ends an aborted stream."""
    return f"event: error\ndata: {json.dumps(problem(refused, request_id))}\n\n".encode()
