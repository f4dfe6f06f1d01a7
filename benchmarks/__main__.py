"""Runs every benchmark."""
