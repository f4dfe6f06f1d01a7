"""Immutable data types that the layers of the daemon share; no I/O."""
