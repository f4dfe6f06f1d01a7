"""Port for live migration of running requests between model engines.

A run is the execution of one request at an engine; its memory is its KV
cache.
"""

from dataclasses import dataclass
from typing import Protocol

from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.domain.store import Unavailable


@dataclass(frozen=True, kw_only=True, slots=True)
class DepartureReport:
    """Announced departure of an endpoint."""

    leaves_in_s: float | None
    """Time until the endpoint is removed; None: unknown to it."""
    incarnation: int = 0
    """Incarnation of the endpoint's process that reports; 0: unknown."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunCopied:
    """The run continues at the source; the target holds a copy."""

    kv_source: str
    """Identifies the copy for the request that resumes from it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunMoved:
    """The run has stopped at the source; its copy is at the target."""

    kv_source: str
    """Identifies the copy for the request that resumes from it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunKept:
    """The run has stopped, and its KV cache is still at the source."""

    kv_source: str


@dataclass(frozen=True, kw_only=True, slots=True)
class NotMoved:
    """The run continues at the source, or has ended."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveUnanswered:
    """No answer arrived; the run may have stopped."""

    reason: str


CopyOutcome = RunCopied | NotMoved | MoveUnanswered
MoveOutcome = RunMoved | RunKept | NotMoved | MoveUnanswered


class RunMoves(Protocol):
    """Migration calls to the engines of a service."""

    async def fetch_departure(
        self, endpoint: ListedEndpoint
    ) -> DepartureReport | Unavailable:
        """Ask an endpoint when it will be removed."""

    async def copy(
        self,
        source: ListedEndpoint,
        target: ListedEndpoint,
        request_id: str,
        *,
        timeout_s: float,
    ) -> CopyOutcome:
        """Copy a run's KV cache to another engine while the run continues."""

    async def move(
        self,
        source: ListedEndpoint,
        target: ListedEndpoint,
        request_id: str,
        *,
        timeout_s: float,
    ) -> MoveOutcome:
        """Stop a run and copy the rest of its KV cache to another engine."""

    async def release(
        self, source: ListedEndpoint, kv_source: str, *, timeout_s: float
    ) -> None:
        """Free a copy of a KV cache that no run will continue from."""
