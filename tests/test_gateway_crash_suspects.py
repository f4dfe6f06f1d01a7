"""What is known of contents under which endpoints crashed."""

import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from mimosamux_daemon.gateway.crashes.suspects import (
    COMPLETION_VALID_S,
    FIRST_QUARANTINE_S,
    MAX_QUARANTINE_S,
    MAX_REMEMBERED_CONTENTS,
    MAX_SUSPECTS,
    MIN_SUSPICION_S,
    QUARANTINE_CRASHES,
    CrashSuspects,
    EndpointIncarnation,
    Suspect,
    parse_incarnation,
)


def start(number, incarnation=0):
    return EndpointIncarnation(id=f'i-{number}', incarnation=incarnation)


def suspect(content, *numbers, at=0.0):
    crashed = frozenset(start(number) for number in numbers)
    return Suspect(content=content, crashed=crashed, last_crash_at=at)


CRASHES = st.lists(
    st.tuples(st.integers(0, 5), st.floats(0, 100)), min_size=1, max_size=8
)


class TestCrashSuspects(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.suspects = CrashSuspects(clock=lambda: self.now)

    def add(self, content, *numbers):
        return self.suspects.add(suspect(content, *numbers, at=self.now))

    def test_third_crash_holds_a_content_back(self):
        for number in range(QUARANTINE_CRASHES):
            self.assertEqual(self.suspects.quarantine_left_s('a'), 0.0)
            self.add('a', number)
        self.assertEqual(
            self.suspects.quarantine_left_s('a'), FIRST_QUARANTINE_S
        )
        self.assertEqual(self.suspects.quarantine_left_s('b'), 0.0)

    def test_one_crash_told_by_many_daemons_counts_once(self):
        self.assertTrue(self.add('a', 1))
        for _ in range(5):
            self.assertFalse(self.add('a', 1))
        self.assertEqual(self.suspects.crashes('a'), 1)

    def test_same_id_that_crashed_twice_counts_twice(self):
        for incarnation in (1, 2):
            crashed = frozenset({start(1, incarnation)})
            self.suspects.add(
                Suspect(content='a', crashed=crashed, last_crash_at=0.0)
            )
        self.assertEqual(self.suspects.crashes('a'), 2)

    def test_content_that_may_crash_its_present_endpoint_goes_no_further(self):
        self.add('a', 1)
        self.assertTrue(self.suspects.may_retry('a'))
        self.add('a', 2)
        self.assertFalse(self.suspects.may_retry('a'))

    def test_hold_ends_and_is_longer_after_each_further_crash(self):
        self.add('a', 1, 2, 3)
        holds = []
        for number in range(4, 20):
            quarantine_s = self.suspects.quarantine_left_s('a')
            holds.append(quarantine_s)
            self.now += quarantine_s
            self.assertTrue(self.suspects.is_probe_due('a'))
            self.assertFalse(self.suspects.may_retry('a'))
            self.add('a', number)
            self.assertFalse(self.suspects.is_probe_due('a'))
        self.assertEqual(holds, sorted(holds))
        self.assertEqual(holds[:2], [30.0, 240.0])
        self.assertEqual(holds[-1], MAX_QUARANTINE_S)

    def test_whole_run_clears_a_content(self):
        self.add('a', 1, 2, 3)
        self.assertTrue(self.suspects.note_completion('a'))
        self.assertEqual(self.suspects.quarantine_left_s('a'), 0.0)
        self.assertFalse(self.suspects.note_completion('a'))

    def test_content_that_has_just_run_whole_is_not_suspected(self):
        self.suspects.note_completion('a')
        self.assertFalse(self.add('a', 1, 2, 3))
        self.now = COMPLETION_VALID_S
        self.assertTrue(self.add('a', 1, 2, 3))

    def test_whole_runs_of_many_contents_take_bounded_memory(self):
        for number in range(MAX_REMEMBERED_CONTENTS + 1):
            self.suspects.note_completion(f'c{number}')
        self.assertFalse(self.suspects.has_completed('c0'))
        self.assertTrue(self.suspects.has_completed('c1'))

    def test_crash_that_is_taken_back_counts_for_nothing(self):
        self.add('a', 1, 2, 3)
        self.add('b', 1)
        changed = self.suspects.withdraw(start(1))
        self.assertEqual(sorted(changed), ['a', 'b'])
        self.assertEqual(self.suspects.crashes('a'), 2)
        self.assertEqual(self.suspects.quarantine_left_s('a'), 0.0)
        self.assertNotIn('b', self.suspects.by_content)
        self.assertFalse(self.add('b', 1))
        self.assertIsNone(self.suspects.withdraw(start(1)))
        self.assertTrue(self.suspects.add(suspect('b', 4)))

    def test_contents_are_forgotten_in_time(self):
        self.add('a', 1)
        self.now = MIN_SUSPICION_S
        self.add('b', 1)
        self.assertEqual(list(self.suspects.by_content), ['b'])
        old = suspect('c', 1, at=self.now - MIN_SUSPICION_S)
        self.assertFalse(self.suspects.add(old))

    def test_many_contents_take_bounded_memory_and_the_held_one_stays(self):
        self.add('held', 1, 2, 3)
        for number in range(MAX_SUSPECTS + 100):
            self.now += 0.001
            self.add(f'c{number}', 1)
            self.assertLessEqual(len(self.suspects.by_content), MAX_SUSPECTS)
        self.assertIn(f'c{MAX_SUSPECTS + 99}', self.suspects.by_content)
        self.assertNotIn('c0', self.suspects.by_content)
        self.assertGreater(self.suspects.quarantine_left_s('held'), 0.0)

    def test_starts_are_read_as_they_are_written(self):
        for text in ('i-1/0', 'a/b/17'):
            self.assertEqual(str(parse_incarnation(text)), text)
        for text in ('', 'i-1', 'i-1/', '/1', 'i-1/x', 'i-1/-1'):
            self.assertIsNone(parse_incarnation(text))

    @settings(suppress_health_check=[HealthCheck.too_slow])
    @given(crashes=CRASHES, data=st.data())
    def test_daemons_know_the_same_in_whatever_order_they_hear(
        self, crashes, data
    ):
        told = [suspect('a', number, at=at) for number, at in crashes]
        known = []
        for order in (told, data.draw(st.permutations(told))):
            self.now = 100.0
            suspects = CrashSuspects(clock=lambda: self.now)
            for each in order:
                suspects.add(each)
            known.append(suspects.by_content['a'].crashed)
        self.assertEqual(known[0], known[1])


if __name__ == '__main__':
    unittest.main()
