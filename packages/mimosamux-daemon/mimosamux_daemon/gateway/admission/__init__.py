"""Checks that a request passes before it is sent to an endpoint."""
