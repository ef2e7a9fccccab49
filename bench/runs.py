"""What the commands of all benches share: options, turns within a seed, results and tables."""

import argparse
import json
from collections.abc import Iterable, Sequence
from pathlib import Path


def options(doc: str) -> argparse.ArgumentParser:
    """Return a command line with the options that every bench has."""
    parser = argparse.ArgumentParser(
        description=doc, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("--seeds", default="1,2,3")
    parser.add_argument("--out", default="out/bench")
    return parser


def seeds(wanted: argparse.Namespace) -> list[int]:
    """Return the seeds that the command line asks for."""
    return [int(seed) for seed in wanted.seeds.split(",")]


def in_turns(alternatives: Sequence, seed: int) -> Sequence:
    """Return alternatives in an order that differs from seed to seed.

    So a machine that grows busy in the course of a seed does not always hit the same one.
    """
    turn = seed % len(alternatives)
    return [*alternatives[turn:], *alternatives[:turn]]


def save(wanted: argparse.Namespace, name: str, found: object) -> None:
    """Save results as JSON in the folder that the command line names."""
    folder = Path(wanted.out)
    folder.mkdir(parents=True, exist_ok=True)
    (folder / f"{name}.json").write_text(json.dumps(found, indent=1))


def row(columns: Iterable[str]) -> str:
    """Return one row of a table in Markdown."""
    return "| " + " | ".join(columns) + " |"


def header(*names: str) -> tuple[str, str]:
    """Return the first two rows of a table in Markdown."""
    return row(names), row("---" for _ in names)
