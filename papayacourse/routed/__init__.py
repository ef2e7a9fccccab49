"""Serves any path: requests are routed by host and prefix and forwarded unchanged."""
