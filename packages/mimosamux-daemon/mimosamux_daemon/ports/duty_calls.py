"""Port to platform calls that only the holder of a lease may make."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

from mimosamux_daemon.domain.names import (
    AccountId,
    DataCentreName,
    ServiceName,
)
from mimosamux_daemon.domain.vms import Market

DUTY_CALL_TIMEOUT_S = 1.0
"""Time-out of a call, which is then repeated.

It belongs to the port because the next lease holder waits until the calls
of the previous one have ended.
"""


class DutyOutcome(Enum):
    """Outcome of a call."""

    DONE = auto()
    REFUSED = auto()
    """The platform has seen a higher fencing token or lacks capacity."""
    UNANSWERED = auto()
    """The call may have been executed, or may still be."""
    NOT_DONE = auto()
    """The call had no effect and will have none."""
    INVALID = auto()
    """The platform rejected the call as malformed."""


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageReport:
    """Number of requests of each account that began in one window."""

    window: int
    """Number of the window: wall-clock time divided by its length."""
    counts: Mapping[AccountId, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointOrder:
    """Target number of endpoints of a service in one data centre."""

    service: ServiceName
    data_centre: DataCentreName
    market: Market
    count: int


class DutyCalls(Protocol):
    """Usage reports and orders, with the fencing token of the lease."""

    async def report_usage(
        self, report: UsageReport, *, fencing: int
    ) -> DutyOutcome:
        """Report usage; a report is idempotent."""

    async def order_endpoints(
        self, order: EndpointOrder, *, fencing: int
    ) -> DutyOutcome:
        """Order endpoints; an order is idempotent."""
