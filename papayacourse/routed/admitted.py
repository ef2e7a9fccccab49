"""A request that the settings allow: its route, account, service and time."""

import time
from functools import cached_property

import xxhash
from attrs import define, field

from papayacourse.exceptions import RequestRefused
from papayacourse.routed.document import Account, Document, Route
from papayacourse.routed.seams import Call

NO_SETTINGS_RETRY_AFTER = 1.0  # seconds


@define(eq=False, slots=False)
class Admitted:
    """What is known of a request before it is sent anywhere.

    Attributes
    ----------
    deadline : float
        When its caller or its route gives it up, in seconds of the monotonic clock.
    version : int
        The version of the document that allowed it.
    """

    call: Call
    route: Route
    account: Account | None
    service: str
    deadline: float
    version: int
    came_at: float = field(factory=time.monotonic)

    @property
    def account_name(self) -> str:
        """Return the account's name; empty for an anonymous caller."""
        return self.account.name if self.account else ""

    @property
    def rank(self) -> int:
        """Return the request's rank; 0 is the most urgent."""
        if self.account is not None and self.account.rank is not None:
            return self.account.rank
        return self.route.rank

    @cached_property
    def fingerprint(self) -> str:
        """Return what the request is recognised by when its caller sends it again."""
        call = self.call
        hashed = xxhash.xxh3_128(f"{self.account_name}\0{call.target}\0".encode())
        hashed.update(call.body)
        return hashed.hexdigest()

    def time_left(self) -> float:
        """Return how long the answer can still be waited for, in seconds."""
        return self.deadline - time.monotonic()


def admit(document: Document | None, call: Call, came_at: float) -> Admitted:
    """Find a request's route and account.

    Raises
    ------
    RequestRefused
        When the settings do not allow it, or none are known yet.
    """
    if document is None:
        raise RequestRefused(
            503, "no_settings", "no settings known yet", retry_after=NO_SETTINGS_RETRY_AFTER
        )
    route = document.route(call.host, call.path)
    if route is None:
        raise RequestRefused(404, "no_route", "no route begins this path")
    account = document.by_key.get(call.key) if call.key else None
    if account is None and document.needs_accounts and not route.anonymous:
        raise RequestRefused(401, "bad_key", "the account key is not known")
    patience = route.timeout if call.patience is None else min(call.patience, route.timeout)
    deadline = came_at + patience
    return Admitted(call, route, account, route.service(), deadline, document.version, came_at)
