"""Normalizes equivalent spellings of hosts and paths (RFC 3986, section 6.2.2), for matching.

Servers differ in how they resolve dot segments and escaped separators. A reading is a function that
returns a path as some servers read it. Readings are used only for matching; what is sent on to a
backend server keeps the caller's bytes.
"""

import re

# A host, and its port if it has one.
AUTHORITY = re.compile(
    r"(\[[0-9A-Za-z:.%]+\]"  # an IPv6 address
    r'|(?:[^\x00-\x20\x7f"#%,/:<>?@\[\\\]]|%[0-9A-Fa-f]{2})+)'
    r"(?::([0-9]*))?"
)
ESCAPE = re.compile(r"%[0-9A-Fa-f]{2}")
ESCAPED_SEPARATORS = re.compile(r"%2F|%5C")  # slash and backslash
NEEDS_READINGS = re.compile(r"%|/\.")  # paths without these are the same in all readings
UNRESERVED = frozenset("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~")


def host_and_port(host: str) -> tuple[str, str]:
    """Return a host's name in normal form, and its port, which is empty if there is none."""
    found = AUTHORITY.fullmatch(host)
    name, port = found.groups("") if found else (host, "")
    return with_plain_escapes(name).lower().removesuffix("."), port


def with_plain_escapes(text: str) -> str:
    """Return a text with unreserved characters unescaped, and other escapes in capitals."""
    return ESCAPE.sub(_plain_escape, text) if "%" in text else text


def _plain_escape(found: re.Match) -> str:
    character = chr(int(found[0][1:], 16))
    return character if character in UNRESERVED else found[0].upper()


def without_dot_segments(path: str) -> str:
    """Return a path with its ``.`` and ``..`` segments resolved (RFC 3986, section 5.2.4)."""
    if not path.startswith("/"):
        return path
    resolved: list[str] = []
    *folders, last = path.split("/")[1:]
    for segment in folders:
        if segment == "..":
            resolved = resolved[:-1]
        elif segment != ".":
            resolved.append(segment)
    if last == "..":
        resolved = resolved[:-1]
    resolved.append("" if last in (".", "..") else last)
    return "/" + "/".join(resolved)


def with_resolved_dots(path: str) -> str:
    """Return a path as read by servers that resolve dot segments."""
    return without_dot_segments(with_plain_escapes(path))


def with_decoded_separators(path: str) -> str:
    """Return a path as read by servers that decode separators before they resolve dot segments."""
    return without_dot_segments(ESCAPED_SEPARATORS.sub("/", with_plain_escapes(path)))


READINGS = (with_plain_escapes, with_resolved_dots, with_decoded_separators)
