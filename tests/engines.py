"""What the engines of a fleet count, and how they are told apart."""

from standins.fleet import Fleet


def engines(fleet: Fleet) -> list[str]:
    """Return the names of the engines that run."""
    return [
        name
        for name, host in fleet.hosts.items()
        if host["kind"] == "engine" and fleet.processes[name].popen.poll() is None
    ]


def total(fleet: Fleet, what: str) -> int:
    """Return the sum of one of the engines' own counts."""
    return sum(fleet.counts(name)[what] for name in engines(fleet))


def in_progress(fleet: Fleet) -> int:
    """Return how many generations the engines have, running or waiting."""
    return total(fleet, "running") + total(fleet, "waiting")


def at_work(fleet: Fleet) -> list[str]:
    """Return the engines that have started a generation."""
    return [name for name in engines(fleet) if fleet.counts(name)["started"]]
