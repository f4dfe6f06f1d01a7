"""Limits on requests: usage caps, retry budget, and rates of endpoints."""
