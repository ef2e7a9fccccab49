"""Draws a run of the load bench: ``python -m bench.plot out/bench/load.json docs``."""

import json
import sys
from pathlib import Path

import matplotlib as mpl

mpl.use("Agg")

from matplotlib import pyplot as plt

from bench.measures import spread
from bench.table import groups

PANELS = (
    ("stall time, s", lambda cell: cell["total"]["stall_seconds"]),
    ("preemptions", lambda cell: cell["preemptions"]),
    ("tokens/s", lambda cell: cell["total"]["tokens_per_second"]),
    ("p99 between tokens, ms", lambda cell: cell["total"]["between_tokens_ms"]["p99"]),
    ("p99.9 between tokens, ms", lambda cell: cell["total"]["between_tokens_ms"]["p999"]),
    ("p95 to first token, ms", lambda cell: cell["total"]["first_token_ms"]["p95"]),
)
SIZE = (12, 6.5)  # inches


def draw(result: dict, file: Path) -> None:
    """Draw one shape: a panel for each measure, a line for each policy."""
    figure, axes = plt.subplots(2, 3, figsize=SIZE)
    for axis, (title, read) in zip(axes.flat, PANELS, strict=True):
        lines: dict[str, list] = {}
        for load, policy, cells in groups(result):
            lines.setdefault(policy, []).append((load, *spread([read(cell) for cell in cells])))
        for policy, points in lines.items():
            loads, middle, least, greatest = zip(*points, strict=True)
            below = [m - low for m, low in zip(middle, least, strict=True)]
            above = [high - m for m, high in zip(middle, greatest, strict=True)]
            axis.errorbar(loads, middle, (below, above), label=policy, marker="o", capsize=3)
        axis.set_title(title)
        axis.set_xlabel("offered load, part of capacity")
        axis.set_ylim(bottom=0)
        axis.grid(alpha=0.3)
    axes.flat[0].legend()
    figure.suptitle(f"{result['shape']}: medians and ranges over the seeds")
    figure.tight_layout()
    figure.savefig(file, dpi=90)
    plt.close(figure)


def main() -> None:
    """Draw every shape of a saved run into a folder."""
    source, folder = Path(sys.argv[1]), Path(sys.argv[2])
    for result in json.loads(source.read_text()):
        draw(result, folder / f"load-{result['shape']}.png")


if __name__ == "__main__":
    main()
