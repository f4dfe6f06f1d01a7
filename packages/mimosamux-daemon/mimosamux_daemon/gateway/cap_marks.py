"""Marks in the platform's table of accounts that use much of their cap."""

from collections.abc import Callable
from dataclasses import dataclass

import anyio
import orjson

from mimosamux_daemon.domain.names import AccountId
from mimosamux_daemon.domain.store import Unavailable, Write
from mimosamux_daemon.gateway.caps import UsageCaps
from mimosamux_daemon.gateway.peer_states import PeerStates
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Table

log = get_log('cap_marks')

ROW_KEY = 'caps/marks'
LOOK_S = 0.2
"""Time between two looks for accounts to mark. An account that reaches its
cap in two seconds is marked before it has used two thirds of it."""
REPEAT_S = 1.0
"""Time after which a mark is made again, so that its age stays true."""


@dataclass(kw_only=True, slots=True)
class CapMarks:
    """Reads the marks at the start, and keeps them afterwards."""

    table: Table
    caps: UsageCaps
    states: PeerStates
    store_time: Callable[[], float | None]
    """The store's clock in seconds, None before it was ever seen."""
    _marked_at: float = -REPEAT_S

    async def run(self) -> None:
        """Read once, then mark until cancelled."""
        is_read = False
        while True:
            await anyio.sleep(LOOK_S)
            if not is_read:
                is_read = await self._read()
                continue
            marked = self.caps.marked()
            if marked and self._is_writer():
                await self._write(marked)

    async def _read(self) -> bool:
        row = await self.table.read(ROW_KEY)
        now = self.store_time()
        if isinstance(row, Unavailable) or now is None:
            return False
        ages: dict[AccountId, float] = {}
        if row is not None:
            try:
                ages = {
                    AccountId(account): now - float(at)
                    for account, at in orjson.loads(row.value).items()
                }
            except (ValueError, TypeError, AttributeError) as error:
                log.error('row_unreadable', key=ROW_KEY, problem=str(error))
        self.caps.take_marks(ages)
        return True

    async def _write(self, marked: list[AccountId]) -> None:
        now = self.store_time()
        if now is None or now - self._marked_at < REPEAT_S:
            return
        self._marked_at = now
        value = orjson.dumps(dict.fromkeys(marked, now))
        await self.table.commit([], [Write(key=ROW_KEY, value=value)])

    def _is_writer(self) -> bool:
        """Whether this daemon is the one of those in touch that writes."""
        ids = [peer.place.id for peer in self.states.fresh()]
        return self.states.place.id <= min(ids, default='~')
