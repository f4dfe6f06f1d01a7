"""Entry point of the command `mimosamux`."""

import sys

from mimosamux_daemon.context import Environment

from mimosamux_cli.core import main


def program() -> None:
    """Run `mimosamux` with the command-line arguments and exit."""
    sys.exit(main(sys.argv[1:], Environment()))


if __name__ == '__main__':
    program()
