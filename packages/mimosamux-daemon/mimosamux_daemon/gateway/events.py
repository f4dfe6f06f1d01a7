"""Splits a stream of server-sent events (SSE) into complete events."""

from dataclasses import dataclass

EVENT_END = b'\n\n'
ID_FIELD = b'id:'
ID_LINE = b'\n' + ID_FIELD
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

    def __init__(self) -> None:
        self._partial = b''

    @property
    def has_partial(self) -> bool:
        """Whether the beginning of an event is buffered."""
        return bool(self._partial)

    @property
    def is_too_long(self) -> bool:
        """Whether the event that is buffered exceeds `MAX_EVENT_BYTES`."""
        return len(self._partial) > MAX_EVENT_BYTES

    def feed(self, data: bytes) -> CompleteEvents | None:
        """Add data; return the events that it completes, None if none."""
        data = self._partial + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._partial = data
            return None
        end += len(EVENT_END)
        complete, self._partial = data[:end], data[end:]
        return CompleteEvents(
            data=complete,
            count=complete.count(EVENT_END),
            last_id=_find_last_id(complete),
        )


def _find_last_id(complete: bytes) -> str | None:
    start = complete.rfind(ID_LINE) + 1
    if not start and not complete.startswith(ID_FIELD):
        return None
    end = complete.find(b'\n', start)
    return complete[start + len(ID_FIELD) : end].strip().decode('latin-1')
