"""Daemons that stop while others reach endpoints through them."""

import unittest

import anyio
from mimosamux_standins.site import ReplicaSpeed

from tests.support import crashes
from tests.support.clock import run_paused
from tests.support.platform_site import Partition, open_site

FOUND_OUT_S = 3.0
"""Time in which a daemon that is cut off has found its ways."""


async def cut_off(site, number):
    """Cut a daemon off from the endpoints, and let it find its ways."""
    site.partition_from_endpoints(number, Partition.HANGS)
    caller, until = site.caller(), anyio.current_time() + FOUND_OUT_S
    while anyio.current_time() < until:
        for path in ('/slip/', '/draft/'):
            await crashes.send(site, caller, number, f'{path}warm')


def set_speed(site, **fields):
    for replica in site.replicas_by_id.values():
        replica.speed = ReplicaSpeed(**fields)


async def send_together(site, caller, count):
    """Send streams to the cut-off daemon; return the answers."""
    answers = []

    async def send(number):
        target = f'/draft/slow-{number}'
        answers.append(await crashes.send(site, caller, 0, target))

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(send, number)
    return answers


async def kept_through_both(site):
    """Leave idle tunnels through each peer at the cut-off daemon."""
    for _ in range(4):
        await send_together(site, site.caller(), 15)
    for handle in site.daemons[1:]:
        assert handle.daemon._tunnels.open_tunnels


class TestStopOfAPeer(unittest.TestCase):
    # Guards against a request on a kept tunnel that the stop cuts.
    def test_request_behind_the_signal_takes_another_way(self):
        async def check():
            async with open_site() as site:
                await cut_off(site, 0)
                await kept_through_both(site)
                set_speed(site, event_s=0.5, events=20)
                site.daemons[1].daemon.stop()
                await anyio.sleep(0.1)
                caller = site.caller(patience_s=14.0)
                return await send_together(site, caller, 15)

        answers = run_paused(check)
        self.assertEqual([each.status for each in answers], [200] * 15)
        self.assertEqual([each.problem for each in answers], [''] * 15)


if __name__ == '__main__':
    unittest.main()
