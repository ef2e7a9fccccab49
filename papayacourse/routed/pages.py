"""HTTP pages of the daemon for the balancer, metrics scrapers and operators."""

from tornado.web import RequestHandler

from papayacourse import metrics


class Page(RequestHandler):
    """Base class of the pages; holds the daemon."""

    def initialize(self, daemon) -> None:
        """Store the daemon (called by tornado)."""
        self.daemon = daemon


class Readiness(Page):
    """``GET /readiness``: whether the balancer may send callers here."""

    def get(self) -> None:
        """Answer 200, or 503 while starting, stopping or without settings."""
        self.set_status(200 if self.daemon.is_ready() else 503)
        self.finish()


class MetricsPage(Page):
    """``GET /metrics``: the metrics for scrapers."""

    def get(self) -> None:
        """Answer in the Prometheus text format."""
        self.set_header("Content-Type", metrics.CONTENT_TYPE)
        self.finish(self.daemon.metrics.text())


def pages(daemon) -> list[tuple]:
    """Return the routing table of the pages."""
    shared = {"daemon": daemon}
    return [(r"/readiness", Readiness, shared), (r"/metrics", MetricsPage, shared)]
