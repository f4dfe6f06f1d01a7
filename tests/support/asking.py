"""Callers that ask the daemons of a site in turn."""

import anyio

from tests.support import crashes


def of_service(site, path):
    """Return the endpoints of the service that serves a path."""
    service = 'llm' if path in crashes.ENGINE_PATHS else 'app'
    return [
        replica
        for replica in site.replicas_by_id.values()
        if replica.service == service
    ]


async def ask(site, path, *, for_s, per_s=20.0, content='', daemons=None):
    """Send requests to the daemons in turn; return their answers."""
    caller, answers = site.caller(), []
    daemons = daemons or range(len(site.daemons))

    async def send(number):
        target = f'{path}{content}{number}'
        place = daemons[number % len(daemons)]
        answers.append(await crashes.send(site, caller, place, target))

    async with anyio.create_task_group() as tasks:
        for number in range(int(for_s * per_s)):
            tasks.start_soon(send, number)
            await anyio.sleep(1 / per_s)
    return answers
