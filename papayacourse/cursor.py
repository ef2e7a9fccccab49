"""Signed cursors that let a caller resume its stream at any daemon."""

import json

from attrs import frozen
from itsdangerous import BadSignature, URLSafeSerializer

from papayacourse.exceptions import RequestRefused

SALT = "papayacourse stream cursor"
MAX_OFFSET_DIGITS = 18


@frozen
class Cursor:
    """A caller's position in a stream.

    Attributes
    ----------
    account : str
        ``team/account``; no other account may use the cursor.
    run_id : str
        The engine's identifier of the run.
    chat : bool
        Whether the answer is a chat completion.
    offset : int
        The offset of the next token to send.
    """

    account: str
    service: str
    stream: str
    engine: str
    address: str
    prompt_tokens: int
    max_tokens: int
    created: int
    run_id: str
    chat: bool
    include_usage: bool
    fingerprint: str
    offset: int = 0


class CursorSigner:
    """Signs and reads cursors.

    The signature covers the stream but not the offset, so it is computed once for each stream. A
    caller that changes the offset only gets another part of its own answer.
    """

    def __init__(self, key: str):
        self.serializer = URLSafeSerializer(key, salt=SALT)

    def prefix(self, cursor: Cursor) -> str:
        """Return the signed part, to which ``~offset`` is added for each event."""
        fields = (
            cursor.account,
            cursor.service,
            cursor.stream,
            cursor.engine,
            cursor.address,
            cursor.prompt_tokens,
            cursor.max_tokens,
            cursor.created,
            cursor.run_id,
            cursor.chat,
            cursor.include_usage,
            cursor.fingerprint,
        )
        return self.serializer.dumps(fields)

    def read(self, text: str, account: str) -> Cursor:
        """Verify and parse a cursor from an account.

        Raises
        ------
        RequestRefused
            If the text is not a valid cursor, or belongs to another account.
        """
        signed, tilde, offset = text.rpartition("~")
        try:
            if not tilde or not offset.isdecimal() or len(offset) > MAX_OFFSET_DIGITS:
                raise ValueError("no offset")
            cursor = Cursor(*self.serializer.loads(signed), offset=int(offset))
        except (BadSignature, json.JSONDecodeError, TypeError, ValueError) as error:
            raise RequestRefused(
                400, "bad_cursor", "Last-Event-ID is not a cursor of ours"
            ) from error
        if cursor.account != account:
            raise RequestRefused(403, "foreign_cursor", "the cursor belongs to another account")
        return cursor
