"""Requests that crash the endpoints that run them."""

import unittest

from tests.support import crashes
from tests.support.clock import run_paused

MOST_LATE = 3
"""Arrivals that are allowed well behind the third crash, in all."""


class TestCrashingRequests(unittest.TestCase):
    # Guards against a request that ends one endpoint after the other, each
    # time its caller asks for it again at another daemon.

    def check_path(self, path, **fields):
        _, late, served, _ = run_paused(lambda: crashes.play(path, **fields))
        self.assertLessEqual(late, MOST_LATE)
        self.assertGreaterEqual(served, 95)

    def test_draft_that_crashes_engines_is_held_back(self):
        self.check_path('/draft/')

    def test_question_that_crashes_engines_is_held_back(self):
        self.check_path('/question/')

    def test_question_that_crashes_engines_midway_is_held_back(self):
        self.check_path('/question/', crash_after_s=0.1)

    def test_slip_that_crashes_endpoints_is_held_back(self):
        self.check_path('/slip/', crash_after_s=0.02)

    def test_list_that_crashes_endpoints_is_held_back(self):
        self.check_path('/list/', crash_after_s=0.02)

    def test_small_site_serves_others_beside_a_crashing_request(self):
        self.check_path('/question/', endpoints=3)


if __name__ == '__main__':
    unittest.main()
