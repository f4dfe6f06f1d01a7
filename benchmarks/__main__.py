"""Runs the benchmarks: all of them, or those named as arguments.

A benchmark is a module `bench_NAME.py` here, with `run() -> list[Table]`.
"""

import importlib
import pathlib
import sys
import time

from benchmarks.report import print_table, write_tables


def main(names: list[str]) -> None:
    """Run benchmarks by name and keep their tables."""
    folder = pathlib.Path(__file__).parent
    known = sorted(path.stem[6:] for path in folder.glob('bench_*.py'))
    for name in names or known:
        module = importlib.import_module(f'benchmarks.bench_{name}')
        begun = time.monotonic()
        tables = module.run()
        for table in tables:
            print_table(table)
        print(f'  {name}: {time.monotonic() - begun:.0f} s', flush=True)
        write_tables(name, tables)


if __name__ == '__main__':
    main(sys.argv[1:])
