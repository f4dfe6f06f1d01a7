"""Keys of what requests ask for."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from mimosamux_daemon.domain.gateway import GatewayRequest
from mimosamux_daemon.domain.http_messages import RequestHead
from mimosamux_daemon.gateway.crashes.content_keys import find_content_key

FIELDS = st.tuples(st.binary(max_size=6), st.binary(max_size=6), st.text())


def key_of(*, id_='a', method=b'POST', target=b'/x', account='s', body=b''):
    request = GatewayRequest(
        id=id_,
        head=RequestHead(method=method, target=target, headers=()),
        body=body,
        host='h',
        received_at=0.0,
    )
    return find_content_key(request, account)


class TestContentKeys(unittest.TestCase):
    def test_attempts_at_the_same_thing_have_the_same_key(self):
        self.assertEqual(key_of(id_='a'), key_of(id_='b'))

    @given(first=FIELDS, second=FIELDS)
    def test_nothing_else_has_the_same_key(self, first, second):
        keys = [
            key_of(target=target, body=body, account=account)
            for target, body, account in (first, second)
        ]
        self.assertEqual(first == second, keys[0] == keys[1])

    def test_accounts_do_not_share_a_key(self):
        keys = {key_of(account=account) for account in ('a', 'b', '', None)}
        self.assertEqual(len(keys), 3)
        self.assertNotEqual(key_of(method=b'GET'), key_of())


if __name__ == '__main__':
    unittest.main()
