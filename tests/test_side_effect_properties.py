"""Calls that may not be repeated, under random schedules of faults."""

import contextlib
import unittest
from dataclasses import dataclass
from unittest.mock import patch

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.domain.engine import ConnectFailed
from mimosamux_daemon.domain.outcomes import Answered, Refused, Unknown
from mimosamux_daemon.serving import side_effects
from mimosamux_daemon.serving.side_effect_dispatch import Dispatcher
from mimosamux_daemon.serving.side_effect_duplicates import DuplicateCalls
from mimosamux_daemon.serving.side_effect_store import CallStore, Claim
from mimosamux_daemon.serving.side_effects import SideEffects

from tests.support.clock import run_paused
from tests.support.side_effects import Site, choose, settle_all

DAEMONS = ('d1', 'd2', 'd3')
KEYS = ('k1', 'k2')


@dataclass(frozen=True)
class Step:
    """One thing that happens, some time after the one before."""

    after_s: float
    action: str
    daemon: str
    key: str
    size: float


FAULTS = {
    'down': ('table', 'down', lambda step: True),
    'up': ('table', 'down', lambda step: False),
    'slow': ('table', 'delay_s', lambda step: step.size / 4),
    'slow_answers': ('table', 'delay_after_s', lambda step: step.size / 4),
    'lose': ('table', 'lose_next_answers', lambda step: int(step.size)),
    'service_slow': ('service', 'delay_s', lambda step: step.size),
    'service_cut': ('service', 'cut_next', lambda step: int(step.size)),
    'service_refuses': (
        'service',
        'refuse_connects',
        lambda step: frozenset({'s1', 's2'} if step.size > 5 else {'s1'}),
    ),
}


steps = st.lists(
    st.builds(
        Step,
        after_s=st.sampled_from([0.0, 0.0, 0.01, 0.6, 2.5, 7.0]),
        action=st.sampled_from(
            [*(6 * ['ask']), 'pause', 'kill', 'hold', *FAULTS]
        ),
        daemon=st.sampled_from(DAEMONS),
        key=st.sampled_from(KEYS),
        size=st.sampled_from([1.0, 2.0, 4.0, 9.0, 30.0]),
    ),
    min_size=4,
    max_size=25,
)


async def take(site: Site, tasks, step: Step) -> None:
    table, service = site.table.faults, site.services.faults
    match step.action:
        case 'ask':
            site.ask(step.daemon, step.key)
        case 'pause':
            site.pause(step.daemon, step.size)
        case 'kill':
            site.kill(step.daemon)
            await site.start(tasks, step.daemon)
        case 'hold':
            table.hold_next_commits, table.hold_s = 2, step.size
        case _:
            faults, name, value = FAULTS[step.action]
            setattr(table if faults == 'table' else service, name, value(step))


def heal(site: Site) -> None:
    site.table.faults.__init__()
    site.services.faults.__init__()


async def play(site: Site, schedule: list[Step]) -> list[str]:
    """Return every breach that the record of the service shows."""
    async with anyio.create_task_group() as tasks:
        for daemon in DAEMONS:
            await site.start(tasks, daemon)
        for step in schedule:
            await anyio.sleep(step.after_s)
            await take(site, tasks, step)
        heal(site)
        still_open = await settle_all(site, 'd1', KEYS)
        tasks.cancel_scope.cancel()
    return [*site.faults(), *still_open]


@contextlib.contextmanager
def sends_without_intent():
    """Take a row of somebody else for a claim."""
    original = CallStore.claim

    async def claim(self, key, row, *, give_up_at):
        found = await original(self, key, row, give_up_at=give_up_at)
        if isinstance(found, Claim):
            return found
        now = anyio.current_time()
        return Claim(key=key, row=row, version=0, sent_at=now)

    with patch.object(CallStore, 'claim', claim):
        yield


@contextlib.contextmanager
def sends_again():
    original = Dispatcher._send

    async def send(self, endpoint, call):
        answer = await original(self, endpoint, call)
        return answer or await original(self, endpoint, call)

    with patch.object(Dispatcher, '_send', send):
        yield


@contextlib.contextmanager
def says_not_run_without_answer():
    original = Dispatcher._send

    async def send(self, endpoint, call):
        answer = await original(self, endpoint, call)
        return answer or ConnectFailed(reason='no answer')

    with patch.object(Dispatcher, '_send', send):
        yield


@contextlib.contextmanager
def refuses_and_sends():
    original = SideEffects._claim

    async def claim(self, key, call):
        found = await original(self, key, call)
        if isinstance(found, Refused):
            await self._dispatcher._send(choose('s', frozenset()), call)
        return found

    with patch.object(SideEffects, '_claim', claim):
        yield


def says_not_run_unseen():
    return patch.object(
        side_effects, 'refuse_unchecked', lambda call, refused: refused
    )


@contextlib.contextmanager
def forgets_unknown():
    original = DuplicateCalls._replay

    async def replay(self, found, row, call):
        outcome = await original(self, found, row, call)
        if isinstance(outcome, Unknown):
            return Answered(request=call.id, body=b'surely it ran')
        return outcome

    with patch.object(DuplicateCalls, '_replay', replay):
        yield


def ask(daemon, key='k1', after_s=0.0):
    return Step(after_s, 'ask', daemon, key, 1.0)


def fault(action, size=1.0, after_s=0.0):
    return Step(after_s, action, 'd1', 'k1', size)


LATER = fault('up', after_s=9.0)


class TestSideEffectProperties(unittest.TestCase):
    @settings(max_examples=300, deadline=None, derandomize=True)
    @given(steps, st.booleans())
    def test_a_call_runs_at_most_once_and_answers_are_true(
        self, schedule, timers_run_first
    ):
        """Daemons pause and die while the store is down, slow or silent.

        Clients send the same key to several of them. A user would notice
        a slip that goes out twice, one that goes out though it was
        reported as not run, or two answers that differ.
        """
        site = Site(timers_run_first=timers_run_first)
        self.assertEqual(run_paused(play, site, schedule), [])

    def assert_found(self, broken, *schedule):
        with broken():
            self.assertNotEqual(run_paused(play, Site(), schedule), [])
        self.assertEqual(run_paused(play, Site(), schedule), [])

    def test_the_checks_find_a_call_sent_without_an_intent(self):
        self.assert_found(
            sends_without_intent, ask('d1'), ask('d2', after_s=1.0), LATER
        )

    def test_the_checks_find_a_call_sent_again(self):
        self.assert_found(sends_again, fault('service_cut'), ask('d1'), LATER)

    def test_the_checks_find_a_failed_call_said_not_to_have_run(self):
        self.assert_found(
            says_not_run_without_answer,
            fault('service_cut', 2.0),
            ask('d1'),
            LATER,
        )

    def test_the_checks_find_a_refused_call_that_is_sent(self):
        self.assert_found(refuses_and_sends, fault('down'), ask('d1'), LATER)

    def test_the_checks_find_a_call_that_ran_and_is_then_refused(self):
        self.assert_found(
            says_not_run_unseen,
            ask('d1'),
            fault('down', after_s=1.0),
            ask('d2'),
            LATER,
        )

    def test_the_checks_find_an_unknown_that_is_not_final(self):
        self.assert_found(
            forgets_unknown,
            fault('service_cut'),
            ask('d1'),
            ask('d2', after_s=3.0),
            LATER,
        )
