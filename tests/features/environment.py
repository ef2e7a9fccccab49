"""Gives each scenario a fleet of its own, and ends it afterwards."""

from pathlib import Path

from standins.fleet import Fleet

LOG_TAIL = 3000  # characters


def before_scenario(context, scenario) -> None:
    """Open a fleet."""
    context.root = Path(__file__).parents[2]
    context.fleet = Fleet()


def after_scenario(context, scenario) -> None:
    """End the fleet's processes; show the daemons' logs when something failed."""
    if scenario.status in ("failed", "error"):
        for file in sorted(context.fleet.path.glob("*.log")):
            text = file.read_text(errors="replace")
            if text.strip():
                print(f"--- {file.name}\n{text[-LOG_TAIL:]}")
    context.fleet.__exit__(None, None, None)
