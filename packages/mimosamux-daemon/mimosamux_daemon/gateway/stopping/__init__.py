"""Graceful shutdown of a gateway daemon."""
