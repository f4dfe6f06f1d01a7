"""Server-sent events as a caller reads them."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerSentEvent:
    """One event; `name` is `message` unless the server named it."""

    name: str
    id: str
    data: str


def read_events(lines: Iterable[str]) -> Iterator[ServerSentEvent]:
    """Yield the whole events of a stream; a part at its end is dropped."""
    fields: dict[str, str] = {}
    for line in lines:
        if line:
            name, _, value = line.partition(':')
            fields[name] = value.removeprefix(' ')
        elif 'data' in fields:
            yield ServerSentEvent(
                name=fields.get('event', 'message'),
                id=fields.get('id', ''),
                data=fields['data'],
            )
            fields = {}
