"""What is sent to a model engine and what comes back from it."""

from collections.abc import Mapping
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import EndpointId, ModelName, RequestId


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineCall:
    """One attempt of a request on an engine."""

    request: RequestId
    attempt: int
    model: ModelName
    prompt: str
    max_tokens: int
    priority: int = 0
    answer_so_far: tuple[str, ...] = ()
    """Tokens already produced; the engine goes on behind them."""
    kv_handle: str | None = None
    """Imported KV cache to go on from; None: compute the prompt."""
    parameters: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenFrame:
    """Some tokens of an answer, from `offset` on, counted in tokens."""

    request: RequestId
    attempt: int
    offset: int
    tokens: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamEnd:
    """End marker: the answer has `total` tokens, those before included."""

    request: RequestId
    attempt: int
    total: int
    finish_reason: str = 'stop'
    cached_tokens: int = 0
    """Prompt tokens that the engine took from its prefix cache."""
    computed_tokens: int = 0
    """Prompt and answer tokens that it computed to prefill."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamBroken:
    """The stream stopped without its end marker."""

    reason: str


EngineEvent = TokenFrame | StreamEnd | StreamBroken


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectFailed:
    """No connection came about: no byte of the call was sent."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineRefused:
    """The engine answered that it does not take the call."""

    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class KvExport:
    """KV cache of a request, ready to be fetched by another engine."""

    handle: str
    source: EndpointId
    tokens: int
    size_bytes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class KvUnavailable:
    """The engine cannot export or import this KV cache."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class KvImported:
    """The KV cache is in place under `handle` at the importing engine."""

    handle: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Load of an engine some time ago; `age_s` is the known lag."""

    endpoint: EndpointId
    sequence: int
    age_s: float
    queued_prefill_tokens: int
    running: int
    waiting: int
    slots: int
    """Requests that the engine runs side by side."""
    prefill_tokens_per_s: float
    decode_interval_s: float
    """Time between two tokens of one stream at present."""
    cache_blocks: int = 0
    cache_capacity_blocks: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """Prefix-cache blocks that an engine stored and evicted.

    Sequence numbers go up by one; a gap means that events were lost. A
    snapshot names every block and settles all doubt.
    """

    endpoint: EndpointId
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    snapshot: bool = False


EngineReport = LoadReport | CacheEvent


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineOrder:
    """An order to load, unload or change role, under a fencing number."""

    id: str
    endpoint: EndpointId
    action: str
    """`load`, `unload`, `load_adapter` or `set_role`."""
    argument: str
    fencing: int
    safe_to_repeat: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderDone:
    """The engine has carried the order out."""

    id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderRefused:
    """The engine refused, for example because of an old number."""

    id: str
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderUnanswered:
    """No answer came; the order may have been carried out."""

    id: str
