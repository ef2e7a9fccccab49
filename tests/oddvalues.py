"""Random values of other programs for the decoders, the same in each run."""

import copy
import io
import json

from eliot import FileDestination
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

HALF_CHARACTERS = ["\ud800", "\udfff"]
ODD_TEXTS = ["", " ", "a\r\nb", "\u0000", "٣", "1", "nan", "true", "\\ud800", *HALF_CHARACTERS]
ODD_NUMBERS = [0, -1, 0.0, -0.5, 1.5, 1e-320, 1e308, 2**63, -(2**63) - 1, 10**400]

texts = st.sampled_from(ODD_TEXTS) | st.text(st.characters(categories=None), max_size=8)
numbers = st.sampled_from(ODD_NUMBERS) | st.integers() | st.floats()
scalars = st.none() | st.booleans() | numbers | texts
values = st.recursive(
    scalars,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3),
    max_leaves=6,
)


def check_random(count: int, strategy: st.SearchStrategy, check) -> None:
    """Check random values of a strategy, the same each time."""
    run = settings(max_examples=count, deadline=None, database=None, derandomize=True,
                   suppress_health_check=list(HealthCheck))  # fmt: skip
    run(given(strategy)(check))()


def places(value: object, path: tuple = ()) -> list[tuple]:
    """Return the path of each member of a value, at any depth."""
    match value:
        case dict():
            members = value.items()
        case list():
            members = enumerate(value)
        case _:
            return []
    return [p for key, m in members for p in ((*path, key), *places(m, (*path, key)))]


@st.composite
def mutated(draw, sound: dict):
    """Return a sound value with one to three members replaced, removed or doubled."""
    found = copy.deepcopy(sound)
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from(places(found) or [()]))
        if path:
            mutate(draw, found, path)
    return found


def mutate(draw, found, path: tuple) -> None:
    """Change the member of a value that is at a path."""
    for key in path[:-1]:
        found = found[key]
    match draw(st.sampled_from(["replace", "replace", "remove", "double"])):
        case "replace":
            found[path[-1]] = draw(values)
        case "remove":
            del found[path[-1]]
        case "double" if isinstance(found, list):
            found.append(found[path[-1]])


def encoded(value: object) -> bytes:
    """Return a value as the JSON that another program may write."""
    return json.dumps(value).encode()


def check_loggable(**fields) -> None:
    """Fail if a log line with these fields would be lost."""
    FileDestination(file=io.BytesIO())(fields)
