"""A daemon whose engine reader repeats its first news for ever, for tests."""

from papayacourse.cmdline import main
from papayacourse.enginereader import EngineReader

first_news: list[str] = []
read_out_of_line = EngineReader.mismatched_engines


def stale(reader: EngineReader) -> list[str]:
    """Return what was out of line when anything first was."""
    if not first_news:
        first_news.extend(read_out_of_line(reader))
    return first_news


if __name__ == "__main__":
    EngineReader.mismatched_engines = stale
    main()
