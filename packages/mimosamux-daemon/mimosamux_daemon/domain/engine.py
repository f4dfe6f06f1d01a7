"""Calls, orders and events exchanged with model engines."""

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
    """Tokens already generated; the engine continues after them."""
    kv_handle: str | None = None
    """Imported KV cache to continue from; None: prefill the prompt."""
    parameters: Mapping[str, object] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True, slots=True)
class TokenFrame:
    """Consecutive tokens of an answer; `offset` is the first one's index."""

    request: RequestId
    attempt: int
    offset: int
    tokens: tuple[str, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamEnd:
    """End marker of a stream.

    `total` counts all tokens of the answer, including `answer_so_far`.
    """

    request: RequestId
    attempt: int
    total: int
    finish_reason: str = 'stop'
    cached_tokens: int = 0
    """Prompt tokens found in the prefix cache of the engine."""
    computed_tokens: int = 0
    """Prompt and earlier answer tokens computed during prefill."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamBroken:
    """The stream ended without its end marker."""

    reason: str


EngineEvent = TokenFrame | StreamEnd | StreamBroken


@dataclass(frozen=True, kw_only=True, slots=True)
class ConnectFailed:
    """The connection failed before any byte of the call was sent."""

    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineRefused:
    """The engine rejected the call."""

    reason: str
    retry_after_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class KvExport:
    """Exported KV cache of a request, for another engine to fetch."""

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
    """The importing engine holds the KV cache under `handle`."""

    handle: str
    tokens: int


@dataclass(frozen=True, kw_only=True, slots=True)
class LoadReport:
    """Load of an engine, measured `age_s` seconds before it arrived."""

    endpoint: EndpointId
    sequence: int
    age_s: float
    queued_prefill_tokens: int
    running: int
    waiting: int
    slots: int
    """Maximum number of requests that the engine runs concurrently."""
    prefill_tokens_per_s: float
    decode_interval_s: float
    """Current time between two tokens of one stream."""
    cache_blocks: int = 0
    cache_capacity_blocks: int = 0


@dataclass(frozen=True, kw_only=True, slots=True)
class CacheEvent:
    """Prefix-cache blocks that an engine stored and evicted.

    Sequence numbers increase by one; a gap means that events were lost. A
    snapshot lists every cached block, which repairs such a loss.
    """

    endpoint: EndpointId
    sequence: int
    stored: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()
    snapshot: bool = False


EngineReport = LoadReport | CacheEvent


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineOrder:
    """Order to load, unload or change role, with a fencing token."""

    id: str
    endpoint: EndpointId
    action: str
    """`load`, `unload`, `load_adapter` or `set_role`."""
    argument: str
    fencing: int
    safe_to_repeat: bool = True


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderDone:
    """The engine has executed the order."""

    id: str


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderRefused:
    """The engine refused, for example an outdated fencing token."""

    id: str
    reason: str


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderUnanswered:
    """No answer arrived; the order may have been executed."""

    id: str
