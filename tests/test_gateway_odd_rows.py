"""Rows of the platform's tables that another writer left: none ends a daemon.

A row stays where it is, so that a daemon which it ends would end again after
each start.
"""

import base64
import json
import unittest
from dataclasses import dataclass, field

import anyio
import orjson
from mimosamux_standins.site import StandInStore

from tests.support.clock import run_paused
from tests.support.platform_site import WALL_START, open_site

DEEP = b'[' * 200_000 + b']' * 200_000
NO_DOCUMENTS = (
    b'',
    b'null',
    b'7',
    b'"x"',
    b'[]',
    b'{}',
    b'\x00\xff',
    b'{"\xff": 1}',
    b'"\\ud800"',
    DEEP,
    b'{"a":' * 200_000 + b'1' + b'}' * 200_000,
)
NUMBERS = (
    b'null',
    b'0.5',
    b'-1',
    b'1e308',
    b'-1e308',
    b'1e400',
    b'9223372036854775808',
    b'18446744073709551615',
    b'-9223372036854775808',
    b'9' * 400,
    b'9' * 5000,
    b'"nan"',
    b'"inf"',
    b'"-inf"',
    b'"' + b'9' * 5000 + b'"',
    b'{}',
    DEEP,
)
PLACEHOLDER = '\u20ac'


def odd_documents(document, *paths):
    """Return renderings of a document with odd numbers at each path."""
    return [
        _replace(document, path, value) for path in paths for value in NUMBERS
    ]


def _replace(document, path, value):
    copied = orjson.loads(orjson.dumps(document))
    target = copied
    for key in path[:-1]:
        target = target[key]
    target[path[-1]] = PLACEHOLDER
    quoted = orjson.dumps(PLACEHOLDER)
    return orjson.dumps(copied).replace(quoted, value)


async def start_beside(rows):
    """Start daemons beside rows; return which ended and what they answer."""
    async with open_site(engines=1, apps=1, daemons=2) as site:
        for table, key, value in rows:
            site.store.put_bytes(table, key, value)
        for number in range(2):
            site.kill_daemon(number)
        await anyio.sleep(0.1)
        await site.start_daemons(2)
        await anyio.sleep(3.0)
        statuses = [
            (await site.caller().send(each.entry, '/slip/1', body=b's')).status
            for each in site.daemons
        ]
        return [each.ended.is_set() for each in site.daemons], statuses


def number_rows(table, prefix, values):
    return [
        (table, f'{prefix}{number}', value)
        for number, value in enumerate(values)
    ]


