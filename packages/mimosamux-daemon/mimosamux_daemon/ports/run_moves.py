"""Port to moving running requests between model engines."""

from dataclasses import dataclass
from typing import Protocol

from mimosamux_daemon.domain.gateway import ListedEndpoint
from mimosamux_daemon.domain.store import Unavailable


@dataclass(frozen=True, kw_only=True, slots=True)
class EndpointOutlook:
    """What an endpoint says of its future."""

    leaves_in_s: float | None
    """Time until it is taken away, None if it does not know."""
    incarnation: int = 0
    """Which start of the endpoint says so, 0: not known."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunCopied:
    """The run goes on at the source; the target holds a copy of it."""

    kv_source: str
    """Names the copy for the request that goes on from it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunMoved:
    """The run has stopped at the source; its copy is at the target."""

    kv_source: str
    """Names the copy for the request that goes on from it."""


@dataclass(frozen=True, kw_only=True, slots=True)
class RunKept:
    """The run has stopped, and its memory is still at the source."""

    kv_source: str


@dataclass(frozen=True, kw_only=True, slots=True)
class NotMoved:
    """The run goes on where it is, or has ended."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveUnanswered:
    """Nobody can tell whether the run has stopped."""

    reason: str


CopyOutcome = RunCopied | NotMoved | MoveUnanswered
MoveOutcome = RunMoved | RunKept | NotMoved | MoveUnanswered


class RunMoves(Protocol):
    """Calls to the engines of a service."""

    async def look(
        self, endpoint: ListedEndpoint
    ) -> EndpointOutlook | Unavailable:
        """Ask an endpoint when it leaves."""

    async def copy(
        self,
        source: ListedEndpoint,
        target: ListedEndpoint,
        request_id: str,
        *,
        timeout_s: float,
    ) -> CopyOutcome:
        """Copy a run's memory to another engine while it goes on."""

    async def move(
        self,
        source: ListedEndpoint,
        target: ListedEndpoint,
        request_id: str,
        *,
        timeout_s: float,
    ) -> MoveOutcome:
        """Stop a run; copy what another engine does not hold of it yet."""

    async def release(
        self, source: ListedEndpoint, kv_source: str, *, timeout_s: float
    ) -> None:
        """Free a copy that nothing will go on from."""
