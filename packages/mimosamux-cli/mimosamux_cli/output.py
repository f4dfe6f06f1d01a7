"""Formats command output as aligned tables or JSON."""

import json
from collections.abc import Sequence
from datetime import UTC, datetime
from typing import Any, TextIO


def write_json(value: Any, stream: TextIO) -> None:
    """Write a value as indented JSON."""
    json.dump(value, stream, indent=2, sort_keys=True, ensure_ascii=False)
    stream.write('\n')


def write_table(
    columns: Sequence[str], rows: Sequence[Sequence[Any]], stream: TextIO
) -> None:
    """Write column headings and rows, aligned; `none` if there are no rows."""
    if not rows:
        stream.write('none\n')
        return
    cells = [list(columns), *([_as_text(cell) for cell in r] for r in rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    for line in cells:
        padded = zip(line, widths, strict=True)
        text = '  '.join(cell.ljust(width) for cell, width in padded)
        stream.write(text.rstrip() + '\n')


def as_time(seconds: float) -> str:
    """Format a Unix timestamp as ISO 8601 in UTC, in whole seconds."""
    return datetime.fromtimestamp(seconds, UTC).isoformat(' ', 'seconds')


def _as_text(value: Any) -> str:
    if value is None:
        return '-'
    if isinstance(value, float):
        return f'{value:.4g}'
    if isinstance(value, dict | list):
        return json.dumps(value, sort_keys=True, ensure_ascii=False)
    return str(value)
