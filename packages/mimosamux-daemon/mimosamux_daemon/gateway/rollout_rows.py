"""Persists the steps of roll-outs in the platform's table.

A step is in force once its row is written. Each write requires the row version
that was read before, as in optimistic concurrency control. So while a former
lease holder does not know yet that it lost the lease, only one of the two
holders can take the next step.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum, auto
from typing import Annotated

import anyio
import msgspec
import orjson

from mimosamux_daemon.decoding import TimeInSeconds, decode_json
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
from mimosamux_daemon.errors import InvalidConfiguration
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Table

log = get_log('rollout_rows')

PREFIX = 'rollouts/'
RETRY_S = 0.5
PAGE = 500
MAX_STEP = 1_000_000
"""Bound of a step's number; messages have 32 bits for it."""
MAX_NUMBER = 2**63 - 1
"""Largest number of an order that fits into a message between daemons."""


class _RolloutRow(msgspec.Struct, frozen=True, kw_only=True):
    """Row of a roll-out; the fields are those of `Rollout` and its order."""

    version: str
    within_s: TimeInSeconds
    number: Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
    stage: RolloutStage
    step: Annotated[int, msgspec.Meta(ge=0, le=MAX_STEP)]
    began_at: TimeInSeconds
    held_back: tuple[str, ...]
    reason: str


class WriteResult(Enum):
    """Outcome of writing a step."""

    DONE = auto()
    CONFLICT = auto()
    """Another holder wrote first; its step has been read."""
    UNKNOWN = auto()
    """The table did not answer; the step may have been written."""


@dataclass(kw_only=True, slots=True)
class RolloutRows:
    """Reads the rows, and writes steps on behalf of the lease holder."""

    table: Table
    rollouts: Rollouts
    render_status: Callable[[Rollout], Write]
    """Builds the status row of a roll-out for operators."""
    orders_read: Callable[[], anyio.Event]
    """Returns an event that is set once the operators' orders were read."""
    first_read: anyio.Event = field(default_factory=anyio.Event)
    """Set once the rows were read, or there was no order to read them for."""
    _version_by_service: dict[ServiceName, int] = field(default_factory=dict)

    async def run(self) -> None:
        """Read the rows once, retrying until the table answers.

        Without an order there is nothing to read, which saves each starting
        daemon a call. Steps of later orders are announced by the lease holder.
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
            self._apply_row(row)
        return True

    async def write(self, rollout: Rollout) -> WriteResult:
        """Write a step and its status row for operators."""
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
            self._apply_row(outcome.found)
        return WriteResult.CONFLICT

    def _apply_row(self, row: Row) -> None:
        service = ServiceName(row.key.removeprefix(PREFIX))
        self._version_by_service[service] = row.version
        rollout = parse_rollout(service, row)
        if rollout is not None:
            self.rollouts.apply_step(rollout, source='the table')


def render_rollout(rollout: Rollout) -> bytes:
    """Serialize a roll-out as a row value."""
    return orjson.dumps(
        {
            'version': rollout.order.version,
            'within_s': rollout.order.within_s,
            'number': rollout.order.number,
            'stage': rollout.stage,
            'step': rollout.step,
            'began_at': rollout.began_at,
            'held_back': list(rollout.unapproved_versions),
            'reason': rollout.reason,
        }
    )


def parse_rollout(service: ServiceName, row: Row) -> Rollout | None:
    """Parse a row value, None if it is malformed."""
    try:
        fields = decode_json(row.value, _RolloutRow)
    except InvalidConfiguration as error:
        log.error('row_unreadable', key=row.key, problem=str(error))
        return None
    return Rollout(
        order=RolloutOrder(
            service=service,
            version=fields.version,
            within_s=fields.within_s,
            number=fields.number,
        ),
        stage=fields.stage,
        step=fields.step,
        began_at=fields.began_at,
        unapproved_versions=fields.held_back,
        reason=fields.reason,
    )
