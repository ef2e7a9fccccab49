"""Reads a daemon's metrics, for tests and bench."""

from prometheus_client.parser import text_string_to_metric_families

from standins.fleet import call


def samples(address: str, name: str) -> list[tuple[dict[str, str], float]]:
    """Return the labels and values of one metric of the daemon at an address."""
    text = call(address, "GET", "/metrics").body.decode()
    return [
        (sample.labels, sample.value)
        for family in text_string_to_metric_families(text)
        for sample in family.samples
        if sample.name == name
    ]


def total(address: str, name: str, **labels: str) -> float:
    """Return the sum of those that carry the given labels."""
    rows = samples(address, name)
    return sum(value for found, value in rows if labels.items() <= found.items())
