"""Admits requests that the settings allow: finds route, account, service and deadline."""

import time
from collections.abc import Callable
from functools import cached_property

import xxhash
from attrs import define, field

from papayacourse.exceptions import RequestRefused
from papayacourse.routed.document import Account, Document, Route
from papayacourse.routed.homes import Homes
from papayacourse.routed.seams import Call
from papayacourse.types import Host

NO_SETTINGS_RETRY_AFTER = 1.0  # seconds
STOPPING_RETRY_AFTER = 0.1  # seconds; another daemon can serve the request at once


@define(eq=False, slots=False)
class AdmittedRequest:
    """An admitted request.

    Attributes
    ----------
    deadline : float
        When the caller's or the route's timeout ends, in seconds of the monotonic clock.
    version : int
        The version of the settings document that admitted it.
    may_begin : callable
        Returns False if a planned stop leaves too little time to send it to a server.
    document_in_force : callable
        Returns the newest settings document, whose home regions hold also for admitted requests.
    """

    call: Call
    route: Route
    account: Account | None
    service: str
    deadline: float
    version: int
    received_at: float = field(factory=time.monotonic)
    may_begin: Callable[[], bool] = lambda: True
    document_in_force: Callable[[], Document | None] = lambda: None

    @property
    def account_name(self) -> str:
        """Return the account's name; empty for an anonymous caller."""
        return self.account.name if self.account else ""

    @property
    def rank(self) -> int:
        """Return the urgency; 0 is the most urgent."""
        if self.account is not None and self.account.rank is not None:
            return self.account.rank
        return self.route.rank

    @cached_property
    def fingerprint(self) -> str:
        """Return a hash of account, target and body, the same for all attempts of a request."""
        call = self.call
        hashed = xxhash.xxh3_128(f"{self.account_name}\0{call.target}\0".encode())
        hashed.update(call.body)
        return hashed.hexdigest()

    @cached_property
    def part_names(self) -> tuple[str, ...]:
        """Return the names of the prompt's parts."""
        prompt = self.call.prompt
        return tuple(part.name for part in prompt.parts) if prompt else ()

    @property
    def shared_parts(self) -> tuple[str, ...]:
        """Return the names of the parts that prompts of others may hold: all but the last."""
        return self.part_names[:-1]

    def homes(self) -> Homes:
        """Return the regions in which it may be served by the settings now in force."""
        document, route, account = self.document_in_force(), self.route, self.account
        if document is not None:
            route = document.by_route_name.get(route.name, route)
        if document is not None and account is not None:
            account = document.by_account_name.get(account.name, account)
        return route.homes.within(account.homes) if account else route.homes

    def may_go_to(self, server: Host) -> bool:
        """Return True if its home regions allow a server."""
        return self.homes().allow(server.region)

    def time_left(self) -> float:
        """Return the time until the deadline, in seconds."""
        return self.deadline - time.monotonic()

    def check_begin(self) -> None:
        """Raise RequestRefused if a planned stop leaves too little time to send it to a server."""
        if not self.may_begin():
            raise RequestRefused(
                503, "stopping", "this daemon stops, and too little time is left",
                retry_after=STOPPING_RETRY_AFTER,
            )  # fmt: skip


def admit(document: Document | None, call: Call, received_at: float) -> AdmittedRequest:
    """Return a request with its route, account and deadline.

    Raises
    ------
    RequestRefused
        When the settings don't allow it, or no settings are known yet.
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
    if account is not None and not account.can_be_sent:
        raise RequestRefused(
            503, "account_name", f"the account's name {account.name!r} cannot be sent in a header"
        )
    timeout = (
        route.timeout if call.caller_timeout is None else min(call.caller_timeout, route.timeout)
    )
    deadline = received_at + timeout
    return AdmittedRequest(
        call, route, account, route.service(), deadline, document.version, received_at
    )
