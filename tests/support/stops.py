"""A daemon that is asked to stop under its callers, and what they got.

The callers keep their connections, and most send their next request as soon
as the last has ended.
"""

import itertools
import threading
import time
from dataclasses import dataclass, field

import anyio
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_standins.site import StandInCaller

from tests.support.platform_processes import PROMPT, platform_processes

GRACE_S = 8.0
EXCUSED_SENT_S = 3.0
"""A request sent up to so long behind SIGTERM may be cut in the last sixth of
the grace period, while its endpoint is at work."""
EXCUSED_SHARE = 5 / 6
LOSS_SLACK_S = 0.2
"""Time behind a request's last byte from which an end without an answer is a
loss, though no endpoint had the request."""
LIMIT_SLACK_S = 0.1
DRAFT_LIMIT_S = 15.0
PROMISES = (408, 421, 429, 503)
"""Statuses which say that a request has not run."""


@dataclass(frozen=True, kw_only=True)
class Attempt:
    """One request, and how it ended."""

    id: str
    sent_at: float
    ended_at: float
    status: int | None
    is_whole: bool
    patience_s: float
    is_unread: bool = False
    """Whether its connection was closed with the request unread."""


def find_fate(attempt, *, signalled_at, was_passed_on, grace_s=GRACE_S):
    """Return what became of a request, in a word.

    It is served, refused, late, excused or lost, or it has crossed the close
    of its connection, so that nobody had it. What a daemon never read it can't
    have lost, however long the answer ahead of it lasted.
    """
    if attempt.is_whole and attempt.status not in PROMISES:
        return 'served' if attempt.status == 200 else 'failed'
    if attempt.is_whole:
        return 'lost' if was_passed_on else 'refused'
    took_s = attempt.ended_at - attempt.sent_at
    if took_s >= attempt.patience_s - LIMIT_SLACK_S:
        return 'late'
    if attempt.is_unread and not was_passed_on and attempt.status is None:
        return 'crossed'
    if not was_passed_on:
        is_dropped = attempt.status is not None or took_s > LOSS_SLACK_S
        return 'lost' if is_dropped else 'crossed'
    is_early = attempt.sent_at <= signalled_at + EXCUSED_SENT_S
    is_at_end = attempt.ended_at >= signalled_at + EXCUSED_SHARE * grace_s
    return 'excused' if is_early and is_at_end else 'lost'


@dataclass(kw_only=True)
class StopRecord:
    """What callers got from a daemon that was stopped."""

    attempts: list
    signalled_at: float
    ended_at: float
    passed_on: set
    """Ids of the requests that reached an endpoint."""
    log: list = field(default_factory=list)
    """Lines of the daemon."""

    def fates(self):
        """Return the attempts behind the signal by what became of them."""
        by_fate = {}
        for attempt in self.attempts:
            if attempt.ended_at > self.signalled_at:
                fate = find_fate(
                    attempt,
                    signalled_at=self.signalled_at,
                    was_passed_on=attempt.id in self.passed_on,
                )
                by_fate.setdefault(fate, []).append(attempt)
        return by_fate

    def lost(self):
        """Return the lost requests: id, sent and ended behind the signal."""
        return [
            (
                each.id,
                round(each.sent_at - self.signalled_at, 2),
                round(each.ended_at - self.signalled_at, 2),
                each.status,
            )
            for each in self.fates().get('lost', ())
        ]

    @property
    def took_s(self):
        """Time from the signal to the end of the process."""
        return self.ended_at - self.signalled_at


@dataclass(kw_only=True)
class StopCallers:
    """Callers of one daemon, until it is gone."""

    entry: str
    targets: tuple
    patience_s: float = DRAFT_LIMIT_S
    pause_s: float = 0.0
    """Time between the end of an answer and the next request."""
    opens_each: bool = False
    """Whether each request gets a new connection."""
    begin_every_s: float = 0.2
    """Time between the first requests of two callers."""
    attempts: list = field(default_factory=list)
    is_over: bool = False

    async def call(self, number):
        """Send one request after the other."""
        await anyio.sleep(self.begin_every_s * number)
        caller = StandInCaller(
            network=TcpNetwork(), key='key-school', patience_s=self.patience_s
        )
        for turn in itertools.count():
            if self.is_over:
                break
            target = self.targets[(number + turn) % len(self.targets)]
            answer = await caller.send(
                self.entry,
                f'{target}{number}',
                body=b'brief',
                headers=PROMPT,
                id_=f'{number:02d}-{turn}-{id(self) % 10_000}',
            )
            self._note(answer)
            if self.opens_each:
                await caller.channels.close()
            if answer.status is None:
                # Nobody listens any more, or the connection has ended.
                await anyio.sleep(0.05)
            elif self.pause_s:
                await anyio.sleep(self.pause_s)
        await caller.channels.close()

    def _note(self, answer):
        if 'Refused' in answer.problem:
            return
        self.attempts.append(
            Attempt(
                id=answer.id,
                sent_at=answer.sent_at,
                ended_at=answer.ended_at,
                status=answer.status,
                is_whole=answer.is_whole,
                patience_s=self.patience_s,
            )
        )


def play_stop(
    *,
    targets=('/draft/',),
    callers=20,
    steady_s=4.5,
    signals=None,
    meanwhile=None,
    options=None,
    fields=None,
):
    """Stop one of two daemons under callers; return what they got.

    `signals` sends the signals in place of one SIGTERM, `meanwhile` gets the
    platform behind them.
    """
    with platform_processes(daemons=2, **(options or {})) as platform:
        daemon = platform.daemons[0]
        record = anyio.run(
            _play,
            platform,
            daemon,
            [
                StopCallers(entry=daemon.entry, targets=targets, **each)
                for each in fields or ({},)
            ],
            callers,
            steady_s,
            signals or (lambda each: each.terminate()),
            meanwhile,
        )
        seen = platform.seen()
        record.passed_on = {
            each['id'] for each in seen['arrivals'] if each['is_accepted']
        }
        return record


async def _play(
    platform, daemon, groups, callers, steady_s, signals, meanwhile
):
    popen = daemon.process.popen
    log = []
    # A pipe that nobody reads is full before the daemon has stopped.
    reader = threading.Thread(target=lambda: log.extend(popen.stdout))
    reader.start()
    async with anyio.create_task_group() as tasks:
        for number in range(callers):
            tasks.start_soon(groups[number % len(groups)].call, number)
        await anyio.sleep(steady_s)
        signalled_at = time.monotonic()
        await anyio.to_thread.run_sync(signals, daemon.process)
        if meanwhile is not None:
            await anyio.to_thread.run_sync(meanwhile, platform)
        await anyio.to_thread.run_sync(popen.wait)
        ended_at = time.monotonic()
        for group in groups:
            group.is_over = True
        tasks.cancel_scope.deadline = anyio.current_time() + 1.0
    reader.join()
    return StopRecord(
        attempts=[each for group in groups for each in group.attempts],
        signalled_at=signalled_at,
        ended_at=ended_at,
        passed_on=set(),
        log=log,
    )
