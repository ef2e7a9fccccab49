"""Reads which host and path a request names, in origin or absolute form (RFC 9112, section 3.2)."""

import re

from attrs import evolve

from papayacourse.exceptions import RequestRefused
from papayacourse.routed.seams import Call
from papayacourse.routed.spellings import AUTHORITY, host_and_port

ABSOLUTE_FORM = re.compile(r"https?://([^/?#]*)(.*)", re.IGNORECASE)
MALFORMED_PATH = re.compile(r"[\\#]|%00|%(?![0-9A-Fa-f]{2})")
USER_INFORMATION = re.compile(r"(?<=:)//[^/]*@")
MAX_SHOWN = 100  # characters of a host or path in a log line


def with_named_target(call: Call) -> Call:
    """Return a call in origin form: its target is path and query, and its host is the one it names.

    The host of a target in absolute form takes precedence over the Host header and replaces it, so
    that the backend server reads the same host whose route was used.

    Raises
    ------
    RequestRefused
        When the target or host is malformed, or there is not exactly one Host header.
    """
    hosts = call.headers.get_list("Host")
    if len(hosts) != 1:
        raise RequestRefused(400, "bad_host", f"{len(hosts)} Host headers instead of one")
    absolute = ABSOLUTE_FORM.fullmatch(call.target)
    if call.method == "CONNECT" or not (absolute or call.target.startswith("/")):
        raise RequestRefused(400, "bad_target", "the target is neither a path nor an http URI")
    if not absolute:
        check_host(hosts[0])
        check_path(call.path)
        return evolve(call, host=hosts[0])
    host, rest = absolute.groups()
    check_host(host)
    if hosts[0]:
        check_host(hosts[0])
    headers = call.headers.copy()
    headers["Host"] = host
    target = rest if rest.startswith("/") else f"/{rest}"
    named = evolve(call, target=target, host=host, headers=headers)
    check_path(named.path)
    return named


def check_host(host: str) -> None:
    """Raise RequestRefused if a host, with or without a port, is malformed."""
    if not AUTHORITY.fullmatch(host) or not host_and_port(host)[0]:
        raise RequestRefused(400, "bad_host", "the host is malformed")


def check_path(path: str) -> None:
    """Raise RequestRefused if a path has characters that servers may treat in different ways.

    These are backslashes, number signs, escaped null characters and malformed escapes.
    """
    found = MALFORMED_PATH.search(path)
    if found:
        raise RequestRefused(400, "bad_target", f"the path has a malformed {found[0]!r}")


def shown_host(host: str) -> str:
    """Return a host for log lines: bounded in length, and without user information."""
    return host.rpartition("@")[2][:MAX_SHOWN]


def shown_target(target: str) -> str:
    """Return a target for log lines: bounded in length, and without query and user information.

    Both may contain secrets.
    """
    path = target.partition("?")[0]
    return USER_INFORMATION.sub("//", path, count=1)[:MAX_SHOWN]
