"""Tools that measure papayacourse on loopback."""
