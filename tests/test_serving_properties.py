"""Random schedules of faults against the promises of the serving path.

The checks look at the callers' answers and at what the emulated engines
recorded, not at what the daemon says of itself. Each check is shown to
fail on a daemon that is broken on purpose.
"""

import unittest
from contextlib import ExitStack
from dataclasses import dataclass, replace
from unittest import mock

import anyio
from hypothesis import given, settings
from hypothesis import strategies as st
from mimosamux_daemon.adapters.memory_engine import EngineSpeed, FaultKind
from mimosamux_daemon.serving import relay
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.requests import ActiveRequest

from tests.support.clock import run_paused
from tests.support.serving import DRAFT, Site, is_whole, open_site

ENGINES = 4
LEAVING_GRACE_S = 3.0
"""After this time an endpoint that leaves receives no new work."""
PATIENT_S = 600.0
"""Every request has its answer by then, or it counts as lost."""


@dataclass(frozen=True, kw_only=True)
class Step:
    """One event of a schedule, some seconds after the one before."""

    after: float
    kind: str
    engine: int
    value: float = 0.0
    fault: FaultKind = FaultKind.DOUBLED


steps = st.builds(
    Step,
    after=st.floats(0.0, 2.0),
    kind=st.sampled_from(
        ['offer', 'offer', 'reclaim', 'die', 'freeze', 'fault', 'fault', 'kv']
    ),
    engine=st.integers(1, ENGINES),
    value=st.floats(0.0, 8.0),
    fault=st.sampled_from(FaultKind),
)
schedules = st.lists(steps, min_size=1, max_size=25)


class Play:
    """Plays a schedule and keeps what is needed to judge it."""

    def __init__(self, site: Site) -> None:
        self.site = site
        self.actives: list[ActiveRequest] = []
        self.left_at: dict[str, float] = {}

    async def run(self, schedule: list[Step]) -> None:
        for number in range(1, ENGINES + 1):
            await self._start_engine(number)
        await self._offer(200)
        for step in schedule:
            await anyio.sleep(step.after)
            await getattr(self, f'_{step.kind}_step')(step)
        with anyio.move_on_after(PATIENT_S):
            for active in self.actives:
                await active.wait_ended()

    async def _start_engine(self, number: int) -> None:
        self.site.add_engine(
            number,
            speed=EngineSpeed(
                decode_interval_s=0.03,
                prefill_tokens_per_s=2_000.0,
                kv_bytes_per_s=2e8,
                slots=6,
            ),
        )

    async def _offer(self, max_tokens: int) -> None:
        words = f'trip {len(self.actives)} ' + 'by the lake ' * 60
        self.actives.append(
            await self.site.offer(words, max_tokens=max_tokens)
        )

    async def _offer_step(self, step: Step) -> None:
        if any(self.site.fleet.serving_model('demo')):
            await self._offer(10 + int(step.value * 40))

    async def _reclaim_step(self, step: Step) -> None:
        """Take an engine away after a notice and start another one."""
        identity = f'e{step.engine}'
        if identity in self.left_at:
            return
        self.left_at[identity] = anyio.current_time()
        self.site.fleet.mark_leaving(identity, seconds_left=step.value)
        self.site.tasks.start_soon(self._take_away, identity, step.value)

    async def _take_away(self, identity: str, notice: float) -> None:
        await anyio.sleep(notice)
        self.site.engines.by_id[identity].die()
        await anyio.sleep(5.0)
        await self._start_engine(100 + len(self.site.engines.by_id))

    async def _die_step(self, step: Step) -> None:
        identity = f'e{step.engine}'
        engine = self.site.engines.by_id[identity]
        if identity not in self.left_at and not engine.dead.is_set():
            engine.die()
            self.left_at[identity] = float('inf')
            self.site.tasks.start_soon(self._replace_dead, identity)

    async def _replace_dead(self, identity: str) -> None:
        await anyio.sleep(4.0)
        self.site.fleet.remove(identity)
        await self._start_engine(100 + len(self.site.engines.by_id))

    async def _freeze_step(self, step: Step) -> None:
        engine = self.site.engines.by_id[f'e{step.engine}']
        engine.freeze()
        self.site.tasks.start_soon(self._thaw, engine, step.value * 3)

    async def _thaw(self, engine, seconds: float) -> None:
        await anyio.sleep(seconds)
        engine.thaw()

    async def _fault_step(self, step: Step) -> None:
        self.site.engines.by_id[f'e{step.engine}'].inject(step.fault)

    async def _kv_step(self, step: Step) -> None:
        """Take away or slow down the transfer of KV cache."""
        engine = self.site.engines.by_id[f'e{step.engine}']
        engine.abilities.exports_kv = step.value > 2
        engine.abilities.imports_kv = step.value < 4
        engine.abilities.resumes = step.value < 7
        engine.speed = replace(engine.speed, kv_bytes_per_s=1e7 + 1e8)


