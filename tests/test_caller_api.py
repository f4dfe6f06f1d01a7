"""The caller API: keys, coming back, limits and malformed requests."""

import json
import unittest
from dataclasses import replace

import anyio
import httpx
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.adapters.memory_engine import expected_token
from mimosamux_daemon.api.bodies import MAX_BODY_BYTES
from mimosamux_daemon.api.models import ChatBody, CompletionBody, parse_body
from mimosamux_daemon.api.streams import stream_events
from mimosamux_daemon.errors import InvalidRequest
from mimosamux_daemon.pace import Pace

from tests.support.clock import run_paused
from tests.support.examples import KEY_HEADERS
from tests.support.serving import DRAFT, is_whole, make_request, open_site
from tests.test_thin_path import chat, run_with_daemon

CHAT = '/v1/chat/completions'


def expected_text(content, count):
    prompt = f'user: {content}'
    return ''.join(expected_token(prompt, offset) for offset in range(count))


def text_of(stream):
    """Return the text of a stream's events."""
    chunks = [
        json.loads(line[6:])
        for line in stream.splitlines()
        if line.startswith('data: {')
    ]
    return ''.join(
        chunk['choices'][0]['delta'].get('content', '') for chunk in chunks
    )


def event_ids(stream):
    return [
        line[4:] for line in stream.splitlines() if line.startswith('id: ')
    ]


class TestComingBack(unittest.TestCase):
    """A caller's connection breaks, and it comes back.

    Without keys and event ids it would have its work done a second time,
    or read the start of the answer twice.
    """

    def test_same_key_joins_and_another_body_conflicts(self):
        async def check(daemon, client: httpx.AsyncClient) -> None:
            headers = {'Idempotency-Key': 'k1'}
            first = await client.post(CHAT, json=chat('a'), headers=headers)
            again = await client.post(CHAT, json=chat('a'), headers=headers)
            self.assertEqual(first.json()['id'], again.json()['id'])
            other = await client.post(CHAT, json=chat('b'), headers=headers)
            self.assertEqual(other.status_code, 422, other.text)

        anyio.run(run_with_daemon, check)

    def test_stream_goes_on_behind_the_last_event(self):
        async def check(daemon, client: httpx.AsyncClient) -> None:
            body = chat('a b c', stream=True, max_tokens=30)
            whole = await client.post(CHAT, json=body)
            request, _, offset = event_ids(whole.text)[0].rpartition(':')
            headers = {
                'Last-Event-ID': f'{request}:{offset}',
                'Accept': 'text/event-stream',
            }
            seen = ''.join(
                expected_token('user: a b c', number)
                for number in range(int(offset))
            )
            for answer in (
                await client.get(f'/v1/requests/{request}', headers=headers),
                await client.post(CHAT, json=body, headers=headers),
            ):
                self.assertEqual(
                    seen + text_of(answer.text), expected_text('a b c', 30)
                )
                self.assertTrue(answer.text.endswith('data: [DONE]\n\n'))

        anyio.run(run_with_daemon, check)

    def test_state_and_answer_are_told_again_to_their_account_alone(self):
        async def check(daemon, client: httpx.AsyncClient) -> None:
            answer = await client.post(CHAT, json=chat('a'))
            request = answer.json()['id']
            again = await client.get(f'/v1/requests/{request}')
            self.assertEqual(again.json()['state'], 'answered')
            self.assertEqual(again.json()['choices'], answer.json()['choices'])
            stranger = await client.get(
                f'/v1/requests/{request}',
                headers={'Authorization': 'Bearer other'},
            )
            self.assertEqual(stranger.status_code, 401)
            unknown = await client.get('/v1/requests/nobody')
            self.assertEqual(unknown.status_code, 404)
            self.assertFalse(unknown.json()['not_run'])

        anyio.run(run_with_daemon, check)

    def test_another_accounts_request_is_unknown(self):
        async def check():
            async with open_site(engines=1) as site:
                active = await site.offer('mine')
                registry = site.registry
                self.assertIsNone(registry.find(active.request.id, 'other'))

        run_paused(check)

    def test_finished_requests_are_bounded(self):
        """Months of finished answers must not fill a small VM."""

        async def check():
            async with open_site(engines=1) as site:
                first = await site.offer('first', key='k')
                await first.wait_ended()
                await anyio.sleep(0.1)
                key = ('school', 'k')
                self.assertIn(key, site.registry.by_key)
                await anyio.sleep(601)
                self.assertIsNone(site.registry.find_by_key(*key))
                self.assertEqual(site.registry.by_id, {})

        run_paused(check)


