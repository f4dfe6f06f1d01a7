"""Starts the program `mimosamux`."""

import sys

from mimosamux_daemon.context import Environment

from mimosamux_cli.core import main


def program() -> None:
    """Run with the arguments of the command line."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == '__main__':
    program()