def find_lost(play: Play) -> list[str]:
    """Return requests without a whole answer of their own."""
    return [
        active.request.id for active in play.actives if not is_whole(active)
    ]


def find_work_at_leaving(play: Play) -> list[str]:
    """Return attempts that a leaving engine was given too late."""
    late = []
    for identity, left_at in play.left_at.items():
        for run in play.site.engines.by_id[identity].runs:
            if run.dispatched_at > left_at + LEAVING_GRACE_S:
                late.append(f'{run.call.request} at {identity}')
    return late


def find_doubled_attempts(play: Play) -> list[str]:
    """Return attempt numbers that engines were given more than once."""
    seen = set()
    doubled = []
    for engine in play.site.engines.by_id.values():
        for run in engine.runs:
            key = (run.call.request, run.call.attempt)
            if key in seen:
                doubled.append(f'{key}')
            seen.add(key)
    return doubled


async def play_schedule(schedule: list[Step]) -> tuple[list[str], ...]:
    """Return what each check found after a schedule."""
    async with open_site() as site:
        play = Play(site)
        await play.run(schedule)
        return (
            find_lost(play),
            find_work_at_leaving(play),
            find_doubled_attempts(play),
        )


class TestServingProperties(unittest.TestCase):
    """Reclaims, deaths, stalls and faulty frames come in any order.

    Whatever comes, a caller reads the whole answer to their own request,
    once, and nothing new is sent to an endpoint that is leaving.
    """

    @settings(max_examples=100, derandomize=True, deadline=None)
    @given(schedules)
    def test_every_request_is_answered_once_and_in_full(self, schedule):
        lost, late, doubled = run_paused(play_schedule, schedule)
        self.assertEqual(lost, [])
        self.assertEqual(late, [])
        self.assertEqual(doubled, [])


FRAME_FAULTS = [
    Step(after=0.3, kind='fault', engine=engine, fault=fault)
    for fault in (FaultKind.DOUBLED, FaultKind.CROSSED, FaultKind.LATE)
    for engine in range(1, ENGINES + 1)
]
RECLAIMS = [
    Step(after=1.0, kind='reclaim', engine=engine, value=6.0)
    for engine in (1, 2, 3)
]


class TestChecksFindBrokenDaemons(unittest.TestCase):
    """A check that finds nothing on a broken daemon would prove nothing."""

    def find(self, schedule, *patches):
        with ExitStack() as stack:
            for patch in patches:
                stack.enter_context(patch)
            return run_paused(play_schedule, schedule)

    def test_relay_that_skips_find_fault_loses_answers(self):
        def see_no_fault(event, call, received):
            return None

        patch = mock.patch.object(relay, 'find_fault', see_no_fault)
        lost, _, _ = self.find(FRAME_FAULTS, patch)
        self.assertTrue(lost)

    def test_relay_that_takes_any_attempt_loses_answers(self):
        find_fault = relay.find_fault

        def forget_attempt(event, call, received):
            call = replace(call, attempt=event.attempt)
            return find_fault(event, call, received)

        patch = mock.patch.object(relay, 'find_fault', forget_attempt)
        lost, _, _ = self.find(FRAME_FAULTS, patch)
        self.assertTrue(lost)

    def test_daemon_that_ignores_notices_sends_work_to_leaving_ones(self):
        patch = mock.patch.object(
            Fleet, 'mark_leaving', lambda fleet, endpoint, seconds_left: None
        )
        offers = [
            Step(after=0.5, kind='offer', engine=1, value=1.0)
            for _ in range(20)
        ]
        reclaims = [replace(step, value=30.0) for step in RECLAIMS]
        _, late, _ = self.find([*reclaims, *offers], patch)
        self.assertTrue(late)

    def test_daemon_that_does_not_count_attempts_up_is_found(self):
        patch = mock.patch.object(
            ActiveRequest,
            'attempt',
            property(lambda active: 1, lambda active, value: None),
        )
        offers = [
            Step(after=0.1, kind='offer', engine=1, value=8.0)
            for _ in range(8)
        ]
        _, _, doubled = self.find([*offers, *RECLAIMS], patch)
        self.assertTrue(doubled)

    def test_daemon_that_never_retries_loses_answers(self):
        once = replace(DRAFT, repeatable=False)
        patch = mock.patch.dict(
            'tests.support.serving.make_request.__kwdefaults__',
            {'work_class': once},
        )
        deaths = [
            Step(after=0.5, kind='die', engine=engine) for engine in (1, 2, 3)
        ]
        lost, _, _ = self.find(deaths, patch)
        self.assertTrue(lost)
