"""Refunds as the tests post them, and what the plain services say of them."""

import http.client
import json
import threading

from attrs import define, field

from standins.fleet import Answer, Fleet, call
from tests.callers import bearer

PATH = "/services/deposit-ledger/refunds"
LIMIT = 60.0  # seconds for a post that may be held
PAY_LIMIT = 30.0  # seconds for one that nothing holds


def pay(
    address: str,
    key: str,
    body: dict,
    limit: float = PAY_LIMIT,
    account: str = "depots",
    headers: dict | None = None,
) -> Answer:
    """Post a refund as an account; the time limit is in seconds."""
    found = bearer(account) | (headers or {})
    if key:
        found["Idempotency-Key"] = key
    return call(address, "POST", PATH, body, found, limit)


def post(address: str, key: str, body: dict | None = None, limit: float = LIMIT) -> Answer:
    """Post a refund with a request id; its body names its key unless it is given."""
    return pay(address, key, body or {"refund": key}, limit, headers={"X-Request-Id": f"id-{key}"})


def look_up(fleet: Fleet, method: str) -> Answer:
    """Make a repeatable call, for a balance, through daemon a."""
    path = "/services/deposit-ledger/balances/7"
    return call(fleet.processes["a"].http, method, path, b"", bearer("depots"))


def ledgers(fleet: Fleet) -> list[str]:
    """Return the names of the plain services."""
    return [name for name in fleet.processes if name.startswith("ledger")]


def times_run(fleet: Fleet, key: str) -> int:
    """Return how often a key ran, by the plain services' own counts."""
    return sum(fleet.counts(name)["ran"].get(key, 0) for name in ledgers(fleet))


@define(eq=False)
class Refund:
    """A refund posted in a thread of its own.

    Attributes
    ----------
    answer : Answer or None
        None while it runs, and when its connection broke.
    """

    address: str
    key: str
    answer: Answer | None = None
    broken: str = ""
    thread: threading.Thread | None = field(default=None, init=False)

    def start(self) -> "Refund":
        """Begin to post."""
        self.thread = threading.Thread(target=self._run, daemon=True)
        self.thread.start()
        return self

    def _run(self) -> None:
        try:
            self.answer = post(self.address, self.key)
        except (OSError, http.client.HTTPException) as error:
            self.broken = repr(error)

    def join(self) -> "Refund":
        """Wait for the answer or the end of the connection."""
        self.thread.join(LIMIT)
        assert not self.thread.is_alive(), f"{self.key} got no answer"
        return self

    def check_success(self) -> None:
        """Check that it is answered, whole, with what its own call brought."""
        answer = self.join().answer
        assert answer is not None, f"{self.key}: {self.broken}"
        assert answer.status == 200, f"{self.key}: {answer.status} {answer.body[:500]}"
        check_answer(self.key, answer)


def check_answer(key: str, answer: Answer) -> None:
    """Check that a success is the key's own, and that a refusal says whether it ran."""
    if answer.status == 200:
        found = answer.json
        assert found["key"] == key and json.loads(found["body"]) == {"refund": key}, found
        assert found["times"] == 1, found
    else:
        assert answer.json["ran"] in ("no", "yes", "unknown"), answer.body
