"""Work classes, client accounts, model requests and service calls."""

from collections.abc import Callable, Mapping
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
    """Service-level targets and limits of one kind of work."""

    name: ClassName
    first_token_s: float
    """Target for the 95th percentile of the time to first token."""
    token_interval_s: float = 0.033
    """Target for the 95th percentile of the time between two tokens."""
    cost_ceiling_per_hour: float = float('inf')
    """Maximum cost an hour of the endpoints of this class."""
    deadline_s: float = 600.0
    """Time after which an accepted request is abandoned."""
    priority: int = 0
    """Scheduling priority at the engine; a larger number goes first."""
    durable: bool = False
    """Whether accepted requests survive a crash of their daemon."""
    repeatable: bool = True
    """Whether calls may be retried; False: at most once."""
    cancel_when_gone: bool = False
    """Whether the engine's stream is cancelled if the caller disconnects."""
    retry_share: float = 0.1
    """Retry budget as a fraction of recent requests of the class."""
    recompute_weight: float = 1.0
    """Cost of 1000 recomputed tokens, in seconds of time to first token."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Account:
    """A client account; its API keys are stored as SHA-256 digests."""

    id: AccountId
    key_digests: tuple[str, ...]
    share: float = 1.0
    """Weight of the account in fair sharing under overload."""
    max_open: int = 1000
    """Maximum open requests of the account at one daemon."""


@dataclass(frozen=True, kw_only=True, slots=True)
class ModelRequest:
    """A model request, before or after its admission."""

    id: RequestId
    account: AccountId
    work_class: WorkClass
    model: ModelName
    prompt: str
    """Canonical text of the entire prompt; its bytes are hashed."""
    max_tokens: int
    arrived: float
    """Arrival time, by `anyio.current_time`."""
    idempotency_key: str | None = None
    parameters: Mapping[str, object] = field(default_factory=dict)
    """Sampling parameters, forwarded to the engine without checks."""

    @property
    def deadline(self) -> float:
        """Time at which the request is abandoned."""
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
    """Whether the caller states that this idempotency key is new."""
    ask_room: Callable[[int], bool] = field(
        default=lambda size: True, compare=False, repr=False
    )
    """Asks for room for so many bytes of its answer in all."""

    @property
    def deadline(self) -> float:
        """Time at which the call is abandoned."""
        return self.arrived + self.work_class.deadline_s
