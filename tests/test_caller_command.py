"""`mimosamux request`, `addresses` and `check`."""

import pathlib
import tempfile
import unittest
from contextlib import contextmanager
from unittest import mock

import httpx
from mimosamux_cli.addresses import EntryAddresses
from mimosamux_cli.caller import Answer, Caller
from mimosamux_cli.events import ServerSentEvent, read_events
from mimosamux_daemon.adapters.memory_engine import expected_token
from mimosamux_daemon.settings import parse_settings
from mimosamux_daemon.status import ExitStatus

from tests.support.examples import EMBEDDED_SETTINGS
from tests.support.program import mimosamux
from tests.support.running import running_daemon


class TestRequestCommand(unittest.TestCase):
    def test_prints_the_whole_answer(self):
        with running_daemon(parse_settings(EMBEDDED_SETTINGS)) as daemon:
            result = mimosamux(
                'request',
                'plan a trip',
                '--max-tokens=4',
                '--work-class=draft',
                MIMOSAMUX_ENTRY=daemon.address,
                MIMOSAMUX_KEY='demo-key',
            )
        self.assertEqual(result.status, ExitStatus.SUCCESS, result.err)
        expected = ''.join(
            expected_token('user: plan a trip', offset) for offset in range(4)
        )
        self.assertEqual(result.out, expected + '\n')

    def test_goes_on_at_another_daemon_when_the_first_is_down(self):
        """An entry VM has been reclaimed and its address is stale.

        The caller sees its answer all the same, a little later.
        """
        with running_daemon(parse_settings(EMBEDDED_SETTINGS)) as daemon:
            result = mimosamux(
                'request',
                'a b',
                '--max-tokens=2',
                '--work-class=draft',
                MIMOSAMUX_ENTRY=f'127.0.0.1:1,{daemon.address}',
                MIMOSAMUX_KEY='demo-key',
            )
        self.assertEqual(result.status, ExitStatus.SUCCESS, result.err)

    def test_unknown_key_is_refused(self):
        with running_daemon(parse_settings(EMBEDDED_SETTINGS)) as daemon:
            result = mimosamux(
                'request',
                'a',
                '--work-class=draft',
                MIMOSAMUX_ENTRY=daemon.address,
                MIMOSAMUX_KEY='wrong',
            )
        self.assertEqual(result.status, ExitStatus.REFUSED)
        self.assertIn('not run', result.err)

    def test_nothing_reachable_has_its_own_exit_status(self):
        result = mimosamux('request', 'a', MIMOSAMUX_ENTRY='127.0.0.1:1')
        self.assertEqual(result.status, ExitStatus.UNAVAILABLE)


class ChangingAddresses:
    """Names a stopping daemon until the answer is asked for anew."""

    def __init__(self) -> None:
        self.urls = ('http://stopping',)

    def current(self):
        return self.urls

    def expire(self):
        self.urls = ('http://ready',)


@contextmanager
def answer(method, url, **request):
    """Answer as a stopping daemon or as a ready one."""
    if url.startswith('http://stopping'):
        body = {'error': {'code': 'stopping'}, 'not_run': True}
        yield httpx.Response(503, headers={'Retry-After': '0'}, json=body)
    else:
        yield httpx.Response(200, text='data: [DONE]\n\n')


class TestStoppingDaemon(unittest.TestCase):
    def test_caller_asks_for_another_daemon(self):
        # Guards against all attempts going to a daemon that refuses at once.
        caller = Caller(
            addresses=ChangingAddresses(), headers={}, sleep=lambda s: None
        )
        with mock.patch('httpx.stream', answer):
            self.assertTrue(caller.complete({}).is_complete)


class TestCallCommand(unittest.TestCase):
    def call(self, daemon, *args):
        return mimosamux(
            'call',
            'echo',
            'slips',
            '--data=consent slip',
            *args,
            MIMOSAMUX_ENTRY=f'127.0.0.1:1,{daemon.address}',
            MIMOSAMUX_KEY='demo-key',
        )

    def test_the_same_key_gives_the_same_answer(self):
        with running_daemon(parse_settings(EMBEDDED_SETTINGS)) as daemon:
            first = self.call(daemon, '--key=slip-1')
            again = self.call(daemon, '--key=slip-1')
            other = self.call(daemon)
        self.assertEqual(first.out, 'run 1: consent slip\n', first.err)
        self.assertEqual(again.out, first.out)
        self.assertEqual(other.out, 'run 2: consent slip\n')

    def test_a_key_with_another_body_is_refused(self):
        with running_daemon(parse_settings(EMBEDDED_SETTINGS)) as daemon:
            self.call(daemon, '--key=slip-1')
            result = self.call(daemon, '--key=slip-1', '--data=other')
        self.assertEqual(result.status, ExitStatus.REFUSED)


class TestAnswer(unittest.TestCase):
    def test_an_answer_that_starts_afresh_is_not_mixed_with_the_old(self):
        """The daemon died suddenly and another ran the request again.

        A caller who joined both texts would read the beginning twice.
        """
        answer = Answer()
        chunk = '{"choices": [{"delta": {"content": "%s"}}]}'
        for identity, text in (('r1:1', 'old'), ('r2:1', 'new')):
            answer.add_event(
                ServerSentEvent(name='message', id=identity, data=chunk % text)
            )
        self.assertEqual(answer.text, 'new')

    def test_half_an_event_at_the_end_is_dropped(self):
        events = list(read_events(['id: a:1', 'data: x', '', 'data: half']))
        self.assertEqual([event.data for event in events], ['x'])


class TestEntryAddresses(unittest.TestCase):
    def test_the_answer_is_kept_for_its_time_to_live(self):
        now = [0.0]
        asked = []
        addresses = EntryAddresses(
            seeds=('a:1',), headers={}, now=lambda: now[0]
        )
        addresses._fetch_from = lambda url: (
            asked.append(url) or (['b:2'], 30.0)
        )
        addresses.current()
        now[0] = 29.0
        self.assertEqual(addresses.current(), ('http://b:2',))
        self.assertEqual(len(asked), 1)
        now[0] = 30.0
        addresses.current()
        self.assertEqual(len(asked), 2)


class TestCheckCommand(unittest.TestCase):
    def check(self, text, *args):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'file.yaml'
            path.write_text(text)
            return mimosamux('check', str(path), *args)

    def test_valid_settings(self):
        result = self.check(EMBEDDED_SETTINGS)
        self.assertEqual(result.status, ExitStatus.SUCCESS, result.err)

    def test_wrong_settings_name_the_field(self):
        result = self.check(EMBEDDED_SETTINGS.replace('port: 0', 'port: x'))
        self.assertEqual(result.status, ExitStatus.INVALID_INPUT)
        self.assertIn('port', result.err)

    def test_wrong_configuration_names_the_field(self):
        text = 'classes: {draft: {first_token_s: -1}}'
        result = self.check(text, '--kind=configuration')
        self.assertEqual(result.status, ExitStatus.INVALID_INPUT)
        self.assertIn('classes.draft.first_token_s', result.err)
