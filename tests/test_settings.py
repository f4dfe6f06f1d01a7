"""Settings files and configurations that are wrong in any way."""

import io
import pathlib
import tempfile
import unittest

import yaml
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.context import Environment
from mimosamux_daemon.control.configuration_models import parse_configuration
from mimosamux_daemon.core import main
from mimosamux_daemon.errors import InvalidConfiguration, InvalidSettings
from mimosamux_daemon.gateway.settings import parse_gateway_settings
from mimosamux_daemon.model_program import find_command
from mimosamux_daemon.settings import Settings, parse_settings
from mimosamux_daemon.status import ExitStatus
from mimosamux_standins.site.local import gateway_settings

from tests.support.examples import EMBEDDED_SETTINGS

GATEWAY = gateway_settings(
    'edge-1',
    'north',
    store='127.0.0.1:1',
    cloud='127.0.0.1:2',
    ports=[f'127.0.0.1:{port}' for port in range(3, 8)],
)
VALID = yaml.safe_load(EMBEDDED_SETTINGS)
scalars = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(10**12), 10**12),
    st.floats(),
    st.text(max_size=20),
)
values = st.recursive(
    scalars,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(st.text(max_size=8), inner, max_size=3),
    ),
    max_leaves=8,
)


class TestSettings(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.sampled_from([*VALID, 'unknown_field']), values)
    def test_any_value_in_a_field_is_taken_or_named(self, field, value):
        """An operator writes nonsense into one field of the file.

        A daemon that started all the same, or ended in a traceback, would
        leave them without a hint of what to mend.
        """
        text = yaml.safe_dump({**VALID, field: value}, allow_unicode=True)
        try:
            self.assertIsInstance(parse_settings(text), Settings)
        except InvalidSettings as error:
            self.assertTrue(error.path)
            self.assertTrue(error.problem)

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(st.text(max_size=60))
    def test_any_text_is_taken_or_refused_with_a_reason(self, text):
        with self.assertRaises(InvalidSettings):
            parse_settings(text)

    # Guards against limits of callers that are endless, or that end a daemon.
    def test_a_limit_of_callers_that_cannot_be_is_named(self):
        for field, value in (
            ('memory_mb', -1),
            ('memory_mb', float('inf')),
            ('memory_mb', float('nan')),
            ('descriptors', -1),
            ('descriptors', 0.5),
            ('body_timeout_s', 0),
            ('body_timeout_s', float('inf')),
        ):
            for text, parse in (
                (VALID, parse_settings),
                (GATEWAY, parse_gateway_settings),
            ):
                with self.subTest(field=field, value=value, parse=parse):
                    with self.assertRaises(InvalidSettings) as caught:
                        parse(yaml.safe_dump({**text, field: value}))
                    self.assertIn(field, caught.exception.path)

    # Guards against a daemon that ends where a template's value is absent.
    def test_a_limit_without_a_value_has_its_default(self):
        for valid, parse in (
            (VALID, parse_settings),
            (GATEWAY, parse_gateway_settings),
        ):
            unset = dict.fromkeys(
                ('memory_mb', 'descriptors', 'body_timeout_s')
            )
            named = parse(yaml.safe_dump({**valid, **unset}))
            self.assertEqual(named, parse(yaml.safe_dump(valid)))

    def test_a_field_that_is_unknown_is_named_without_a_value_too(self):
        for valid, parse in (
            (VALID, parse_settings),
            (GATEWAY, parse_gateway_settings),
        ):
            with self.assertRaises(InvalidSettings) as caught:
                parse(yaml.safe_dump({**valid, 'prot': None}))
            self.assertEqual(caught.exception.path, 'prot')

    def test_a_field_that_is_unknown_is_named(self):
        with self.assertRaises(InvalidSettings) as caught:
            parse_settings(EMBEDDED_SETTINGS + '\nprot: 80\n')
        self.assertEqual(caught.exception.path, 'prot')


class TestServe(unittest.TestCase):
    def test_a_wrong_first_configuration_is_told_before_the_start(self):
        """A settings file has a class without a target.

        A daemon that started with it would wait for another configuration,
        ready for nothing, and say so only in its log.
        """
        text = EMBEDDED_SETTINGS.replace('first_token_s: 5.0', 'priority: 1')
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / 'settings.yaml'
            path.write_text(text)
            env = Environment(stdout=io.StringIO(), stderr=io.StringIO())
            status = main(['serve', '--settings', str(path)], env)
        self.assertEqual(status, ExitStatus.INVALID_INPUT)
        self.assertIn('classes.draft.first_token_s', env.stderr.getvalue())


class TestPrintedCommand(unittest.TestCase):
    def test_the_command_beside_the_program_is_named_with_its_path(self):
        with tempfile.TemporaryDirectory() as folder:
            beside = pathlib.Path(folder) / 'mimosamux'
            env = Environment(program=str(beside) + 'd')
            self.assertEqual(find_command(env), 'mimosamux')
            beside.touch()
            self.assertEqual(find_command(env), str(beside))


class TestConfiguration(unittest.TestCase):
    @settings(max_examples=200, derandomize=True, deadline=None)
    @given(st.sampled_from([*VALID['configuration'], 'unknown']), values)
    def test_any_section_is_taken_or_the_wrong_field_is_named(
        self, section, value
    ):
        document = {**VALID['configuration'], section: value}
        try:
            parse_configuration(document, version=1)
        except InvalidConfiguration as error:
            self.assertTrue(error.path)
