"""Admission, routing and execution of accepted requests."""
