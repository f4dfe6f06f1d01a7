"""`mimosamux config`, `status`, `audit` and `drain` against a daemon."""

import json
import pathlib
import tempfile
import unittest

from mimosamux_daemon.settings import parse_settings
from mimosamux_daemon.status import ExitStatus

from tests.support.examples import EMBEDDED_SETTINGS
from tests.support.program import mimosamux
from tests.support.running import running_daemon


class TestOperatorCommands(unittest.TestCase):
    def setUp(self):
        running = running_daemon(parse_settings(EMBEDDED_SETTINGS))
        self.daemon = running.__enter__()
        self.addCleanup(running.__exit__, None, None, None)

    def run_command(self, *args, token='demo-token'):
        return mimosamux(
            *args,
            MIMOSAMUX_ENTRY=f'127.0.0.1:1,{self.daemon.address}',
            MIMOSAMUX_TOKEN=token,
        )

    def expect(self, *args):
        result = self.run_command(*args)
        self.assertEqual(result.status, ExitStatus.SUCCESS, result.err)
        return result.out

    def write_file(self, text):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = pathlib.Path(folder.name) / 'site.yaml'
        path.write_text(text)
        return str(path)

    def test_a_value_that_is_set_is_in_force(self):
        out = self.expect(
            'config', 'set', 'classes.draft.first_token_s', '4.0'
        )
        self.assertEqual(out, 'accepted as version 2\n')
        self.assertIn('everywhere', self.expect('config', 'wait', '2'))
        self.assertIn('first_token_s: 4.0', self.expect('config', 'get'))

    def test_history_and_audit_tell_who_changed_what_and_why(self):
        self.expect(
            'config',
            'set',
            'classes.draft.first_token_s',
            '4.0',
            '--why=patient teachers',
        )
        for command in (('config', 'history'), ('audit',)):
            out = self.expect(*command)
            self.assertIn('patient teachers', out)
            self.assertIn('operator', out)

    def test_a_document_that_others_changed_meanwhile_is_a_conflict(self):
        """Two operators edit the same version and one applies first.

        The other would undo that change without ever having seen it.
        """
        document = self.expect('config', 'get')
        self.expect('config', 'set', 'classes.draft.first_token_s', '4.0')
        path = self.write_file(document)
        result = self.run_command(
            'config', 'apply', path, '--expected-version=1'
        )
        self.assertEqual(result.status, ExitStatus.CONFLICT)
        self.assertIn('classes.draft.first_token_s', result.err)

    def test_diff_shows_what_apply_would_change(self):
        document = self.expect('config', 'get')
        path = self.write_file(document.replace('5.0', '6.0'))
        out = self.expect('config', 'diff', path)
        self.assertIn('+    first_token_s: 6.0', out)
        self.expect('config', 'apply', path)
        self.assertEqual(self.expect('config', 'diff', path), '')

    def test_an_invalid_value_names_its_field(self):
        result = self.run_command(
            'config', 'set', 'classes.draft.first_token_s', '-1'
        )
        self.assertEqual(result.status, ExitStatus.INVALID_INPUT)
        self.assertIn('classes.draft.first_token_s', result.err)

    def test_an_unknown_token_is_turned_away(self):
        result = self.run_command('config', 'get', token='wrong')
        self.assertEqual(result.status, ExitStatus.ERROR)
        self.assertIn('token', result.err)

    def test_status_shows_daemons_endpoints_and_classes(self):
        status = json.loads(self.expect('status', '--json'))
        self.assertEqual(status['daemons'][0]['state'], 'ready')
        endpoints = {item['endpoint'] for item in status['endpoints']}
        self.assertEqual(endpoints, {'engine-1', 'service-1'})
        classes = {item['class'] for item in status['classes']}
        self.assertEqual(classes, {'draft', 'effect'})
        self.assertIn('embedded', self.expect('status'))

    def test_drain_of_an_unknown_daemon_is_an_error(self):
        result = self.run_command('drain', 'nobody')
        self.assertEqual(result.status, ExitStatus.ERROR)

    def test_drain_stops_the_daemon_gracefully(self):
        self.expect('drain', 'embedded')
        self.assertTrue(self.daemon.stopping.is_set())
