"""Tools that measure."""
