"""Answers with neither length nor chunks, and bytes that do not end."""

import unittest

from mimosamux_standins.site import Framing

from tests.support.clock import run_paused
from tests.support.platform_site import open_site
from tests.support.prompts import prompt_of

MOST_BYTES = 20 * 1024 * 1024
"""What one request may make a daemon read: the bound of a body and what is on
its way."""


class TestAnswers(unittest.TestCase):
    # Guards against endpoints that fill the memory or hold callers up.

    def play(self, framing, target, *, is_only=False):
        """Send requests beside odd endpoints; return the answers."""

        async def check():
            async with open_site(daemons=1) as site:
                odd = [
                    each
                    for each in site.replicas_by_id.values()
                    if is_only or each.id in ('i-0001', 'i-0004')
                ]
                for replica in odd:
                    replica.framing = framing
                answers = []
                for number in range(4):
                    path = f'{target}{number}'
                    headers = ()
                    if target == '/question/':
                        headers = prompt_of('ab', f'{number}')
                    answers.append(
                        await site.caller(patience_s=15.0).send(
                            site.daemons[0].entry,
                            path,
                            headers=headers,
                        )
                    )
                return answers

        return run_paused(check)

    def check_served(self, framing, target, **fields):
        for answer in self.play(framing, target, **fields):
            self.assertEqual(answer.status, 200)
            self.assertTrue(answer.is_whole)

    def test_answers_without_length_or_chunks_are_whole(self):
        for target in ('/list/', '/slip/', '/question/'):
            with self.subTest(target=target):
                self.check_served(Framing.UNFRAMED, target, is_only=True)

    def test_requests_beside_bytes_without_end_are_served(self):
        for framing, target in (
            (Framing.ENDLESS_HEAD, '/list/'),
            (Framing.ENDLESS_HEAD, '/question/'),
            (Framing.ENDLESS_BODY, '/question/'),
            (Framing.ENDLESS_EVENT, '/question/'),
        ):
            with self.subTest(framing=framing, target=target):
                self.check_served(framing, target)

    def test_bytes_without_end_are_cut_off_soon(self):
        for framing, target in (
            (Framing.ENDLESS_HEAD, '/list/'),
            (Framing.ENDLESS_BODY, '/list/'),
            (Framing.ENDLESS_BODY, '/question/'),
            (Framing.ENDLESS_EVENT, '/question/'),
        ):
            with self.subTest(framing=framing, target=target):
                for answer in self.play(framing, target, is_only=True):
                    self.assertFalse(answer.status == 200 and answer.is_whole)
                    self.assertLess(answer.ended_at - answer.sent_at, 2.5)
                    self.assertLess(len(answer.body), MOST_BYTES)


if __name__ == '__main__':
    unittest.main()
