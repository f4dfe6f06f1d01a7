"""Changes of the configuration document, as values.

The document is what operators write: sections, each with entries by
name. A change is a list of edits of single paths, so that what is stored
and sent grows with the change and not with the document.
"""

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

import orjson
import xxhash

Document = dict[str, Any]
Path = tuple[str, ...]

DIGEST_MODULUS = 2**64


@dataclass(frozen=True, kw_only=True, slots=True)
class Edit:
    """A value put at a path, or a path removed."""

    path: Path
    value: Any = None
    is_removal: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """What one operator changed in one operation."""

    operation: str
    """Chosen by the operator; the same one is carried out once."""
    who: str
    what: str
    why: str
    at: float
    """Wall time in seconds since 1970, for people."""
    edits: tuple[Edit, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionRecord:
    """One version: the changes that lead to it from the one before."""

    version: int
    digest: int
    """Of the whole document as of this version."""
    changes: tuple[Change, ...]

    def as_bytes(self) -> bytes:
        """Return the record as its row and messages hold it."""
        return orjson.dumps(
            {
                'version': self.version,
                'digest': str(self.digest),
                'changes': [_change_fields(item) for item in self.changes],
            }
        )

    @property
    def edits(self) -> Iterator[Edit]:
        """Every edit of every change, in order."""
        for change in self.changes:
            yield from change.edits


def parse_record(data: bytes) -> VersionRecord | None:
    """Return the record, None if the bytes are none."""
    try:
        fields = orjson.loads(data)
        return VersionRecord(
            version=int(fields['version']),
            digest=int(fields['digest']),
            changes=tuple(_parse_change(item) for item in fields['changes']),
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return None


def apply_edits(document: Document, edits: Iterable[Edit]) -> Document:
    """Return the edited document; the one passed in stays as it is."""
    for edit in edits:
        document = _edited(document, edit.path, edit)
    return document


def find_differences(
    before: Any, after: Any, path: Path = ()
) -> tuple[Edit, ...]:
    """Return the edits that turn one document into the other."""
    if not isinstance(before, dict) or not isinstance(after, dict):
        return () if before == after else (Edit(path=path, value=after),)
    edits: list[Edit] = []
    for key in sorted(before.keys() | after.keys()):
        inner = (*path, key)
        if key not in after:
            edits.append(Edit(path=inner, is_removal=True))
        elif key not in before:
            edits.append(Edit(path=inner, value=after[key]))
        else:
            edits.extend(find_differences(before[key], after[key], inner))
    return tuple(edits)


def value_at(document: Any, path: Path) -> Any:
    """Return the value at a path, None where there is none."""
    for key in path:
        if not isinstance(document, dict):
            return None
        document = document.get(key)
    return document


def is_touched(path: Path, edits: Iterable[Edit]) -> bool:
    """Tell whether an edit is at, above or below the path."""
    for edit in edits:
        common = min(len(path), len(edit.path))
        if path[:common] == edit.path[:common]:
            return True
    return False


def digest_of(document: Document) -> int:
    """Return the sum of the hashes of all entries."""
    total = 0
    for section, content in document.items():
        total += _section_digest(section, content)
    return total % DIGEST_MODULUS


def digest_after(
    digest: int, before: Document, after: Document, edits: Sequence[Edit]
) -> int:
    """Return the digest of `after` by hashing only what was edited.

    A hash over the whole document at each change would make the cost of
    a change grow with the number of client accounts.
    """
    entries = {edit.path[:2] for edit in edits}
    for entry in entries:
        if len(entry) == 2 and entry[:1] in entries:
            continue  # The whole section is hashed already.
        digest -= _entry_digest(before, entry)
        digest += _entry_digest(after, entry)
    return digest % DIGEST_MODULUS


def _edited(document: Any, path: Path, edit: Edit) -> Any:
    copy = dict(document) if isinstance(document, dict) else {}
    key = path[0]
    if len(path) > 1:
        copy[key] = _edited(copy.get(key), path[1:], edit)
    elif edit.is_removal:
        copy.pop(key, None)
    else:
        copy[key] = edit.value
    return copy


def _entry_digest(document: Document, entry: Path) -> int:
    section = entry[0]
    content = document.get(section)
    if len(entry) == 1 or not isinstance(content, dict):
        return _section_digest(section, content)
    if entry[1] not in content:
        return 0
    return _hash(section, entry[1], content[entry[1]])


def _section_digest(section: str, content: Any) -> int:
    if content is None:
        return 0
    if not isinstance(content, dict):
        return _hash(section, '', content)
    return sum(_hash(section, name, item) for name, item in content.items())


def _hash(section: str, name: str, item: Any) -> int:
    data = orjson.dumps([section, name, item], option=orjson.OPT_SORT_KEYS)
    return xxhash.xxh3_64_intdigest(data)


def _change_fields(change: Change) -> dict[str, Any]:
    return {
        'operation': change.operation,
        'who': change.who,
        'what': change.what,
        'why': change.why,
        'at': change.at,
        'edits': [
            {'path': edit.path, 'remove': True}
            if edit.is_removal
            else {'path': edit.path, 'value': edit.value}
            for edit in change.edits
        ],
    }


def _parse_change(fields: dict[str, Any]) -> Change:
    # Fields are taken by name, so that those of a newer daemon are left
    # out and do not stop an older one.
    return Change(
        operation=fields['operation'],
        who=fields['who'],
        what=fields['what'],
        why=fields['why'],
        at=fields['at'],
        edits=tuple(_parse_edit(edit) for edit in fields['edits']),
    )


def _parse_edit(fields: dict[str, Any]) -> Edit:
    path = tuple(fields['path'])
    if not path or not all(isinstance(key, str) for key in path):
        raise ValueError('an edit names no path')
    return Edit(
        path=path,
        value=fields.get('value'),
        is_removal=bool(fields.get('remove', False)),
    )
