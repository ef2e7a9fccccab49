"""One long randomised run: callers, faults and operators at once, and every promise checked."""

import random
import sys
import threading
import time
from collections import defaultdict
from pathlib import Path

from attrs import define, field

from standins.fleet import Fleet, FleetError, wait_until
from tests.callers import StreamingCaller
from tests.faultlanes import main
from tests.refunds import pay
from tests.soakfaults import DOMAINS, ENGINE_OPTIONS, HEAL_LIMIT, Faults

EXAMPLES = Path(__file__).parents[1] / "examples"
SETTINGS_PATHS = 12
DAEMONS_EACH = 3
ENGINES_EACH = 3
LEDGERS_EACH = 2
STREAMS_AT_ONCE = 8
REFUNDS_AT_ONCE = 4
REFUND_SENDS = 3
RESUMES = 8
PATIENCE = 25.0  # seconds a caller waits for a piece of its answer
MISTAKEN = (400, 401, 403, 404)  # what no right call may be answered
RAN_WORDS = ("no", "yes", "unknown")
LOG_TAIL = 6000  # characters of a log that a report shows
RACE_PATH = "/teams/sound-trust/accounts/raced"


@define
class Stream:
    """What one caller of a generation saw."""

    prompt: str
    length: int
    texts: list[str] = field(factory=list)
    outcome: str = "open"
    refusals: list[dict] = field(factory=list)


@define
class Refund:
    """What the senders of one refund were told."""

    key: str
    answers: list[tuple[int, str, str]] = field(factory=list)
    lock: threading.Lock = field(factory=threading.Lock)


