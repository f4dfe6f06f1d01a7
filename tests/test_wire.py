"""Messages as bytes, frames, and what malformed bytes do."""

import importlib
import pathlib
import pkgutil
import unittest

import anyio
import mimosamux_wire as wire
from hypothesis import given, settings
from hypothesis import strategies as st
from thrift.Thrift import TType

SCALARS = {
    TType.BOOL: 'bool',
    TType.I32: 'i32',
    TType.I64: 'i64',
    TType.DOUBLE: 'double',
}
PUSH = wire.ConfigurationPush(
    origin='riga-1',
    versions=[wire.CommittedVersion(version=7, row=b'\x00\xff')],
)


def idl_type(kind, argument):
    if kind == TType.STRING:
        return 'string' if argument == 'UTF8' else 'binary'
    if kind == TType.STRUCT:
        return argument[0].__name__
    if kind == TType.LIST:
        return f'list<{idl_type(argument[0], argument[1])}>'
    return SCALARS[kind]


def idl_struct(message_class):
    lines = [
        f'  {field[0]}: {idl_type(field[1], field[3])} {field[2]}'
        for field in message_class.thrift_spec
        if field
    ]
    return '\n'.join([f'struct {message_class.__name__} {{', *lines, '}'])


class Pipe:
    """A byte stream that holds what was written for reading."""

    def __init__(self, data):
        self.data = data

    async def receive(self, limit):
        if not self.data:
            raise anyio.EndOfStream
        chunk, self.data = self.data[:3], self.data[3:]
        return chunk


async def read_frames(data, key, limit=wire.MAX_FRAME_BYTES):
    reader = wire.FrameReader(stream=Pipe(data), key=key)
    seen = []
    while True:
        payload = await reader.receive(limit=limit)
        seen.append(payload)
        if isinstance(payload, wire.LinkClosed):
            return seen


class TestMessages(unittest.TestCase):
    def test_idl_states_every_struct_as_it_is_sent(self):
        for module in pkgutil.iter_modules(wire.__path__):
            importlib.import_module(f'mimosamux_wire.{module.name}')
        path = pathlib.Path(wire.__file__).with_name('mimosamux.thrift')
        text = path.read_text()
        for message_class in wire.MESSAGES_BY_NAME.values():
            if message_class.__module__.startswith('mimosamux_wire.'):
                self.assertIn(idl_struct(message_class), text)

    def test_nested_message_comes_back_equal(self):
        data = wire.encode(PUSH, wire.EnvelopeType.CALL, 9)
        envelope = wire.decode(data)
        self.assertEqual(envelope.message, PUSH)
        self.assertEqual(
            (envelope.type, envelope.sequence), (wire.EnvelopeType.CALL, 9)
        )

    def test_unknown_message_is_read_as_unknown(self):
        """A newer daemon sends a message that this one does not know.

        It is told apart from nonsense, so that the link stays open.
        """
        data = wire.encode(PUSH, wire.EnvelopeType.CALL, 9)
        envelope = wire.decode(data.replace(b'ConfigurationPush', b'X' * 17))
        self.assertIsNone(envelope.message)
        self.assertEqual(envelope.sequence, 9)

    @settings(derandomize=True, deadline=None, max_examples=300)
    @given(st.binary(max_size=200), st.integers(0, 60), st.booleans())
    def test_any_bytes_are_a_message_or_a_malformed_value(
        self, noise, start, is_prefixed
    ):
        """A faulty peer sends bytes that are no message, or a spoilt one.

        Nothing is raised; the daemon lives.
        """
        data = noise
        if is_prefixed:
            whole = wire.encode(PUSH, wire.EnvelopeType.CALL, 9)
            data = whole[:start] + noise + whole[start + len(noise) :]
        self.assertIsInstance(
            wire.decode(data), wire.Envelope | wire.Malformed
        )

    def test_deep_nesting_is_malformed(self):
        """A peer sends a megabyte of opened structs.

        The C decoder must
        not run out of stack, which would kill the process.
        """
        start = wire.encode(wire.Acknowledged(), wire.EnvelopeType.ONEWAY, 0)[
            :-1
        ]
        envelope = wire.decode(start + b'\x1c' * 1_000_000)
        self.assertIsInstance(envelope, wire.Malformed)


class TestFrames(unittest.TestCase):
    def test_frames_come_through_in_order(self):
        for key in (None, b'k' * 32):
            writer = wire.FrameWriter(key=key)
            data = writer.seal(b'one') + writer.seal(b'') + writer.seal(b'3')
            seen = anyio.run(read_frames, data, key)
            self.assertEqual(seen[:-1], [b'one', b'', b'3'])
            self.assertEqual(seen[-1].reason, 'ended')

    def test_link_that_ends_within_a_frame_gives_no_part_of_it(self):
        # Guards against a message that is cut and taken as a shorter one.
        for key in (None, b'k' * 32):
            frame = wire.FrameWriter(key=key).seal(b'drain')
            for size in range(len(frame)):
                seen = anyio.run(read_frames, frame[:size], key)
                self.assertEqual(len(seen), 1, size)

    def test_replayed_frame_closes_the_link(self):
        """Someone on the way sends a frame a second time.

        The order in it would be carried out twice if it were taken.
        """
        frame = wire.FrameWriter(key=b'k' * 32).seal(b'drain')
        seen = anyio.run(read_frames, frame + frame, b'k' * 32)
        self.assertEqual(seen[0], b'drain')
        self.assertIn('not of this session', seen[1].reason)

    def test_frame_above_the_limit_closes_the_link(self):
        """A faulty peer announces four gigabytes.

        Waiting for them would
        fill the memory of a small VM.
        """
        seen = anyio.run(read_frames, b'\xff\xff\xff\xff' + b'x' * 64, None)
        self.assertIn('too long', seen[0].reason)
