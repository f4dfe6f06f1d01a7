"""Splits a stream of server-sent events (SSE) into complete events."""

from dataclasses import dataclass

EVENT_END = b'\n\n'
ID_FIELD = b'id:'


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
    for line in reversed(complete.split(b'\n')):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode('latin-1')
    return None
