"""The whole path on the stand-in platform: each kind of request."""

import unittest

from mimosamux_standins.site.replica import render_event

from tests.support.clock import run_paused
from tests.support.platform_site import open_site

PROMPT = (
    (b'X-Model', b'm'),
    (b'X-Token-Usage', b'1460,80'),
    (b'X-Prompt-Prefix', b'5c1e07a2:800,91bd3f06:410,e4402b7d:250'),
)


class TestPlatformPath(unittest.TestCase):
    def test_each_kind_of_request_is_answered_with_the_replicas_bytes(self):
        async def check():
            async with open_site() as site:
                caller = site.caller()
                entry = site.daemons[0].entry
                stream = await caller.send(
                    entry, '/draft/x?y=%2f', body=b'brief', headers=PROMPT
                )
                slip = await caller.send(entry, '/slip/1', body=b'slip')
                seats = await caller.send(entry, '/list/1', method='GET')
                return stream, slip, seats, site.runs()

        stream, slip, seats, runs = run_paused(check)
        events = b''.join(render_event(stream.id, n) for n in range(1, 7))
        self.assertEqual((stream.status, stream.body), (200, events))
        self.assertTrue(stream.is_whole)
        self.assertEqual((slip.status, seats.status), (200, 200))
        self.assertTrue(slip.body.startswith(f'done {slip.id} by'.encode()))
        self.assertEqual([run.target for run in runs][0], '/draft/x?y=%2f')
        self.assertEqual({run.tenant for run in runs}, {'school'})
        self.assertEqual(len(runs), 3)
