"""The version of papayacourse, defined only here."""

__version__ = "0.1.0"
