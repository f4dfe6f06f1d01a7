"""Requests that end the process of each endpoint that runs them."""

from dataclasses import dataclass, field

import anyio
from mimosamux_standins.site import Framing

from tests.support.platform_site import PlatformSite, open_site

BACK_S = 2.0
"""Time after which a crashed endpoint is back, under a new id."""
EXPIRY_S = 3.6
"""Silence after which a crashed endpoint's entry is removed."""
EVERY_S = 0.4
BEHIND_S = 3.0
"""Time after the third crash from which on arrivals count."""
PROMPT = (
    (b'X-Model', b'm'),
    (b'X-Token-Usage', b'1000,40'),
    (b'X-Prompt-Prefix', b'ab:600,cd:400'),
)
ENGINE_PATHS = ('/draft/', '/question/')


@dataclass(kw_only=True)
class CrashingSite:
    """A site, its crashes, and the arrivals of what causes them."""

    site: PlatformSite
    targets: set = field(default_factory=set)
    parts: set = field(default_factory=set)
    """Prompt parts that crash what begins to write an answer on them."""
    crash_after_s: float = 0.02
    """Less than any answer takes: one that was whole clears a suspect."""
    crash_events: int = 0
    """Whole events that come before a part crashes what writes them."""
    exit_s: float = 0.001
    hang_s: float | None = None
    """For how long a process whose connections have ended accepts new ones,
    None: they end with it."""
    framing: Framing | None = None
    """How these endpoints end their answers, None: as they did."""
    crashes: list = field(default_factory=list)
    """Time and path of each."""

    def arm(self, *replicas):
        """Have these endpoints crash under the requests in question."""
        for replica in replicas or tuple(self.site.replicas_by_id.values()):
            replica.crash_targets = self.targets
            replica.crash_parts = self.parts
            replica.crash_after_s = self.crash_after_s
            replica.crash_events = self.crash_events
            replica.exit_s = self.exit_s
            replica.framing = self.framing or replica.framing
            replica.on_crash = self.take_crash

    def take_crash(self, replica, run):
        self.crashes.append((anyio.current_time(), run.target))
        if self.hang_s is None:
            self.site.crash_replica(replica)
        else:
            self.site.crash_replica(replica, in_order=True, exit_s=self.hang_s)
        self.site.tasks.start_soon(self._replace, replica)

    async def _replace(self, replica):
        await anyio.sleep(BACK_S)
        heir = await self.site.add_replica(
            replica.service,
            replica.zone,
            slots=replica.slots,
            speed=replica.speed,
        )
        self.arm(heir)
        await anyio.sleep(EXPIRY_S - BACK_S)
        self.site.unlist_replica(replica)

    def late_arrivals(self, ids, target):
        """Count what reached endpoints well behind the third crash.

        The first arrival of each attempt counts as well as its repeats.
        """
        times = [at for at, crashed in self.crashes if crashed == target]
        if len(times) < 3:
            return 0
        return sum(
            id_ in ids and at > times[2] + BEHIND_S
            for replica in self.site.replicas_by_id.values()
            for at, id_ in replica.arrivals
        )


async def send(site, caller, number, target, *, method='POST', body=b'x'):
    """Send an attempt to one of the daemons."""
    entries = [handle.entry for handle in site.daemons if handle is not None]
    is_prompt = target.startswith(ENGINE_PATHS)
    return await caller.send(
        entries[number % len(entries)],
        target,
        method=method,
        body=body,
        headers=PROMPT if is_prompt else (),
    )


async def repeat(site, target, *, for_s, body=b'x', answers=None):
    """Send the same again and again, at any daemon; return the answers."""
    caller = site.caller()
    answers = [] if answers is None else answers
    until = anyio.current_time() + for_s

    async def send_one(number):
        answers.append(await send(site, caller, number, target, body=body))

    async with anyio.create_task_group() as tasks:
        number = 0
        while anyio.current_time() < until:
            tasks.start_soon(send_one, number)
            number += 1
            await anyio.sleep(EVERY_S)
    return answers


async def serve_others(site, path, *, count, every_s=0.1, body=b'y'):
    """Send other requests of the account; return how many were served."""
    caller = site.caller()
    served = []

    async def send_one(number):
        answer = await send(
            site, caller, number, f'{path}other-{number}', body=body
        )
        served.append(answer.status == 200 and answer.is_whole)

    async with anyio.create_task_group() as tasks:
        for number in range(count):
            tasks.start_soon(send_one, number)
            await anyio.sleep(every_s)
    return sum(served)


async def play(
    path, *, daemons=3, endpoints=9, crash_after_s=0.05, hang_s=None
):
    """Have a request come again for 30 s; return what it did.

    That is how often it reached endpoints well behind the third crash, and
    how many of 100 others were served in the last ten seconds.
    """
    target = f'{path}crashing'
    async with open_site(
        daemons=daemons, engines=endpoints, apps=endpoints
    ) as site:
        crashing = CrashingSite(
            site=site,
            targets={target},
            crash_after_s=crash_after_s,
            hang_s=hang_s,
        )
        crashing.arm()
        answers, served = [], []
        async with anyio.create_task_group() as tasks:

            async def repeat_it():
                await repeat(site, target, for_s=30.0, answers=answers)

            async def serve_last():
                await anyio.sleep(20.0)
                served.append(await serve_others(site, path, count=100))

            tasks.start_soon(repeat_it)
            tasks.start_soon(serve_last)
        ids = {answer.id for answer in answers}
        return (
            len(crashing.crashes),
            crashing.late_arrivals(ids, target),
            served[0],
            answers,
        )


async def crash_thrice(crashing, target):
    """Send a request again until three endpoints have crashed under it."""
    site, caller = crashing.site, crashing.site.caller()
    number = 0
    while len(crashing.crashes) < 3:
        await send(site, caller, number, target)
        number += 1


async def have_held(crashing, target):
    """Have a request held back, and let every daemon hear of it."""
    await crash_thrice(crashing, target)
    await anyio.sleep(0.5)


def count_arrivals(site):
    """Return how many requests have reached endpoints so far."""
    return sum(
        len(replica.arrivals) for replica in site.replicas_by_id.values()
    )
