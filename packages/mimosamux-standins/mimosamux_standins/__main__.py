"""Starts a stand-in: `python -m mimosamux_standins NAME [--option ...]`."""

import importlib
import sys
from collections.abc import Sequence

import fire

FUNCTION_BY_NAME = {
    'engine': 'run',
    'local': 'serve',
    'platform': 'serve',
    'proxy': 'serve',
    'service': 'serve',
}
"""Function of each module that runs it; its parameters are options."""


def main(args: Sequence[str]) -> int:
    """Run the stand-in that the first argument names."""
    if not args or args[0] not in FUNCTION_BY_NAME:
        names = '|'.join(FUNCTION_BY_NAME)
        print(f'usage: mimosamux_standins {names}', file=sys.stderr)
        return 2
    name = args[0]
    module = importlib.import_module(f'mimosamux_standins.{name}')
    function = getattr(module, FUNCTION_BY_NAME[name])
    try:
        fire.Fire(function, command=list(args[1:]), name=name)
    except KeyboardInterrupt:
        return 130
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
