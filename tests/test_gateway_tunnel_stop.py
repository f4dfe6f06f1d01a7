"""Daemons that stop while others reach endpoints through them."""

import re
import unittest
from collections import Counter

import anyio
from mimosamux_standins.site import Framing, ReplicaSpeed

from tests.support import crashes
from tests.support.clock import run_paused
from tests.support.platform_site import Partition, open_site

TUNNELS = r'tunnels_total{result="(\w+)",side="(\w+)"} (\d+)'
GRACE_S = 8.0
FOUND_OUT_S = 3.0
"""Time in which a daemon that is cut off has found its ways."""


async def cut_off(site, number, partition=Partition.HANGS):
    """Cut a daemon off from the endpoints, and let it find its ways."""
    site.partition_from_endpoints(number, partition)
    caller, until = site.caller(), anyio.current_time() + FOUND_OUT_S
    while anyio.current_time() < until:
        for path in ('/slip/', '/draft/'):
            await crashes.send(site, caller, number, f'{path}warm')


def count_tunnels(handle):
    """Return a daemon's counts of tunnels by side and result."""
    metrics = handle.daemon.parts.metrics.render()[0].decode()
    return Counter(
        {
            (side, result): int(count)
            for result, side, count in re.findall(TUNNELS, metrics)
        }
    )


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


async def open_tunnel(site, handle):
    """Open a tunnel to some endpoint as a daemon of its own would."""
    address = next(iter(site.replicas_by_address)).encode()
    network = site.network.at('10.250.0.2')
    tunnel = await network.connect(handle.daemon.settings.place.tunnel)
    await tunnel.send(b'CONNECT %s HTTP/1.1\r\nHost: x\r\n\r\n' % address)
    await tunnel.receive()
    return tunnel


async def stop_under_streams(site, *, number=1, count=3):
    """Stop a daemon while another has streams through it.

    Return the answers, and the time that the stop took.
    """
    caller, answers = site.caller(patience_s=14.0), []

    async def send():
        answers.extend(await send_together(site, caller, count))

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send)
        await anyio.sleep(0.3)
        began_at = anyio.current_time()
        site.daemons[number].daemon.stop()
        await site.daemons[number].ended.wait()
        took_s = anyio.current_time() - began_at
    return answers, took_s


class TestStopOfAPeer(unittest.TestCase):
    # Guards against a stop that takes a pause in a stream for its end.
    def test_stream_with_pauses_is_not_cut(self):
        async def check():
            async with open_site(daemons=2) as site:
                await cut_off(site, 0)
                set_speed(site, event_s=0.5, events=10)
                return await stop_under_streams(site)

        answers, took_s = run_paused(check)
        self.assertEqual([each.status for each in answers], [200] * 3)
        self.assertEqual([each.problem for each in answers], [''] * 3)
        self.assertLess(took_s, GRACE_S)

    # Guards against a cut answer without a length that looks complete.
    def test_end_of_the_stop_is_no_end_of_an_answer(self):
        async def check():
            async with open_site(daemons=2) as site:
                await cut_off(site, 0)
                set_speed(site, event_s=0.5, events=22)
                for replica in site.replicas_by_id.values():
                    replica.framing = Framing.UNFRAMED
                return await stop_under_streams(site)

        answers, _ = run_paused(check)
        self.assertEqual([each.is_whole for each in answers], [False] * 3)

    # Guards against a cut tunnel that is taken for a crash of the endpoint.
    def test_cut_tunnels_make_no_endpoint_seem_crashed(self):
        async def check(partition):
            async with open_site(daemons=2) as site:
                await cut_off(site, 0, partition)
                set_speed(site, event_s=0.5, events=25)
                answers, _ = await stop_under_streams(site)
                await anyio.sleep(12.0)
                parts = site.daemons[0].daemon.parts
                return answers, parts.quarantine.suspects.by_content

        for partition in Partition:
            with self.subTest(partition=partition.name):
                answers, suspects = run_paused(check, partition)
                self.assertEqual(
                    [each.is_whole for each in answers], [False] * 3
                )
                self.assertEqual(suspects, {})

    # Guards against a stop that waits for tunnels nobody uses.
    def test_idle_tunnels_do_not_hold_up_the_stop(self):
        async def check():
            async with open_site(daemons=2) as site:
                await cut_off(site, 0)
                return await stop_under_streams(site, count=0)

        _, took_s = run_paused(check)
        self.assertLess(took_s, 3.0)

    # Guards against a stop without end for a peer that keeps its tunnel.
    def test_tunnel_that_is_never_closed_ends_with_the_stop(self):
        async def check():
            async with open_site(daemons=1) as site:
                tunnel = await open_tunnel(site, site.daemons[0])
                _, took_s = await stop_under_streams(site, number=0, count=0)
                return took_s, tunnel.has_ended()

        took_s, has_ended = run_paused(check)
        self.assertLess(took_s, GRACE_S)
        self.assertTrue(has_ended)

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

    # Guards against a cut tunnel that neither daemon's log or metrics show.
    def test_both_daemons_count_what_the_stop_cut(self):
        async def check():
            async with open_site(daemons=2) as site:
                await cut_off(site, 0)
                set_speed(site, event_s=0.5, events=25)
                await stop_under_streams(site)
                return [count_tunnels(each) for each in site.daemons]

        asked, served = run_paused(check)
        self.assertEqual(asked['asked', 'cut'], 3)
        self.assertEqual(served['served', 'cut'], 3)

    # Guards against tunnels that a stopping peer refused, counted as opened.
    def test_refused_tunnels_are_counted_as_refused(self):
        async def check():
            async with open_site() as site:
                site.daemons[1].daemon._tunnels.drain()
                await cut_off(site, 0)
                return [count_tunnels(each) for each in site.daemons]

        asked, draining, other = run_paused(check)
        refused = draining['served', 'service_unavailable']
        self.assertGreater(refused, 0)
        self.assertEqual(asked['asked', 'refused'], refused)
        self.assertEqual(asked['asked', 'opened'], other['served', 'opened'])


if __name__ == '__main__':
    unittest.main()
