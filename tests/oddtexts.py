"""Random texts that hold halves of surrogate pairs in every second character or so."""

from hypothesis import strategies as st

HALVES = ("\ud800", "\udfff")


def odd_texts(max_size: int | None = None) -> st.SearchStrategy[str]:
    """Return a strategy of texts.

    Not ``st.text`` of a union: hypothesis merges the alphabets, and halves are hardly ever drawn.
    """
    characters = st.one_of(st.characters(categories=None), st.sampled_from(HALVES))
    return st.lists(characters, max_size=max_size).map("".join)
