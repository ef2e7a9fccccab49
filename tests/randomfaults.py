"""A run of refunds under random faults, from a seed."""

import http.client
import random
import threading
import time
from collections import defaultdict

from attrs import define, field

from standins.fleet import Answer, Fleet, call
from tests.refunds import check_answer, post, times_run

CALLERS = 8
NEW_KEYS = 15  # a second
SERVICE_DELAY = 0.05  # seconds
DAEMONS = {"a": "accra-1", "b": "accra-2", "c": "accra-2"}
LONGEST_FREEZE = 4.0  # seconds
SETTLE_LIMIT = 40.0  # seconds for the last answers


@define(eq=False)
class RandomRun:
    """Callers that repeat keys at any daemon while faults befall these and the platform.

    Attributes
    ----------
    keys : int
        How many keys are in use at a time; the oldest give way to new ones.
    """

    fleet: Fleet
    kv_link: str
    keys: int
    seed: int
    answers: dict[str, list[Answer]] = field(factory=lambda: defaultdict(list))
    broken: set[str] = field(factory=set)
    posts: int = 0
    started: float = 0.0
    faults: list[str] = field(factory=list)
    ended: threading.Event = field(factory=threading.Event)
    lock: threading.Lock = field(factory=threading.Lock)

    def run(self, seconds: float) -> None:
        """Run callers and faults side by side."""
        self.fleet.admin("ledger-1", {"delay": SERVICE_DELAY})
        self.started = time.monotonic()
        callers = [threading.Thread(target=self.post, args=(n,)) for n in range(CALLERS)]
        for caller in callers:
            caller.start()
        deadline = time.monotonic() + seconds
        choice = random.Random(self.seed)
        try:
            while time.monotonic() < deadline:
                self.befall(choice)
                time.sleep(choice.uniform(0.1, 0.6))
        finally:
            self.ended.set()
            for caller in callers:
                caller.join(SETTLE_LIMIT)
        assert not any(caller.is_alive() for caller in callers), "a caller got no answer"

    def post(self, number: int) -> None:
        """Post keys again and again, each a few times on the way."""
        choice = random.Random(f"{self.seed}/{number}")
        while not self.ended.is_set():
            oldest = int((time.monotonic() - self.started) * NEW_KEYS)
            key = f"k-{oldest + choice.randrange(self.keys)}"
            address = self.fleet.processes[choice.choice(list(DAEMONS))].ready.get("http")
            if address is None:  # it is being started again
                continue
            try:
                answer = post(address, key, limit=SETTLE_LIMIT / 2)
            except (OSError, http.client.HTTPException):
                with self.lock:
                    self.broken.add(key)
                time.sleep(0.05)
                continue
            with self.lock:
                self.posts += 1
                self.answers[key].append(answer)

    def befall(self, choice: random.Random) -> None:
        """Let one fault happen."""
        fault = choice.choice(("kill", "freeze", "lose", "close_before", "close_after", "cut"))
        self.faults.append(fault)
        name = choice.choice(list(DAEMONS))
        match fault:
            case "kill":
                self.fleet.processes[name].kill()
                kv = {"kv": self.kv_link} if name == "a" else {}
                self.fleet.daemon(name, DAEMONS[name], "accra", **kv)
            case "freeze":
                self.fleet.processes[name].freeze()
                time.sleep(choice.uniform(0.1, LONGEST_FREEZE))
                self.fleet.processes[name].thaw()
            case "lose":
                count = choice.randrange(1, 5)
                self.fleet.admin("kv", {"lose_answers": count, "lose_prefix": "/records"})
            case "cut":
                self.fleet.admin("link-kv", {"mode": "cut"})
                time.sleep(choice.uniform(0.1, 1.0))
                self.fleet.admin("link-kv", {"mode": "pass"})
            case _:
                self.fleet.admin("ledger-1", {fault: 1})

    def check(self) -> None:
        """Check what the plain service counted against what the callers were told."""
        print(f"{self.posts} answers, {len(self.answers)} keys, faults: {self.faults}")
        assert len(self.answers) > self.keys, f"only {len(self.answers)} keys were answered"
        ran = call(self.fleet.processes["ledger-1"].http, "GET", "/admin").json["ran"]
        assert all(times == 1 for times in ran.values()), ran
        for key, answers in self.answers.items():
            for answer in answers:
                check_answer(key, answer)
            said = {answer.json.get("ran") for answer in answers}
            assert key in ran or "yes" not in said, f"{key} was said to have run"
            if said == {"no"} and key not in self.broken:
                assert key not in ran, f"{key} was said not to have run"
            good = any(answer.status == 200 for answer in answers)
            assert not good or times_run(self.fleet, key) == 1, f"{key} succeeded but never ran"
        assert sum(answer.status == 200 for found in self.answers.values() for answer in found)
