"""Answers of the caller API that wait for their callers."""

import unittest

import anyio
from mimosamux_daemon.api.caller_gate import CallerGate
from mimosamux_daemon.callers import (
    ANSWER_PART_BYTES,
    GATEWAY_OWN_BYTES,
    LossCause,
    build_account,
)
from starlette.responses import Response

from tests.support.clock import run_paused

SIZE = 3 * ANSWER_PART_BYTES + 1


class Caller:
    """A caller's connection, and what was sent on it."""

    def __init__(self, account):
        self.has_yielded = False
        self.parts = []
        self.takes_until = float('inf')
        self.connection = account.open(self.give_up)

    def give_up(self):
        self.has_yielded = True
        return True

    async def send(self, message):
        if len(self.parts) >= self.takes_until:
            await anyio.sleep_forever()
        if message['type'] == 'http.response.body':
            self.parts.append((len(message['body']), message['more_body']))


class TestAnswers(unittest.TestCase):
    def play(self, check):
        async def run():
            account = build_account(own_bytes=GATEWAY_OWN_BYTES)
            caller = Caller(account)
            gate = CallerGate(
                app=Response(bytes(SIZE)),
                account=account,
                find_connection=lambda client: caller.connection,
                body_timeout_s=1.0,
            )
            scope = {'type': 'http', 'headers': [], 'client': None}
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(gate, scope, None, caller.send)
                await check(account, caller)
                tasks.cancel_scope.cancel()
            self.assertEqual(account.answer_bytes, 0)

        run_paused(run)

    # Guards against a server that keeps a second copy of a large answer.
    def test_large_answer_is_given_out_in_parts(self):
        async def check(account, caller):
            await anyio.sleep(0.1)
            part = (ANSWER_PART_BYTES, True)
            self.assertEqual(caller.parts, [part, part, part, (1, False)])

        self.play(check)

    # Guards against answers that nobody takes and nothing counts.
    def test_answer_that_nobody_takes_yields(self):
        async def check(account, caller):
            caller.takes_until = 1
            await anyio.sleep(3.0)
            self.assertEqual(account.answer_bytes, SIZE)
            upload = account.hold_request(lambda: None)
            self.assertTrue(upload.hold(account.limits.request_bytes))
            self.assertTrue(caller.has_yielded)
            self.assertEqual(
                account.record.counts, {LossCause.UNREAD_ANSWER: 1}
            )

        self.play(check)
