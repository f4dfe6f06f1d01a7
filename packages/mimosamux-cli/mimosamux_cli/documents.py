"""Reads, formats and compares YAML documents."""

import difflib
import pathlib
from typing import Any

import yaml

from mimosamux_cli.errors import InvalidFile


def read_document(path: str) -> dict[str, Any]:
    """Return the top-level mapping of a YAML file."""
    try:
        document = yaml.safe_load(pathlib.Path(path).read_text())
    except yaml.YAMLError as error:
        raise InvalidFile(f'{path}: {error}') from error
    if not isinstance(document, dict):
        raise InvalidFile(f'{path}: a mapping is expected')
    return document


def parse_value(text: Any) -> Any:
    """Parse a string as YAML; return any other value unchanged."""
    return yaml.safe_load(text) if isinstance(text, str) else text


def as_yaml(document: Any) -> str:
    """Return a document as YAML with sorted keys."""
    return yaml.safe_dump(document, sort_keys=True, allow_unicode=True)


def diff_documents(old: Any, new: Any, name: str) -> str:
    """Return the unified diff between the YAML forms of two documents."""
    lines = difflib.unified_diff(
        as_yaml(old).splitlines(keepends=True),
        as_yaml(new).splitlines(keepends=True),
        'in force',
        name,
    )
    return ''.join(lines)
