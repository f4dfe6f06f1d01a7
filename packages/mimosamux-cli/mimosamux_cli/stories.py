"""The story of one request, put together from the logs of daemons."""

import pathlib
import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^\s"]*)')
ESCAPED = re.compile(r'\\(.)')

BEFORE = timedelta(seconds=10)
"""How long before a request news about its endpoints belong to its story:
news reach every daemon within seconds, even past a store that is down."""
STATE_EVENTS = (
    'listening',
    'ready',
    'feed_lost',
    'feed_regained',
    'history_lost',
    'configuration_in_force',
    'rollout_ordered',
    'rollout_step',
    'trial_stopped',
    'leaving',
    'left',
    'stopped',
)
"""Events of a daemon that bear on every request in its hands."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One event of a log."""

    at: datetime
    source: str
    """The file that it stands in."""
    fields: Mapping[str, str]
    text: str

    @property
    def event(self) -> str:
        """Return the name of the event."""
        return self.fields.get('event', '')


def read_log(path: str) -> Sequence[LogLine]:
    """Return the events that a log holds; other lines are passed over."""
    with pathlib.Path(path).open(errors='replace') as file:
        parsed = (parse_line(text, path) for text in file)
        return [line for line in parsed if line is not None]


def parse_line(text: str, source: str) -> LogLine | None:
    """Return an event, None where a line is not one of a daemon."""
    fields = {name: _unquote(value) for name, value in FIELD.findall(text)}
    try:
        at = datetime.fromisoformat(fields['at'])
    except (KeyError, ValueError):
        return None
    return LogLine(at=at, source=source, fields=fields, text=text.strip())


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return ESCAPED.sub(r'\1', value[1:-1])


def tell_story(request: str, lines: Iterable[LogLine]) -> Sequence[LogLine]:
    """Return what bears on a request, in order.

    Beside its own lines these are what the daemons that had it in hand
    learned about its endpoints, and what they lost or regained meanwhile,
    and what any daemon found out about the same content before.
    """
    known = sorted(lines, key=lambda line: line.at)
    own = [line for line in known if line.fields.get('request') == request]
    if not own:
        return ()
    first, last = own[0].at - BEFORE, own[-1].at
    sources = {line.source for line in own}
    endpoints = {line.fields.get('endpoint') for line in own} - {None}
    contents = {line.fields.get('content') for line in own} - {None}
    return [
        line
        for line in known
        if line.fields.get('request') == request
        or line.at <= last
        and 'request' not in line.fields
        and line.fields.get('content') in contents
        or first <= line.at <= last
        and line.source in sources
        and 'request' not in line.fields
        and (
            line.fields.get('endpoint') in endpoints
            or line.event in STATE_EVENTS
        )
    ]
