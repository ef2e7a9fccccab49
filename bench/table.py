"""Writes the measures of a run as a table: medians over the seeds, and ranges."""

from collections.abc import Iterator

from bench.measures import PERCENTILES, spread
from bench.shapes import SHAPES

HEAD = (
    "| load | policy | tokens/s | stall s | preemptions | hits % | p50 ms | p95 ms "
    "| p99 ms | p99.9 ms | first p50 ms | first p95 ms | refused % | refusal p99 ms "
    "| again served % |"
)


def groups(result: dict) -> Iterator[tuple[float, str, list[dict]]]:
    """Yield the cells of each load and policy."""
    keys = sorted({(cell["load"], cell["policy"]) for cell in result["cells"]})
    for load, policy in keys:
        yield (
            load,
            policy,
            [c for c in result["cells"] if c["load"] == load and c["policy"] == policy],
        )


def figure(values: list[float], digits: int = 0) -> str:
    """Return the median with the range behind it."""
    middle, least, greatest = spread(values)
    if least == greatest:
        return f"{middle:.{digits}f}"
    return f"{middle:.{digits}f} ({least:.{digits}f}-{greatest:.{digits}f})"


def percent(part: float, whole: float) -> float:
    """Return a part of a whole in per cent, 0 of nothing."""
    return 100 * part / whole if whole else 0.0


def first_token(cells: list[dict], accounts: set[str]) -> str:
    """Return the p50 and p95 to first token of some accounts: the median over them and seeds."""
    found = [
        times["first_token_ms"]
        for cell in cells
        for name, times in cell["accounts"].items()
        if name in accounts
    ]
    return " / ".join(figure([times[name] for times in found]) for name in ("p50", "p95"))


def account_rows(result: dict) -> Iterator[str]:
    """Yield a table of the time to first token of the large accounts and of the small."""
    accounts = SHAPES[result["shape"]].accounts
    large = {account.name for account in accounts if account.burst > 1}
    small = {account.name for account in accounts} - large
    yield f"{result['shape']}: first token, p50 / p95 ms, medians over accounts and seeds"
    yield "| load | policy | large accounts | small accounts |"
    yield "| --- | --- | --- | --- |"
    for load, policy, cells in groups(result):
        yield f"| {load} | {policy} | {first_token(cells, large)} | {first_token(cells, small)} |"


def rows(result: dict) -> Iterator[str]:
    """Yield the lines of a table in Markdown."""
    yield f"{result['shape']}: capacity {result['capacity']:.0f} tokens/s"
    yield HEAD
    yield "|" + " --- |" * (HEAD.count("|") - 1)
    for load, policy, cells in groups(result):
        totals = [cell["total"] for cell in cells]
        between = [total["between_tokens_ms"] for total in totals]
        first = [total["first_token_ms"] for total in totals]
        columns = [
            f"{load}",
            policy,
            figure([total["tokens_per_second"] for total in totals]),
            figure([total["stall_seconds"] for total in totals], 1),
            figure([cell["preemptions"] for cell in cells]),
            figure([percent(cell["prefix_hits"], cell["prompt_tokens"]) for cell in cells]),
            *(figure([times[name] for times in between]) for name in PERCENTILES),
            *(figure([times[name] for times in first]) for name in ("p50", "p95")),
            figure([percent(c["refused"], c["offered_requests"]) for c in cells], 1),
            figure([cell["refusal_ms"]["p99"] for cell in cells], 1),
            figure([percent(c["retried_served"], c["retried"]) for c in cells]),
        ]
        yield "| " + " | ".join(columns) + " |"
    cpu = max(cell["caller_cpu"] for cell in result["cells"])
    failed = sum(cell["failed"] for cell in result["cells"])
    yield f"load generator: at most {100 * cpu:.0f}% of a core; {failed} answers broken"
