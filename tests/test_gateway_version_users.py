"""Which version began a stream that nobody was told of."""

import unittest
from types import SimpleNamespace
from unittest import mock

import anyio
import orjson
from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.domain.names import DaemonId, ServiceName
from mimosamux_daemon.domain.store import Row, Unavailable
from mimosamux_daemon.domain.stream_origins import StreamOrigin
from mimosamux_daemon.gateway.streams.inquiry import StreamInquiry
from mimosamux_daemon.gateway.streams.origins import (
    StreamOrigins,
    hash_request,
)
from mimosamux_daemon.gateway.streams.version_users import (
    KEEP_ROWS_S,
    VersionUsers,
)
from mimosamux_daemon.ports import PeerUnavailable
from mimosamux_wire import StreamsAnswered

from tests.support.clock import run_paused

OWN, PEER = 'a:1', 'b:1'
STREAM = 'attempt-1'
SERVICE = ServiceName('llm')
V1 = StreamOrigin(service=SERVICE, software='v1')
V2 = StreamOrigin(service=SERVICE, software='v2')


def row_of(daemon, incarnation, before='v1'):
    value = {
        'service': SERVICE,
        'daemon': daemon,
        'incarnation': incarnation,
        'before': before,
    }
    return Row(
        key=f'{daemon}/{incarnation}', value=orjson.dumps(value), version=1
    )


class Asked:
    """A daemon that looks for a stream; one peer answers it."""

    def __init__(self, rows, answer=None, *, is_flat=True):
        self.table = mock.Mock(
            scan=mock.AsyncMock(return_value=rows), commit=mock.AsyncMock()
        )
        answer = answer or StreamsAnswered(lifetime=2)
        peer = SimpleNamespace(
            place=SimpleNamespace(id=DaemonId(PEER)),
            incarnation=2,
            state=MemberState.READY,
            via=DaemonId(PEER),
            heard_at=0.0,
        )
        states = mock.Mock(
            place=SimpleNamespace(id=DaemonId(OWN)),
            incarnation=1,
            is_flat=is_flat,
            fresh=lambda: [peer],
            by_id={DaemonId(PEER): peer},
        )
        self.users = VersionUsers(
            table=self.table,
            versions=mock.Mock(),
            roster=mock.Mock(),
            states=states,
            clock=anyio.current_time,
        )
        self.inquiry = StreamInquiry(
            users=self.users,
            versions=mock.Mock(of=lambda *_: {V1, V2}),
            origins=StreamOrigins(clock=anyio.current_time),
            states=states,
            peers=mock.Mock(call=mock.AsyncMock(return_value=answer)),
            clock=anyio.current_time,
        )

    async def find(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.inquiry.run)
            findings = await self.inquiry.ask(STREAM, 1.0)
            tasks.cancel_scope.cancel()
        return self.inquiry.find_beginning(STREAM, SERVICE, findings)


class TestUnknownStreams(unittest.TestCase):
    def find(self, rows, *args, **fields):
        return run_paused(Asked(rows, *args, **fields).find)

    def test_stream_that_no_user_knows_began_at_the_version_before(self):
        rows = [row_of(OWN, 1, None), row_of(PEER, 2)]
        self.assertEqual(self.find(rows), V1)

    # Guards against a stream bound to a version that did not begin it.
    def test_stream_stays_unknown_where_a_daemon_may_have_begun_it(self):
        known = hash_request(STREAM).to_bytes(8, 'big')
        rows = [row_of(OWN, 1), row_of(PEER, 2)]
        cases = {
            'known there': (rows, StreamsAnswered(lifetime=2, known=known)),
            'started again': (rows, StreamsAnswered(lifetime=3)),
            'silent': (rows, PeerUnavailable(daemon=PEER, reason='cut')),
            'ended': ([*rows, row_of(PEER, 1)],),
            'an own earlier process': ([*rows, row_of(OWN, 0)],),
            'two named': ([row_of(OWN, 1, 'v0'), row_of(PEER, 2)],),
            'none named': ([row_of(OWN, 1, None), row_of(PEER, 2, None)],),
            'no users': ([],),
            'unreadable': ([*rows, Row(key='x', value=b'{', version=1)],),
            'no table': (
                Unavailable(reason='busy', may_have_taken_effect=False),
            ),
        }
        for name, case in cases.items():
            with self.subTest(name):
                self.assertIsNone(self.find(*case))
        self.assertIsNone(self.find(rows, is_flat=False))

    # Guards against rows that a restored table has lost.
    def test_restored_table_proves_nothing_for_a_while(self):
        async def check():
            asked = Asked([row_of(OWN, 1), row_of(PEER, 2)])
            asked.users.write_again()
            early = await asked.find()
            await anyio.sleep(KEEP_ROWS_S)
            return early, await asked.find()

        self.assertEqual(run_paused(check), (None, V1))

    # Guards against rows that are left for good, or deleted too soon.
    def test_row_of_an_ended_daemon_is_deleted_after_a_while(self):
        async def check():
            asked = Asked([row_of(OWN, 1), row_of(PEER, 2), row_of(PEER, 1)])
            await anyio.sleep(KEEP_ROWS_S)
            await asked.users.clean()
            await anyio.sleep(0.9 * KEEP_ROWS_S)
            await asked.users.clean()
            early = asked.table.commit.call_count
            await anyio.sleep(KEEP_ROWS_S)
            await asked.users.clean()
            (_, writes), _ = asked.table.commit.call_args
            return early, [each.key for each in writes]

        self.assertEqual(run_paused(check), (0, [f'{PEER}/1']))

    # Guards against a daemon that is cut off and takes all others for ended.
    def test_daemon_that_hears_nobody_deletes_no_row_of_another(self):
        async def check():
            asked = Asked([row_of(OWN, 1), row_of(PEER, 2)])
            asked.users.states.fresh = list
            for _ in range(4):
                await anyio.sleep(KEEP_ROWS_S)
                await asked.users.clean()
            return asked.table.commit.call_count

        self.assertEqual(run_paused(check), 0)

    def test_row_that_another_daemon_deleted_is_written_again(self):
        async def check():
            asked = Asked([])
            users = asked.users
            users.versions.services_with_several = lambda: {SERVICE}
            users.versions.of = lambda *_: {V1, V2}
            users.versions.recorded = {V1}
            asked.table.read = mock.AsyncMock(return_value=None)
            await users.register()
            await anyio.sleep(KEEP_ROWS_S)
            await users.register()
            return asked.table.commit.call_count

        self.assertEqual(run_paused(check), 2)


if __name__ == '__main__':
    unittest.main()
