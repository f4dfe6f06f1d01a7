"""Starts a stand-in: `python -m mimosamux_standins NAME [--option ...]`."""

import importlib
import sys
from collections.abc import Sequence

import fire

FUNCTION_BY_NAME = {
    'engine': ('engine', 'run'),
    'local': ('local', 'serve'),
    'platform': ('platform', 'serve'),
    'proxy': ('proxy', 'serve'),
    'service': ('service', 'serve'),
    'site': ('site.host', 'serve'),
    'site-local': ('site.local', 'serve'),
}
"""Module and function that run each; its parameters are options."""


def main(args: Sequence[str]) -> int:
    """Run the stand-in that the first argument names."""
    if not args or args[0] not in FUNCTION_BY_NAME:
        names = '|'.join(FUNCTION_BY_NAME)
        print(f'usage: mimosamux_standins {names}', file=sys.stderr)
        return 2
    name = args[0]
    module_name, function_name = FUNCTION_BY_NAME[name]
    module = importlib.import_module(f'mimosamux_standins.{module_name}')
    function = getattr(module, function_name)
    try:
        fire.Fire(function, command=list(args[1:]), name=name)
    except KeyboardInterrupt:
        return 130
    return 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
