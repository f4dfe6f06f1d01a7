"""Callers of a soak that send one request right behind the other."""

import random
from dataclasses import dataclass, field

import anyio
from mimosamux_standins.site import StandInCaller

from tests.support.paced_network import Pace, PacedNetwork
from tests.support.platform_processes import PROMPT
from tests.support.soak_callers import STREAM_TARGETS, Callers, Sent

RETRY_S = 0.05
MOVE_SHARE = 0.1
"""Share of the answers behind which a caller goes to another daemon."""
SHORT_S, LONG_S = 6.0, 15.0
"""Time limits that callers state."""
LONGEST_WAIT_AHEAD_S = 1.0
"""Of a caller that sends a second request before the first is answered."""


@dataclass(frozen=True, kw_only=True)
class Habit:
    """How a caller sends."""

    pace: Pace = field(default_factory=Pace)
    opens_each: bool = False
    """Whether each request gets a new connection."""
    sends_ahead: bool = False
    """Whether a request is sent before the answer to the last has ended."""


HABITS = (
    Habit(),
    Habit(),
    Habit(),
    Habit(pace=Pace(body_after_s=1.5)),
    Habit(pace=Pace(reads_after_s=1.2)),
    Habit(opens_each=True),
    Habit(sends_ahead=True),
)


@dataclass(kw_only=True)
class SteadyCallers(Callers):
    """Callers that stay at a daemon until it does not serve them."""

    targets: tuple = STREAM_TARGETS
    slip_share: float = 0.1

    async def _run(self):
        async with anyio.create_task_group() as tasks:
            for number in range(self.count):
                rng = random.Random(self.rng.getrandbits(64))
                habit = HABITS[number % len(HABITS)]
                tasks.start_soon(self._call_steadily, habit, rng)

    async def _call_steadily(self, habit, rng):
        caller = StandInCaller(
            network=PacedNetwork(pace=habit.pace), key='key-school', rng=rng
        )
        entry = rng.choice(self.entries)
        while not self._stopping.is_set():
            caller.patience_s = rng.uniform(SHORT_S, LONG_S)
            sent = await self._send(caller, habit, entry, rng)
            self.sent += sent
            is_served = all(each.answer.status == 200 for each in sent)
            if not is_served or rng.random() < MOVE_SHARE:
                entry = rng.choice(self.entries)
            if habit.opens_each:
                await caller.channels.close()
            if not is_served:
                await anyio.sleep(RETRY_S)
        await caller.channels.close()

    async def _send(self, caller, habit, entry, rng):
        """Send a request, or two at once; return them with their answers."""
        is_slip = rng.random() < self.slip_share
        prefixes = ('/slip/',) if is_slip else self.targets
        targets = [
            f'{rng.choice(prefixes)}{rng.randrange(9)}' for _ in range(2)
        ]
        fields = {'body': b'brief', 'headers': () if is_slip else PROMPT}
        if habit.sends_ahead:
            answers = await caller.send_pair(
                entry,
                targets,
                between_s=rng.uniform(0.0, LONGEST_WAIT_AHEAD_S),
                **fields,
            )
        else:
            answers = [await caller.send(entry, targets[0], **fields)]
        return [
            Sent(
                target=target,
                key=caller.key,
                answer=answer,
                entry=entry,
                limit_s=caller.patience_s,
                ahead_id='' if answer is answers[0] else answers[0].id,
            )
            for target, answer in zip(targets, answers, strict=False)
        ]
