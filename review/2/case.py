"""Streams go on at another software version after all daemons were killed.

The replicas of a service are replaced by those of the next version, half of
them at a time. While the last ones of the first version still serve, with
their entries removed, all daemons are killed and started again. Clients take
up the streams that were cut. No stream may hold events of both versions.
"""

import asyncio
import json
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))

import signal  # noqa: E402

from harness import BROKEN, HELD, NOT_RUN, ZONES, run_case  # noqa: E402
from replica import event  # noqa: E402
from wire import exchange  # noqa: E402

EVENTS = 76
GAP_S = 0.05
STREAMS = 16
LIMIT_S = 15.0
DOWN_S = 0.5
SERVES_ON_S = 2.5
"""How long a replica serves on without an entry: drainTimeoutMs is 2 s."""
ALLOWED = 2
"""Streams that may hold events of two versions, by the rule."""


class Stream:
    """One stream of a client, over its attempts."""

    def __init__(self, case, number):
        self.case = case
        self.number = number
        self.id = f'{int(case.began_at):x}{number:04x}'
        self.events = {}
        """Number of events by the attempt that brought them."""
        self.is_complete = False
        self.addresses = [each.entry for each in case.daemons]

    async def run(self):
        """Ask for the stream, and take it up again if it breaks off."""
        until = time.monotonic() + LIMIT_S
        answer = await self.ask(self.id, until)
        tries = 0
        while not self.is_complete and self.events:
            if time.monotonic() > until:
                return
            wait_s = float(answer.headers.get('retry-after', 0.0))
            await asyncio.sleep(min(wait_s, 5.0))
            if await self.resolve():
                tries += 1
                answer = await self.ask(f'{self.id}{tries:02x}', until)
            else:
                await asyncio.sleep(0.2)

    async def resolve(self):
        """Ask the daemons where to connect; return whether one says so.

        All addresses of the answer before have failed by then.
        """
        for daemon in self.case.daemons:
            answer = await exchange(
                daemon.directory,
                'GET',
                '/api/resolution?name=site.example'
                f'&region=malardalen&zone={ZONES[0]}',
                {'Host': 'site.example'},
                wait_s=1.0,
            )
            if answer.status == 200 and answer.is_complete:
                self.addresses = json.loads(answer.body).get('addresses', [])
                if self.addresses:
                    return True
        return False

    async def ask(self, request, until):
        """Make one attempt; it goes on behind the last whole event."""
        case = self.case
        address = random.choice(self.addresses)
        left_s = until - time.monotonic()
        behind = sum(self.events.values())
        headers = {
            'Host': 'site.example',
            'X-Attempt-Id': request,
            'X-Key': 'key-school',
            'X-Model': 'm',
            'X-Token-Usage': '1460,380',
            'X-Prompt-Prefix': f'{self.id}:1460',
            'X-Deadline-Ms': str(int(left_s * 1000)),
        }
        if behind:
            headers['Last-Event-Id'] = str(behind)
            headers['Resumes'] = next(iter(self.events))
        path = f'/question/{self.number}'
        answer = await exchange(
            address, 'POST', path, headers, b'{}', wait_s=left_s
        )
        got = answer.body.count(b'\n\n') if answer.status == 200 else 0
        expected = b''.join(
            event(self.id_of_text(behind, request), each)
            for each in range(behind + 1, behind + got + 1)
        )
        if got:
            self.events[request] = got
        is_whole = answer.is_complete and behind + got == EVENTS
        self.is_complete = answer.status == 200 and is_whole
        case.say(
            f'{request} behind {behind}: {answer.status}, {got} events '
            f'{"complete" if answer.is_complete else answer.problem}'
            f'{"" if answer.body.startswith(expected) else " (mixed)"}'
        )
        return answer

    def id_of_text(self, behind, request):
        """Return the request whose text the events of an attempt have."""
        return request if behind else self.id


async def replace(case, old, new):
    """Start a replica of the next version, and take an old one away."""
    case.start_replica(
        new,
        'llm',
        ZONES[0],
        version='v2',
        slots=64,
        events=EVENTS,
        gap_s=GAP_S,
    )
    await asyncio.sleep(0.3)
    case.say(f'{new} (v2) stands for {old} (v1), whose entry is removed')
    case.empty_replica(old, reports=False)


async def release_and_kill(case):
    """Replace the replicas half by half, and kill the daemons meanwhile."""
    await replace(case, 'i-0001', 'i-0003')
    await asyncio.sleep(SERVES_ON_S)
    case.replicas['i-0001'].terminate()
    streams = [Stream(case, each) for each in range(STREAMS)]
    running = [asyncio.create_task(each.run()) for each in streams]
    await asyncio.sleep(0.5)
    await replace(case, 'i-0002', 'i-0004')
    await asyncio.sleep(0.3)
    if case.has_trouble:
        await kill_all(case)
    await asyncio.gather(*running)
    return streams


async def kill_all(case):
    """Kill all daemons, and start them again half a second later."""
    killed = list(case.daemons)
    for daemon in killed:
        case.signal(daemon, signal.SIGKILL)
    for daemon in killed:
        daemon.wait()
    case.daemons.clear()
    await asyncio.sleep(DOWN_S)
    for daemon in killed:
        case.launch_daemon(daemon.number, ports=daemon.ports)
    case.say('all daemons were started again')


def find_versions(case, stream):
    """Return the versions whose events a stream holds."""
    by_request = {}
    for id_, replica in case.replicas.items():
        for entry in case.events_of(id_):
            if entry['what'] == 'run':
                by_request[entry['request']] = replica.entry['version']
    return {by_request[request] for request in stream.events}


def play(case):
    """Play the case; return its result."""
    case.start_platform()
    for number in (1, 2):
        case.start_replica(
            f'i-000{number}',
            'llm',
            ZONES[1],
            slots=64,
            events=EVENTS,
            gap_s=GAP_S,
        )
    case.put_config()
    case.start_daemons(3)
    streams = asyncio.run(release_and_kill(case))
    case.say_replica_logs()
    versions = [find_versions(case, stream) for stream in streams]
    mixed = sum(len(each) > 1 for each in versions)
    whole = sum(stream.is_complete for stream in streams)
    case.say(
        f'{mixed} of {STREAMS} streams hold events of two versions, '
        f'{whole} are complete'
    )
    if not case.has_trouble and whole != STREAMS:
        return NOT_RUN
    return BROKEN if mixed > ALLOWED else HELD


if __name__ == '__main__':
    sys.exit(run_case(FOLDER, play))
