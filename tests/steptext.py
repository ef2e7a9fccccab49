"""Reads the arguments that step texts carry."""


def names_in(text: str) -> list[str]:
    """Return the names of a list with commas."""
    return [name.strip() for name in text.split(",")]
