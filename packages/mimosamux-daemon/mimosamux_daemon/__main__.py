"""Entry point of the program `mimosamuxd`."""

import sys

from mimosamux_daemon.context import Environment
from mimosamux_daemon.core import main


def program() -> None:
    """Run the program with the command-line arguments, then exit."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == '__main__':
    program()
