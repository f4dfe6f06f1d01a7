"""Streams that end with their channel, at a replica that is emptied.

Two model replicas answer streams with neither a length nor chunks. One of
them reports `draining`, as before a planned shutdown. The daemons move its
streams to the other one: the replica stops each run at an event, and closes
its channel. Each client has to get every event, or a stream that is visibly
broken off.
"""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

from harness import CannotRun, Case  # noqa: E402
from replica import event  # noqa: E402
from wire import exchange  # noqa: E402

EVENTS = 76
GAP_S = 0.05
STREAMS = 12


async def ask(case, number, path):
    """Send one stream request; return what the client got."""
    request = f'{int(case.began_at):x}{number:04x}'
    daemon = case.daemons[number % len(case.daemons)]
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
    if answer.is_complete:
        return 'whole' if answer.body == whole else 'short'
    return 'broken off' if whole.startswith(answer.body) else 'mixed'


async def play(case):
    """Send the streams, and empty one replica meanwhile."""
    asked = [
        asyncio.create_task(
            ask(case, each, ('/draft/', '/question/')[each // 6] + str(each))
        )
        for each in range(STREAMS)
    ]
    await asyncio.sleep(0.5)
    if case.has_trouble:
        case.say('i-0001 reports draining')
        case.list_replica('i-0001', state='draining', sequence=2)
        await asyncio.sleep(3.0)
        case.say('i-0001 exits')
        case.replicas['i-0001'].terminate()
        await asyncio.sleep(1.0)
        case.put('servers', 'i-0001', None)
    return await asyncio.gather(*asked)


def main():
    """Play the case; return the exit status of the script."""
    case = Case(FOLDER)
    try:
        case.start_platform()
        options = {'unframed': True, 'events': EVENTS, 'gap_s': GAP_S}
        for number in (1, 2):
            zone = ('vasteras-a', 'eskilstuna-b')[number - 1]
            case.start_replica(f'i-000{number}', 'llm', zone, **options)
        case.put_config()
        case.start_daemons(3)
        results = asyncio.run(play(case))
        time.sleep(0.2)
        for id_ in case.replicas:
            for entry in case.events_of(id_):
                case.say(
                    id_,
                    entry['what'],
                    entry['request'],
                    *(
                        f'{k}={entry[k]}'
                        for k in ('first', 'events')
                        if k in entry
                    ),
                )
        for result in sorted(set(results)):
            case.say(f'{results.count(result)} streams: {result}')
        wrong = results.count('short') + results.count('mixed')
        if not case.has_trouble and results.count('whole') != STREAMS:
            case.say('without the disruption, not every stream was whole')
            return 2
        return 1 if wrong else 0
    except (CannotRun, OSError) as error:
        case.say(f'cannot run: {error}')
        return 2
    finally:
        if '--keep' in sys.argv:
            for daemon in case.daemons:
                print(daemon.log.read_text()[-6000:])
        case.close()


if __name__ == '__main__':
    sys.exit(main())
