"""Selects the log lines that concern one request from logs of daemons."""

import pathlib
import re
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from datetime import datetime, timedelta

FIELD_PATTERN = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|[^\s"]*)')
PART_KEY_PATTERN = re.compile(r'part-[0-9a-f]{32}')
"""Key of a prompt part, as a refusal names it."""
ESCAPE_PATTERN = re.compile(r'\\(.)')

LEAD_TIME = timedelta(seconds=10)
"""How long before a request's first line events of its endpoints and daemons
are included. Reports about endpoints reach every daemon within seconds, even
during a store outage."""
TRAIL_TIME = timedelta(seconds=10)
"""How long behind a request's last line events of its content and its prompt
parts are included if a call broke off: a crash is found out afterwards."""
STATE_EVENTS = (
    'listening',
    'ready',
    'feed_lost',
    'store_era_began',
    'stream_record_read',
    'feed_regained',
    'history_lost',
    'configuration_in_force',
    'uplinks_changed',
    'list_was_old',
    'endpoints_unreached',
    'endpoints_reached',
    'peers_silent',
    'service_brittle',
    'rollout_ordered',
    'rollout_step',
    'trial_stopped',
    'leaving',
    'accepting_ended',
    'stop_is_over',
    'left',
    'stopped',
)
"""Events of a daemon that affect every request it handles."""


@dataclass(frozen=True, kw_only=True, slots=True)
class LogLine:
    """One event of a daemon log."""

    at: datetime
    source: str
    """Path of the log file."""
    fields: Mapping[str, str]
    text: str

    @property
    def event(self) -> str:
        """Name of the event, empty if the line has none."""
        return self.fields.get('event', '')


def read_log(path: str) -> Sequence[LogLine]:
    """Return the events of a log file; skip lines that are not events."""
    with pathlib.Path(path).open(errors='replace') as file:
        parsed = (parse_line(text, path) for text in file)
        return [line for line in parsed if line is not None]


def parse_line(text: str, source: str) -> LogLine | None:
    """Parse a log line; return None if it has no valid timestamp `at`."""
    fields = {
        name: _unquote(value) for name, value in FIELD_PATTERN.findall(text)
    }
    try:
        at = datetime.fromisoformat(fields['at'])
    except (KeyError, ValueError):
        return None
    return LogLine(at=at, source=source, fields=fields, text=text.strip())


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    return ESCAPE_PATTERN.sub(r'\1', value[1:-1])


def select_request_lines(
    request: str, lines: Iterable[LogLine]
) -> Sequence[LogLine]:
    """Return the lines that concern a request, ordered by time.

    A stream that was resumed is one story with the requests that resume it.
    These are the request's own lines and the following lines that name no
    request: lines of any daemon about the same content, or about a part of its
    prompt that it was refused for or broke off with, up to its last line or
    TRAIL_TIME behind it, and lines of the daemons that handled it about its
    endpoints or their own state (STATE_EVENTS), from LEAD_TIME before its
    first line to its last.
    """
    ordered = sorted(lines, key=lambda line: line.at)
    requests = _find_stream(request, ordered)
    own_lines = [
        line for line in ordered if line.fields.get('request') in requests
    ]
    if not own_lines:
        return ()
    start, end = own_lines[0].at - LEAD_TIME, own_lines[-1].at
    has_broken = any(line.event == 'call_broken' for line in own_lines)
    suspected_until = end + TRAIL_TIME if has_broken else end
    sources = {line.source for line in own_lines}
    endpoints = {line.fields.get('endpoint') for line in own_lines} - {None}
    contents = {line.fields.get('content') for line in own_lines} - {None}
    for line in own_lines:
        contents.update(PART_KEY_PATTERN.findall(line.text))
    return [
        line
        for line in ordered
        if line.fields.get('request') in requests
        or line.at <= suspected_until
        and 'request' not in line.fields
        and line.fields.get('content') in contents
        or start <= line.at <= end
        and line.source in sources
        and 'request' not in line.fields
        and (
            line.fields.get('endpoint') in endpoints
            or line.event in STATE_EVENTS
        )
    ]


def _find_stream(request: str, lines: Iterable[LogLine]) -> set[str]:
    """Return a request, the one whose stream it resumes, and its siblings."""
    began_by_request = {
        line.fields['request']: line.fields['resumes']
        for line in lines
        if line.fields.get('resumes') and 'request' in line.fields
    }
    began = began_by_request.get(request, request)
    resuming = {
        each for each, other in began_by_request.items() if other == began
    }
    return {request, began} | resuming
