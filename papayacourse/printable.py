"""Makes text of other programs safe to print."""


def printable(text: str) -> str:
    """Return a text with its control characters and halves of surrogate pairs escaped."""
    if text.isprintable():
        return text
    return "".join(
        character if character.isprintable() else character.encode("unicode_escape").decode()
        for character in text
    )
