"""Server-sent events: cut into whole ones, and their ids."""

from dataclasses import dataclass

EVENT_END = b'\n\n'
ID_FIELD = b'id:'


@dataclass(frozen=True, kw_only=True, slots=True)
class WholeEvents:
    """One or more whole events, as their bytes came."""

    data: bytes
    count: int
    last_id: str | None
    """Id of the last event that has one."""


class EventSplitter:
    """Cuts a stream of bytes behind each event.

    An endpoint can stop in the middle of an event. Passed on, the piece
    could not be taken back, and the stream that goes on elsewhere would
    begin with that event once more.
    """

    def __init__(self) -> None:
        self._rest = b''

    @property
    def has_rest(self) -> bool:
        """Whether the beginning of an event is held back."""
        return bool(self._rest)

    def feed(self, data: bytes) -> WholeEvents | None:
        """Return the events that are whole now, None if there are none."""
        data = self._rest + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self._rest = data
            return None
        end += len(EVENT_END)
        whole, self._rest = data[:end], data[end:]
        return WholeEvents(
            data=whole,
            count=whole.count(EVENT_END),
            last_id=_find_last_id(whole),
        )


def _find_last_id(whole: bytes) -> str | None:
    for line in reversed(whole.split(b'\n')):
        if line.startswith(ID_FIELD):
            return line[len(ID_FIELD) :].strip().decode('latin-1')
    return None
