"""The faults of the randomised run: what breaks, for how long, and how it is healed."""

import random
import time

from tests.faultlanes import FaultLanes

DOMAINS = {"lagos-1": "lagos", "accra-1": "accra"}
ENGINE_OPTIONS = ("--step", "0.004")
HEAL_LIMIT = 60.0  # seconds
VIOLATED = 70  # exit status of a daemon whose invariant was violated


class Faults(FaultLanes):
    """The faults, for a run that keeps the fleet, the daemons away and the problems found."""

    def break_things(self) -> None:
        """Inject faults of hosts and of what lies between them, side by side, then heal."""
        hosts = (
            self.kill_daemon,
            self.stop_daemon,
            self.freeze_daemon,
            self.kill_two_daemons,
            self.kill_engine,
            self.freeze_engine,
            self.engine_leaves,
        )
        between = (
            self.cut_link,
            self.stall_link,
            self.platform_outage,
            self.lose_answers,
            self.cut_platform,
            self.host_list_outage,
        )
        self.inject({"hosts": hosts, "between": between})
        self.heal()

    def some_daemon(self, rng: random.Random) -> str:
        """Return a daemon that is there."""
        return rng.choice(sorted(name for name in self.daemons if name not in self.away))

    def kill_daemon(self, rng: random.Random) -> None:
        """Kill a daemon and start it again."""
        name = self.some_daemon(rng)
        self.kill(name)
        self.restart(name)

    def kill(self, name: str) -> None:
        """Kill a daemon; its callers may see their connections break."""
        self.away.add(name)
        self.check_alive(name)
        self.killed.add(self.fleet.processes[name].http)
        self.fleet.processes[name].kill()

    def kill_two_daemons(self, rng: random.Random) -> None:
        """Kill two daemons of one domain at once and start them again."""
        domain = rng.choice(sorted(DOMAINS))
        there = sorted(name for name, where in self.daemons.items() if where == domain)
        gone = rng.sample(there, 2)
        for name in gone:
            self.kill(name)
        for name in gone:
            self.restart(name)

    def some_engine(self, rng: random.Random) -> str:
        """Return an engine."""
        return rng.choice(
            sorted(name for name in self.fleet.processes if name.startswith("planner-"))
        )

    def kill_engine(self, rng: random.Random) -> None:
        """Kill an engine and start it again, empty, at its address."""
        name = self.some_engine(rng)
        process = self.fleet.processes[name]
        self.note_begun(name)
        process.kill()
        time.sleep(rng.uniform(0.0, 1.0))
        port = process.http.rpartition(":")[2]
        self.fleet.standin("engine", name, "--port", port, *ENGINE_OPTIONS)

    def freeze_engine(self, rng: random.Random) -> None:
        """Freeze an engine for a while."""
        process = self.fleet.processes[self.some_engine(rng)]
        process.freeze()
        time.sleep(rng.uniform(2.0, 4.0))
        process.thaw()

    def host_list_outage(self, rng: random.Random) -> None:
        """Put the host list out of service for a while."""
        self.fleet.admin("hosts", {"outage": True})
        time.sleep(rng.uniform(0.5, 3.0))
        self.fleet.admin("hosts", {"outage": False})

    def engine_leaves(self, rng: random.Random) -> None:
        """Mark an engine as leaving for a while."""
        name = self.some_engine(rng)
        self.fleet.admin("hosts", {"put": [{"name": name, "state": "leaving"}]})
        time.sleep(rng.uniform(1.0, 4.0))
        self.fleet.admin("hosts", {"put": [{"name": name, "state": "live"}]})

    def stop_daemon(self, rng: random.Random) -> None:
        """Stop a daemon gracefully and start it again."""
        name = self.some_daemon(rng)
        self.away.add(name)
        self.check_alive(name)
        process = self.fleet.processes[name]
        process.terminate()
        status = process.wait(HEAL_LIMIT)
        if status != 0:
            self.problems.append(f"{name} stopped with status {status}")
        self.restart(name)

    def freeze_daemon(self, rng: random.Random) -> None:
        """Freeze a daemon for a while."""
        process = self.fleet.processes[self.some_daemon(rng)]
        process.freeze()
        time.sleep(rng.uniform(0.5, 6.0))
        process.thaw()

    def some_way(self, rng: random.Random) -> str:
        """Return a proxy before a backend server."""
        return rng.choice(sorted(name for name in self.fleet.processes if name.startswith("way-")))

    def cut_link(self, rng: random.Random) -> None:
        """Close every connection to a backend server once."""
        name = self.some_way(rng)
        self.fleet.admin(name, {"mode": "cut"})
        time.sleep(rng.uniform(0.0, 0.3))
        self.fleet.admin(name, {"mode": "pass"})

    def stall_link(self, rng: random.Random) -> None:
        """Hold what a backend server sends for a while."""
        name = self.some_way(rng)
        self.fleet.admin(name, {"mode": rng.choice(("stall", "stall-back"))})
        time.sleep(rng.uniform(0.5, 3.0))
        self.fleet.admin(name, {"mode": "pass"})

    def platform_outage(self, rng: random.Random) -> None:
        """Put the key-value service out of service for a while."""
        self.fleet.admin("kv", {"outage": True})
        time.sleep(rng.uniform(0.5, 3.0))
        self.fleet.admin("kv", {"outage": False})

    def lose_answers(self, rng: random.Random) -> None:
        """Lose the key-value service's next answers, after the writes took effect."""
        self.fleet.admin("kv", {"lose_answers": rng.randint(1, 4)})

    def cut_platform(self, rng: random.Random) -> None:
        """Cut one domain off from the key-value service for a while."""
        name = f"kv-{rng.choice(sorted(DOMAINS))}"
        self.fleet.admin(name, {"mode": "cut"})
        time.sleep(rng.uniform(1.0, 4.0))
        self.fleet.admin(name, {"mode": "pass"})

    def check_alive(self, name: str) -> None:
        """Note a daemon that has ended by itself."""
        status = self.fleet.processes[name].popen.poll()
        if status is not None:
            word = "violated an invariant" if status == VIOLATED else f"ended with {status}"
            self.problems.append(f"{name} {word}")

    def heal(self) -> None:
        """Take every fault away."""
        for name in sorted(self.fleet.processes):
            if name.startswith(("way-", "kv-")):
                self.fleet.admin(name, {"mode": "pass"})
        self.fleet.admin("kv", {"outage": False, "lose_answers": 0})
        self.fleet.admin("hosts", {"outage": False})
