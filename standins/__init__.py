"""Small stand-ins for the systems that papayacourse meets; each runs as its own process."""
