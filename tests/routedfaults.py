"""The faults of the randomised run of the routed front."""

import random
import signal
import time

from papayacourse.lifecycle import EXIT_DRAIN_TIMEOUT
from tests.faultlanes import FaultLanes

DOMAINS = {"a": "lagos", "b": "lagos", "m": "kano"}  # of the daemons
STEP = 0.01  # seconds for each event of a stream
STOP_LIMIT = 30.0  # seconds for a daemon's planned stop; its grace is 8 s
OUTLIVED = 6.0  # seconds; a request that outlives the grace has lasted 6.9 s at least
TOO_LATE = 504  # the status of a request that a stop ended before its answer began
STOP_MANNERS = ("", "closes first", "answers first", "never answers", "keeps the run")
DESK_FAULTS = ("unframed", "reset_unframed", "killed_unframed", "lose")


class RoutedFaults(FaultLanes):
    """The faults, for a run that keeps the fleet, the servers and the problems found."""

    def break_things(self) -> None:
        """Inject faults side by side, then heal."""
        engines = (
            self.engine_leaves,
            self.engine_leaves,
            self.kill_engine,
            self.kill_engine_inside_event,
            self.freeze_engine,
        )
        daemons = (self.stop_daemon, self.kill_daemon, self.reload_daemon)
        around = (self.store_outage, self.drain_domain, self.break_desk)
        self.inject(
            {
                "engines": engines,
                "other engines": engines,
                "answers": (self.change_answers,),
                "daemons": daemons,
                "around": around,
            }
        )

    # The servers.

    def add_engine(self, domain: str, rng: random.Random) -> None:
        """Start an engine with manners of its own."""
        name = self.add_server("planner", domain)
        self.routed.fleet.admin(name, self.manners(rng))
        self.free.append(name)

    def add_desk(self, domain: str) -> None:
        """Start a plain server."""
        self.desks.append(self.add_server("desk", domain))

    def add_server(self, service: str, domain: str) -> str:
        """Start a server under a name of its own and return that."""
        with self.lock:
            self.started += 1
            name = f"{service}-{self.started}"
        self.routed.engine(name, service, domain, "--step", str(STEP))
        return name

    def manners(self, rng: random.Random) -> dict:
        """Return how an engine answers, stops runs and ends them."""
        return {
            "is_unframed": rng.random() < 0.5,
            "stop_manner": rng.choice(STOP_MANNERS),
            "ends_after": rng.choice((0, 0, 30, 100)),
        }

    def take_engine(self, rng: random.Random) -> str:
        """Take an engine that no other fault has taken."""
        with self.lock:
            self.free.remove(name := rng.choice(sorted(self.free)))
        return name

    def change_answers(self, rng: random.Random) -> None:
        """Let an engine answer in another way from its next run on."""
        name = self.take_engine(rng)
        self.routed.fleet.admin(name, self.manners(rng))
        self.free.append(name)

    def engine_leaves(self, rng: random.Random) -> None:
        """Let an engine leave, and end it once its time is up."""
        name = self.take_engine(rng)
        self.routed.list_engine(name, "draining")
        time.sleep(rng.uniform(0.2, 3.0))
        self.end_engine(name, rng)

    def kill_engine(self, rng: random.Random) -> None:
        """Kill an engine."""
        self.end_engine(self.take_engine(rng), rng)

    def kill_engine_inside_event(self, rng: random.Random) -> None:
        """Let an engine die inside its next event, if it makes one soon."""
        name = self.take_engine(rng)
        self.routed.fleet.admin(name, {"fault": "killed_inside"})
        time.sleep(rng.uniform(0.1, 1.0))
        self.end_engine(name, rng)

    def end_engine(self, name: str, rng: random.Random) -> None:
        """Kill an engine, remove its entry at once or later, and start another one beside it.

        A domain keeps its number of engines: two faults and a drain leave one that serves.
        """
        self.routed.fleet.processes[name].kill()
        time.sleep(rng.choice((0.0, rng.uniform(0.2, 3.0))))
        self.routed.write({f"servers/{name}": None})
        self.add_engine(self.routed.places[name]["Zone"], rng)

    def freeze_engine(self, rng: random.Random) -> None:
        """Freeze an engine for a while."""
        name = self.take_engine(rng)
        self.routed.fleet.processes[name].freeze()
        time.sleep(rng.uniform(0.5, 4.0))
        self.routed.fleet.processes[name].thaw()
        self.free.append(name)

    def break_desk(self, rng: random.Random) -> None:
        """Let a plain server fail for a while, or die in its next answer; another one follows."""
        name = rng.choice(self.desks)
        self.routed.fleet.admin(name, {"fault": rng.choice(DESK_FAULTS)})
        time.sleep(rng.uniform(0.3, 2.0))
        self.desks.remove(name)
        self.routed.fleet.processes[name].kill()
        self.routed.write({f"servers/{name}": None})
        self.add_desk(self.routed.places[name]["Zone"])

    # The daemons.

    def stop_daemon(self, rng: random.Random) -> None:
        """Stop a daemon gracefully and start it again."""
        name = rng.choice(sorted(DOMAINS))
        self.check_alive(name)
        self.away.add(name)
        process = self.routed.fleet.processes[name]
        began = time.monotonic()
        known = len(self.ends_of_cut(name))
        process.terminate()
        status = process.wait(STOP_LIMIT)
        self.check_stop(name, status, self.ends_of_cut(name)[known:])
        self.restart(name, began)

    def ends_of_cut(self, name: str) -> list[dict]:
        """Return a daemon's log lines of the requests that may have outlived a grace."""
        return [
            line
            for line in self.routed.lines(name, "request ended")
            if line["seconds"] > OUTLIVED and (line["end"] == "cut" or line["status"] == TOO_LATE)
        ]

    def check_stop(self, name: str, status: int, cut: list[dict]) -> None:
        """See that a planned stop cuts off only what outlives its grace, and says so."""
        if status == EXIT_DRAIN_TIMEOUT and cut:
            self.cut += cut
        elif status:
            self.problems.append(f"{name} stopped with status {status}, and cut off {cut}")

    def kill_daemon(self, rng: random.Random) -> None:
        """Kill a daemon and start it again."""
        name = rng.choice(sorted(DOMAINS))
        self.check_alive(name)
        self.away.add(name)
        began = time.monotonic()
        self.kills.append((name, began))
        self.routed.fleet.processes[name].kill()
        self.restart(name, began)

    def restart(self, name: str, began: float) -> None:
        """Start a daemon again that has been away since a moment of the monotonic clock."""
        self.routed.daemon(name, DOMAINS[name])
        self.outages.append((name, began, time.monotonic()))
        self.away.discard(name)

    def reload_daemon(self, rng: random.Random) -> None:
        """Let a daemon read its settings file again."""
        name = rng.choice(sorted(DOMAINS))
        self.check_alive(name)
        self.routed.fleet.processes[name].popen.send_signal(signal.SIGHUP)

    def check_alive(self, name: str) -> None:
        """Note a daemon that has ended by itself."""
        status = self.routed.fleet.processes[name].popen.poll()
        if status is not None:
            self.problems.append(f"{name} ended by itself with status {status}")

    # What lies around.

    def store_outage(self, rng: random.Random) -> None:
        """Put the store out of service for a moment."""
        self.routed.fleet.admin("store", {"mode": rng.choice(("down", "busy"))})
        time.sleep(rng.uniform(0.3, 2.0))
        self.routed.fleet.admin("store", {"mode": "up"})

    def drain_domain(self, rng: random.Random) -> None:
        """Drain a domain for a while."""
        key = f"op/evacuate/{rng.choice(sorted(set(DOMAINS.values())))}"
        self.routed.write({key: {}})
        time.sleep(rng.uniform(1.0, 4.0))
        self.routed.write({key: None})
