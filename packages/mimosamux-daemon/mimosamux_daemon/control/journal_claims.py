"""Goes on with durable requests whose daemon died."""

import random
from collections.abc import Awaitable, Callable

import anyio

from mimosamux_daemon.control.membership import Membership
from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.work import ModelRequest
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.table import Table
from mimosamux_daemon.serving.journal import Journal
from mimosamux_daemon.serving.journal_rows import (
    JOURNAL_PREFIX,
    daemon_prefix,
)

log = get_log('journal_claims')

LOOK_S = 2.0
"""Interval between two looks at who has gone."""
SWEEP_LEAST_S = 15.0
SWEEP_PER_DATA_CENTRE_S = 4.0
"""A sweep reads a row for each daemon, and each data centre sweeps: the
interval grows with their number so that the reads a second do not."""

GoOn = Callable[[ModelRequest], Awaitable[None]]


class JournalClaims:
    """Claims what dead daemons left, one claimer in each data centre.

    Daemons that are seen to go are claimed at once. A sweep over the
    journal finds those that nobody saw go, as when all were replaced
    together: their requests were accepted and must not be lost.
    """

    def __init__(
        self,
        *,
        journal: Journal,
        table: Table,
        membership: Membership,
        go_on: GoOn,
        rng: random.Random | None = None,
    ) -> None:
        self._journal = journal
        self._table = table
        self._membership = membership
        self._go_on = go_on
        self._rng = random.Random() if rng is None else rng
        self._settled: set[DaemonId] = set()

    async def run(self) -> None:
        """Look for dead daemons until cancelled."""
        sweep_at = anyio.current_time() + self._sweep_s()
        while True:
            await anyio.sleep(LOOK_S * self._rng.uniform(0.8, 1.2))
            if not self._membership.is_poller():
                continue
            await self._claim_gone()
            if anyio.current_time() >= sweep_at:
                await self.sweep()
                sweep_at = anyio.current_time() + self._sweep_s()

    async def sweep(self) -> None:
        """Claim from every daemon that has rows and is dead."""
        after = ''
        while True:
            rows = await self._table.scan(JOURNAL_PREFIX, after=after, limit=1)
            if isinstance(rows, Unavailable) or not rows:
                return
            holder = _holder_of(rows[0].key)
            if self._membership.is_gone(holder) or self._is_own(holder):
                await self._claim(holder)
            # The next key behind every row of this daemon.
            after = daemon_prefix(holder) + '\U0010ffff'

    async def _claim_gone(self) -> None:
        gone = set(self._membership.recently_gone())
        self._settled &= gone
        for daemon in sorted(gone - self._settled):
            if await self._claim(daemon):
                self._settled.add(daemon)

    async def _claim(self, dead: DaemonId) -> bool:
        requests = await self._journal.claim(dead)
        if isinstance(requests, Unavailable):
            log.info('claim_unavailable', dead=dead, reason=requests.reason)
            return False
        for request in requests:
            await self._go_on(request)
        return True

    def _is_own(self, holder: DaemonId) -> bool:
        # Rows of an earlier process of the same name are claimed too.
        return holder == self._membership.daemon

    def _sweep_s(self) -> float:
        data_centres = len(self._membership.data_centres())
        interval_s = max(SWEEP_LEAST_S, SWEEP_PER_DATA_CENTRE_S * data_centres)
        return interval_s * self._rng.uniform(0.7, 1.3)


def _holder_of(key: str) -> DaemonId:
    parts = key.removeprefix(JOURNAL_PREFIX).rsplit('/', 2)
    return DaemonId(parts[0])
