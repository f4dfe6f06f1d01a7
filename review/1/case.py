"""Streams that end with their channel, at a replica that is emptied.

Six model replicas answer streams with neither a length nor chunks. One of
them reports `draining`, as before a planned shutdown. The daemons move its
streams to the others: the replica stops each run at an event, and closes
its channel. Each client has to get every event, or a stream that is visibly
broken off.
"""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'standins'))


from harness import run_case  # noqa: E402
from streams import ask, busiest, judge, paths, start_replicas  # noqa: E402

STREAMS = 12


async def send_and_empty(case):
    """Send the streams, and empty one replica meanwhile."""
    asked = [
        asyncio.create_task(ask(case, case.daemons[each % 3], each, path))
        for each, path in enumerate(paths(STREAMS))
    ]
    await asyncio.sleep(0.5)
    if case.has_trouble:
        leaving = busiest(case)
        case.say(f'{leaving} reports draining')
        case.empty_replica(leaving)
        await asyncio.sleep(3.0)
        case.say(f'{leaving} exits')
        case.replicas[leaving].terminate()
        await asyncio.sleep(1.0)
        case.put('servers', leaving, None)
    return await asyncio.gather(*asked)


def play(case):
    """Play the case; return the exit status."""
    case.start_platform()
    start_replicas(case)
    case.put_config()
    case.start_daemons(3)
    return judge(case, asyncio.run(send_and_empty(case)))


if __name__ == '__main__':
    sys.exit(run_case(FOLDER, play))
