"""Postpones the import of a module until one of its names is first used."""

import importlib
from typing import Any


class LazyModule:
    """A module whose import takes long and that not every daemon uses."""

    def __init__(self, name: str):
        self._name = name

    def __getattr__(self, name: str) -> Any:
        value = getattr(importlib.import_module(self._name), name)
        setattr(self, name, value)  # so that the next use costs no call
        return value
