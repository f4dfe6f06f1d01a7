"""Keeps a record of recent account usage in the platform's table.

Daemons that start read it, so that usage caps hold even after all daemons have
died at once.
"""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Annotated

import anyio
import msgspec
import orjson

from mimosamux_daemon.decoding import decode_json
from mimosamux_daemon.domain.names import AccountId
from mimosamux_daemon.domain.store import (
    Committed,
    Row,
    Unavailable,
    Write,
)
from mimosamux_daemon.domain.store_eras import StoreEra, era_of
from mimosamux_daemon.errors import InvalidConfiguration
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_daemon.gateway.limits.caps import UsageCaps, UsageRecord
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Table

log = get_log('cap_record')

ROW_KEY = 'caps/recent'
POLL_S = 0.2
"""Interval of checks whether the record is out of date."""
WRITE_SHARE = 0.35
"""Use since the last record at which it is rewritten, as a fraction of the
cap's rate per second: twice a second under normal load, and at every check in
a burst."""
MAX_AMOUNT = 1e12
"""Bound of the use in an entry; messages have 64 bits for the sum of all."""
Amount = Annotated[float, msgspec.Meta(ge=0, le=MAX_AMOUNT)]
Seconds = Annotated[float, msgspec.Meta(ge=0)]


class _RecordRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row of the record."""

    at: Seconds
    """When it was written, in the store's time."""
    uses: dict[str, list[tuple[Seconds, Amount]]]
    """Age and amount of each account's entries."""


@dataclass(kw_only=True, slots=True)
class CapRecord:
    """Reads the record once at the start and writes it afterwards."""

    table: Table
    table_era: StoreEra
    caps: UsageCaps
    states: PeerStates
    store_time: Callable[[], float | None]
    """Return the store's time in seconds, None before it was ever seen."""
    _written_in_era: int | None = None

    async def run(self) -> None:
        """Read the record once, then keep it up to date until cancelled."""
        is_read = False
        while True:
            if not is_read:
                is_read = await self._read()
            elif self._is_due() and self.states.has_lowest_id:
                await self._write()
            await anyio.sleep(POLL_S)

    def _is_due(self) -> bool:
        """Whether the record is out of date, or may be lost."""
        is_restored = self._written_in_era not in (
            None,
            self.table_era.current,
        )
        return is_restored or self.caps.is_record_stale(WRITE_SHARE)

    async def _read(self) -> bool:
        row = await self.table.read(ROW_KEY)
        now = self.store_time()
        if isinstance(row, Unavailable) or now is None:
            return False
        parsed = None if row is None else _parse(row)
        if parsed is None:
            self.caps.load_record(None)
        else:
            at, record = parsed
            self.caps.load_record(record, age_s=max(now - at, 0.0))
        return True

    async def _write(self) -> None:
        record, now = self.caps.export_record(), self.store_time()
        if not record or now is None:
            return
        value = orjson.dumps({'at': now, 'uses': record})
        outcome = await self.table.commit(
            [], [Write(key=ROW_KEY, value=value)]
        )
        if isinstance(outcome, Committed):
            self._written_in_era = era_of(outcome.versions[ROW_KEY])


def _parse(row: Row) -> tuple[float, UsageRecord] | None:
    try:
        fields = decode_json(row.value, _RecordRow)
    except InvalidConfiguration as error:
        log.error('row_unreadable', key=ROW_KEY, problem=str(error))
        return None
    uses = {AccountId(id_): entries for id_, entries in fields.uses.items()}
    return fields.at, uses
