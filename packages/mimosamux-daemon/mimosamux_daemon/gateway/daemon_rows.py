"""Registers each daemon in a table of the platform, for peer discovery.

The seeds in the settings name a few daemons, which may all be gone. The table
has a row for every running daemon, so a starting daemon finds the others if it
reaches the table or one of its seeds.
"""

import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio
import orjson

from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.domain.store import (
    Committed,
    Row,
    Unavailable,
    Write,
)
from mimosamux_daemon.domain.store_eras import UNKNOWN_ERA, StoreEra, era_of
from mimosamux_daemon.gateway.exchange.groups import UNKNOWN_DATA_CENTRE
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Table

log = get_log('daemon_rows')

PREFIX = 'daemons/'
DATA_CENTRE_FIELD = 'data_centre'
LINK_FIELD = 'link_mbps'
RETRY_DELAY_S = 0.5
CHECK_INTERVAL_S = 5.0
"""Interval between checks that at least one peer is fresh, and that the table
was not restored. Hundreds of daemons check at different moments, so that they
do not all write their rows at once."""
WITHDRAW_TIMEOUT_S = 0.5
SCAN_LIMIT = 500


@dataclass(kw_only=True, slots=True)
class DaemonRows:
    """Writes the row of this daemon, and reads the rows of the others."""

    table: Table
    table_era: StoreEra
    states: PeerStates
    rng: random.Random
    is_withdrawn: bool = False
    """Whether the daemon stops and writes its row no more."""
    _written_in_era: int = UNKNOWN_ERA

    @property
    def _key(self) -> str:
        return PREFIX + self.states.place.id

    async def run(self) -> None:
        """Write the row and read the others, again if no peer is fresh."""
        while True:
            await self._retry_until_done(self._write_row)
            await self._retry_until_done(self._read_rows)
            await self._wait_until_alone()

    async def withdraw(self) -> None:
        """Try to delete the row; a row left behind is harmless."""
        self.is_withdrawn = True
        with anyio.move_on_after(WITHDRAW_TIMEOUT_S):
            await self.table.commit([], [Write(key=self._key, value=None)])

    async def _retry_until_done(
        self, operation: Callable[[], Awaitable[bool]]
    ) -> None:
        while True:
            if await operation():
                return
            await anyio.sleep(RETRY_DELAY_S * self.rng.uniform(0.5, 1.5))

    async def _wait_until_alone(self) -> None:
        """Wait until no peer is fresh; write the row if it may be lost."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S * self.rng.uniform(0.8, 1.2))
            if not self.states.fresh():
                return
            if self._written_in_era != self.table_era.current:
                await self._retry_until_done(self._write_row)

    async def _write_row(self) -> bool:
        if self.is_withdrawn:
            return True
        place = self.states.place
        value = orjson.dumps(
            {
                'entry': place.entry_address,
                DATA_CENTRE_FIELD: place.data_centre,
                LINK_FIELD: place.link_mbps,
            }
        )
        outcome = await self.table.commit(
            [], [Write(key=self._key, value=value)]
        )
        if not isinstance(outcome, Committed):
            return False
        self._written_in_era = era_of(outcome.versions[self._key])
        return True

    async def _read_rows(self) -> bool:
        rows = await self.table.scan(PREFIX, limit=SCAN_LIMIT)
        if isinstance(rows, Unavailable):
            return False
        found = {
            DaemonId(row.key.removeprefix(PREFIX)): _parse_centre(row)
            for row in rows
        }
        log.info('daemons_listed', daemons=len(found))
        links = {
            DaemonId(row.key.removeprefix(PREFIX)): _parse_link(row)
            for row in rows
        }
        self.states.add_daemons(found, found, links)
        return True


def _parse_centre(row: Row) -> DataCentreName:
    """Return the data centre in a row, an empty name if it has none.

    Older software versions write rows without it.
    """
    try:
        return DataCentreName(str(orjson.loads(row.value)[DATA_CENTRE_FIELD]))
    except (ValueError, TypeError, KeyError):
        log.info('data_centre_missing', key=row.key)
        return UNKNOWN_DATA_CENTRE


def _parse_link(row: Row) -> float:
    """Return the link bandwidth in a row in Mbit/s, 0 if it has none."""
    try:
        return max(float(orjson.loads(row.value)[LINK_FIELD]), 0.0)
    except (ValueError, TypeError, KeyError):
        log.info('link_bandwidth_missing', key=row.key)
        return 0.0