class TestRecords(unittest.TestCase):
    def assert_starts_beside(self, rows):
        self.assertEqual(
            run_paused(start_beside, rows), ([False] * 2, [200] * 2)
        )

    # Guards against a record of streams whose numbers fit no message.
    def test_odd_records_of_streams_end_no_daemon(self):
        row = {
            'at': WALL_START,
            'service': 'llm',
            'software': 'v1',
            'attempt': 2,
            'keep_ms': 60_000,
            'requests': base64.b64encode(b'12345678').decode(),
        }
        odd = odd_documents(row, *([name] for name in row))
        self.assert_starts_beside(
            number_rows('streams', 'origins/x/1/', (*NO_DOCUMENTS, *odd))
            + number_rows('streams', 'versions/', (*NO_DOCUMENTS, *odd))
        )

    # Guards against an order of a roll-out whose limit fits no message.
    def test_odd_orders_of_roll_outs_end_no_daemon(self):
        order = {'service': 'app', 'to': 'v2', 'durationS': 16.0}
        for value in odd_documents(order, ['durationS']):
            with self.subTest(value=value[:90]):
                self.assert_starts_beside([('op', 'rollout/app', value)])

    # Guards against a step of a roll-out whose numbers fit no message.
    def test_odd_steps_of_roll_outs_end_no_daemon(self):
        order = {'service': 'app', 'to': 'v2', 'durationS': 16.0}
        step = {
            'version': 'v2',
            'within_s': 16.0,
            'number': 10,
            'stage': 'trial',
            'step': 1,
            'began_at': WALL_START,
            'held_back': ['v2'],
            'reason': '',
        }
        odd = odd_documents(
            step, ['within_s'], ['number'], ['step'], ['began_at']
        )
        self.assert_starts_beside(
            [('op', 'rollout/app', orjson.dumps(order))]
            + number_rows('rollouts', 'app-', (*NO_DOCUMENTS, *odd))
        )

    # Guards against a record of use that fits no digest.
    def test_odd_records_of_caps_end_no_daemon(self):
        record = {'at': WALL_START, 'uses': {'school': [[0.5, 2.0]]}}
        amount, age = ['uses', 'school', 0, 1], ['uses', 'school', 0, 0]
        for value in (
            b'[]',
            DEEP,
            *odd_documents(record, ['at'], amount, age),
        ):
            with self.subTest(value=value[:90]):
                self.assert_starts_beside([('caps', 'recent', value)])

    # Guards against a suspect whose crashes have no time, or no number.
    def test_odd_records_of_crashes_end_no_daemon(self):
        suspect = {'endpoints': ['i-0001/0', 'i-0002/1'], 'at': WALL_START}
        numbers = ('', '-1', '\u00b2', '9' * 400, '9' * 5000, '1\r\n')
        odd = odd_documents(suspect, ['at'], ['endpoints'], ['endpoints', 0])
        odd += [
            orjson.dumps(suspect | {'endpoints': [f'i-0001/{number}']})
            for number in numbers
        ]
        self.assert_starts_beside(
            number_rows('crashes', 'c', (*NO_DOCUMENTS, *odd))
        )

    # Guards against final counts that can be reported to nobody.
    def test_odd_records_of_usage_end_no_daemon(self):
        window = int(WALL_START // 5)
        settled = {str(window): {'school': 8}}
        era = {'era': 1, 'first_window': window}
        for key, values in (
            ('settled', odd_documents(settled, [str(window), 'school'])),
            ('era', odd_documents(era, ['era'], ['first_window'])),
        ):
            for value in values:
                with self.subTest(value=value[:90]):
                    self.assert_starts_beside([('metering', key, value)])


ENTRY = {
    'service': 'app',
    'address': '10.0.0.2:80',
    'zone': 'north',
    'version': 'v1',
    'slots': 4,
    'state': 'draining',
    'coldRemainingMs': 0,
    'sequence': 0,
    'born': 5,
    'leaves_ms': 100,
    'models': [{'name': 'm', 'version': 1}],
}
PORTS = ('', '0', '-1', '65536', '99999', '9' * 400, '\u00b2', '\u0663', ' 80')


def odd_entries():
    """Return entries of replicas of which some can be read, most cannot."""
    numbers = ('slots', 'coldRemainingMs', 'sequence', 'born', 'leaves_ms')
    texts = ('service', 'address', 'zone', 'version', 'state')
    model = ['models', 0, 'version']
    fields = odd_documents(ENTRY, *([name] for name in numbers), model)
    fields += [
        _replace(ENTRY, [name], value)
        for name in texts
        for value in (b'""', b'"\xff"', b'"\\ud800"', b'"\\u0000"', b'7', DEEP)
    ]
    fields += [_replace(ENTRY | {'x': 0}, ['x'], value) for value in NUMBERS]
    fields += [
        orjson.dumps(ENTRY | {'address': f'10.0.0.2:{port}'}) for port in PORTS
    ]
    many = [{'name': f'm{number}', 'version': 1} for number in range(50_000)]
    return (*NO_DOCUMENTS, *fields, orjson.dumps(ENTRY | {'models': many}))


class TestEndpointRows(unittest.TestCase):
    # Guards against an odd entry that hides those listed behind it.
    def test_replica_behind_odd_entries_is_found(self):
        async def check(is_restarted):
            rows = number_rows('servers', 'h-', odd_entries())
            async with open_site(engines=0, apps=1, daemons=2) as site:
                for row in rows:
                    site.store.put_bytes(*row)
                await anyio.sleep(2.0)
                if is_restarted:
                    for number in range(2):
                        site.kill_daemon(number)
                    await anyio.sleep(0.1)
                    await site.start_daemons(2)
                first = next(iter(site.replicas_by_id.values()))
                behind = await site.add_replica('app', 'north')
                site.unlist_replica(first)
                await anyio.sleep(2.0)
                for each in site.daemons:
                    await site.caller().send(each.entry, '/slip/1', body=b's')
                ended = [each.ended.is_set() for each in site.daemons]
                return ended, len(behind.runs)

        for is_restarted in (False, True):
            self.assertEqual(run_paused(check, is_restarted), ([False] * 2, 2))


@dataclass(kw_only=True)
class OddStore(StandInStore):
    """A store whose answers may have odd fields."""

    odd: dict = field(default_factory=dict)
    era_header: bytes | None = None

    async def handle(self, incoming, reply):
        await super().handle(incoming, OddReply(store=self, reply=reply))

    def _headers(self):
        headers = super()._headers()
        if self.era_header is None:
            return headers
        return (headers[0], (b'Store-Era', self.era_header))


@dataclass(kw_only=True)
class OddReply:
    store: OddStore
    reply: object

    async def answer(self, status, headers=(), body=b''):
        if body:
            body = json.dumps(orjson.loads(body) | self.store.odd).encode()
        await self.reply.answer(status, headers, body)


class TestStoreAnswers(unittest.TestCase):
    async def follow_behind(self, odd, era_header=None, daemons=3):
        """Have the store answer oddly for a moment; return what follows."""
        store = OddStore()
        async with open_site(
            engines=0, apps=1, daemons=daemons, store=store
        ) as site:
            (replica,) = site.replicas_by_id.values()
            calls = store.calls
            store.odd, store.era_header = odd, era_header
            site.list_replica(replica)
            await anyio.sleep(2.0)
            store.odd, store.era_header = {}, None
            self.assertLess(store.calls - calls, 100 * daemons)
            await site.add_replica('app', 'north')
            site.unlist_replica(replica)
            await anyio.sleep(5.0)
            statuses = {
                (await site.caller().send(each.entry, '/list/1')).status
                for each in site.daemons
            }
            return {each.ended.is_set() for each in site.daemons}, statuses

    # Guards against numbers of an answer that end daemons, have them ask
    # without a pause, or count for good.
    def test_odd_numbers_of_an_answer_have_no_effect(self):
        for odd in (
            {'nowMs': 1e308},
            {'nowMs': -1e308},
            {'rowVersion': 2**44},
            {'rowVersion': 10**4000},
            {'rowVersion': -5},
        ):
            with self.subTest(odd=str(odd)[:30]):
                self.assertEqual(
                    run_paused(self.follow_behind, odd), ({False}, {200})
                )

    # Guards against an era that no later answer of the store can be of.
    def test_era_that_is_no_number_has_no_effect(self):
        for era in (b'-5', b'1_0', b'+7', b'\xb2', b'9' * 400, b'9' * 5000):
            with self.subTest(era=era[:30]):
                self.assertEqual(
                    run_paused(self.follow_behind, {}, era), ({False}, {200})
                )

    def test_odd_versions_end_no_daemon_behind_relays(self):
        for odd in ({'rowVersion': 2**63}, {'rowVersion': 10**4000}):
            self.assertEqual(
                run_paused(self.follow_behind, odd, None, 13),
                ({False}, {200}),
            )
