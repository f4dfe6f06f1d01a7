"""Services whose endpoints fall over when they turn too many requests down."""

import unittest
from dataclasses import dataclass, field
from types import SimpleNamespace

import anyio
from mimosamux_daemon.gateway.limits.slot_shares import SlotShare
from mimosamux_standins.site import ReplicaSpeed

from tests.support.asking import ask, of_service
from tests.support.clock import run_paused
from tests.support.platform_site import open_site

PER_S = 4.0
"""Requests that an endpoint can turn down in a second."""
SLOTS, WORK_S, WAITING = 2, 0.1, 3
SPEED = ReplicaSpeed(work_s=WORK_S, token_s=0.0, events=5, event_s=WORK_S / 5)
CONTACT_S = 3.0
BRITTLE_S = 14.0
DOWN_S = 3.0
EXPIRY_S = 3.6


@dataclass(kw_only=True)
class BrittleService:
    """A service of a site; its endpoints fall over and come back."""

    site: object
    path: str
    falls: list = field(default_factory=list)
    is_brittle: bool = False

    def replicas(self):
        listed = of_service(self.site, self.path)
        return [each for each in listed if each.state != 'gone']

    def begin(self):
        self.is_brittle = True
        for replica in self.replicas():
            self.set_up(replica)

    def set_up(self, replica):
        replica.brittle_per_s = PER_S if self.is_brittle else None
        replica.on_fall = self.take_fall

    def tighten(self):
        """Let fewer requests wait, as from contact on."""
        for replica in self.replicas():
            replica.queue = WAITING

    def end(self):
        self.is_brittle = False
        for replica in self.replicas():
            replica.brittle_per_s = None

    def take_fall(self, replica):
        self.falls.append(anyio.current_time())
        self.site.crash_replica(replica)
        self.site.tasks.start_soon(self._replace, replica)

    async def _replace(self, replica):
        await anyio.sleep(DOWN_S)
        heir = await self.site.add_replica(
            replica.service,
            replica.zone,
            slots=SLOTS,
            queue=WAITING,
            speed=replica.speed,
        )
        self.set_up(heir)
        await anyio.sleep(EXPIRY_S - DOWN_S)
        self.site.unlist_replica(replica)


async def play(path, load, *, daemons, endpoints=3):
    """Ask at a share of what the endpoints can do, while they are brittle."""
    async with open_site(
        daemons=daemons, engines=endpoints, apps=endpoints
    ) as site:
        service = BrittleService(site=site, path=path)
        for replica in service.replicas():
            replica.slots = SLOTS
            replica.speed = SPEED
            site.list_replica(replica)
        per_s = load * endpoints * SLOTS / WORK_S
        await ask(site, path, for_s=1.0, per_s=per_s)
        service.begin()
        await ask(site, path, for_s=CONTACT_S, per_s=per_s)
        service.tighten()
        answers = await ask(
            site, path, for_s=BRITTLE_S - CONTACT_S, per_s=per_s
        )
        return len(service.falls), endpoints, answers


class TestBrittleServices(unittest.TestCase):
    # Guards against daemons that together drive brittle endpoints over, one
    # after the other.

    def check(self, path, load, least_served, **fields):
        falls, endpoints, answers = run_paused(
            lambda: play(path, load, **fields)
        )
        served = sum(each.status == 200 for each in answers)
        self.assertLessEqual(falls, 2 + endpoints / 10)
        self.assertGreaterEqual(served, least_served * len(answers))
        for answer in answers:
            self.assertIn(answer.status, (200, 429, 503))

    def test_half_their_load_is_served(self):
        for path in ('/slip/', '/list/'):
            for daemons in (3, 9):
                with self.subTest(path=path, daemons=daemons):
                    self.check(path, 0.5, 0.95, daemons=daemons)

    def test_at_their_full_load_they_do_not_fall(self):
        for path in ('/slip/', '/list/'):
            for daemons in (3, 9):
                with self.subTest(path=path, daemons=daemons):
                    self.check(path, 1.0, 0.7, daemons=daemons)

    def test_beyond_it_they_do_not_fall(self):
        for path in ('/slip/', '/list/'):
            for daemons, endpoints in ((3, 3), (9, 3), (9, 6)):
                with self.subTest(
                    path=path, daemons=daemons, endpoints=endpoints
                ):
                    self.check(
                        path, 1.6, 0.4, daemons=daemons, endpoints=endpoints
                    )

    def test_engines_do_not_fall_either(self):
        for path in ('/draft/', '/question/'):
            for daemons in (9, 15):
                with self.subTest(path=path, daemons=daemons):
                    self.check(path, 1.0, 0.5, daemons=daemons)

    def test_daemons_that_asked_nothing_are_told_by_the_others(self):
        async def check():
            async with open_site(daemons=3, engines=1, apps=3) as site:
                service = BrittleService(site=site, path='/list/')
                service.begin()
                await ask(site, '/list/', for_s=1.0, daemons=[0])
                await anyio.sleep(1.0)
                return [
                    record.slot_share is not None
                    for handle in site.daemons
                    for record in handle.daemon.parts.roster.of_service('app')
                ]

        self.assertEqual(run_paused(check), [True] * 9)

    def test_requests_to_one_endpoint_keep_a_distance(self):
        sends = [SimpleNamespace(sent_at=10.0)]
        share = SlotShare(open_sends=sends, slots=5)
        self.assertFalse(share.has_room(10.05))
        self.assertTrue(share.has_room(10.2))
        sends += [SimpleNamespace(sent_at=0.0) for _ in range(4)]
        self.assertFalse(share.has_room(10.2))

    def test_more_daemons_than_slots_share_them(self):
        self.check('/list/', 0.5, 0.8, daemons=15)


if __name__ == '__main__':
    unittest.main()
