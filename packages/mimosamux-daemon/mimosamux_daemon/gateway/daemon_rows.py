"""Rows of the platform's table by which daemons find each other.

Settings name a few daemons that may all be gone. The rows name every one
that runs, so a daemon that starts finds the others as long as the table or
one of its seeds can be reached.
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
from mimosamux_daemon.gateway.groups import UNKNOWN_DATA_CENTRE
from mimosamux_daemon.gateway.peer_states import PeerStates
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Table

log = get_log('daemon_rows')

PREFIX = 'daemons/'
CENTRE = 'data_centre'
LINK = 'link_mbps'
RETRY_S = 0.5
CHECK_S = 5.0
"""Time between two looks whether any peer is heard of."""
WITHDRAW_S = 0.5
LIMIT = 500


@dataclass(kw_only=True, slots=True)
class DaemonRows:
    """Keeps this daemon's row, and reads those of the others."""

    table: Table
    states: PeerStates
    rng: random.Random

    @property
    def _key(self) -> str:
        return PREFIX + self.states.place.id

    async def run(self) -> None:
        """Write the row, read the others; again when nobody is heard."""
        while True:
            await self._until_done(self._write)
            await self._until_done(self._read)
            await self._until_done(self._is_alone)

    async def withdraw(self) -> None:
        """Delete the row; a row that stays is harmless."""
        with anyio.move_on_after(WITHDRAW_S):
            await self.table.commit([], [Write(key=self._key, value=None)])

    async def _until_done(self, work: Callable[[], Awaitable[bool]]) -> None:
        while True:
            if await work():
                return
            await anyio.sleep(RETRY_S * self.rng.uniform(0.5, 1.5))

    async def _is_alone(self) -> bool:
        await anyio.sleep(CHECK_S * self.rng.uniform(0.8, 1.2))
        return not self.states.fresh()

    async def _write(self) -> bool:
        place = self.states.place
        value = orjson.dumps(
            {
                'entry': place.entry_address,
                CENTRE: place.data_centre,
                LINK: place.link_mbps,
            }
        )
        outcome = await self.table.commit(
            [], [Write(key=self._key, value=value)]
        )
        return isinstance(outcome, Committed)

    async def _read(self) -> bool:
        rows = await self.table.scan(PREFIX, limit=LIMIT)
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
    """Return the data centre of a row's daemon; older rows do not tell."""
    try:
        return DataCentreName(str(orjson.loads(row.value)[CENTRE]))
    except (ValueError, TypeError, KeyError):
        log.info('centre_not_told', key=row.key)
        return UNKNOWN_DATA_CENTRE


def _parse_link(row: Row) -> float:
    """Return the bandwidth that a row tells, 0 if it tells none."""
    try:
        return max(float(orjson.loads(row.value)[LINK]), 0.0)
    except (ValueError, TypeError, KeyError):
        log.info('link_not_told', key=row.key)
        return 0.0
