"""Digests of peers with numbers that cannot be."""

import unittest

import anyio
from mimosamux_wire import (
    CapUse,
    EnvelopeType,
    StateBatch,
    StateDigest,
    encode,
)

from tests.support.clock import run_paused
from tests.support.platform_site import open_site

LARGEST = 2**63 - 1


class TestDigests(unittest.TestCase):
    # Guards against a sum of what peers count that fits no digest.
    def test_odd_use_of_a_peer_ends_no_daemon(self):
        async def check(*uses):
            async with open_site(engines=0, apps=1, daemons=2) as site:
                receiver, sender = (each.daemon for each in site.daemons)
                for sequence, (used, recent) in enumerate(uses, 1):
                    use = CapUse(account='school', used=used, recent=recent)
                    digest = StateDigest(
                        address='10.9.0.1:8367',
                        lifetime=7,
                        sequence=sequence,
                        caps=[use],
                    )
                    data = encode(digest, EnvelopeType.ONEWAY, 0)
                    batch = StateBatch(
                        lifetime=sender.parts.states.incarnation,
                        digests=[data],
                    )
                    await sender.parts.peers.notify(
                        receiver.settings.place.id, batch
                    )
                    await anyio.sleep(0.1)
                await anyio.sleep(2.0)
                answers = [
                    await site.caller().send(each.entry, '/list/1')
                    for each in site.daemons
                ]
                ended = [each.ended.is_set() for each in site.daemons]
                return ended, [answer.status for answer in answers]

        for uses in (
            ((0, 0), (LARGEST, 0), (0, 0), (LARGEST, 0)),
            ((0, 0), (-LARGEST, 0), (LARGEST, 0)),
            ((LARGEST, LARGEST), (-LARGEST, -LARGEST)),
        ):
            with self.subTest(uses=uses):
                self.assertEqual(
                    run_paused(check, *uses), ([False] * 2, [200] * 2)
                )
