"""Control plane of the daemons: configuration, membership, planning."""
