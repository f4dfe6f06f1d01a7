"""Callers of a soak, which keep sending and record what they got."""

import math
import random
import threading
from dataclasses import dataclass, field

import anyio
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_standins.site import StandInCaller
from mimosamux_standins.site.caller import STOPPED_WAITING, last_event_id

from tests.support.platform_processes import PROMPT

CALLERS = 12
TARGETS = ('/slip/', '/list/', '/draft/', '/question/')
KEYS = {'key-school': 'school', 'key-office': 'office'}
REVOKED_KEY = 'key-office'
STREAM_TARGETS = ('/draft/', '/question/')
RETURN_PAUSE_S = 0.3
MOST_TAKE_UPS = 4
"""Of one stream that goes on each time and breaks off again."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Sent:
    """One request as a caller sent it, and its answer."""

    target: str
    key: str
    answer: object
    entry: str = ''
    patience_s: float | None = None
    """Deadline that the caller waited for; None if it did not."""
    limit_s: float = math.inf
    """Time limit that the caller stated."""
    ahead_id: str = ''
    """Request on its connection that was to be answered before it."""
    has_left: bool = False
    """Whether the caller disconnected before its deadline."""
    behind: int = 0
    """Events that an earlier attempt brought."""


@dataclass(kw_only=True)
class CallersInThread:
    """Callers in a thread of their own, until they are told to stop."""

    rng: random.Random
    sent: list = field(default_factory=list)
    _stopping: threading.Event = field(default_factory=threading.Event)
    _thread: threading.Thread | None = None

    def start(self):
        self._thread = threading.Thread(target=lambda: anyio.run(self._run))
        self._thread.start()

    def request_stop(self):
        self._stopping.set()

    def stop(self):
        self.request_stop()
        self._thread.join()

    async def _run(self):
        """Run until the stop."""
        raise NotImplementedError


@dataclass(kw_only=True)
class Callers(CallersInThread):
    """Callers whose requests have to be served as promised."""

    entries: list
    count: int = CALLERS
    targets: tuple = TARGETS
    patience_s: float = 4.0
    longest_pause_s: float = 0.2
    stays_s: float | None = None
    """Time for which a caller stays beyond its deadline."""
    leaving_share: float = 0.0
    """Share of the requests whose callers disconnect before the deadline."""
    takes_up: bool = False
    """Whether questions that break off are taken up at any daemon."""
    comes_back_s: float = 0.0
    """For how long a caller tries this again, until the stream goes on."""

    async def _run(self):
        async with anyio.create_task_group() as tasks:
            for _ in range(self.count):
                rng = random.Random(self.rng.getrandbits(64))
                tasks.start_soon(self._call, rng)

    async def _take_up(self, caller, rng, target, broken):
        """Take a stream up behind each break that follows an event."""
        if broken.status != 200 or not last_event_id(broken.body):
            return
        # `last` brought the last event, `answer` came last.
        last = answer = broken
        for _ in range(MOST_TAKE_UPS):
            if answer.is_whole or answer.status != 200:
                return
            answer = await self._resume(
                caller, rng, target, last, began=broken.id
            )
            if answer.status == 200 and last_event_id(answer.body):
                last = answer

    async def _resume(self, caller, rng, target, last, *, began):
        """Ask for the rest of a stream until a daemon gives it."""
        until = anyio.current_time() + self.comes_back_s
        while True:
            entry = rng.choice(self.entries)
            answer = await caller.resume(
                last, entry, target, began=began, headers=PROMPT, body=b'brief'
            )
            self.sent.append(
                Sent(
                    target=target,
                    key=caller.key,
                    answer=answer,
                    entry=entry,
                    behind=int(last_event_id(last.body)),
                    limit_s=self.patience_s,
                )
            )
            if answer.status == 200 or anyio.current_time() >= until:
                return answer
            await anyio.sleep(RETURN_PAUSE_S)

    async def _call(self, rng):
        caller = StandInCaller(
            network=TcpNetwork(), patience_s=self.patience_s, rng=rng
        )
        while not self._stopping.is_set():
            caller.key = rng.choice(list(KEYS))
            target = f'{rng.choice(self.targets)}{rng.randrange(9)}'
            leaves = self.leaving_share > 0 and (
                rng.random() < self.leaving_share
            )
            if leaves:
                caller.leaves_after_s = rng.uniform(0.05, 2.0)
            elif self.stays_s is not None:
                caller.leaves_after_s = self.patience_s + self.stays_s
            is_read = target.startswith('/list/')
            is_stream = target.startswith(STREAM_TARGETS)
            entry = rng.choice(self.entries)
            answer = await caller.send(
                entry,
                target,
                method='GET' if is_read else 'POST',
                body=b'' if is_read else b'brief',
                headers=PROMPT if is_stream else (),
            )
            stays = self.stays_s is not None and not leaves
            self.sent.append(
                Sent(
                    target=target,
                    key=caller.key,
                    answer=answer,
                    entry=entry,
                    patience_s=self.patience_s if stays else None,
                    limit_s=self.patience_s,
                    has_left=leaves and answer.problem == STOPPED_WAITING,
                )
            )
            if self.takes_up and target.startswith('/question/'):
                await self._take_up(caller, rng, target, answer)
            await anyio.sleep(rng.uniform(0.01, self.longest_pause_s))
        await caller.channels.close()
