"""The statuses that HTTP has; see RFC 9110, section 15."""

FINAL_STATUSES = range(200, 600)
INTERIM_STATUSES = range(100, 200)
SWITCHING_PROTOCOLS = 101  # answers a request for another protocol, which is never made here


def is_interim(status: int) -> bool:
    """Return True if a head with this status says that the answer's own head follows."""
    return status in INTERIM_STATUSES and status != SWITCHING_PROTOCOLS
