"""Tests of mimosamux."""
