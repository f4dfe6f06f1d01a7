"""Duties that one daemon at a time does for all."""
