"""Names the duties that move between daemons by rendezvous hashing."""


def scheduling(team: str, service: str) -> str:
    """Name the duty of scheduling a service."""
    return f"scheduler/{team}/{service}"
