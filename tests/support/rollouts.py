"""Sites on which an operator brings in a new version of a service."""

from dataclasses import dataclass, field

import anyio
import orjson
from mimosamux_standins.site import Fault

from tests.support.clock import run_paused
from tests.support.crashes import PROMPT
from tests.support.platform_site import ZONES, open_site

PATIENCE_S = 10.0
SERVICE_BY_PATH = {
    '/draft/': 'llm',
    '/question/': 'llm',
    '/slip/': 'app',
    '/list/': 'app',
}


@dataclass(kw_only=True)
class RolloutSite:
    """A site, its operator, and what callers got."""

    site: object
    answers: list = field(default_factory=list)
    """Time, path, answer of each request."""
    new: list = field(default_factory=list)
    old: list = field(default_factory=list)

    def order(self, service, version, within_s=16.0, *, count=3, **fields):
        """Order a version; its replicas start beside the others."""
        document = {'service': service, 'to': version, 'durationS': within_s}
        self.site.store.put('op', f'rollout/{service}', document)
        self.old = [
            replica
            for replica in self.site.replicas_by_id.values()
            if replica.service == service
        ]
        self.site.tasks.start_soon(
            self._bring_in, service, version, count, fields
        )

    async def _bring_in(self, service, version, count, fields):
        await anyio.sleep(1.0)
        for number in range(count):
            replica = await self.site.add_replica(
                service, ZONES[number % 3], slots=8, version=version, **fields
            )
            self.new.append(replica)
        await self._wait_for_end(service)
        if self.state(service) == 'completed':
            for replica in self.old:
                self.site.crash_replica(replica)
                self.site.unlist_replica(replica)
        else:
            await anyio.sleep(2.0)
            for replica in self.new:
                self.site.drain_replica(replica)

    def status(self, service):
        """Return what the operator reads of an order."""
        row = self.site.store.get('status', f'rollout/{service}')
        return {} if row is None else orjson.loads(row)

    def state(self, service):
        return self.status(service).get('state')

    def spoil_new(self, fault):
        for replica in self.new:
            replica.fault = fault

    def trials(self):
        """Return how many requests have reached the new version."""
        return sum(len(replica.arrivals) for replica in self.new)

    async def ask(self, paths, *, for_s, every_s=0.05):
        """Send requests to the daemons in turn."""
        caller = self.site.caller(patience_s=PATIENCE_S)
        entries = [
            handle.entry for handle in self.site.daemons if handle is not None
        ]

        async def send(number, path):
            began_at = anyio.current_time()
            answer = await caller.send(
                entries[number % len(entries)],
                f'{path}{number}',
                headers=PROMPT if SERVICE_BY_PATH[path] == 'llm' else (),
            )
            self.answers.append((began_at, path, answer))

        async with anyio.create_task_group() as tasks:
            for number in range(int(for_s / every_s)):
                path = paths[number % len(paths)]
                tasks.start_soon(send, number, path)
                await anyio.sleep(every_s)

    async def wait_until_over(self, service, within_s):
        """Wait for the end of an order; return how long that took."""
        began_at = anyio.current_time()
        with anyio.move_on_after(within_s):
            await self._wait_for_end(service)
        return anyio.current_time() - began_at

    async def _wait_for_end(self, service):
        while True:
            if self.state(service) in ('completed', 'reverted'):
                return
            await anyio.sleep(0.05)

    def not_served(self, since=0.0):
        return [
            (at, path, answer.status)
            for at, path, answer in self.answers
            if at >= since and not (answer.status == 200 and answer.is_whole)
        ]


def play(check, **fields):
    """Run a check on a site of two versions, on a paused clock."""

    async def run():
        async with open_site(**fields) as site:
            return await check(RolloutSite(site=site))

    return run_paused(run)


async def bring_in(
    rollout, paths, *, service='llm', fault=Fault.NONE, **order
):
    """Order a version while callers ask, and wait until it is over."""
    rollout.order(service, 'v2', **order)
    await anyio.sleep(1.2)
    rollout.spoil_new(fault)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(lambda: rollout.ask(paths, for_s=20.0))
        return await rollout.wait_until_over(service, 20.0)
