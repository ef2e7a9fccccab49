"""A serving system for generations of unknown length on crowded engines."""

from papayacourse.version import __version__

__all__ = ["__version__"]
