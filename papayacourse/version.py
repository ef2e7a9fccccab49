"""The version of papayacourse, in the one place that knows it."""

__version__ = "0.1.0"
