"""Input at the border of a gateway: checked, and named where it is wrong."""

import unittest
from typing import Annotated

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.decoding import convert_settings, decode_json
from mimosamux_daemon.errors import InvalidConfiguration, InvalidSettings


class Row(msgspec.Struct, frozen=True, kw_only=True):
    size: Annotated[int, msgspec.Meta(gt=0)]


class Page(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    rows: tuple[Row, ...] = ()
    by_name: dict[str, Row] = {}


class TestDecoding(unittest.TestCase):
    def test_wrong_field_is_named_by_its_path(self):
        for data, path in (
            (b'{"rows": [{"size": 1}, {"size": "2"}]}', 'rows.1.size'),
            (b'{"rows": [{"size": 0}]}', 'rows.0.size'),
            (b'{"rows": [{}]}', 'rows.0.size'),
            (b'{"rows": 1}', 'rows'),
            (b'{"row": []}', 'row'),
            (b'{"by_name": {"a": {"size": true}}}', 'by_name.size'),
            (b'[]', '$'),
            (b'{"rows": ', '$'),
            (b'\xff', '$'),
            (b'', '$'),
        ):
            with (
                self.subTest(data=data),
                self.assertRaises(InvalidConfiguration) as caught,
            ):
                decode_json(data, Page)
            self.assertEqual(caught.exception.path, path)

    def test_input_that_is_nested_too_deep_is_an_error_like_any_other(self):
        """Someone writes a row of a hundred thousand open brackets."""
        with self.assertRaises(InvalidConfiguration):
            decode_json(b'{"rows": ' + b'[' * 100_000, Page)

    def test_number_that_yaml_takes_for_text_is_a_number(self):
        found = convert_settings({'rows': [{'size': '2'}]}, Page)
        self.assertEqual(found.rows[0].size, 2)

    def test_unknown_setting_is_named(self):
        with self.assertRaises(InvalidSettings) as caught:
            convert_settings({'rows': [], 'prot': 1}, Page)
        self.assertEqual(caught.exception.path, 'prot')

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=40))
    def test_any_bytes_are_a_model_or_a_clear_error(self, data):
        try:
            found = decode_json(data, Page)
        except InvalidConfiguration as error:
            self.assertTrue(error.path)
        else:
            self.assertIsInstance(found, Page)
