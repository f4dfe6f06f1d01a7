"""YAML documents that operators pass, and differences between two."""

import difflib
import pathlib
from typing import Any

import yaml

from mimosamux_cli.errors import InvalidFile


def read_document(path: str) -> dict[str, Any]:
    """Return the mapping that a YAML file holds."""
    try:
        document = yaml.safe_load(pathlib.Path(path).read_text())
    except yaml.YAMLError as error:
        raise InvalidFile(f'{path}: {error}') from error
    if not isinstance(document, dict):
        raise InvalidFile(f'{path}: a mapping is expected')
    return document


def parse_value(text: Any) -> Any:
    """Return the YAML value of a text; other values stay as they are."""
    return yaml.safe_load(text) if isinstance(text, str) else text


def as_yaml(document: Any) -> str:
    """Return a document as YAML with sorted keys."""
    return yaml.safe_dump(document, sort_keys=True, allow_unicode=True)


def diff_documents(old: Any, new: Any, name: str) -> str:
    """Return the unified difference of two documents."""
    lines = difflib.unified_diff(
        as_yaml(old).splitlines(keepends=True),
        as_yaml(new).splitlines(keepends=True),
        'in force',
        name,
    )
    return ''.join(lines)
