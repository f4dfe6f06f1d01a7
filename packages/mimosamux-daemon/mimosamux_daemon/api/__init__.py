"""HTTP routes for callers, operators and monitoring."""
