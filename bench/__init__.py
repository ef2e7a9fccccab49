"""Tools that measure papayacourse with real processes on loopback."""
