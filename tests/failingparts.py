"""The routed daemon, with methods that fail when they are first called; for tests.

The arguments are the methods, as ``module:Class.method``, then the daemon's program.
"""

import functools
import importlib
import runpy
import sys
from pathlib import Path


def fail_once(name: str) -> None:
    """Let a method raise an error that nobody expects when it is first called."""
    module, _, path = name.partition(":")
    class_name, _, method_name = path.partition(".")
    owner = getattr(importlib.import_module(module), class_name)
    method = getattr(owner, method_name)
    calls = []

    @functools.wraps(method)
    def failing(*arguments, **options):
        calls.append(name)
        if len(calls) == 1:
            raise RuntimeError(f"injected into {name}")
        return method(*arguments, **options)

    setattr(owner, method_name, failing)


if __name__ == "__main__":
    *methods, program = sys.argv[1:]
    sys.path[0] = str(Path(program).parent)
    sys.path.append(str(Path(program).parent.parent))
    for each in methods:
        fail_once(each)
    runpy.run_path(program, run_name="__main__")
