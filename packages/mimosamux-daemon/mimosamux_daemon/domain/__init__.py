"""Data classes of the daemon and the decisions on them; no I/O."""
