"""Answers of plain services that end with their connection."""

import unittest

import anyio
from mimosamux_daemon.adapters.http_service import HttpServices
from mimosamux_daemon.domain.engine import ConnectFailed
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.domain.work import ServiceCall, WorkClass
from mimosamux_daemon.ports.models.service import (
    ServiceAnswer,
    ServiceUnanswered,
)

from tests.support.raw_answers import answering

WHOLE = b'{"seats": [1, 2, 3]}'
CUT = WHOLE[:11]
CHUNKED = b'%x\r\n%s\r\n' % (len(WHOLE), WHOLE)


def head(*headers, version=b'1.1', status=b'200 OK'):
    lines = (b'HTTP/%s %s' % (version, status), *headers)
    return b''.join(line + b'\r\n' for line in lines) + b'\r\n'


def a_call(*, repeatable):
    return ServiceCall(
        id='r1',
        account='a',
        work_class=WorkClass(
            name='seats', first_token_s=1.0, repeatable=repeatable
        ),
        service='s',
        method='POST',
        path='/seats',
        headers=(),
        body=b'x',
        arrived=0.0,
    )


class TestUnframedServices(unittest.TestCase):
    # Guards against a service's answer that is cut and looks whole.

    def call(self, *all_data, repeatable=False):
        """Return what comes of a call for each of the answers."""

        async def check():
            services = HttpServices()
            outcomes = []
            async with answering(b'') as (address, answers):
                endpoint = Endpoint(
                    id='s1', vm='s1', address=address, data_centre='d'
                )
                for data in all_data:
                    answers.data = data
                    call = a_call(repeatable=repeatable)
                    outcomes.append(await services.call(endpoint, call))
            await services.close()
            return outcomes

        return anyio.run(check)

    def test_end_that_nothing_frames_is_no_answer(self):
        for data in (
            head(),
            head() + CUT,
            head(version=b'1.0') + CUT,
            head(b'Connection: close') + WHOLE,
            head(status=b'500 No') + CUT,
            head(b'Content-Length: %d' % len(WHOLE)) + CUT,
            head(b'Transfer-Encoding: chunked') + CHUNKED,
        ):
            for repeatable in (False, True):
                with self.subTest(data=data, repeatable=repeatable):
                    (answer,) = self.call(data, repeatable=repeatable)
                    self.assertIsInstance(answer, ServiceUnanswered)

    def test_no_part_of_a_framed_answer_is_one(self):
        for data in (
            head(b'Content-Length: %d' % len(WHOLE)) + WHOLE,
            head(b'Transfer-Encoding: chunked') + CHUNKED + b'0\r\n\r\n',
        ):
            cuts = [data[:size] for size in range(len(data))]
            for cut, answer in zip(cuts, self.call(*cuts), strict=True):
                with self.subTest(cut=cut):
                    self.assertIsInstance(answer, ServiceUnanswered)

    def test_framed_answers_are_handed_on(self):
        for data, body in (
            (head(b'Content-Length: %d' % len(WHOLE)) + WHOLE, WHOLE),
            (
                head(b'Transfer-Encoding: chunked') + CHUNKED + b'0\r\n\r\n',
                WHOLE,
            ),
            (head(status=b'204 No Content'), b''),
            (head(b'Content-Length: 0'), b''),
        ):
            with self.subTest(data=data):
                (answer,) = self.call(data)
                self.assertNotIsInstance(answer, ConnectFailed)
                self.assertIsInstance(answer, ServiceAnswer)
                self.assertEqual(answer.body, body)


if __name__ == '__main__':
    unittest.main()
