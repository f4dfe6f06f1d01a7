"""Benchmarks of mimosamux."""
