"""Checked decoding of what a gateway reads: settings, tables, answers.

msgspec checks types and bounds as pydantic does, and is loaded in a quarter of
the time. A gateway that was killed is awaited by callers; with pydantic a
quarter of its start went into loading that library and building models.
"""

import re
from typing import TypeVar

import msgspec

from mimosamux_daemon.errors import InvalidConfiguration, InvalidSettings
from mimosamux_daemon.problems import WHOLE_INPUT, Problem

ModelT = TypeVar('ModelT')

WHERE = re.compile(r'^(?P<what>.*) - at `\$\.?(?P<path>.*)`$', re.DOTALL)
NAMED_FIELD = re.compile(r'(?:required|unknown) field `(?P<name>.*)`$')
INDEX = re.compile(r'\[(\d+|\.\.\.)\]')


def decode_json(data: bytes, kind: type[ModelT]) -> ModelT:
    """Return JSON as a model; `InvalidConfiguration` names a wrong field."""
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError) as error:
        found = find_problem(error)
        raise InvalidConfiguration(
            path=found.path, problem=found.message
        ) from error


def convert_settings(fields: object, kind: type[ModelT]) -> ModelT:
    """Return settings as a model; `InvalidSettings` names a wrong field.

    YAML has forms of numbers that its reader takes for text, such as 5e3;
    where a number is wanted they are read as one.
    """
    try:
        return msgspec.convert(fields, kind, strict=False)
    except msgspec.ValidationError as error:
        found = find_problem(error)
        raise InvalidSettings(
            path=found.path, problem=found.message
        ) from error


def find_problem(error: Exception) -> Problem:
    """Return the path of the wrong field and what is wrong with it."""
    text = str(error)
    where = WHERE.match(text)
    path, what = (where['path'], where['what']) if where else ('', text)
    keys = [key for key in INDEX.sub(r'.\1', path).split('.') if key]
    named = NAMED_FIELD.search(what)
    if named is not None:
        keys.append(named['name'])
    return Problem(path='.'.join(keys) or WHOLE_INPUT, message=what)
