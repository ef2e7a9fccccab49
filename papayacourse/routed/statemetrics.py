"""Registers the metrics that are read from a daemon's components whenever metrics are requested."""

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from papayacourse.routed.daemon import RoutedDaemon


def watch_states(daemon: "RoutedDaemon") -> None:
    """Register a daemon's metrics of the state of its components, and their running totals."""
    metrics, notices = daemon.metrics, daemon.notices
    use, sharing = daemon.router.choice.use, daemon.use_sharing
    for name, read in (
        ("servers_reachable", lambda: float(not notices.reach.is_cut_off)),
        ("servers_drained", lambda: float(sum(host.is_drained for host in daemon.servers()))),
        ("servers_cold", notices.cold.count),
        ("store_era", lambda: float(daemon.directory.era)),
        ("plain_running", use.running),
        ("plain_use_shared", lambda: float(not sharing.is_alone)),
    ):
        metrics.watch(f"papayacourse_{name}", "", read)
    for name, read in (
        ("mesh_frames", daemon.mesh.peers.traffic.labelled),
        ("sends", notices.sends_by_server),
        ("limit_reached", daemon.limiter.refusals_by_server),
        ("cold_declined", notices.cold.declined_by_server),
        ("streams_closed", daemon.router.closed_ends.labelled),
        ("plain_rejected", use.rejections_by_server),
    ):
        metrics.watch_totals(f"papayacourse_{name}", "", read)
