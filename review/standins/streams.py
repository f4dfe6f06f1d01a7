"""Streams that a case asks for, and what became of them."""

from harness import BROKEN, HELD, NOT_RUN, ZONES
from replica import event
from wire import exchange

EVENTS = 76
"""Events of a stream, as itinerary-draft has them."""
GAP_S = 0.05
OPTIONS = {
    'unframed': True,
    'events': EVENTS,
    'gap_s': GAP_S,
    'slots': 64,
}
"""Options of a replica whose streams end with their channel."""


def start_replicas(case):
    """Start six replicas, two in each zone."""
    for number in range(1, 7):
        case.start_replica(
            f'i-000{number}',
            'llm',
            ZONES[number % 3],
            **OPTIONS,
        )


def busiest(case):
    """Return the replica that runs most streams."""
    return max(case.replicas, key=lambda id_: len(case.events_of(id_)))


async def ask(case, daemon, number, path):
    """Send one stream request; return what the client got.

    `short`: the answer looks complete, and events are missing at its end.
    """
    request = f'{int(case.began_at):x}{number:04x}'
    headers = {
        'Host': 'site.example',
        'X-Attempt-Id': request,
        'X-Key': 'key-school',
        'X-Model': 'm',
        'X-Token-Usage': '1460,380',
        'X-Prompt-Prefix': f'5c1e07a2:800,{request}:660',
        'X-Deadline-Ms': '15000',
    }
    case.say(f'request {request} POST {path} to {daemon.name}')
    answer = await exchange(
        daemon.entry, 'POST', path, headers, b'{}', wait_s=15.0
    )
    whole = b''.join(event(request, each) for each in range(1, EVENTS + 1))
    got = answer.body.count(b'\n\n')
    case.say(
        f'answer {request} {answer.status}: {got} of {EVENTS} events, '
        f'{"complete" if answer.is_complete else answer.problem}'
    )
    if answer.status != 200:
        return 'none'
    if answer.body == whole and answer.is_complete:
        return 'whole'
    if not whole.startswith(answer.body):
        return 'mixed'
    return 'short' if answer.is_complete else 'broken off'


def paths(count):
    """Return paths of both kinds of streams, half of each."""
    kinds = ('/draft/', '/question/')
    return [f'{kinds[each * 2 // count]}{each}' for each in range(count)]


def judge(case, results):
    """Record the results; return `BROKEN`, `HELD` or `NOT_RUN`."""
    case.say_replica_logs()
    for result in sorted(set(results)):
        case.say(f'{results.count(result)} streams: {result}')
    if not case.has_trouble and set(results) != {'whole'}:
        case.say('without the disruption, not every stream was whole')
        return NOT_RUN
    wrong = results.count('short') + results.count('mixed')
    return BROKEN if wrong else HELD
