"""The outcome of a caller's request."""

from attrs import define

from papayacourse.exceptions import RequestRefused
from papayacourse.routed.admitted import AdmittedRequest
from papayacourse.routed.generation import Generation


@define
class Outcome:
    """The outcome of a request, for its log line."""

    received_at: float
    admitted: AdmittedRequest | None = None
    end: str = ""
    why: str = ""
    reason: str = ""
    status: int = 0
    ran: str = ""
    relayed_to: str = ""
    generation: Generation | None = None

    def stream_fields(self) -> dict[str, object]:
        """Return the log fields of a streamed generation; empty for other requests."""
        generation = self.generation
        if generation is None:
            return {}
        waited = generation.first_at - self.received_at if generation.events else None
        return {
            "engine": generation.engine.name if generation.engine else "",
            "events": generation.events,
            "first_event": None if waited is None else round(waited, 3),
            "resumes": generation.resumes,
            "framing": str(generation.framing or ""),
            "moving": generation.pending_move is not None,
            **generation.gaps.log_fields(),
        }

    def record_refusal(self, refused: RequestRefused) -> None:
        """Record the refusal that is sent to the caller."""
        self.end, self.why, self.reason = "refused", str(refused), refused.reason
        self.status, self.ran = refused.status, str(refused.ran)
