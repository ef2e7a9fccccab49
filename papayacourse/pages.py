"""HTTP handlers for the load balancer, metrics scraping and operators."""

from papayacourse import metrics
from papayacourse.catalog import Catalog, faults_of
from papayacourse.exceptions import RequestRefused
from papayacourse.web import Handler


class Health(Handler):
    """``GET /healthz``: liveness check."""

    needs_account = False

    def get(self) -> None:
        """Answer 200."""
        self.finish({"status": "ok"})


class Ready(Handler):
    """``GET /readyz``: readiness check of the load balancer."""

    needs_account = False

    def get(self) -> None:
        """Answer 200, or 503 while starting or stopping."""
        if not self.daemon.ready or not self.daemon.informed():
            raise RequestRefused(503, "not_ready", "starting or stopping", retry_after=1.0)
        self.finish({"status": "ready"})


class MetricsPage(Handler):
    """``GET /metrics``: metrics for scraping."""

    needs_account = False

    def get(self) -> None:
        """Answer in Prometheus format."""
        self.set_header("Content-Type", metrics.CONTENT_TYPE)
        self.finish(self.daemon.metrics.text())


class Status(Handler):
    """``GET /debug/status``: the daemon's internal state, for operators."""

    needs_account = False

    def get(self) -> None:
        """Answer with the daemon's status; operators authenticate with the mesh key."""
        if not self.daemon.is_operator(self.request.headers.get("Authorization", "")):
            raise RequestRefused(401, "bad_key", "operators use the mesh key")
        self.finish(self.daemon.status())


class SettingsInForce(Handler):
    """``GET /debug/settings``: the revision in force of each path, for operators."""

    needs_account = False

    def get(self) -> None:
        """Answer for the paths in the query, or for all paths."""
        if not self.daemon.is_operator(self.request.headers.get("Authorization", "")):
            raise RequestRefused(401, "bad_key", "operators use the mesh key")
        catalog = self.daemon.catalog
        paths = self.get_query_arguments("path") or sorted(catalog.values)
        self.finish({"paths": {path: path_status(catalog, path) for path in paths}})


def path_status(catalog: Catalog, path: str) -> dict:
    """Return the status of one path in a catalog."""
    known, rejected = catalog.values.get(path), catalog.rejected.get(path)
    return {
        "revision": catalog.revision_in_force(path),
        "newest": known.revision if known else 0,
        "author": known.author if known else "",
        "deleted": known is not None and known.text is None,
        "rejected": [str(fault) for fault in faults_of(rejected)] if rejected else [],
    }


class UnknownPath(Handler):
    """Any other path."""

    def prepare(self) -> None:
        """Refuse the request."""
        raise RequestRefused(404, "unknown_path", f"there is nothing at {self.request.path!r}")
