"""Callers that keep working through whichever entry host is ready, as behind a balancer."""

import http.client
import itertools
import threading
import time

from attrs import define, field

from standins.fleet import Fleet, call
from tests.callers import StreamingCaller, check_whole
from tests.refunds import pay

PROBE_LIMIT = 1.0  # seconds
PROBE_INTERVAL = 1.0  # seconds between questions to a daemon that was ready
JOIN_LIMIT = 90.0  # seconds


def is_ready(address: str) -> bool:
    """Tell whether the daemon at an address says that it may be sent callers."""
    try:
        return call(address, "GET", "/readyz", limit=PROBE_LIMIT).status == 200
    except (OSError, http.client.HTTPException):
        return False


@define(eq=False)
class Workload:
    """Streams and refunds from several threads, until told to stop.

    Attributes
    ----------
    wrong : list of str
        What any caller has met that it should not have.
    refunds : list of str
        The keys of refunds that were answered well.
    """

    fleet: Fleet
    daemons: list[str]
    length: int = 40
    turns: itertools.count = field(factory=itertools.count)
    wrong: list[str] = field(factory=list)
    whole: int = 0
    refunds: list[str] = field(factory=list)
    probed: dict[str, float] = field(factory=dict)
    threads: list[threading.Thread] = field(factory=list)
    ending: threading.Event = field(factory=threading.Event)
    lock: threading.Lock = field(factory=threading.Lock)

    def start(self, count: int) -> "Workload":
        """Begin with so many callers."""
        for _ in range(count):
            thread = threading.Thread(target=self._work, daemon=True)
            self.threads.append(thread)
            thread.start()
        return self

    def stop(self) -> None:
        """Let every caller finish what it has begun."""
        self.ending.set()
        for thread in self.threads:
            thread.join(JOIN_LIMIT)
            assert not thread.is_alive(), "a caller did not finish"

    def _pick(self) -> str | None:
        """Return the address of the next daemon that is ready."""
        for _ in self.daemons:
            name = self.daemons[next(self.turns) % len(self.daemons)]
            address = self.fleet.processes[name].ready.get("http")
            if address and self._was_ready(address):
                return address
        return None

    def _was_ready(self, address: str) -> bool:
        """Tell whether a daemon was ready when it was last asked, as a balancer knows it."""
        if time.monotonic() - self.probed.get(address, 0.0) > PROBE_INTERVAL:
            asked = time.monotonic()
            if not is_ready(address):
                return False
            self.probed[address] = asked
        return True

    def _work(self) -> None:
        pays = "ledger-lagos-1-0" in self.fleet.processes
        requests = itertools.cycle([self._stream, self._refund] if pays else [self._stream])
        while not self.ending.is_set():
            address = self._pick()
            if address is None:
                self.ending.wait(0.05)
                continue
            try:
                next(requests)(address)
            except (OSError, http.client.HTTPException, AssertionError) as error:
                with self.lock:
                    self.wrong.append(f"through {address}: {error!r}")

    def _stream(self, address: str) -> None:
        prompt = f"plan [len={self.length}]"
        caller = StreamingCaller(address, "organisers", "planner", prompt)
        caller.run()
        assert not caller.broken, caller.broken
        assert caller.error is None, caller.error
        assert caller.done, "no end"
        check_whole(caller.texts, self.length)
        with self.lock:
            self.whole += 1

    def _refund(self, address: str) -> None:
        key = f"refund-{next(self.turns)}"
        answer = pay(address, key, {"crates": 1})
        assert answer.status == 200, answer.body
        with self.lock:
            self.refunds.append(key)
