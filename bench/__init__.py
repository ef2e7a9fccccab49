"""Tools that measure real daemons and stand-in engines."""