@define(eq=False)
class Soak(Faults):
    """The run.

    Attributes
    ----------
    seed : int
        Decides the faults, the lengths and the daemons that callers choose.
    seconds : float
        How long faults and load go on.
    """

    fleet: Fleet
    seed: int
    seconds: float
    streams: list[Stream] = field(factory=list)
    refunds: list[Refund] = field(factory=list)
    problems: list[str] = field(factory=list)
    faults: list[str] = field(factory=list)
    written: list[int] = field(factory=list)
    stopping: threading.Event = field(factory=threading.Event)
    daemons: dict[str, str] = field(factory=dict)
    away: set[str] = field(factory=set)
    killed: set[str] = field(factory=set)
    begun: set[str] = field(factory=set)

    # The fleet.

    def start(self) -> None:
        """Start the platform, the backend servers and the daemons of two domains."""
        self.fleet.platform(lag=0.5)
        self.fleet.apply(*map(str, sorted(EXAMPLES.glob("*-*.ini"))))
        for domain, region in DOMAINS.items():
            self.start_domain(domain, region)
        for domain in DOMAINS:
            names = [name for name, where in self.daemons.items() if where == domain]
            self.fleet.wait_settled(*names, paths=SETTINGS_PATHS)

    def start_domain(self, domain: str, region: str) -> None:
        """Start one domain, its way to the key-value service and to one engine proxied."""
        kv = self.fleet.proxy(f"kv-{domain}", self.fleet.processes["kv"].http)
        for number in range(ENGINES_EACH):
            name = f"planner-{domain}-{number}"
            engine = self.fleet.engine(name, domain, region, *ENGINE_OPTIONS)
            proxy = self.fleet.proxy(f"way-{name}", engine.http)
            self.fleet.list_host(name, "engine", proxy.ready["address"], domain, region)
        for number in range(LEDGERS_EACH):
            name = f"ledger-{domain}-{number}"
            plain = self.fleet.plain(name, domain, region)
            proxy = self.fleet.proxy(f"way-{name}", plain.http)
            self.fleet.list_host(name, "plain", proxy.ready["address"], domain, region)
        for number in range(DAEMONS_EACH):
            name = f"{domain}-{number}"
            self.daemons[name] = domain
            self.fleet.daemon(name, domain, region, kv=kv.ready["address"])

    def restart(self, name: str) -> None:
        """Start a daemon again under its name."""
        domain = self.daemons[name]
        kv = self.fleet.processes[f"kv-{domain}"].ready["address"]
        seeds = [
            self.fleet.processes[other].ready["mesh"]
            for other, where in self.daemons.items()
            if where == domain and other != name and other not in self.away
        ]
        self.fleet.daemon(name, domain, DOMAINS[domain], seeds, kv=kv)
        self.away.discard(name)

    def pick(self, rng: random.Random) -> str:
        """Return the address of a daemon that the balancer would choose."""
        there = sorted(name for name in self.daemons if name not in self.away)
        return self.fleet.processes[rng.choice(there)].http

    # The callers.

    def stream_for_ever(self, number: int) -> None:
        """Ask for one plan after another; come back with the cursor when cut off."""
        rng = random.Random(f"{self.seed} stream {number}")
        while not self.stopping.is_set():
            length = rng.choice((5, 40, 150, 400))
            stream = Stream(f"plan {number} {rng.random()} [len={length}]", length)
            self.streams.append(stream)
            self.run_stream(stream, rng)

    def run_stream(self, stream: Stream, rng: random.Random) -> None:
        """Carry one stream to its end or its error."""
        cursor = ""
        for _ in range(RESUMES):
            caller = StreamingCaller(
                self.pick(rng), "organisers", "planner", stream.prompt, last_event_id=cursor
            )
            caller.run()
            self.check_caller(stream, caller)
            stream.texts += caller.texts
            cursor = caller.cursor or cursor
            if caller.done:
                stream.outcome = "whole"
                return
            if caller.error is not None:
                stream.refusals.append(caller.error)
                stream.outcome = f"{caller.error['reason']} ran {caller.error['ran']}"
                return
            if not cursor:
                stream.outcome = "cut off before the first token"
                return
            time.sleep(rng.uniform(0.1, 0.5))
        stream.outcome = "gave up"

    def check_caller(self, stream: Stream, caller: StreamingCaller) -> None:
        """Only a killed daemon breaks a connection; a right key is never unknown."""
        ended = caller.done or caller.error is not None
        if not ended and caller.address not in self.killed:
            self.problems.append(
                f"{stream.prompt}: cut off by {self.name_at(caller.address)}, which was not killed,"
                f" status {caller.status}, {len(caller.texts)} tokens: {caller.broken}"
            )
        if caller.status in MISTAKEN:
            where = self.name_at(caller.address)
            self.problems.append(f"{stream.prompt}: {where} answered a right call {caller.error}")

    def name_at(self, address: str) -> str:
        """Return the name of the daemon at an address, or else the address."""
        found = (name for name in self.daemons if self.fleet.processes[name].http == address)
        return next(found, address)

    def refund_for_ever(self, number: int) -> None:
        """Send one refund after another, each several times, at once or in turn."""
        rng = random.Random(f"{self.seed} refund {number}")
        count = 0
        while not self.stopping.is_set():
            count += 1
            refund = Refund(f"refund-{self.seed}-{number}-{count}")
            self.refunds.append(refund)
            senders = [
                threading.Thread(target=self.send_refund, args=(refund, self.pick(rng)))
                for _ in range(REFUND_SENDS)
            ]
            at_once = rng.random() < 0.5
            for sender in senders:
                sender.start()
                if not at_once:
                    sender.join()
            for sender in senders:
                sender.join()

    def send_refund(self, refund: Refund, address: str) -> None:
        """Send a refund once and keep the answer."""
        try:
            answer = pay(address, refund.key, {"key": refund.key}, PATIENCE)
            told = answer.json
            row = (answer.status, told.get("ran", "yes"), told.get("key", refund.key))
        except (OSError, ValueError):
            row = (0, "unknown", refund.key)
        with refund.lock:
            refund.answers.append(row)

    # The operators.

    def race_for_ever(self, number: int) -> None:
        """Write the same path as the other operators do."""
        rng = random.Random(f"{self.seed} operator {number}")
        while not self.stopping.is_set():
            text = f"[account]\nkey_sha256 = {'ab' * 32}\nshare = {rng.randint(1, 99)}\n"
            done = self.fleet.settings("set", RACE_PATH, text=text)
            if done.returncode == 0:
                self.written.append(int(done.stdout.split()[-1]))
            self.stopping.wait(rng.uniform(0.2, 1.0))

    # The promises.

    def run(self) -> None:
        """Run everything, then check."""
        self.start()
        work = [self.worker(self.stream_for_ever, n) for n in range(STREAMS_AT_ONCE)]
        work += [self.worker(self.refund_for_ever, n) for n in range(REFUNDS_AT_ONCE)]
        work += [self.worker(self.race_for_ever, n) for n in range(2)]
        for thread in work:
            thread.start()
        try:
            self.break_things()
        finally:
            self.stopping.set()
            for thread in work:
                thread.join()
        self.check()

    def check(self) -> None:
        """Check every promise from the callers', the backends' and the operators' records."""
        for name in self.daemons:
            self.check_alive(name)
        for name in self.fleet.processes:
            if name.startswith("planner-"):
                self.note_begun(name)
        for stream in self.streams:
            self.check_stream(stream)
        ran = self.times_run()
        for refund in self.refunds:
            self.check_refund(refund, ran[refund.key])
        self.check_settings()
        self.check_memory()

    def check_stream(self, stream: Stream) -> None:
        """Each token once, in order, from one generation; whole when the answer ended well."""
        marks = {text.split(":")[0] for text in stream.texts}
        offsets = [int(text.split(":")[1]) for text in stream.texts]
        if len(marks) > 1 or offsets != list(range(len(offsets))):
            self.problems.append(
                f"{stream.prompt}: {len(marks)} generations, {len(offsets)} tokens"
            )
        if stream.outcome == "whole" and len(offsets) != stream.length:
            self.problems.append(f"{stream.prompt}: {len(offsets)} tokens of {stream.length}")
        if stream.outcome == "gave up":
            self.problems.append(f"{stream.prompt}: no end after {RESUMES} resumes")
        if stream.outcome.endswith("ran no") and stream.texts:
            self.problems.append(f"{stream.prompt}: said not run after {len(offsets)} tokens")
        elif stream.outcome.endswith("ran no") and any(stream.prompt in p for p in self.begun):
            self.problems.append(f"{stream.prompt}: said not run, but an engine had begun it")
        if stream.outcome == "open":
            self.problems.append(f"{stream.prompt}: nothing is known of its end")
        if any(refusal["ran"] not in RAN_WORDS for refusal in stream.refusals):
            self.problems.append(f"{stream.prompt}: no word on whether it ran")

    def note_begun(self, name: str) -> None:
        """Note the prompts that an engine has begun so far."""
        self.begun.update(self.fleet.counts(name)["begun"])

    def times_run(self) -> dict[str, int]:
        """Return how often each key ran, by the backend servers' own counts."""
        total: dict[str, int] = defaultdict(int)
        for name in self.fleet.processes:
            if name.startswith("ledger-"):
                for key, times in self.fleet.counts(name)["ran"].items():
                    total[key] += times
        return total

    def check_refund(self, refund: Refund, times: int) -> None:
        """At most once; a success means once; not run means not run; the answer is its own."""
        if times > 1:
            self.problems.append(f"{refund.key} ran {times} times")
        if any(status == 200 for status, _, _ in refund.answers) and times != 1:
            self.problems.append(f"{refund.key} was answered 200 and ran {times} times")
        if times and all(told == "no" for _, told, _ in refund.answers):
            self.problems.append(f"{refund.key} ran, and every answer said that it did not")
        if any(status in MISTAKEN for status, _, _ in refund.answers):
            self.problems.append(f"{refund.key}: a right call was answered {refund.answers}")
        if any(key != refund.key for _, _, key in refund.answers):
            self.problems.append(f"{refund.key} got another refund's answer")

    def check_settings(self) -> None:
        """Every daemon has the newest accepted revision in force, within the time promised."""
        try:
            wait_until("settings are in force everywhere", self.all_in_force, 14.0)
        except FleetError as error:
            self.problems.append(str(error))
        if len(set(self.written)) != len(self.written):
            self.problems.append("two writes were given the same revision")

    def all_in_force(self) -> bool:
        """Tell whether all daemons agree and know the newest write."""
        states = [self.fleet.status(name)["settings"] for name in self.daemons]
        newest = max(self.written, default=0)
        return len({s["digest"] for s in states}) == 1 and all(
            s["revision"] >= newest for s in states
        )

    def check_memory(self) -> None:
        """Engines get their memory back once nobody reads their streams any more."""
        engines = [name for name in self.fleet.processes if name.startswith("planner-")]

        def idle() -> bool:
            loads = [self.fleet.counts(name) for name in engines]
            return all(load["running"] + load["waiting"] == 0 for load in loads)

        try:
            wait_until("engines are empty again", idle, HEAL_LIMIT)
        except FleetError as error:
            self.problems.append(str(error))

    def log_tails(self) -> dict[str, str]:
        """Return the ends of the logs of the daemons that a problem names, or else of all."""
        named = [name for name in self.daemons if any(name in p for p in self.problems)]
        names = (named or list(self.daemons)) if self.problems else []
        return {n: self.fleet.processes[n].log.read_text()[-LOG_TAIL:] for n in names}

    def summary(self) -> dict:
        """Return what happened, for the report."""
        outcomes: dict[str, int] = defaultdict(int)
        for stream in self.streams:
            outcomes[stream.outcome] += 1
        told: dict[str, int] = defaultdict(int)
        for refund in self.refunds:
            for status, ran, _ in refund.answers:
                told[f"{status} ran {ran}"] += 1
        return {
            "seed": self.seed,
            "faults": len(self.faults),
            "streams": dict(outcomes),
            "refund answers": dict(told),
            "settings written": len(self.written),
            "kinds": self.faults,
            "problems": self.problems,
            "logs": self.log_tails(),
        }


def run(seed: int, seconds: float) -> dict:
    """Run once and return the summary."""
    with Fleet() as fleet:
        soak = Soak(fleet, seed, seconds)
        soak.run()
        return soak.summary()


if __name__ == "__main__":
    sys.exit(main("a long randomised run", run))
