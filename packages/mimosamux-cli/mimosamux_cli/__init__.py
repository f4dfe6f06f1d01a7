"""Operator and caller command line."""
