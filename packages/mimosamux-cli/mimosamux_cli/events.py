"""Parser for server-sent events (SSE)."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class ServerSentEvent:
    """One event; `name` is `message` if the server gives no event type."""

    name: str
    id: str
    data: str


def read_events(lines: Iterable[str]) -> Iterator[ServerSentEvent]:
    """Yield the complete events of a stream; drop an incomplete last one."""
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
