"""A chat completion through a daemon on a real socket."""

import unittest

import anyio
import httpx
from mimosamux_daemon.adapters.memory_engine import expected_token
from mimosamux_daemon.daemon import Daemon, build_daemon
from mimosamux_daemon.settings import parse_settings

from tests.support.examples import EMBEDDED_SETTINGS, KEY_HEADERS


async def run_with_daemon(check):
    daemon = build_daemon(parse_settings(EMBEDDED_SETTINGS))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(daemon.run)
        await daemon.started.wait()
        async with httpx.AsyncClient(
            base_url=f'http://{daemon.address}',
            headers=KEY_HEADERS,
        ) as client:
            await check(daemon, client)
        daemon.stop()


def chat(content, **fields):
    return {
        'model': 'demo',
        'max_tokens': 5,
        'messages': [{'role': 'user', 'content': content}],
        **fields,
    }


class TestThinPath(unittest.TestCase):
    def test_whole_answer_comes_back(self):
        async def check(daemon: Daemon, client: httpx.AsyncClient) -> None:
            answer = await client.post(
                '/v1/chat/completions', json=chat('plan a trip')
            )
            self.assertEqual(answer.status_code, 200, answer.text)
            text = answer.json()['choices'][0]['message']['content']
            expected = [
                expected_token('user: plan a trip', offset)
                for offset in range(5)
            ]
            self.assertEqual(text, ''.join(expected))

        anyio.run(run_with_daemon, check)

    def test_stream_ends_with_its_end_marker(self):
        async def check(daemon: Daemon, client: httpx.AsyncClient) -> None:
            answer = await client.post(
                '/v1/chat/completions', json=chat('a b', stream=True)
            )
            self.assertTrue(answer.text.endswith('data: [DONE]\n\n'))
            self.assertIn(':5\n', answer.text)

        anyio.run(run_with_daemon, check)

    def test_unknown_key_is_refused_as_not_run(self):
        async def check(daemon: Daemon, client: httpx.AsyncClient) -> None:
            answer = await client.post(
                '/v1/chat/completions',
                json=chat('a'),
                headers={'Authorization': 'Bearer wrong'},
            )
            self.assertEqual(answer.status_code, 401)
            self.assertTrue(answer.json()['not_run'])

        anyio.run(run_with_daemon, check)

    def test_bad_field_is_named(self):
        async def check(daemon: Daemon, client: httpx.AsyncClient) -> None:
            answer = await client.post(
                '/v1/chat/completions', json=chat('a', max_tokens=0)
            )
            self.assertEqual(answer.status_code, 400)
            self.assertIn('max_tokens', answer.json()['error']['message'])

        anyio.run(run_with_daemon, check)
