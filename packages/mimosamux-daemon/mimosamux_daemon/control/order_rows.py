"""Table rows that hold the state of every VM order of a data centre.

A row is written before the call to the cloud that it describes. The next
lease holder learns from the rows which calls may have been made, and from
the cloud's list of VMs which of them took effect.
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
MAX_ROWS_PER_COMMIT = 100
"""Maximum rows of one transaction, as all daemons share the table."""


class OrderState(StrEnum):
    """Life cycle of an ordered VM."""

    INTENDED = 'intended'
    """The start call may have been sent; its outcome is unknown."""
    STARTED = 'started'
    LOADING = 'loading'
    READY = 'ready'
    STOPPING = 'stopping'


@dataclass(frozen=True, kw_only=True, slots=True)
class VMOrder:
    """Order for one VM, from the intention to start it until it is gone."""

    id: str
    data_centre: DataCentreName
    machine_class: str
    market: Market
    model: ModelName
    version: str
    """Version of the model that the VM loads; '' if unknown."""
    state: OrderState
    fencing: int
    """Fencing token of the lease under which the order was made."""
    vm: VMId = VMId('')
    """Id that the cloud gave the VM; '' before it is known."""

    @property
    def key(self) -> str:
        """Return the key of the row."""
        return f'{ORDER_PREFIX}{self.data_centre}/{self.id}'

    @property
    def offer(self) -> Offer:
        """Return the ordered offer."""
        return Offer(
            data_centre=self.data_centre,
            machine_class=self.machine_class,
            market=self.market,
        )

    def with_state(
        self, state: OrderState, *, vm: VMId | None = None
    ) -> 'VMOrder':
        """Return a copy in a new state, with the VM's id if given."""
        return replace(self, state=state, vm=self.vm if vm is None else vm)


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderChange:
    """New content of an order's row, with details for the audit trail."""

    order: VMOrder
    before: str = ''
    """State before the change; '' for a new row."""
    why: str = ''
    is_deletion: bool = False
    """Whether the row is deleted: the VM is gone or was never started."""


def parse_order(row: Row) -> VMOrder:
    """Parse the order in a row."""
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
        """Write changes with their audit entries; return whether stored.

        The changes are split into batches, each one transaction. False may
        mean that some batches are stored, or that the outcome is unknown.
        """
        for start in range(0, len(changes), MAX_ROWS_PER_COMMIT // 2):
            batch = changes[start : start + MAX_ROWS_PER_COMMIT // 2]
            if not await self._write_batch(batch):
                return False
        return True

    async def _scan(self, after: str) -> tuple[Row, ...] | Unavailable:
        with anyio.move_on_after(CALL_TIMEOUT_S):
            return await self._table.scan(self._prefix, after=after)
        return Unavailable(reason='timeout', may_have_taken_effect=False)

    async def _write_batch(self, changes: Sequence[OrderChange]) -> bool:
        writes = [_as_write(change) for change in changes]
        checks = [
            Check(
                key=write.key, version=self._versions_by_key.get(write.key, 0)
            )
            for write in writes
        ]
        audits = [
            self._audit_entry(change).as_write()
            for change in changes
            if _needs_audit(change)
        ]
        with anyio.move_on_after(CALL_TIMEOUT_S):
            outcome = await self._table.commit(checks, [*writes, *audits])
            if isinstance(outcome, Committed):
                for write in writes:
                    self._record_version(write, outcome.versions[write.key])
                return True
        return await self._confirm_stored(writes)

    async def _confirm_stored(self, writes: list[Write]) -> bool:
        """Return whether a transaction with a lost answer is stored.

        A transaction is atomic, so the first row shows whether all of its
        rows are stored; the others are read only for their versions.
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
                self._record_version(write, row.version if row else 0)
            return True
        return False

    def _record_version(self, write: Write, version: int) -> None:
        if write.value is None:
            self._versions_by_key.pop(write.key, None)
        else:
            self._versions_by_key[write.key] = version

    def _audit_entry(self, change: OrderChange) -> AuditEntry:
        order = change.order
        after = 'gone' if change.is_deletion else str(order.state)
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
    value = None if change.is_deletion else orjson.dumps(asdict(order))
    return Write(key=order.key, value=value)


def _needs_audit(change: OrderChange) -> bool:
    """Return whether a change is a decision, not only progress."""
    progress_states = (OrderState.STARTED, OrderState.READY)
    return change.is_deletion or change.order.state not in progress_states
