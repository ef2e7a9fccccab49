"""The OpenAI forms of a request and its answer."""

import json
import time
from functools import cached_property

import xxhash
from attrs import frozen

from papayacourse.engines import End, EngineEvent, Token
from papayacourse.exceptions import RequestRefused

BYTES_PER_TOKEN = 4  # a rough estimate of a prompt's length
PREFIX_BYTES = 256  # step between the prefixes whose hashes are taken
MAX_PREFIXES = 64
DEFAULT_MAX_TOKENS = 4096
TEXT_MARK = "\0text\0"  # stands for a token's text; no model's name contains it


@frozen
class Ask:
    """A checked request for a generation.

    Attributes
    ----------
    chat : bool
        Whether it came as a chat completion.
    model : str
        The service it names.
    """

    chat: bool
    model: str
    prompt: str
    max_tokens: int | None
    stream: bool
    include_usage: bool
    seed: int | None


def fault(what: str) -> RequestRefused:
    """Make the refusal for a request that cannot be read."""
    return RequestRefused(400, "bad_request", what)


def parse_json(body: bytes) -> dict:
    """Read a JSON object, or refuse the request."""
    try:
        raw = json.loads(body)
    except (ValueError, RecursionError) as error:
        raise fault(f"the body is not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise fault("the body must be a JSON object")
    return raw


def typed(raw: dict, name: str, kind: type, default=None, required: bool = False):
    """Take a member of a given type out of a JSON object."""
    value = raw.get(name)
    if value is None:
        if required:
            raise fault(f"{name}: missing")
        return default
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise fault(f"{name}: must be {kind.__name__}, not {type(value).__name__}")
    return value


def content_text(where: str, content) -> str:
    """Return a message's text; parts other than text cannot be served."""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        raise fault(f"{where}: must be a string or a list of text parts")
    for part in content:
        if not isinstance(part, dict) or not isinstance(part.get("text"), str):
            raise fault(f"{where}: only text parts can be served")
    return "".join(part["text"] for part in content)


def render(messages: list) -> str:
    """Turn chat messages into one prompt."""
    lines = []
    for number, message in enumerate(messages):
        if not isinstance(message, dict):
            raise fault(f"messages[{number}]: must be an object")
        role = typed(message, "role", str, required=True)
        text = content_text(f"messages[{number}].content", message.get("content"))
        lines.append(f"<|{role}|>{text}")
    return "\n".join(lines) + "\n<|assistant|>"


def parse_ask(body: bytes, chat: bool) -> Ask:
    """Check a request's body.

    Raises
    ------
    RequestRefused
        With status 400, naming the member at fault.
    """
    raw = parse_json(body)
    model = typed(raw, "model", str, required=True)
    if chat:
        messages = typed(raw, "messages", list, required=True)
        if not messages:
            raise fault("messages: must not be empty")
        prompt = render(messages)
    else:
        prompt = typed(raw, "prompt", str, required=True)
    if typed(raw, "n", int, 1) != 1:
        raise fault("n: only one choice can be served")
    longest = typed(raw, "max_completion_tokens", int, typed(raw, "max_tokens", int))
    if longest is not None and longest < 1:
        raise fault("max_tokens: must be above zero")
    options = typed(raw, "stream_options", dict, {})
    return Ask(
        chat,
        model,
        prompt,
        longest,
        typed(raw, "stream", bool, False),
        typed(options, "include_usage", bool, False),
        typed(raw, "seed", int),
    )


def prompt_tokens(prompt: str) -> int:
    """Estimate a prompt's length in tokens."""
    return len(prompt.encode()) // BYTES_PER_TOKEN + 1


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return the hashes of the prompt's growing prefixes, shortest first."""
    data = prompt.encode()
    running = xxhash.xxh3_64()
    hashes = []
    for start in range(0, min(len(data), PREFIX_BYTES * MAX_PREFIXES), PREFIX_BYTES):
        piece = data[start : start + PREFIX_BYTES]
        if len(piece) < PREFIX_BYTES:
            break
        running.update(piece)
        hashes.append(running.intdigest())
    return tuple(hashes)


@frozen(slots=False)
class Form:
    """Writes the events of one answer in the OpenAI form."""

    chat: bool
    model: str
    stream: str
    created: int
    prompt_tokens: int
    include_usage: bool
    cursor: str

    @property
    def id(self) -> str:
        """Return the answer's id."""
        return ("chatcmpl-" if self.chat else "cmpl-") + self.stream

    def _chunk(self, text: str, finish: str | None) -> dict:
        choice: dict = {"index": 0, "finish_reason": finish}
        if self.chat:
            choice["delta"] = {"content": text} if finish is None else {}
        else:
            choice["text"] = text
        kind = "chat.completion.chunk" if self.chat else "text_completion"
        return {
            "id": self.id,
            "object": kind,
            "created": self.created,
            "model": self.model,
            "choices": [choice],
        }

    @cached_property
    def token_frame(self) -> tuple[str, str]:
        """Return what stands before and after the text in every token's event."""
        before, _, after = json.dumps(self._chunk(TEXT_MARK, None)).partition(json.dumps(TEXT_MARK))
        return before, after

    def event(self, event: EngineEvent) -> bytes:
        """Return one server-sent event, with the cursor to resume after it."""
        match event:
            case Token(offset=offset, text=text):
                before, after = self.token_frame
                data = f"{before}{json.dumps(text)}{after}"
                return f"id: {self.cursor}~{offset + 1}\ndata: {data}\n\n".encode()
            case End(offset=offset, reason=reason):
                data = json.dumps(self._chunk("", reason))
                last = f"id: {self.cursor}~{offset}\ndata: {data}\n\n"
                return (last + self._usage_event(offset) + "data: [DONE]\n\n").encode()

    def _usage_event(self, generated: int) -> str:
        if not self.include_usage:
            return ""
        chunk = self._chunk("", None) | {"choices": [], "usage": self._usage(generated)}
        return f"data: {json.dumps(chunk)}\n\n"

    def _usage(self, generated: int) -> dict:
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": generated,
            "total_tokens": self.prompt_tokens + generated,
        }

    def whole(self, text: str, generated: int, reason: str) -> dict:
        """Return the answer that is not streamed."""
        choice: dict = {"index": 0, "finish_reason": reason}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        return {
            "id": self.id,
            "object": "chat.completion" if self.chat else "text_completion",
            "created": self.created,
            "model": self.model,
            "choices": [choice],
            "usage": self._usage(generated),
        }


def now() -> int:
    """Return the time that an answer carries, in seconds since 1970."""
    return int(time.time())
