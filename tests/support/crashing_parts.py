"""Requests with a bad prompt part beside sound ones, no two alike."""

from dataclasses import dataclass, field

import anyio

from tests.support.crashes import CrashingSite
from tests.support.platform_site import open_site
from tests.support.prompts import prompt_of

BAD, FIRST, SECOND = 'bad0', '5c1e07a2', '91bd3f06'
SOUND = 'bb'
"""Part of the sound requests in the place of the bad one."""
FOR_S = 24.0
BEHIND_S = 3.0
"""Time after the fifth crash from which on arrivals count."""
MOST_LATE = 3
SOUND_EVERY_S = 0.1
BAD_EVERY_S = 0.4
LAST_S = 10.0
"""Time at the end in which sound requests have to be served."""


@dataclass(frozen=True, kw_only=True)
class Traffic:
    """What callers ask for; times in seconds."""

    path: str = '/question/'
    bad: tuple = (FIRST, BAD)
    """Shared parts of a bad request."""
    sound: tuple = (FIRST, SOUND)
    for_s: float = FOR_S
    bad_every_s: float = BAD_EVERY_S
    repeats: int = 0
    """How often a caller repeats a bad request that was not served."""
    pause_s: float = 0.3
    models: tuple = ('m',)
    """Models that bad requests name in turn; sound ones name the first."""


@dataclass(kw_only=True)
class Play:
    """Traffic on a site, and its answers."""

    site: object
    crashing: CrashingSite
    traffic: Traffic
    bad_answers: list = field(default_factory=list)
    sound_answers: list = field(default_factory=list)
    """First tries alone."""

    async def ask(self, number, shared, answers):
        daemons = [each for each in self.site.daemons if each is not None]
        answer = await self.site.caller().send(
            daemons[number % len(daemons)].entry,
            f'{self.traffic.path}{len(answers)}-{number}',
            body=b'%d' % number,
            headers=prompt_of(*shared, f'{number:08x}'),
        )
        answers.append(answer)

    async def ask_bad(self, number):
        """Ask for a bad one, and again if it is not served."""
        traffic = self.traffic
        model = traffic.models[number % len(traffic.models)]
        daemons = [each for each in self.site.daemons if each is not None]
        entries = [
            daemons[(number + attempt) % len(daemons)].entry
            for attempt in range(1 + traffic.repeats)
        ]
        self.bad_answers += await self.site.caller().send_until_served(
            entries,
            f'{traffic.path}bad-{number}',
            pause_s=traffic.pause_s,
            body=b'%d' % number,
            headers=prompt_of(*traffic.bad, f'{number:08x}', model=model),
        )

    async def run(self):
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._ask_sound_ones, tasks)
            for number in range(
                round(self.traffic.for_s / self.traffic.bad_every_s)
            ):
                tasks.start_soon(self.ask_bad, 1000 + number)
                await anyio.sleep(self.traffic.bad_every_s)

    async def _ask_sound_ones(self, tasks):
        for number in range(round(self.traffic.for_s / SOUND_EVERY_S)):
            tasks.start_soon(
                self.ask, number, self.traffic.sound, self.sound_answers
            )
            await anyio.sleep(SOUND_EVERY_S)

    def count_late(self):
        """Count what reached engines well behind the fifth crash."""
        times = [at for at, _ in self.crashing.crashes]
        ids = {answer.id for answer in self.bad_answers}
        return sum(
            id_ in ids and at > times[4] + BEHIND_S
            for replica in self.site.replicas_by_id.values()
            for at, id_ in replica.arrivals
            if len(times) > 4
        )

    def share_begun(self):
        """Return the share of sound requests that began at an engine."""
        begun = {
            id_
            for replica in self.site.replicas_by_id.values()
            for _, id_ in replica.arrivals
        }
        return sum(a.id in begun for a in self.sound_answers) / len(
            self.sound_answers
        )

    def share_served(self):
        """Return the share of sound requests that were served at the end."""
        until = max(answer.sent_at for answer in self.sound_answers)
        last = [
            answer
            for answer in self.sound_answers
            if answer.sent_at > until - LAST_S
        ]
        return sum(a.status == 200 and a.is_whole for a in last) / len(last)


async def play(
    *,
    engines=9,
    daemons=3,
    beside=None,
    framing=None,
    crash_events=0,
    exit_s=0.001,
    parts=(BAD,),
    **traffic,
):
    """Play traffic on a site; `beside` is a task that disturbs it."""
    async with open_site(engines=engines, daemons=daemons, apps=0) as site:
        crashing = CrashingSite(
            site=site,
            parts=set(parts),
            framing=framing,
            crash_events=crash_events,
            exit_s=exit_s,
        )
        crashing.arm()
        each = Play(site=site, crashing=crashing, traffic=Traffic(**traffic))
        if beside is not None:
            site.tasks.start_soon(beside, site)
        await each.run()
        return each
