"""Tables of benchmark results, printed and kept as JSON."""

import json
import pathlib
from dataclasses import asdict, dataclass

RESULTS = pathlib.Path(__file__).parent / 'results'


@dataclass(frozen=True, kw_only=True, slots=True)
class Table:
    """One table of results; the first column names the row."""

    title: str
    columns: tuple[str, ...]
    rows: tuple[tuple[str | float, ...], ...]
    note: str = ''


def print_table(table: Table) -> None:
    """Print a table with aligned columns."""
    lines = [table.columns, *(map(_as_text, row) for row in table.rows)]
    cells = [tuple(line) for line in lines]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    print(f'\n{table.title}')
    for line in cells:
        padded = zip(line, widths, strict=True)
        print('  ' + '  '.join(cell.ljust(width) for cell, width in padded))
    if table.note:
        print(f'  {table.note}')


def write_tables(name: str, tables: list[Table]) -> None:
    """Write the tables of a benchmark as JSON."""
    RESULTS.mkdir(exist_ok=True)
    text = json.dumps([asdict(table) for table in tables], indent=1)
    (RESULTS / f'{name}.json').write_text(text + '\n')


def _as_text(value: str | float) -> str:
    return f'{value:.4g}' if isinstance(value, float) else str(value)
