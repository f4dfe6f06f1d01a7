"""Starts the program `mimosamux`."""


def program() -> None:
    """Run with the arguments of the command line."""
    raise SystemExit('mimosamux: no command is there yet')
