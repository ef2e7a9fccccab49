"""Migration of runs between engines: copies, moves off leaving engines, failover after a loss."""
