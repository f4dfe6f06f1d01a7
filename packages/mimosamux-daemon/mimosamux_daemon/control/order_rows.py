"""Rows that say which VMs were ordered, and how far each has come.

A row is written before the order that it tells of. Whoever takes the
lease over knows from the rows what may have been ordered, and from the
platform's list what came of it.
"""

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass, replace
from enum import StrEnum

import anyio
import orjson

from mimosamux_daemon.domain.audit import AuditEntry, AuditKind
from mimosamux_daemon.domain.names import (
    DaemonId,
    DataCentreName,
    ModelName,
    VMId,
)
from mimosamux_daemon.domain.plan import Offer
from mimosamux_daemon.domain.store import (
    Check,
    Committed,
    Row,
    Unavailable,
    Write,
)
from mimosamux_daemon.domain.vms import Market
from mimosamux_daemon.ports.table import Table

ORDER_PREFIX = 'vm-order/'
CALL_TIMEOUT_S = 5.0
ROWS_AT_ONCE = 100
"""Rows of one transaction; the table is shared by everybody."""


class OrderState(StrEnum):
    """How far an ordered VM has come."""

    INTENDED = 'intended'
    """The cloud may have been asked to start it."""
    STARTED = 'started'
    LOADING = 'loading'
    READY = 'ready'
    STOPPING = 'stopping'


@dataclass(frozen=True, kw_only=True, slots=True)
class VMOrder:
    """One VM, from the intention to start it until it is gone."""

    id: str
    data_centre: DataCentreName
    machine_class: str
    market: Market
    model: ModelName
    version: str
    """Version of the model that it loads; '' if not known."""
    state: OrderState
    fencing: int
    vm: VMId = VMId('')

    @property
    def key(self) -> str:
        """Key of the row."""
        return f'{ORDER_PREFIX}{self.data_centre}/{self.id}'

    @property
    def offer(self) -> Offer:
        """Offer that was ordered."""
        return Offer(
            data_centre=self.data_centre,
            machine_class=self.machine_class,
            market=self.market,
        )

    def moved_to(
        self, state: OrderState, *, vm: VMId | None = None
    ) -> 'VMOrder':
        """Return the order in a new state."""
        return replace(self, state=state, vm=self.vm if vm is None else vm)


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderChange:
    """A row as it becomes, from which state, and why."""

    order: VMOrder
    before: str = ''
    why: str = ''
    deletes: bool = False
    """The VM is gone, or was never started: the row goes."""


def parse_order(row: Row) -> VMOrder:
    """Return the order that a row tells of."""
    fields = orjson.loads(row.value)
    fields['market'] = Market(fields['market'])
    fields['state'] = OrderState(fields['state'])
    return VMOrder(**fields)


class OrderRows:
    """The rows of one data centre, written under one lease."""

    def __init__(
        self,
        *,
        table: Table,
        data_centre: DataCentreName,
        daemon: DaemonId,
        fencing: int,
        wall_clock: Callable[[], float],
    ) -> None:
        self._table = table
        self._prefix = f'{ORDER_PREFIX}{data_centre}/'
        self._daemon = daemon
        self._fencing = fencing
        self._wall_clock = wall_clock
        self._versions_by_key: dict[str, int] = {}

    async def read_all(self) -> list[VMOrder] | Unavailable:
        """Return every order of the data centre."""
        orders: list[VMOrder] = []
        after = ''
        while True:
            rows = await self._scan(after)
            if isinstance(rows, Unavailable):
                return rows
            if not rows:
                return orders
            for row in rows:
                self._versions_by_key[row.key] = row.version
                orders.append(parse_order(row))
            after = rows[-1].key

    async def write(self, changes: Sequence[OrderChange]) -> bool:
        """Write changes with their audit entries; True if they stand."""
        for start in range(0, len(changes), ROWS_AT_ONCE // 2):
            part = changes[start : start + ROWS_AT_ONCE // 2]
            if not await self._write_part(part):
                return False
        return True

    async def _scan(self, after: str) -> tuple[Row, ...] | Unavailable:
        with anyio.move_on_after(CALL_TIMEOUT_S):
            return await self._table.scan(self._prefix, after=after)
        return Unavailable(reason='timeout', may_have_landed=False)

    async def _write_part(self, changes: Sequence[OrderChange]) -> bool:
        writes = [_as_write(change) for change in changes]
        checks = [
            Check(
                key=write.key, version=self._versions_by_key.get(write.key, 0)
            )
            for write in writes
        ]
        audits = [
            self._describe(change).as_write()
            for change in changes
            if _is_audited(change)
        ]
        with anyio.move_on_after(CALL_TIMEOUT_S):
            outcome = await self._table.commit(checks, [*writes, *audits])
            if isinstance(outcome, Committed):
                for write in writes:
                    self._note_version(write, outcome.versions[write.key])
                return True
        return await self._read_back(writes)

    async def _read_back(self, writes: list[Write]) -> bool:
        """Settle a write without an answer by reading its first row.

        The rows of a transaction land together, so one tells of all.
        """
        with anyio.move_on_after(CALL_TIMEOUT_S):
            found = await self._table.read(writes[0].key)
            if isinstance(found, Unavailable):
                return False
            if (found.value if found else None) != writes[0].value:
                return False
            for write in writes:
                row = await self._table.read(write.key)
                if isinstance(row, Unavailable):
                    return False
                self._note_version(write, row.version if row else 0)
            return True
        return False

    def _note_version(self, write: Write, version: int) -> None:
        if write.value is None:
            self._versions_by_key.pop(write.key, None)
        else:
            self._versions_by_key[write.key] = version

    def _describe(self, change: OrderChange) -> AuditEntry:
        order = change.order
        after = 'gone' if change.deletes else str(order.state)
        is_load = after == OrderState.LOADING
        return AuditEntry(
            id=f'{order.id}-{after}-{self._fencing}',
            kind=AuditKind.ORDER if is_load else AuditKind.VM,
            at=self._wall_clock(),
            who=self._daemon,
            what=f'{order.model} {order.version} on {order.vm or order.id}',
            why=change.why,
            before=change.before,
            after=after,
            version=self._fencing,
        )


def _as_write(change: OrderChange) -> Write:
    order = change.order
    value = None if change.deletes else orjson.dumps(asdict(order))
    return Write(key=order.key, value=value)


def _is_audited(change: OrderChange) -> bool:
    """Return whether a change is one of its own, not only progress."""
    progress = (OrderState.STARTED, OrderState.READY)
    return change.deletes or change.order.state not in progress
