"""Command-line client of mimosamux for operators and callers."""

from mimosamux_cli.core import main

__all__ = ['main']
