"""Says from daemons' logs where requests of a day were lost, and what it cost.

Run as `python -m benchmarks.day_account LOG...`. Lines of several daemons may
be mixed; a word before `at=` then names the daemon.
"""

import pathlib
import re
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime

import fire

from benchmarks.report import Table, print_table

FIELD = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
DAEMON = re.compile(r'(\S+)\s+at=')
PROBLEMS = (
    'call_broken',
    'connect_failed',
    'endpoint_silent',
    'turned_down',
)
"""Events that tell of a send that came to nothing."""
SPAN_S = 2
"""Seconds that one row of the table of moments stands for."""
FEWEST_ROWS = 12
"""Rows of a table that is cut to its largest ones."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """One line of a log."""

    daemon: str
    at: float
    """Seconds since the first line of all logs."""
    name: str
    fields: dict[str, str]


def parse_line(line: str) -> Event | None:
    """Return the event of a line, None for a line that is none."""
    fields = {key: value.strip('"') for key, value in FIELD.findall(line)}
    if 'at' not in fields or 'event' not in fields:
        return None
    daemon = DAEMON.search(line)
    return Event(
        daemon=daemon[1] if daemon else '',
        at=datetime.fromisoformat(fields['at']).timestamp(),
        name=fields['event'],
        fields=fields,
    )


def read_events(paths: Iterable[str]) -> list[Event]:
    """Return the events of all logs, with times from the first on."""
    found = [
        event
        for path in paths
        for line in pathlib.Path(path).read_text().splitlines()
        if (event := parse_line(line)) is not None
    ]
    first = min((event.at for event in found), default=0.0)
    return [
        Event(
            daemon=event.daemon,
            at=event.at - first,
            name=event.name,
            fields=event.fields,
        )
        for event in found
    ]


def name_outcome(event: Event) -> str:
    """Return what a caller got, in a word or two."""
    fields = event.fields
    if event.name == 'request_refused':
        return f'refused {fields["reason"]}'
    outcome = fields['outcome']
    if outcome == 'delivered':
        status = int(fields['status'])
        return 'delivered' if status < 400 else f'passed on {status}'
    reason = fields.get('reason', '')
    return f'{outcome} {reason}'.strip()


def find_ends(events: Iterable[Event]) -> Iterator[Event]:
    """Return the events that end a request."""
    return (
        event
        for event in events
        if event.name in ('request_ended', 'request_refused')
    )


def count_by(
    title: str, key_name: str, pairs: Iterable[tuple[object, str]]
) -> Table:
    """Return counts of outcomes, one row for each key."""
    counts: dict[object, Counter[str]] = defaultdict(Counter)
    for key, outcome in pairs:
        counts[key][outcome] += 1
    totals = Counter(
        outcome for count in counts.values() for outcome in count.elements()
    )
    columns = [outcome for outcome, _ in totals.most_common()]
    return Table(
        title=title,
        columns=(key_name, *columns),
        rows=[
            (key, *(counts[key][column] for column in columns))
            for key in sorted(counts, key=str if key_name != 's' else None)
        ],
    )


def count_moments(events: list[Event]) -> Table:
    """Return the outcomes of each span of the day."""
    return count_by(
        'outcomes by moment',
        's',
        (
            (int(event.at // SPAN_S) * SPAN_S, name_outcome(event))
            for event in find_ends(events)
        ),
    )


def count_routes(events: list[Event]) -> Table:
    """Return the outcomes of the routes with the most requests."""
    ends = list(find_ends(events))
    counts = Counter(event.fields.get('route', '') for event in ends)
    most = {route for route, _ in counts.most_common(FEWEST_ROWS)}
    return count_by(
        'outcomes by route',
        'route',
        (
            (event.fields.get('route', ''), name_outcome(event))
            for event in ends
            if event.fields.get('route', '') in most
        ),
    )


def count_daemons(events: list[Event]) -> Table:
    """Return the outcomes at each daemon."""
    return count_by(
        'outcomes by daemon',
        'daemon',
        ((event.daemon, name_outcome(event)) for event in find_ends(events)),
    )


def count_endpoints(events: list[Event]) -> Table:
    """Return what became of sends to the endpoints with most problems."""
    problems = Counter(
        event.fields['endpoint'] for event in events if event.name in PROBLEMS
    )
    worst = {endpoint for endpoint, _ in problems.most_common(FEWEST_ROWS)}
    return count_by(
        'sends by endpoint, those with most problems',
        'endpoint',
        (
            (event.fields['endpoint'], event.name)
            for event in events
            if event.name in (*PROBLEMS, 'request_sent')
            and event.fields['endpoint'] in worst
        ),
    )


def list_starts(events: list[Event]) -> Table:
    """Return when daemons listened, were ready and delivered first."""
    rows: list[tuple[object, ...]] = []
    for place, event in enumerate(events):
        if event.name != 'listening':
            continue
        later = [
            each for each in events[place:] if each.daemon == event.daemon
        ]
        ready = next((e.at for e in later if e.name == 'ready'), None)
        first = next(
            (
                each.at
                for each in later
                if each.name == 'request_ended'
                and name_outcome(each) == 'delivered'
            ),
            None,
        )
        rows.append(
            (
                event.daemon,
                round(event.at, 2),
                None if ready is None else round(ready, 2),
                None if first is None else round(first, 2),
            )
        )
    return Table(
        title='starts of daemons, s',
        columns=('daemon', 'listening', 'ready', 'first delivered'),
        rows=rows,
    )


def sum_endpoint_seconds(events: list[Event]) -> Table:
    """Return the time for which endpoints were there, as they were seen."""
    begun: dict[str, tuple[float, str, str]] = {}
    left: dict[str, float] = {}
    gone: dict[str, float] = {}
    for event in sorted(events, key=lambda each: each.at):
        endpoint = event.fields.get('endpoint', '')
        if event.name == 'endpoint_listed':
            fields = event.fields
            entry = (event.at, fields['service'], fields['market'])
            begun.setdefault(endpoint, entry)
        elif event.name == 'endpoint_leaving':
            left.setdefault(endpoint, event.at)
        elif event.name == 'endpoint_gone':
            gone.setdefault(endpoint, event.at)
    end = max((event.at for event in events), default=0.0)
    sums: dict[tuple[str, str], list[float]] = defaultdict(lambda: [0.0] * 3)
    for endpoint, (at, service, market) in begun.items():
        leaves_at = left.get(endpoint, end)
        row = sums[service, market]
        row[0] += 1
        row[1] += max(leaves_at - at, 0.0)
        row[2] += max(gone.get(endpoint, end) - leaves_at, 0.0)
    return Table(
        title='endpoints: how many, and for how long',
        columns=('service', 'market', 'count', 'serving s', 'leaving s'),
        rows=[
            (service, market, int(row[0]), round(row[1]), round(row[2]))
            for (service, market), row in sorted(sums.items())
        ],
    )


def count_orders(events: list[Event]) -> Table:
    """Return what became of orders of endpoints, by market."""
    return count_by(
        'orders of endpoints',
        'market',
        (
            (event.fields['market'], event.fields['outcome'])
            for event in events
            if event.name == 'endpoints_ordered'
        ),
    )


def list_leases(events: list[Event]) -> Table:
    """Return who took and lost the duties, and when."""
    return Table(
        title='duties, s',
        columns=('s', 'daemon', 'what', 'fencing'),
        rows=[
            (
                round(event.at, 2),
                event.daemon,
                event.name,
                event.fields['fencing'],
            )
            for event in sorted(events, key=lambda each: each.at)
            if event.name in ('lease_taken', 'lease_ended')
        ],
    )


def main(*paths: str) -> None:
    """Print every table for the logs named."""
    events = read_events(paths)
    for build in (
        count_moments,
        count_routes,
        count_daemons,
        count_endpoints,
        list_starts,
        sum_endpoint_seconds,
        count_orders,
        list_leases,
    ):
        print_table(build(events))


if __name__ == '__main__':
    fire.Fire(main)
