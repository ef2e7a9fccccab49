"""Parsing of OpenAI requests and formatting of their answers."""

import json
import time
from functools import cached_property

import xxhash
from attrs import frozen

from papayacourse import jsontext
from papayacourse.engines import End, EngineEvent, Token
from papayacourse.exceptions import RequestRefused

BYTES_PER_TOKEN = 4  # rough estimate
PREFIX_BYTES = 256  # length difference between successive hashed prefixes
MAX_PREFIXES = 64
DEFAULT_MAX_TOKENS = 4096
MAX_SEED = 2**63
TEXT_PLACEHOLDER = "\0text\0"  # no model's name contains it


@frozen
class CompletionRequest:
    """A validated completion request.

    Attributes
    ----------
    chat : bool
        Whether it is a chat completion.
    model : str
        The name of the service.
    """

    chat: bool
    model: str
    prompt: str
    max_tokens: int | None
    stream: bool
    include_usage: bool
    seed: int | None


def bad_request(what: str) -> RequestRefused:
    """Return the refusal of an invalid request."""
    return RequestRefused(400, "bad_request", what)


def parse_json(body: bytes) -> dict:
    """Parse a JSON object, or refuse the request."""
    try:
        raw = jsontext.parse_exact(body)
    except (ValueError, RecursionError) as error:
        raise bad_request(f"the body is not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise bad_request("the body must be a JSON object")
    return raw


def get_member(raw: dict, name: str, kind: type, default=None, required: bool = False):
    """Return a member of a JSON object, or refuse the request if its type is wrong."""
    value = raw.get(name)
    if value is None:
        if required:
            raise bad_request(f"{name}: missing")
        return default
    if not isinstance(value, kind) or (kind is int and isinstance(value, bool)):
        raise bad_request(f"{name}: must be {kind.__name__}, not {type(value).__name__}")
    return value


def content_text(where: str, content) -> str:
    """Return a message's text, or refuse the request if it has parts other than text."""
    if isinstance(content, str):
        return content
    if not isinstance(content, list):
        raise bad_request(f"{where}: must be a string or a list of text parts")
    for part in content:
        if not isinstance(part, dict) or not isinstance(part.get("text"), str):
            raise bad_request(f"{where}: only text parts can be served")
    return "".join(part["text"] for part in content)


def render_prompt(messages: list) -> str:
    """Render chat messages as one prompt."""
    lines = []
    for number, message in enumerate(messages):
        if not isinstance(message, dict):
            raise bad_request(f"messages[{number}]: must be an object")
        role = get_member(message, "role", str, required=True)
        text = content_text(f"messages[{number}].content", message.get("content"))
        lines.append(f"<|{role}|>{text}")
    return "\n".join(lines) + "\n<|assistant|>"


def parse_completion_request(body: bytes, chat: bool) -> CompletionRequest:
    """Parse and validate a request's body.

    Raises
    ------
    RequestRefused
        With status 400, naming the invalid member.
    """
    raw = parse_json(body)
    model = get_member(raw, "model", str, required=True)
    if chat:
        messages = get_member(raw, "messages", list, required=True)
        if not messages:
            raise bad_request("messages: must not be empty")
        prompt = render_prompt(messages)
    else:
        prompt = get_member(raw, "prompt", str, required=True)
    if get_member(raw, "n", int, 1) != 1:
        raise bad_request("n: only one choice can be served")
    max_tokens = get_member(raw, "max_completion_tokens", int, get_member(raw, "max_tokens", int))
    if max_tokens is not None and max_tokens < 1:
        raise bad_request("max_tokens: must be above zero")
    seed = get_member(raw, "seed", int)
    if seed is not None and not -MAX_SEED <= seed < MAX_SEED:
        raise bad_request("seed: must fit in 64 bits")
    options = get_member(raw, "stream_options", dict, {})
    return CompletionRequest(
        chat,
        model,
        prompt,
        max_tokens,
        get_member(raw, "stream", bool, False),
        get_member(options, "include_usage", bool, False),
        seed,
    )


def prompt_tokens(prompt: str) -> int:
    """Estimate a prompt's length in tokens."""
    return len(prompt.encode()) // BYTES_PER_TOKEN + 1


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return the hashes of the prompt's prefixes, shortest first."""
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
class AnswerFormat:
    """Formats the events of one answer for the OpenAI API."""

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
    def token_event_parts(self) -> tuple[str, str]:
        """Return the JSON before and after the text in every token's event."""
        before, _, after = json.dumps(self._chunk(TEXT_PLACEHOLDER, None)).partition(
            json.dumps(TEXT_PLACEHOLDER)
        )
        return before, after

    def event(self, event: EngineEvent) -> bytes:
        """Return the server-sent event, whose id is the cursor to resume after it."""
        match event:
            case Token(offset=offset, text=text):
                before, after = self.token_event_parts
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
        """Return the body of an answer that is not streamed."""
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
    """Return the current time for an answer, in seconds since 1970."""
    return int(time.time())
