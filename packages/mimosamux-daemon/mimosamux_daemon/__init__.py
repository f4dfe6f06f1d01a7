"""The mimosamux daemon."""
