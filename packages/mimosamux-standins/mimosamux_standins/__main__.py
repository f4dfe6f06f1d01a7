"""Starts a stand-in: `python -m mimosamux_standins NAME [--option ...]`.

Each module named here has a function `serve` with the options.
"""

import importlib
import sys
from collections.abc import Sequence

import fire

NAMES = ('engine', 'platform', 'service', 'proxy', 'local')


def main(args: Sequence[str]) -> int:
    """Run the stand-in that the first argument names."""
    if not args or args[0] not in NAMES:
        print(f'usage: mimosamux_standins {"|".join(NAMES)}', file=sys.stderr)
        return 2
    module = importlib.import_module(f'mimosamux_standins.{args[0]}')
    fire.Fire(module.serve, command=list(args[1:]), name=args[0])
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
