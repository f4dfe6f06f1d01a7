"""Resumes durable requests whose daemon has died."""

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

CHECK_INTERVAL_S = 2.0
"""Mean interval of the checks for gone daemons."""
MIN_SWEEP_INTERVAL_S = 15.0
"""Minimum mean interval of sweeps."""
SWEEP_INTERVAL_PER_DATA_CENTRE_S = 4.0
"""Mean sweep interval per data centre. A sweep reads one row per daemon,
and each data centre sweeps: the interval grows with the number of data
centres so that the reads per second do not."""

ResumeRequest = Callable[[ModelRequest], Awaitable[None]]


class JournalClaims:
    """Claims the journalled requests of dead daemons.

    One daemon per data centre, the poller, claims. It claims the requests
    of a daemon as soon as the membership reports it gone. A sweep over the
    journal finds daemons whose end no daemon observed, for example when
    all are replaced at once: their requests were accepted and must not be
    lost.
    """

    def __init__(
        self,
        *,
        journal: Journal,
        table: Table,
        membership: Membership,
        resume_request: ResumeRequest,
        rng: random.Random | None = None,
    ) -> None:
        self._journal = journal
        self._table = table
        self._membership = membership
        self._resume_request = resume_request
        self._rng = random.Random() if rng is None else rng
        self._claimed: set[DaemonId] = set()

    async def run(self) -> None:
        """Claim the requests of dead daemons until this one leaves."""
        next_sweep_at = anyio.current_time() + self._sweep_interval_s()
        while True:
            await anyio.sleep(CHECK_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            if self._membership.left_at is not None:
                # Another daemon polls now; this one would soon hand over
                # what it claims.
                return
            if not self._membership.is_poller():
                continue
            await self._claim_gone()
            if anyio.current_time() >= next_sweep_at:
                await self.sweep()
                next_sweep_at = anyio.current_time() + self._sweep_interval_s()

    async def sweep(self) -> None:
        """Claim requests of all dead daemons that have journal rows."""
        after = ''
        while True:
            rows = await self._table.scan(JOURNAL_PREFIX, after=after, limit=1)
            if isinstance(rows, Unavailable) or not rows:
                return
            holder = _parse_holder(rows[0].key)
            if self._membership.is_gone(holder) or self._is_own(holder):
                await self._claim(holder)
            # Continue after the last possible key of this daemon.
            after = daemon_prefix(holder) + '\U0010ffff'

    async def _claim_gone(self) -> None:
        gone = set(self._membership.recently_gone())
        self._claimed &= gone
        for daemon in sorted(gone - self._claimed):
            if await self._claim(daemon):
                self._claimed.add(daemon)

    async def _claim(self, dead: DaemonId) -> bool:
        requests = await self._journal.claim(dead)
        if isinstance(requests, Unavailable):
            log.info('claim_unavailable', dead=dead, reason=requests.reason)
            return False
        for request in requests:
            await self._resume_request(request)
        return True

    def _is_own(self, holder: DaemonId) -> bool:
        # An earlier incarnation of this daemon may have left rows too.
        return holder == self._membership.daemon

    def _sweep_interval_s(self) -> float:
        data_centres = len(self._membership.data_centres())
        interval_s = max(
            MIN_SWEEP_INTERVAL_S,
            SWEEP_INTERVAL_PER_DATA_CENTRE_S * data_centres,
        )
        return interval_s * self._rng.uniform(0.7, 1.3)


def _parse_holder(key: str) -> DaemonId:
    parts = key.removeprefix(JOURNAL_PREFIX).rsplit('/', 2)
    return DaemonId(parts[0])
