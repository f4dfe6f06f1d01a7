"""A failed request is explained from the logs of the daemons alone."""

import logging
import pathlib
import tempfile
import unittest
from datetime import UTC, datetime, timedelta

import anyio
import structlog
from mimosamux_daemon.status import ExitStatus
from mimosamux_standins.site import Fault, ReplicaSpeed
from structlog.processors import LogfmtRenderer
from structlog.testing import capture_logs

from tests.support.clock import run_paused
from tests.support.crashes import CrashingSite, crash_thrice, send
from tests.support.memory_network import machine_of
from tests.support.platform_site import STORE, open_site
from tests.support.program import mimosamux

START = datetime(2026, 9, 21, 8, tzinfo=UTC)
PROMPT = (
    (b'X-Model', b'm'),
    (b'X-Token-Usage', b'1460,80'),
    (b'X-Prompt-Prefix', b'5c1e07a2:800,91bd3f06:410,e4402b7d:250'),
)
render = LogfmtRenderer(
    key_order=['at', 'level', 'event'], drop_missing=True, bool_as_flag=False
)


def render_log(events):
    """Return events as lines, a millisecond apart."""
    return ''.join(
        render(
            None,
            '',
            {
                **{k: v for k, v in event.items() if k != 'log_level'},
                'at': (START + timedelta(milliseconds=number)).isoformat(),
                'level': event['log_level'],
            },
        )
        + '\n'
        for number, event in enumerate(events)
    )


async def send_to_stopping_daemon(behind_s):
    """Send a slow draft to a daemon that stops; return its request id.

    Its connection was open before the signal: a body that comes late.
    """
    async with open_site(daemons=2) as site:
        for replica in site.replicas_by_id.values():
            replica.speed = ReplicaSpeed(event_s=1.0, events=14)
        entry = site.daemons[0].entry
        network = site.network.at('10.250.0.1')
        connection = await network.connect(entry)
        await connection.send(
            b'POST /draft/1 HTTP/1.1\r\nHost: site.example\r\n'
            b'X-Key: key-school\r\nX-Attempt-Id: draft-1\r\n'
            b'X-Deadline-Ms: 15000\r\nContent-Length: 5\r\n'
            b'X-Model: m\r\nX-Token-Usage: 1460,80\r\n\r\n'
        )
        await anyio.sleep(0.1)
        site.daemons[0].daemon.stop()
        await anyio.sleep(behind_s)
        await connection.send(b'brief')
        await site.daemons[0].ended.wait()
    return 'draft-1'


