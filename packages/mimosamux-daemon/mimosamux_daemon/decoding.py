"""Validated decoding of a gateway's input: settings, tables, answers.

msgspec checks types and bounds as pydantic does, and loads in a quarter of
the time. Callers wait while a killed gateway restarts; with pydantic, loading
the library and building models takes a quarter of the start-up time.
"""

import re
from collections.abc import Collection
from typing import Annotated, TypeVar

import msgspec

from mimosamux_daemon.domain.store_eras import NUMBER_BITS
from mimosamux_daemon.errors import InvalidConfiguration, InvalidSettings
from mimosamux_daemon.problems import ROOT_PATH, Problem

ModelT = TypeVar('ModelT')

MAX_TIME_S = 2.0**40
MAX_TIME_MS = 2**53
"""Bounds of times and durations; messages have 64 bits for milliseconds."""
TimeInSeconds = Annotated[float, msgspec.Meta(ge=-MAX_TIME_S, le=MAX_TIME_S)]
TimeInMs = Annotated[float, msgspec.Meta(ge=-MAX_TIME_MS, le=MAX_TIME_MS)]
VersionNumber = Annotated[int, msgspec.Meta(ge=0, lt=1 << NUMBER_BITS)]
"""The store's own number of a version; the bits above are for its era."""

LOCATION_PATTERN = re.compile(
    r'^(?P<what>.*) - at `\$\.?(?P<path>.*)`$', re.DOTALL
)
"""Error text of msgspec: the problem, and the path of the value."""
FIELD_NAME_PATTERN = re.compile(r'(?:required|unknown) field `(?P<name>.*)`$')
"""Problem whose field is named in the text instead of the path."""
INDEX_PATTERN = re.compile(r'\[(\d+|\.\.\.)\]')
"""Array index in a path; `...` stands for any key of a mapping."""


def decode_json(data: bytes, kind: type[ModelT]) -> ModelT:
    """Decode JSON to a model.

    `InvalidConfiguration` names the first invalid field.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        problem = parse_problem(error)
        raise InvalidConfiguration(
            path=problem.path, problem=problem.message
        ) from error


def drop_unset(fields: object, known: Collection[str]) -> object:
    """Return parsed settings without the known keys that have no value.

    A template leaves a key without a value where the platform does not tell
    one; the default holds there, as it does without the key.
    """
    if not isinstance(fields, dict):
        return fields
    return {
        key: value
        for key, value in fields.items()
        if value is not None or key not in known
    }


def convert_settings(fields: object, kind: type[ModelT]) -> ModelT:
    """Convert parsed settings to a model.

    `InvalidSettings` names the first invalid field. The conversion accepts
    numbers in strings, as the YAML parser returns some forms of numbers,
    such as 5e3, as strings.
    """
    known = getattr(kind, '__struct_fields__', ())
    try:
        return msgspec.convert(drop_unset(fields, known), kind, strict=False)
    except msgspec.ValidationError as error:
        problem = parse_problem(error)
        raise InvalidSettings(
            path=problem.path, problem=problem.message
        ) from error


def parse_problem(error: Exception) -> Problem:
    """Parse the field's path and the problem from a msgspec error."""
    text = str(error)
    where = LOCATION_PATTERN.match(text)
    path, what = (where['path'], where['what']) if where else ('', text)
    keys = [key for key in INDEX_PATTERN.sub(r'.\1', path).split('.') if key]
    named = FIELD_NAME_PATTERN.search(what)
    if named is not None:
        keys.append(named['name'])
    return Problem(path='.'.join(keys) or ROOT_PATH, message=what)
