"""Rows of the platform's table that keep how far each roll-out is.

A step is in force once its row is written, and a row is only written over
the version that was read: of two holders, one of which does not know yet
that it is none any more, only one can take the next step.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto

import anyio
import orjson

from mimosamux_daemon.domain.names import ServiceName
from mimosamux_daemon.domain.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutStage,
)
from mimosamux_daemon.domain.store import (
    Check,
    Committed,
    Row,
    Unavailable,
    Write,
)
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Table

log = get_log('rollout_rows')

PREFIX = 'rollouts/'
RETRY_S = 0.5
PAGE = 500


class WriteResult(Enum):
    """What became of a step that was to be written."""

    DONE = auto()
    CONFLICT = auto()
    """Another holder was first; its step is known now."""
    UNKNOWN = auto()
    """No answer: it may have been written."""


@dataclass(kw_only=True, slots=True)
class RolloutRows:
    """Reads the rows, and writes the steps of the holder."""

    table: Table
    rollouts: Rollouts
    render_status: Callable[[Rollout], Write]
    """Makes the row in which the operator reads how far a roll-out is."""
    orders_read: Callable[[], anyio.Event]
    """Returns what is set once the operators' orders were read."""
    first_read: anyio.Event = field(default_factory=anyio.Event)
    _version_by_service: dict[ServiceName, int] = field(default_factory=dict)

    async def run(self) -> None:
        """Read the rows once, however long that takes.

        Without an order there is nothing to read, and a call of each daemon
        that starts is spared; of later orders the holder tells.
        """
        await self.orders_read().wait()
        while self.rollouts.orders_by_service:
            if await self.read_all():
                break
            await anyio.sleep(RETRY_S)
        self.first_read.set()

    async def read_all(self) -> bool:
        """Read every row; False if the table does not answer."""
        rows = await self.table.scan(PREFIX, limit=PAGE)
        if isinstance(rows, Unavailable):
            return False
        for row in rows:
            self._take(row)
        return True

    async def write(self, rollout: Rollout) -> WriteResult:
        """Write a step down, and what the operator reads of it."""
        service = rollout.order.service
        key = PREFIX + service
        version = self._version_by_service.get(service, 0)
        outcome = await self.table.commit(
            [Check(key=key, version=version)],
            [
                Write(key=key, value=render_rollout(rollout)),
                self.render_status(rollout),
            ],
        )
        if isinstance(outcome, Committed):
            self._version_by_service[service] = outcome.versions[key]
            return WriteResult.DONE
        log.info('step_not_written', service=service, outcome=str(outcome))
        if isinstance(outcome, Unavailable):
            return WriteResult.UNKNOWN
        self._version_by_service[service] = 0
        if outcome.found is not None:
            self._take(outcome.found)
        return WriteResult.CONFLICT

    def _take(self, row: Row) -> None:
        service = ServiceName(row.key.removeprefix(PREFIX))
        self._version_by_service[service] = row.version
        rollout = parse_rollout(service, row)
        if rollout is not None:
            self.rollouts.take(rollout, source='the table')


def render_rollout(rollout: Rollout) -> bytes:
    """Return a roll-out as its row holds it."""
    return orjson.dumps(
        {
            'version': rollout.order.version,
            'within_s': rollout.order.within_s,
            'number': rollout.order.number,
            'stage': rollout.stage,
            'step': rollout.step,
            'began_at': rollout.began_at,
            'held_back': list(rollout.held_back),
            'reason': rollout.reason,
        }
    )


def parse_rollout(service: ServiceName, row: Row) -> Rollout | None:
    """Return what a row says, None if it cannot be understood."""
    try:
        fields = orjson.loads(row.value)
        return Rollout(
            order=RolloutOrder(
                service=service,
                version=str(fields['version']),
                within_s=float(fields['within_s']),
                number=int(fields['number']),
            ),
            stage=RolloutStage(fields['stage']),
            step=int(fields['step']),
            began_at=float(fields['began_at']),
            held_back=tuple(map(str, fields['held_back'])),
            reason=str(fields['reason']),
        )
    except (ValueError, TypeError, KeyError) as error:
        log.error('row_unreadable', key=row.key, problem=str(error))
        return None