class TestExplaining(unittest.TestCase):
    def setUp(self):
        before = structlog.get_config()
        self.addCleanup(structlog.configure, **before)
        wrapper = structlog.make_filtering_bound_logger(logging.INFO)
        structlog.configure(wrapper_class=wrapper)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def explain(self, request, *texts):
        """Return what `mimosamux explain` says, given the text of logs."""
        paths = []
        for number, text in enumerate(texts):
            path = self.folder / f'edge-{number}.log'
            path.write_text(text)
            paths.append(str(path))
        return mimosamux('explain', request, *paths)

    def explain_day(self, check):
        """Play a scenario, then explain the request that it names."""
        with capture_logs() as events:
            request = run_paused(check)
        result = self.explain(request, render_log(events))
        self.assertEqual(result.status, ExitStatus.SUCCESS, result.err)
        return result.out.splitlines()

    def test_refused_request_is_traced_to_the_endpoints_that_left(self):
        """Every endpoint of a service is taken away, then a slip arrives.

        The parent is told to come back later; on-call wants to know why.
        """

        async def check():
            async with open_site(daemons=1) as site:
                for replica in list(site.replicas_by_id.values()):
                    if replica.service == 'app':
                        site.drain_replica(replica)
                await anyio.sleep(1)
                answer = await site.caller(patience_s=12.0).send(
                    site.daemons[0].entry, '/slip/1', body=b's'
                )
                return answer.id

        lines = self.explain_day(check)
        end = next(line for line in lines if 'event=request_ended' in line)
        self.assertIn('outcome=refused', end)
        self.assertIn('reason=no_endpoint', end)
        self.assertIn('sends=0', end)

    def test_late_request_is_traced_to_its_slow_endpoint(self):
        """All engines are slow to begin, so a question comes late."""

        async def check():
            async with open_site(daemons=1) as site:
                for replica in site.replicas_by_id.values():
                    if replica.service == 'llm':
                        replica.speed = ReplicaSpeed(token_s=3e-3)
                answer = await site.caller(patience_s=20.0).send(
                    site.daemons[0].entry,
                    '/question/1',
                    body=b'b',
                    headers=PROMPT,
                )
                return answer.id

        lines = self.explain_day(check)
        sent = next(line for line in lines if 'event=request_sent' in line)
        end = next(line for line in lines if 'event=request_ended' in line)
        self.assertRegex(sent, r'endpoint=i-\d+ ')
        self.assertRegex(sent, r'news_age_s=\d')
        took_s = float(end.split('took_s=')[1].split()[0])
        self.assertGreater(took_s, 2.0)

    # Guards against a resumed stream whose beginning nobody finds.
    def test_resumed_stream_is_traced_to_the_request_that_began_it(self):
        async def check():
            async with open_site(daemons=2, engines=1) as site:
                (engine,) = (
                    each
                    for each in site.replicas_by_id.values()
                    if each.service == 'llm'
                )
                engine.fault = Fault.CUT
                target, caller = '/question/1', site.caller()
                broken = await caller.send(
                    site.daemons[0].entry, target, headers=PROMPT
                )
                engine.fault = Fault.NONE
                answer = await caller.resume(
                    broken, site.daemons[1].entry, target, headers=PROMPT
                )
                return answer.id

        lines = self.explain_day(check)
        events = [line.split('event=')[1].split()[0] for line in lines]
        own = [each for each in events if each.startswith('request_')]
        self.assertEqual(own, ['request_sent', 'request_ended'] * 2)
        resumed = next(line for line in lines if 'stream_resumed' in line)
        self.assertIn('result=bound', resumed)
        self.assertIn('answered=1', resumed)

    # Guards against a refusal for a prompt part that nobody can look up.
    def test_request_that_is_held_for_a_part_is_traced_to_its_crashes(self):
        async def check():
            async with open_site(daemons=2, engines=6, apps=0) as site:
                crashing = CrashingSite(site=site, parts={'5c1e07a2'})
                crashing.arm()
                for number in range(6):
                    answer = await site.caller().send(
                        site.daemons[number % 2].entry,
                        f'/question/{number}',
                        headers=PROMPT,
                    )
                    await anyio.sleep(0.2)
                return answer.id

        lines = self.explain_day(check)
        held = [line for line in lines if 'event=content_held' in line]
        self.assertGreater(len(held), 0)
        self.assertIn('content=part-', held[0])
        self.assertIn('prompt part 5c1e07a2', lines[-1])

    def test_crashed_request_is_traced_to_what_explains_its_part(self):
        async def check():
            async with open_site(daemons=2, engines=6, apps=0) as site:
                crashing = CrashingSite(site=site, parts={'5c1e07a2'})
                crashing.arm()
                for number in range(2):
                    await anyio.sleep(0.3)
                    answer = await site.caller().send(
                        site.daemons[number].entry,
                        '/question/repeated',
                        headers=PROMPT,
                    )
                await anyio.sleep(0.5)
                return answer.id

        lines = self.explain_day(check)
        broken = next(line for line in lines if 'event=call_broken' in line)
        part = broken.split('parts=')[1].split(',')[0].split()[0]
        told = f'event=part_explained component=crash_exchange content={part}'
        line = next(line for line in lines if told in line)
        content = broken.split('content=')[1].split()[0]
        self.assertIn(f'crashes=3 explained_by={content}', line)

    def test_held_request_is_traced_to_the_crashes_under_it(self):
        async def check():
            async with open_site(daemons=2, apps=6) as site:
                crashing = CrashingSite(site=site, targets={'/list/bad'})
                crashing.arm()
                await crash_thrice(crashing, '/list/bad')
                await anyio.sleep(1.0)
                answer = await send(site, site.caller(), 1, '/list/bad')
                return answer.id

        lines = self.explain_day(check)
        end = next(line for line in lines if 'event=request_ended' in line)
        held = next(line for line in lines if 'event=content_held' in line)
        self.assertIn('reason=crashes_endpoints', end)
        content = end.split('content=')[1].split()[0]
        self.assertIn(f'content={content}', held)
        self.assertRegex(held, r'crashes=3 endpoints=i-\d+,i-\d+,i-\d+')

    # Guards against a stop that cuts a request without saying which.
    def test_request_that_a_stop_cuts_is_traced_to_the_signal(self):
        lines = self.explain_day(lambda: send_to_stopping_daemon(0.0))
        events = [line.split('event=')[1].split()[0] for line in lines]
        self.assertLess(events.index('leaving'), events.index('stop_is_over'))
        self.assertRegex(
            lines[-1], r'reason=stopping message=".* 7\.\d s behind the signal'
        )

    def test_request_that_a_stopping_daemon_refuses_is_traced_to_it(self):
        lines = self.explain_day(lambda: send_to_stopping_daemon(6.0))
        self.assertIn('event=leaving', ''.join(lines))
        self.assertRegex(lines[-1], r'sends=0 .*outcome=refused')
        self.assertRegex(lines[-1], r'message="the daemon stops in \d\.\d s')

    def test_broken_stream_is_traced_to_the_endpoint_that_cut_it(self):
        """The engine of a draft ends its connection within an event."""

        async def check():
            async with open_site(daemons=1) as site:
                for replica in site.replicas_by_id.values():
                    if replica.service == 'llm':
                        replica.fault = Fault.CUT
                answer = await site.caller(patience_s=20.0).send(
                    site.daemons[0].entry,
                    '/draft/1',
                    body=b'b',
                    headers=PROMPT,
                )
                return answer.id

        lines = self.explain_day(check)
        sent = next(line for line in lines if 'event=request_sent' in line)
        end = next(line for line in lines if 'event=request_ended' in line)
        self.assertIn('outcome=broken_off', end)
        endpoint = sent.split('endpoint=')[1].split()[0]
        self.assertRegex(endpoint, r'^i-\d+$')

    def test_lost_store_is_part_of_the_story(self):
        """A daemon loses the store while a request is in its hands."""

        async def check():
            async with open_site(daemons=1) as site:
                for replica in site.replicas_by_id.values():
                    replica.speed = ReplicaSpeed(work_s=4.0)
                caller = site.caller(patience_s=20.0)
                answers = []

                async def send():
                    entry = site.daemons[0].entry
                    answers.append(
                        await caller.send(entry, '/slip/1', body=b's')
                    )

                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(send)
                    await anyio.sleep(0.5)
                    machine = site.daemons[0].machine
                    site.network.cut(machine, machine_of(STORE))
                return answers[0].id

        lines = self.explain_day(check)
        self.assertTrue(any('event=feed_lost' in line for line in lines))

    def test_restored_store_is_part_of_the_story(self):
        # Guards against a story that hides what the daemon had to unlearn.
        async def check():
            async with open_site(daemons=1) as site:
                for replica in site.replicas_by_id.values():
                    replica.speed = ReplicaSpeed(work_s=4.0)
                caller = site.caller(patience_s=20.0)
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(
                        lambda: site.restore_store(copy_age_s=1.0)
                    )
                    answer = await caller.send(
                        site.daemons[0].entry, '/slip/1', body=b's'
                    )
                return answer.id

        lines = self.explain_day(check)
        self.assertTrue(any('event=store_era_began' in line for line in lines))

    def test_lines_of_several_daemons_come_in_order_and_strangers_stay_out(
        self,
    ):
        first = (
            'at=2026-09-21T08:00:01Z event=request_sent request=r1 '
            'endpoint=i-1\n'
            'at=2026-09-21T08:00:02Z event=endpoint_gone endpoint=i-1\n'
            'at=2026-09-21T08:00:02Z event=endpoint_gone endpoint=i-2\n'
            'at=2026-09-21T08:00:02Z event=request_sent request=r2 '
            'endpoint=i-1\n'
            'Traceback (most recent call last):\n'
        )
        second = (
            'at=2026-09-21T08:00:03Z event=request_ended request=r1 '
            'message="broken off: \\"gone\\""\n'
            'at=2026-09-21T08:00:00Z event=request_sent request=r1 '
            'endpoint=i-9\n'
        )
        lines = self.explain('r1', first, second).out.splitlines()
        self.assertEqual(len(lines), 4)
        self.assertIn('endpoint=i-9', lines[0])
        self.assertIn('endpoint_gone endpoint=i-1', lines[2])
        self.assertIn('edge-1.log: at=2026-09-21T08:00:03Z', lines[3])

    def test_unknown_request_and_missing_files_are_said_so(self):
        result = self.explain('r7', 'at=2026-09-21T08:00:01Z event=ready\n')
        self.assertEqual(result.status, ExitStatus.ERROR)
        self.assertIn('no line about request r7 in 1 events', result.err)
        self.assertIn('left_out', result.err)
        result = mimosamux('explain', 'r7')
        self.assertEqual(result.status, ExitStatus.USAGE)
        result = mimosamux('explain', 'r7', str(self.folder / 'none.log'))
        self.assertEqual(result.status, ExitStatus.ERROR)
        self.assertIn('none.log', result.err)
