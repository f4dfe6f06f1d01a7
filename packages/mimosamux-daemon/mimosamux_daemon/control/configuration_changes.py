"""Changes of the configuration document, and the document's digest.

The document is what operators write: sections, each with entries by
name. A change is a list of edits of single paths, so that the size of
what is stored and sent depends on the change and not on the document.
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
    """Sets the value at a path, or removes the path."""

    path: Path
    value: Any = None
    is_removal: bool = False


@dataclass(frozen=True, kw_only=True, slots=True)
class Change:
    """The edits that one operator made in one operation."""

    operation: str
    """Idempotency id, chosen by the operator: each id is applied once."""
    who: str
    what: str
    """Summary of the edits, for the audit trail."""
    why: str
    at: float
    """Wall-clock time in seconds since 1970, only for display."""
    edits: tuple[Edit, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class VersionRecord:
    """The changes that lead from the previous version to this one."""

    version: int
    digest: int
    """Digest of the whole document at this version."""
    changes: tuple[Change, ...]

    def as_bytes(self) -> bytes:
        """Return the serialised form that is stored and sent to peers."""
        return orjson.dumps(
            {
                'version': self.version,
                'digest': str(self.digest),
                'changes': [_serialise_change(item) for item in self.changes],
            }
        )

    @property
    def edits(self) -> Iterator[Edit]:
        """All edits of all changes, in order."""
        for change in self.changes:
            yield from change.edits


def parse_record(data: bytes) -> VersionRecord | None:
    """Return the record, or None if the bytes are invalid."""
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
    """Return an edited copy; the document passed in is not modified."""
    for edit in edits:
        document = _copy_with_edit(document, edit.path, edit)
    return document


def find_differences(
    before: Any, after: Any, path: Path = ()
) -> tuple[Edit, ...]:
    """Return the edits that turn one document into the other."""
    if not isinstance(before, dict) or not isinstance(after, dict):
        return () if before == after else (Edit(path=path, value=after),)
    edits: list[Edit] = []
    for key in sorted(before.keys() | after.keys()):
        inner_path = (*path, key)
        if key not in after:
            edits.append(Edit(path=inner_path, is_removal=True))
        elif key not in before:
            edits.append(Edit(path=inner_path, value=after[key]))
        else:
            edits.extend(find_differences(before[key], after[key], inner_path))
    return tuple(edits)


def value_at(document: Any, path: Path) -> Any:
    """Return the value at a path, or None if there is none."""
    for key in path:
        if not isinstance(document, dict):
            return None
        document = document.get(key)
    return document


def overlaps_edit(path: Path, edits: Iterable[Edit]) -> bool:
    """Return whether an edit is at, above or below the path."""
    for edit in edits:
        common = min(len(path), len(edit.path))
        if path[:common] == edit.path[:common]:
            return True
    return False


def digest_of(document: Document) -> int:
    """Return the sum of the hashes of all entries, modulo 2**64.

    As a sum, it can be updated entry by entry, see `digest_after`.
    """
    total = 0
    for section, content in document.items():
        total += _section_digest(section, content)
    return total % DIGEST_MODULUS


def digest_after(
    digest: int, before: Document, after: Document, edits: Sequence[Edit]
) -> int:
    """Return the digest of `after` by hashing only the edited entries.

    `digest` is the digest of `before`. Hashing the whole document for
    each change would make the cost of a change grow with the number of
    client accounts.
    """
    entries = {edit.path[:2] for edit in edits}
    for entry in entries:
        if len(entry) == 2 and entry[:1] in entries:
            continue  # The edit of the whole section covers the entry.
        digest -= _entry_digest(before, entry)
        digest += _entry_digest(after, entry)
    return digest % DIGEST_MODULUS


def _copy_with_edit(document: Any, path: Path, edit: Edit) -> Any:
    copy = dict(document) if isinstance(document, dict) else {}
    key = path[0]
    if len(path) > 1:
        copy[key] = _copy_with_edit(copy.get(key), path[1:], edit)
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
    return _hash_entry(section, entry[1], content[entry[1]])


def _section_digest(section: str, content: Any) -> int:
    if content is None:
        return 0
    if not isinstance(content, dict):
        return _hash_entry(section, '', content)
    return sum(
        _hash_entry(section, name, item) for name, item in content.items()
    )


def _hash_entry(section: str, name: str, item: Any) -> int:
    data = orjson.dumps([section, name, item], option=orjson.OPT_SORT_KEYS)
    return xxhash.xxh3_64_intdigest(data)


def _serialise_change(change: Change) -> dict[str, Any]:
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
    # Reading fields by name ignores those that a newer daemon added, so
    # that an older daemon can still read the record.
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
        raise ValueError('edit has no valid path')
    return Edit(
        path=path,
        value=fields.get('value'),
        is_removal=bool(fields.get('remove', False)),
    )
