"""A lease whose holder stands still, with real processes."""

import time
import unittest

from tests.support.processes import processes
from tests.support.site import RealSite

WAIT_S = 90.0
POLL_S = 0.5


class TestFrozenHolder(unittest.TestCase):
    def setUp(self):
        started = processes()
        self.site = RealSite(processes=started.__enter__(), daemons={'a': 2})
        self.addCleanup(started.__exit__, None, None, None)
        self.site.start_engines('a')
        self.site.start(plans_vms=True)

    def takes(self, name):
        """Return who took the planner's lease, in order."""
        answer = self.site.operate(
            name, 'GET', 'audit', params={'kind': 'lease'}
        )
        return [
            entry['who']
            for entry in answer.json()['entries']
            if entry['what'].startswith('take')
        ]

    def wait_for_takes(self, name, count):
        deadline = time.monotonic() + WAIT_S
        while time.monotonic() < deadline:
            takes = self.takes(name)
            if len(takes) >= count:
                return takes
            time.sleep(POLL_S)
        raise AssertionError(f'the lease was not taken {count} times')

    def test_a_frozen_planner_is_followed_by_one_that_orders_alone(self):
        """The daemon that plans for a data centre stands still.

        Another takes over after the lease has ended. When the first wakes
        up it still believes that it plans; its orders would stop and start
        VMs against those of its successor.
        """
        (first,) = self.wait_for_takes('a1', 1)
        (other,) = {'a1', 'a2'} - {first}
        self.site.daemons[first].freeze()
        self.assertEqual(self.wait_for_takes(other, 2), [first, other])
        taken_at = time.time()
        self.site.daemons[first].thaw()
        time.sleep(POLL_S)
        orders = self.site.operate(first, 'GET', 'audit').json()['entries']
        late = [
            entry
            for entry in orders
            if entry['kind'] in ('order', 'vm')
            and entry['who'] == first
            and entry['at'] > taken_at
        ]
        self.assertEqual(late, [])
        self.assertEqual(self.takes(first), [first, other])
