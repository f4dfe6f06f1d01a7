"""Classes of work, client accounts and the requests they send."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import (
    AccountId,
    ClassName,
    ModelName,
    RequestId,
    ServiceName,
)


@dataclass(frozen=True, kw_only=True, slots=True)
class WorkClass:
    """What operators promise for one kind of work; times are seconds."""

    name: ClassName
    first_token_s: float
    """Latency target of the first token for 95 in 100 requests."""
    token_interval_s: float = 0.033
    """Target of the time between two tokens for 95 in 100."""
    cost_ceiling_per_hour: float = float('inf')
    """Most that the endpoints of this class may cost, in money an hour."""
    deadline_s: float = 600.0
    """An accepted request is given up on after this time."""
    priority: int = 0
    """Handed to the engine; a larger number goes first."""
    durable: bool = False
    """Accepted requests survive the sudden death of their daemon."""
    repeatable: bool = True
    """False: a call of this class runs at most once."""
    cancel_when_gone: bool = False
    """Cancel the engine's stream when the caller has hung up."""
    retry_share: float = 0.1
    """Retries allowed, as a share of recent requests of the class."""
    recompute_weight: float = 1.0
    """Cost of one token computed again, in first-token seconds a 1000."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """A client account; its keys are kept only as SHA-256 digests."""

    id: AccountId
    key_digests: tuple[str, ...]
    share: float = 1.0
    """Weight of the account when capacity is short."""
    max_open: int = 1000
    """Requests that the account may have open at one daemon."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelRequest:
    """One accepted or offered model request, as the daemon works on it."""

    id: RequestId
    account: AccountId
    work_class: WorkClass
    model: ModelName
    prompt: str
    """Canonical text of the whole prompt; its bytes are hashed."""
    max_tokens: int
    arrived: float
    """Time of `anyio.current_time` when the request came in."""
    idempotency_key: str | None = None
    parameters: Mapping[str, object] = field(default_factory=dict)
    """Sampling parameters that are passed to the engine unread."""

    @property
    def deadline(self) -> float:
        """Time after which the request is given up on."""
        return self.arrived + self.work_class.deadline_s


@dataclass(frozen=True, kw_only=True, slots=True)
class ServiceCall:
    """One call of a plain service."""

    id: RequestId
    account: AccountId
    work_class: WorkClass
    service: ServiceName
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived: float
    idempotency_key: str | None = None
    is_first: bool = False
    """The caller says that it has not sent this key before."""

    @property
    def deadline(self) -> float:
        """Time after which the call is given up on."""
        return self.arrived + self.work_class.deadline_s
