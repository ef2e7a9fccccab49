"""Routing table of the HTTP server."""

from papayacourse.completions import Completions, Models, ResumeStream
from papayacourse.pages import Health, MetricsPage, Ready, SettingsInForce, Status, UnknownPath
from papayacourse.plaincalls import Plain


def routes(daemon) -> list[tuple]:
    """Return the routing table of a daemon."""
    shared = {"daemon": daemon}
    return [
        (r"/v1/chat/completions", Completions, shared | {"is_chat": True}),
        (r"/v1/completions", Completions, shared | {"is_chat": False}),
        (r"/v1/streams", ResumeStream, shared),
        (r"/v1/models", Models, shared),
        (r"/services/([^/]+)(?:/.*)?", Plain, shared),
        (r"/healthz", Health, shared),
        (r"/readyz", Ready, shared),
        (r"/metrics", MetricsPage, shared),
        (r"/debug/status", Status, shared),
        (r"/debug/settings", SettingsInForce, shared),
        (r".*", UnknownPath, shared),
    ]
