"""Describes a generation to the schedulers, and refuses one that no engine has memory for."""

from papayacourse.exceptions import RequestRefused
from papayacourse.quarantine import fingerprint
from papayacourse.routed.admitted import AdmittedRequest
from papayacourse.routed.derived import TEAM
from papayacourse.routed.document import EngineCapacity
from papayacourse.routed.seams import Prompt
from papayacourse.types import GenerationRequest

PREFIX_HASH_BITS = 63


def refuse_too_large(prompt: Prompt | None, capacity: EngineCapacity) -> None:
    """Refuse a prompt that no engine of its service has the memory for.

    Engines would reject it, and each that is asked would count as busy with it meanwhile.
    """
    if prompt is not None and prompt.tokens > capacity.memory_tokens > 0:
        raise RequestRefused(
            503, "too_large", f"the prompt has over {capacity.memory_tokens} tokens, all of an "
            "engine's memory",
        )  # fmt: skip


def generation_request(
    admitted: AdmittedRequest, event_tokens: int = 1, by_pace: bool = False
) -> GenerationRequest:
    """Return the request as the schedulers see it.

    Parameters
    ----------
    event_tokens : int
        Tokens per event of its stream.
    by_pace : bool
        Whether it is placed by the pace of engines, if its route names a target for gaps.
    """
    call, prompt = admitted.call, admitted.call.prompt or Prompt("", 0, 1)
    has_target = by_pace and admitted.route.has_gap_target
    return GenerationRequest(
        stream=call.request_id,
        team=TEAM,
        service=admitted.service,
        account=admitted.account_name,
        prompt="",
        prompt_tokens=prompt.tokens,
        max_tokens=max(1, prompt.max_output),
        priority=-admitted.rank,
        prefixes=prefix_hashes(prompt),
        fingerprint=admitted.fingerprint,
        max_gap=admitted.route.max_gap if has_target else 0.0,
        event_tokens=max(1, event_tokens),
    )


def prefix_hashes(prompt: Prompt) -> tuple[int, ...]:
    """Return a hash for each prefix of a prompt that ends at a part boundary."""
    found, text = [], prompt.model
    for part in prompt.parts:
        text = f"{text}/{part.name}:{part.tokens}"
        digest = fingerprint("", "", text)
        found.append(int(digest[:16], 16) & ((1 << PREFIX_HASH_BITS) - 1))
    return tuple(found)
