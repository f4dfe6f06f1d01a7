"""What daemons have under way at an endpoint, as they tell each other."""

import random
import unittest

from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.gateway.balancing.loads import (
    PEER_REPORT_TTL_S,
    EndpointLoad,
    LoadCounts,
)

ONE, TWO = DaemonId('10.1.0.1:1'), DaemonId('10.1.0.2:1')


def tell(load, peer, requests, now, unread_tokens=0.0):
    load.note_peer(
        peer, requests=requests, unread_tokens=unread_tokens, now=now
    )


class TestEndpointLoad(unittest.TestCase):
    def test_own_requests_and_those_of_peers_count(self):
        load = EndpointLoad()
        load.begin(100.0)
        tell(load, ONE, 2, 0.0, 50.0)
        tell(load, TWO, 3, 0.0, 7.0)
        self.assertEqual(
            load.total(1.0), LoadCounts(requests=6, unread_tokens=157.0)
        )

    def test_what_a_peer_tells_replaces_what_it_told(self):
        load = EndpointLoad()
        tell(load, ONE, 5, 0.0)
        tell(load, ONE, 2, 1.0)
        self.assertEqual(load.total(1.0).requests, 2)
        tell(load, ONE, 0, 2.0)
        self.assertEqual(load.total(2.0), LoadCounts())

    def test_peer_that_died_leaves_nothing_under_way(self):
        """A daemon is killed with requests at an endpoint.

        Counted for good, they would make the endpoint look full, and callers
        would be refused while it idles.
        """
        load = EndpointLoad()
        tell(load, ONE, 5, 0.0)
        tell(load, TWO, 1, 3.0)
        self.assertEqual(load.total(PEER_REPORT_TTL_S - 0.1).requests, 6)
        self.assertEqual(load.total(PEER_REPORT_TTL_S).requests, 1)
        self.assertEqual(load.total(3.0 + PEER_REPORT_TTL_S).requests, 0)
        tell(load, ONE, 4, 20.0)
        self.assertEqual(load.total(20.0).requests, 4)

    def test_sum_is_that_of_the_peers_whatever_they_tell(self):
        rng, load, now = random.Random(5), EndpointLoad(), 0.0
        told = {}
        for _ in range(2000):
            now += rng.expovariate(10.0)
            peer = DaemonId(str(rng.randrange(8)))
            told[peer] = (rng.randrange(4), rng.randrange(9000), now)
            requests, unread, _ = told[peer]
            tell(load, peer, requests, now, unread)
            counted = [
                each
                for each in told.values()
                if each[0] and now - each[2] < PEER_REPORT_TTL_S
            ]
            expected = LoadCounts(
                requests=sum(each[0] for each in counted),
                unread_tokens=sum(each[1] for each in counted),
            )
            self.assertEqual(load.total(now), expected)
