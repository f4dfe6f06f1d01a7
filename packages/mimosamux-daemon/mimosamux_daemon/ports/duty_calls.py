"""Port to the platform's calls that one daemon at a time may make."""

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
"""Longest wait for an answer; a call that is slower is made again. Part of
the port, as a successor waits for calls of the old holder to be over."""


class DutyOutcome(Enum):
    """What became of a call."""

    DONE = auto()
    REFUSED = auto()
    """A holder with a higher fencing number has called, or there is
    nothing to be had."""
    UNANSWERED = auto()
    """It may have been carried out, or may still be."""
    NOT_DONE = auto()
    """It had no effect and will have none."""
    INVALID = auto()
    """The platform does not take it as it is."""


@dataclass(frozen=True, kw_only=True, slots=True)
class UsageReport:
    """Requests by account that began in one window of the time of day."""

    window: int
    counts: Mapping[AccountId, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointOrder:
    """How many endpoints of a service there shall be in a data centre."""

    service: ServiceName
    data_centre: DataCentreName
    market: Market
    count: int


class DutyCalls(Protocol):
    """The calls, each under the fencing number of the holder's lease."""

    async def report_usage(
        self, report: UsageReport, *, fencing: int
    ) -> DutyOutcome:
        """Report usage; repeating the same report is harmless."""

    async def order_endpoints(
        self, order: EndpointOrder, *, fencing: int
    ) -> DutyOutcome:
        """Order endpoints; repeating the same order is harmless."""
