"""Callers of a soak whose requests share a prompt part that crashes engines.

No two are alike, and a caller repeats what was not served, as it was.
"""

import itertools
from dataclasses import dataclass

import anyio
from mimosamux_daemon.adapters.tcp_network import TcpNetwork
from mimosamux_standins.site import StandInCaller

from tests.support.prompts import prompt_of
from tests.support.soak_callers import Callers, Sent
from tests.support.soak_stop_checks import CONTACT_S

BAD = 'bad0'
FIRST = '5c1e07a2'
"""Part that sound requests share with the bad ones."""
MARK = 'bad-'
"""Begins the last segment of the path of bad requests."""
EVERY_S = 1.5
TRIES = 4
REPEAT_PAUSE_S = 0.3
COUNTED_CRASHES = 5
"""Crashes after which arrivals count."""
MOST_LATE = 3


@dataclass(kw_only=True)
class BadPartCallers(Callers):
    """Sends a bad request at a time, each at any daemon."""

    async def _run(self):
        async with anyio.create_task_group() as tasks:
            for number in itertools.count():
                if self._stopping.is_set():
                    return
                tasks.start_soon(self._ask, number)
                await anyio.sleep(EVERY_S)

    async def _ask(self, number):
        caller = StandInCaller(
            network=TcpNetwork(),
            key='key-school',
            patience_s=self.patience_s,
            rng=self.rng,
        )
        target = f'/question/{MARK}{number}'
        entries = [self.rng.choice(self.entries) for _ in range(TRIES)]
        answers = await caller.send_until_served(
            entries,
            target,
            pause_s=REPEAT_PAUSE_S,
            body=b'%d' % number,
            headers=prompt_of(FIRST, BAD, f'{number:08x}'),
        )
        self.sent += [
            Sent(
                target=target,
                key=caller.key,
                answer=answer,
                entry=entry,
                limit_s=self.patience_s,
            )
            for entry, answer in zip(entries, answers, strict=False)
        ]
        await caller.channels.close()


def check_bad_parts(record):
    """Yield that a part went on reaching engines after it was known."""
    crashes = sorted(each['at'] for each in record.seen.get('crashes', ()))
    if len(crashes) < COUNTED_CRASHES:
        return
    known_at = crashes[COUNTED_CRASHES - 1] + CONTACT_S
    entry_by_id = {
        sent.answer.id: sent.entry
        for sent in record.sent
        if MARK in sent.target
    }
    late = [
        each
        for each in record.seen['arrivals']
        if each['id'] in entry_by_id
        and each['at'] > known_at
        and not _is_out_of_touch(record, entry_by_id[each['id']], each['at'])
    ]
    if len(late) > MOST_LATE:
        yield (
            f'{len(late)} requests with a part that crashes engines reached'
            f' them later than {CONTACT_S:g} s behind the fifth crash, in all'
            f' {len(crashes)} ended'
        )


def _is_out_of_touch(record, entry, at):
    """Whether a daemon, or its way to the store, failed shortly before."""
    spans = [
        (each.start, each.end)
        for each in record.absences
        if each.entry == entry
    ]
    spans += [
        (each.start, each.end)
        for each in record.disruptions
        if each.place == entry
    ]
    return any(start <= at and end >= at - CONTACT_S for start, end in spans)
