"""Streams of an emulated engine: one attempt's frames, and reports."""

from collections import deque

import anyio

from mimosamux_daemon.adapters.emulated_engine import (
    EngineRun,
    FaultKind,
    MemoryEngine,
    count_prompt_tokens,
)
from mimosamux_daemon.domain.engine import (
    EngineCall,
    EngineEvent,
    EngineReport,
    StreamBroken,
    StreamEnd,
    TokenFrame,
)
from mimosamux_daemon.domain.names import RequestId

MAX_JOINED = 64
"""Most tokens that a late reader finds joined in one frame."""


class EmulatedStream:
    """The frames of one attempt, each when it is due."""

    def __init__(self, *, engine: MemoryEngine, run: EngineRun) -> None:
        self._engine = engine
        self._run = run
        self._call = run.call
        self._words = self._call.prompt.split() or ['.']
        self._offset = len(self._call.answer_so_far)
        if not engine.abilities.resumes:
            self._offset = 0
        self._next_due: float | None = None
        self._pending: deque[EngineEvent] = deque()
        self.has_slot = False

    @property
    def _key(self) -> tuple[RequestId, int]:
        return self._call.request, self._call.attempt

    async def receive(self) -> EngineEvent:
        """Return the next frame, the end or a break."""
        if self._pending:
            return self._pending.popleft()
        if self._next_due is None:
            await self._start()
        engine = self._engine
        if self._offset < self._call.max_tokens:
            await anyio.sleep_until(self._due_of_frame())
        await engine.while_frozen()
        if engine.dead.is_set():
            return self._broken('died')
        if self._key in engine.exporting:
            return self._broken('exported')
        if self._offset >= self._call.max_tokens:
            return self._end()
        return self._spoil(self._frame())

    def natural_end(self) -> float:
        """Return when the run ends if nobody stops it."""
        missing = self._call.max_tokens - self._offset
        interval = self._engine.speed.decode_interval_s
        return anyio.current_time() + missing * interval

    async def _start(self) -> None:
        engine = self._engine
        await engine.while_frozen()
        await engine.take_slot(self._call.priority)
        self.has_slot = True
        ready = engine.begin_prefill(self._run)
        await anyio.sleep_until(ready)
        self._next_due = anyio.current_time() + engine.speed.decode_interval_s

    def _due_of_frame(self) -> float:
        speed = self._engine.speed
        missing = self._call.max_tokens - self._offset
        more = min(speed.tokens_per_frame, missing) - 1
        return (self._next_due or 0.0) + more * speed.decode_interval_s

    def _frame(self) -> TokenFrame:
        """Return all tokens that are due, joined."""
        speed = self._engine.speed
        late = anyio.current_time() - (self._next_due or 0.0)
        ready = 1 + int(late / speed.decode_interval_s + 1e-6)
        missing = self._call.max_tokens - self._offset
        count = min(ready, missing, MAX_JOINED)
        words = self._words
        first = self._offset
        tokens = tuple(
            f'{words[offset % len(words)]}/{offset} '
            for offset in range(first, first + count)
        )
        self._offset += count
        self._next_due = (
            self._next_due or 0.0
        ) + count * speed.decode_interval_s
        self._run.produced += count
        return self._frame_of(self._call, first, tokens)

    def _frame_of(
        self, call: EngineCall, offset: int, tokens: tuple[str, ...]
    ) -> TokenFrame:
        return TokenFrame(
            request=call.request,
            attempt=call.attempt,
            offset=offset,
            tokens=tokens,
        )

    def _spoil(self, frame: TokenFrame) -> EngineEvent:
        faults = self._engine.faults
        if not faults or faults[0] is FaultKind.REFUSED:
            return frame
        fault = faults.popleft()
        wrong = tuple(f'wrong/{token}' for token in frame.tokens)
        match fault:
            case FaultKind.DOUBLED:
                self._pending.append(frame)
                return frame
            case FaultKind.CROSSED:
                self._pending.append(frame)
                return TokenFrame(
                    request=RequestId('another-request'),
                    attempt=frame.attempt,
                    offset=frame.offset,
                    tokens=wrong,
                )
            case FaultKind.LATE:
                self._pending.append(frame)
                return TokenFrame(
                    request=frame.request,
                    attempt=frame.attempt - 1,
                    offset=frame.offset,
                    tokens=wrong,
                )
            case FaultKind.OVERLAPPING if frame.offset:
                before = frame.offset - 1
                words = self._words
                token = f'{words[before % len(words)]}/{before} '
                return self._frame_of(
                    self._call, before, (token, *frame.tokens)
                )
            case FaultKind.TRUNCATED:
                return self._broken(fault)
            case FaultKind.EARLY_END:
                self._run.ended = fault
                return self._end_at(frame.offset + len(frame.tokens))
            case FaultKind.LOST:
                return self._after_lost()
        return frame

    def _after_lost(self) -> EngineEvent:
        if self._offset >= self._call.max_tokens:
            return self._end()
        token = f'{self._words[self._offset % len(self._words)]}/'
        frame = self._frame_of(
            self._call, self._offset, (f'{token}{self._offset} ',)
        )
        self._offset += 1
        return frame

    def _broken(self, why: str) -> StreamBroken:
        self._run.ended = why
        return StreamBroken(reason=why)

    def _end(self) -> StreamEnd:
        self._run.ended = 'whole'
        return self._end_at(self._offset)

    def _end_at(self, total: int) -> StreamEnd:
        return StreamEnd(
            request=self._call.request,
            attempt=self._call.attempt,
            total=total,
            finish_reason='length',
            cached_tokens=self._run.cached_tokens,
            computed_tokens=self._run.computed_tokens,
        )

    def context_tokens(self) -> int:
        """Return the tokens of prompt and answer that are computed."""
        return count_prompt_tokens(self._call.prompt) + self._offset


class EmulatedReports:
    """Load reports with a lag, and cache events with gaps."""

    def __init__(self, *, engine: MemoryEngine) -> None:
        self._engine = engine
        self._sequence = 0
        self._pending: deque[EngineReport] = deque()
        if engine.abilities.reports_cache:
            self._pending.append(engine.cache_snapshot())

    async def receive(self) -> EngineReport | None:
        """Return the next report, None once the engine is gone."""
        while not self._pending:
            engine = self._engine
            speed = engine.speed
            self._sequence += 1
            if engine.abilities.reports_load:
                self._pending.append(engine.load_report(self._sequence))
            if engine.abilities.reports_cache:
                self._pending.extend(engine.take_cache_events())
            await anyio.sleep(max(speed.report_interval_s, speed.report_lag_s))
            await engine.while_frozen()
            if engine.dead.is_set():
                return None
        return self._pending.popleft()
