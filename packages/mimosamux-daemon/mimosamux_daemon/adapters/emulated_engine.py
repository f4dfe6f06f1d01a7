"""One emulated model engine: batching, cache, KV transfer and faults.

It works by arithmetic on the clock: a stream knows when each of its
tokens is due, so an engine needs no task of its own and costs little.
"""

import heapq
from collections import OrderedDict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

import anyio

from mimosamux_daemon.domain.engine import (
    CacheEvent,
    EngineCall,
    EngineOrder,
    LoadReport,
    OrderDone,
    OrderRefused,
)
from mimosamux_daemon.domain.names import RequestId
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.serving.prefix_cache import (
    BLOCK_TOKENS,
    BYTES_PER_TOKEN,
    hash_prompt,
)


def expected_token(prompt: str, offset: int) -> str:
    """Return the token that an emulated engine gives at an offset."""
    words = prompt.split() or ['.']
    return f'{words[offset % len(words)]}/{offset} '


@dataclass(kw_only=True, slots=True)
class EngineSpeed:
    """How fast an emulated engine works; times are seconds."""

    prefill_tokens_per_s: float = 50_000.0
    decode_interval_s: float = 0.005
    slots: int = 32
    tokens_per_frame: int = 1
    cache_capacity_blocks: int = 4096
    kv_bytes_per_token: int = 128 * 1024
    kv_bytes_per_s: float = 10e9
    report_interval_s: float = 1.0
    report_lag_s: float = 0.5
    order_s: float = 0.0


@dataclass(kw_only=True, slots=True)
class EngineAbilities:
    """What an engine can do; each ability can be missing."""

    resumes: bool = True
    cancels: bool = True
    exports_kv: bool = True
    imports_kv: bool = True
    honours_priority: bool = True
    reports_load: bool = True
    reports_cache: bool = True


class FaultKind(StrEnum):
    """A fault that strikes the next frame which an engine sends."""

    DOUBLED = 'doubled'
    CROSSED = 'crossed'
    LATE = 'late'
    """A frame of an older attempt comes first."""
    OVERLAPPING = 'overlapping'
    """The frame repeats the token before it as well."""
    LOST = 'lost'
    TRUNCATED = 'truncated'
    """The stream breaks without its end marker."""
    EARLY_END = 'early_end'
    """An end marker comes that counts tokens which were not sent."""
    REFUSED = 'refused'
    """The next call is refused, to be sent again a second later."""


@dataclass(kw_only=True, slots=True)
class EngineRun:
    """What an engine recorded of one attempt."""

    call: EngineCall
    dispatched_at: float
    computed_tokens: int = 0
    cached_tokens: int = 0
    imported_tokens: int = 0
    produced: int = 0
    """Tokens of this attempt that were sent."""
    ended: str = ''
    """`whole`, `hung up`, `exported`, `died` or a fault's name."""


@dataclass(frozen=True, kw_only=True, slots=True)
class HeldKv:
    """KV cache that an engine keeps for another one or for a call."""

    request: RequestId
    tokens: int
    size_bytes: int


