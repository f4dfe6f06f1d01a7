"""Splits a stream of server-sent events (SSE) into complete events."""

import re
from dataclasses import dataclass

EVENT_END = b'\n\n'
ID_FIELD = b'id:'
ID_LINE = b'\n' + ID_FIELD
NUMBER = re.compile('[0-9]+')
MAX_EVENT_BYTES = 1024 * 1024
"""Largest event; a faulty endpoint may send one that does not end."""


@dataclass(frozen=True, kw_only=True, slots=True)
class CompleteEvents:
    """One or more complete events, as received."""

    data: bytes
    count: int
    last_id: str | None
    """Id of the last event that has one, None if none has."""


class EventSplitter:
    """Buffers incomplete events of one stream.

    An endpoint can stop in the middle of an event. If the fragment were
    forwarded it could not be recalled, and the stream that continues at
    another endpoint would begin with the same event again.
    """

    def __init__(self, *, behind: str | None = None) -> None:
        self.problem: str | None = None
        """Why what came is no stream to forward, None if it is one."""
        self._partial = bytearray()
        """The beginning of an event."""
        self._behind = behind
        """Id of the event behind which the stream goes on, None: it begins,
        or has gone on."""

    @property
    def partial_bytes(self) -> int:
        """Size of the beginning of an event that is buffered."""
        return len(self._partial)

    @property
    def has_partial(self) -> bool:
        """Whether the beginning of an event is buffered."""
        return bool(self._partial)

    def feed(self, data: bytes) -> CompleteEvents | None:
        """Add data; return the events that it completes, None if none."""
        start = max(len(self._partial) - len(EVENT_END) + 1, 0)
        self._partial += data
        end = self._partial.rfind(EVENT_END, start)
        if end < 0:
            if len(self._partial) > MAX_EVENT_BYTES:
                self.problem = 'an event without end'
            return None
        end += len(EVENT_END)
        complete = bytes(self._partial[:end])
        del self._partial[:end]
        if len(self._partial) > MAX_EVENT_BYTES:
            self.problem = 'an event without end'
        elif self._goes_back(complete):
            self.problem = 'an event that was sent before'
        return CompleteEvents(
            data=complete,
            count=complete.count(EVENT_END),
            last_id=_find_last_id(complete),
        )

    def _goes_back(self, complete: bytes) -> bool:
        """Whether a stream that goes on begins with an earlier event."""
        if self._behind is None:
            return False
        first = _find_first_id(complete)
        if first is None:
            return False
        behind, self._behind = self._behind, None
        return first == behind or _is_less(first, behind)


def _is_less(first: str, second: str) -> bool:
    """Whether an id is a lower number than another, of any length."""
    if not (NUMBER.fullmatch(first) and NUMBER.fullmatch(second)):
        return False
    first, second = first.lstrip('0'), second.lstrip('0')
    return (len(first), first) < (len(second), second)


def _find_first_id(complete: bytes) -> str | None:
    if complete.startswith(ID_FIELD):
        return _read_id(complete, 0)
    start = complete.find(ID_LINE) + 1
    return _read_id(complete, start) if start else None


def _find_last_id(complete: bytes) -> str | None:
    start = complete.rfind(ID_LINE) + 1
    if not start and not complete.startswith(ID_FIELD):
        return None
    return _read_id(complete, start)


def _read_id(complete: bytes, start: int) -> str:
    """Return the id in the field that begins at an index."""
    end = complete.find(b'\n', start)
    return complete[start + len(ID_FIELD) : end].strip().decode('latin-1')
