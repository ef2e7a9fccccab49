"""Measures the decisions under load with real daemons and stand-in engines."""