@dataclass(kw_only=True, slots=True, eq=False)
class MemoryEngine:
    """One emulated engine, and what it recorded of its work."""

    endpoint: Endpoint
    speed: EngineSpeed = field(default_factory=EngineSpeed)
    abilities: EngineAbilities = field(default_factory=EngineAbilities)
    dead: anyio.Event = field(default_factory=anyio.Event)
    frozen: anyio.Event | None = None
    """While set to an event, nothing moves until that event."""
    runs: list[EngineRun] = field(default_factory=list)
    orders: list[EngineOrder] = field(default_factory=list)
    faults: deque[FaultKind] = field(default_factory=deque)
    open_runs: dict[tuple[RequestId, int], EngineRun] = field(
        default_factory=dict
    )
    exporting: set[tuple[RequestId, int]] = field(default_factory=set)
    held_kv: dict[str, HeldKv] = field(default_factory=dict)
    """Exported KV cache, and imported KV cache, by handle."""
    lose_cache_event_every: int = 0
    """Every nth cache event is lost; 0: none is."""
    fencing: int = 0
    running: int = 0
    prefill_free_at: float = 0.0
    kv_free_at: float = 0.0
    _waiting: list[tuple[int, int, anyio.Event]] = field(default_factory=list)
    _abandoned: list[float] = field(default_factory=list)
    """Ends of runs that a hang-up did not cancel."""
    _arrivals: int = 0
    _blocks: OrderedDict[int, None] = field(default_factory=OrderedDict)
    _cache_events: list[CacheEvent] = field(default_factory=list)
    _cache_sequence: int = 0

    @property
    def calls(self) -> list[EngineCall]:
        """Every call that was dispatched to this engine."""
        return [run.call for run in self.runs]

    def die(self) -> None:
        """Go away: streams break and connects fail."""
        self.dead.set()
        self._wake_all()

    def freeze(self) -> None:
        """Stand still, with every connection open."""
        if self.frozen is None:
            self.frozen = anyio.Event()

    def thaw(self) -> None:
        """Go on after having stood still."""
        if self.frozen is not None:
            frozen, self.frozen = self.frozen, None
            frozen.set()

    def inject(self, fault: FaultKind) -> None:
        """Have a fault strike the next frame or call."""
        self.faults.append(fault)

    async def while_frozen(self) -> None:
        """Wait as long as the engine stands still."""
        while self.frozen is not None:
            await self.frozen.wait()

    async def take_slot(self, priority: int) -> None:
        """Wait for a slot of the batch, the most urgent first."""
        self._free_abandoned()
        if self.running < self.speed.slots and not self._waiting:
            self.running += 1
            return
        rank = -priority if self.abilities.honours_priority else 0
        self._arrivals += 1
        entry = (rank, self._arrivals, anyio.Event())
        heapq.heappush(self._waiting, entry)
        try:
            while not entry[2].is_set():
                with anyio.CancelScope(deadline=self._next_abandoned()):
                    await entry[2].wait()
                self._free_abandoned()
        except BaseException:
            if entry in self._waiting:
                self._waiting.remove(entry)
                heapq.heapify(self._waiting)
            else:
                self.free_slot()
            raise

    def free_slot(self) -> None:
        """Give a slot back, to the next that waits."""
        self.running -= 1
        if self._waiting and self.running < self.speed.slots:
            self.running += 1
            heapq.heappop(self._waiting)[2].set()

    def abandon_slot(self, until: float) -> None:
        """Keep a slot busy whose caller hung up without any effect."""
        heapq.heappush(self._abandoned, until)

    def _next_abandoned(self) -> float:
        return self._abandoned[0] if self._abandoned else float('inf')

    def _free_abandoned(self) -> None:
        while self._next_abandoned() <= anyio.current_time():
            heapq.heappop(self._abandoned)
            self.free_slot()

    def begin_prefill(self, run: EngineRun) -> float:
        """Return when the prompt is computed; prompts go one by one."""
        call = run.call
        context = count_prompt_tokens(call.prompt)
        if self.abilities.resumes:
            context += len(call.answer_so_far)
        held = self.held_kv.pop(call.kv_handle or '', None)
        if held is not None and held.request == call.request:
            run.imported_tokens = min(held.tokens, context)
        blocks = hash_prompt(call.prompt.encode())
        run.cached_tokens = self._match(blocks) * BLOCK_TOKENS
        known = max(run.cached_tokens, run.imported_tokens)
        run.computed_tokens = max(1, context - known)
        self._store(blocks)
        start = max(anyio.current_time(), self.prefill_free_at)
        self.prefill_free_at = (
            start + run.computed_tokens / self.speed.prefill_tokens_per_s
        )
        return self.prefill_free_at

    def carry_out(self, order: EngineOrder) -> OrderDone | OrderRefused:
        """Carry an order out, unless its fencing number is too old."""
        if self.endpoint.checks_fencing and order.fencing < self.fencing:
            return OrderRefused(id=order.id, reason='old fencing number')
        self.fencing = max(self.fencing, order.fencing)
        self.orders.append(order)
        return OrderDone(id=order.id)

    def load_report(self, sequence: int) -> LoadReport:
        """Return the load of this moment."""
        now = anyio.current_time()
        rate = self.speed.prefill_tokens_per_s
        backlog = max(0.0, self.prefill_free_at - now) * rate
        return LoadReport(
            endpoint=self.endpoint.id,
            sequence=sequence,
            age_s=self.speed.report_lag_s,
            queued_prefill_tokens=int(backlog),
            running=self.running,
            waiting=len(self._waiting),
            slots=self.speed.slots,
            prefill_tokens_per_s=rate,
            decode_interval_s=self.speed.decode_interval_s,
            cache_blocks=len(self._blocks),
            cache_capacity_blocks=self.speed.cache_capacity_blocks,
        )

    def cache_snapshot(self) -> CacheEvent:
        """Return an event that names every block."""
        self._cache_events.clear()
        return CacheEvent(
            endpoint=self.endpoint.id,
            sequence=self._cache_sequence,
            stored=tuple(self._blocks),
            snapshot=True,
        )

    def take_cache_events(self) -> list[CacheEvent]:
        """Return the events since the last time, without the lost ones."""
        events, self._cache_events = self._cache_events, []
        every = self.lose_cache_event_every
        return [
            event for event in events if not every or event.sequence % every
        ]

    def _match(self, blocks: Iterable[int]) -> int:
        matched = 0
        for block in blocks:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        return matched

    def _store(self, blocks: tuple[int, ...]) -> None:
        stored = tuple(block for block in blocks if block not in self._blocks)
        for block in stored:
            self._blocks[block] = None
        evicted = []
        while len(self._blocks) > self.speed.cache_capacity_blocks:
            evicted.append(self._blocks.popitem(last=False)[0])
        if not stored:
            return
        self._cache_sequence += 1
        self._cache_events.append(
            CacheEvent(
                endpoint=self.endpoint.id,
                sequence=self._cache_sequence,
                stored=stored,
                evicted=tuple(evicted),
            )
        )

    def _wake_all(self) -> None:
        while self._waiting:
            self.running += 1
            heapq.heappop(self._waiting)[2].set()


def count_prompt_tokens(prompt: str) -> int:
    """Return the tokens of a prompt."""
    return max(1, len(prompt.encode()) // BYTES_PER_TOKEN)