class TestCallersWhoLeave(unittest.TestCase):
    """A caller hangs up in the middle of a long answer."""

    def test_work_that_nobody_reads_is_cancelled_if_the_class_says_so(self):
        async def check():
            async with open_site(engines=1) as site:
                for cancels in (True, False):
                    work_class = replace(DRAFT, cancel_when_gone=cancels)
                    active = await site.offer(
                        f'{cancels}', max_tokens=900, work_class=work_class
                    )
                    active.add_reader()
                    await active.wait_for_tokens(20)
                    active.remove_reader()
                    await active.wait_ended()
                    self.assertEqual(is_whole(active), not cancels)

        run_paused(check)

    def test_caller_who_comes_back_in_time_keeps_its_work(self):
        async def check():
            async with open_site(engines=1) as site:
                work_class = replace(DRAFT, cancel_when_gone=True)
                active = await site.offer('a', work_class=work_class)
                for _ in range(3):
                    active.add_reader()
                    await anyio.sleep(0.3)
                    active.remove_reader()
                    await anyio.sleep(0.3)
                active.add_reader()
                await active.wait_ended()
                self.assertTrue(is_whole(active))

        run_paused(check)

    def test_cancelled_request_runs_again_under_its_key(self):
        async def check():
            async with open_site(engines=1) as site:
                work_class = replace(DRAFT, cancel_when_gone=True)
                active = await site.offer(
                    'a', max_tokens=900, work_class=work_class, key='k'
                )
                active.add_reader()
                active.remove_reader()
                await active.wait_ended()
                again = make_request(
                    'a',
                    max_tokens=900,
                    work_class=work_class,
                    key='k',
                    identity='second',
                )
                offered = await site.serving.offer(again, site.configuration)
                self.assertIsNot(offered, active)
                await offered.wait_ended()
                self.assertTrue(is_whole(offered))

        run_paused(check)


class TestLimits(unittest.TestCase):
    """Callers send too much, nonsense, or nothing at all.

    Each gets a clear error that names the field, and the daemon lives.
    """

    def test_large_body_is_refused(self):
        async def check(daemon, client: httpx.AsyncClient) -> None:
            large = await client.post(
                CHAT, content=b' ' * (1 + MAX_BODY_BYTES)
            )
            self.assertEqual(large.status_code, 413)
            self.assertIn('body', large.json()['error']['message'])
            self.assertTrue(large.json()['not_run'])
            answer = await client.post(CHAT, json=chat('a'))
            self.assertEqual(answer.status_code, 200)

        anyio.run(run_with_daemon, check)

    def test_malformed_requests_name_the_field(self):
        async def check(daemon, client: httpx.AsyncClient) -> None:
            deep = '[' * 5000 + ']' * 5000
            cases = [
                ('{', {}, '$'),
                (chat('a', max_tokens='many'), {}, 'max_tokens'),
                (chat('a', messages='x'), {}, 'messages'),
                (chat('a', seed=10**30), {}, 'seed'),
                ('{"messages": [{"role": "u", "content": ' + deep, {}, '$'),
                (chat('a'), {'Last-Event-ID': 'x'}, 'last-event-id'),
                (chat('a'), {'Last-Event-ID': 'r:²'}, 'last-event-id'),
                (chat('a'), {'Idempotency-Key': 'k' * 300}, 'idempotency-key'),
            ]
            for body, headers, field in cases:
                text = body if isinstance(body, str) else json.dumps(body)
                encoded = {
                    name: value.encode() for name, value in headers.items()
                }
                answer = await client.post(
                    CHAT, content=text.encode(), headers=encoded
                )
                self.assertEqual(answer.status_code, 400, answer.text)
                message = answer.json()['error']['message']
                self.assertTrue(message.startswith(field), message)
            self.assertEqual(
                (await client.post(CHAT, json=chat('a'))).status_code, 200
            )

        anyio.run(run_with_daemon, check)

    def test_half_open_connection_and_noise_leave_the_daemon_alive(self):
        async def check(daemon, client: httpx.AsyncClient) -> None:
            host, _, port = daemon.address.partition(':')
            for noise in (
                b'\x00\xff' * 100,
                b'GET / HTTP/1.1\r\nx: ' + b'y' * 100_000,
                b'POST /v1/completions HTTP/1.1\r\nHost: h\r\n'
                b'Authorization: Bearer demo-key\r\n'
                b'Content-Length: 50\r\n\r\n{"mod',
            ):
                async with await anyio.connect_tcp(host, int(port)) as stream:
                    await stream.send(noise)
            answer = await client.post(
                CHAT, json=chat('a'), headers=KEY_HEADERS
            )
            self.assertEqual(answer.status_code, 200)

        anyio.run(run_with_daemon, check)


values = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(st.characters(), max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
bodies = st.dictionaries(
    st.sampled_from(
        ['model', 'messages', 'prompt', 'max_tokens', 'stream', 'seed', 'x']
    ),
    values
    | st.sampled_from(
        ['demo', 3, [{'role': 'user', 'content': 'a'}], '\ud800', 10**40]
    ),
)


class TestMalformedBodies(unittest.TestCase):
    """Bodies of any shape are read, or refused with the field's name."""

    @settings(max_examples=400, derandomize=True, deadline=None)
    @given(st.binary(max_size=40) | bodies)
    def test_any_body_is_read_or_refused(self, body):
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        for kind in (ChatBody, CompletionBody):
            try:
                parsed = parse_body(kind, body)
            except InvalidRequest as error:
                self.assertTrue(error.path)
                str(error).encode()
            else:
                parsed.prompt.encode()
                self.assertGreater(parsed.max_tokens, 0)


class TestPace(unittest.TestCase):
    def test_events_of_a_busy_daemon_carry_several_tokens(self):
        """A daemon has 250 streams open.

        With an event for each token it would fall behind its engines; the
        answer stays whole, and its first token comes at once.
        """

        async def check():
            async with open_site(engines=1) as site:
                active = await site.offer('a trip', max_tokens=100)
                pace = Pace(streams=250)
                events = [
                    event
                    async for event in stream_events(active, 0, pace=pace)
                ]
                return active, events

        active, events = run_paused(check)
        self.assertLess(len(events), 50)
        self.assertTrue(is_whole(active))
        self.assertIn(b':1\n', events[0])
        self.assertIn(b':100\n', events[-2])
