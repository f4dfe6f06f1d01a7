"""Event streams of model engines: answers and reports."""

from collections import deque
from collections.abc import Iterable

import anyio
import anyio.lowlevel
import httpx
import pydantic

from mimosamux_daemon.adapters.http_engine_models import (
    FrameModel,
    ReportModel,
)
from mimosamux_daemon.callers import EVENTS_A_TURN
from mimosamux_daemon.domain.engine import (
    EngineEvent,
    EngineReport,
    StreamBroken,
    StreamEnd,
    TokenFrame,
)
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.errors import InvariantViolation
from mimosamux_daemon.pace import Pace

FINISH_TIMEOUT_S = 0.1
MAX_EVENT_BYTES = 1024 * 1024
BUFFERED_S = 0.0005
"""A read that takes no longer came from a buffer, which may hold more."""
EVENT_END = b'\n\n'
DATA = b'data:'


class EventReader:
    """Server-sent events of a response, as the bytes of their data."""

    def __init__(self, response: httpx.Response) -> None:
        # The raw stream: `aiter_raw` adds two layers to each event.
        self._chunks = aiter(as_byte_stream(response))
        self._rest = bytearray()
        self._parts = 0
        """Chunks that were read since others had a turn."""
        self.waited_at: float | None = None
        """When the last read ended, if it had to wait for the engine."""

    async def pause(self, gap_s: float) -> None:
        """Wait until so long after the last read, which had to wait."""
        if self.waited_at is not None:
            await anyio.sleep(self.waited_at + gap_s - anyio.current_time())

    async def receive(self) -> list[bytes] | None:
        """Return all events that are ready, None at the end."""
        while True:
            begun = anyio.current_time()
            chunk = await anext(self._chunks, None)
            now = anyio.current_time()
            # Counted from the read before, a pause or a busy event loop
            # would look like a wait for the engine, and each token would
            # be followed by a pause of its own.
            self.waited_at = now if now - begun > BUFFERED_S else None
            if chunk is None:
                return None
            events = self._split(chunk)
            if len(self._rest) > MAX_EVENT_BYTES:
                return None
            if events:
                return events
            await self._give_turn()

    def _split(self, chunk: bytes) -> list[bytes]:
        """Return the data of the events that a chunk completes."""
        begun = max(len(self._rest) - len(EVENT_END) + 1, 0)
        self._rest += chunk
        end = self._rest.rfind(EVENT_END, begun)
        if end < 0:
            return []
        whole = bytes(self._rest[:end]).split(EVENT_END)
        del self._rest[: end + len(EVENT_END)]
        return [data for event in whole if (data := data_of(event))]

    async def _give_turn(self) -> None:
        """Let others run: many small chunks may come without a wait."""
        self._parts += 1
        if self._parts % EVENTS_A_TURN == 0:
            await anyio.lowlevel.checkpoint()


def as_byte_stream(response: httpx.Response) -> httpx.AsyncByteStream:
    """Return the body of a response as it comes."""
    if not isinstance(response.stream, httpx.AsyncByteStream):
        raise InvariantViolation('a response without an asynchronous body')
    return response.stream


def data_of(event: bytes) -> bytes:
    """Return the data of one event, empty for a comment."""
    if event.startswith(DATA) and b'\n' not in event:
        return event[len(DATA) :]
    lines = event.splitlines()
    return b'\n'.join(
        line[len(DATA) :].strip() for line in lines if line.startswith(DATA)
    )


class HttpEngineStream:
    """An answer that comes as server-sent events."""

    def __init__(self, response: httpx.Response, pace: Pace) -> None:
        self._reader = EventReader(response)
        self._pace = pace
        self._has_begun = False
        self._ready: deque[EngineEvent] = deque()
        self._has_end = False

    async def finish(self) -> None:
        """Read to the end of the body, so that the connection is kept.

        Without this, every call would open a new connection, which
        takes several passes of a busy event loop.
        """
        if self._has_end:
            with anyio.move_on_after(FINISH_TIMEOUT_S):
                while await self._reader.receive() is not None:
                    pass

    async def receive(self) -> EngineEvent:
        """Return the next event, with frames that are ready joined."""
        while not self._ready:
            await self._pause()
            try:
                events = await self._reader.receive()
                if events is None:
                    return StreamBroken(reason='ended without its end marker')
                self._ready.extend(join_frames(parse_events(events)))
            except httpx.HTTPError as error:
                return StreamBroken(reason=describe(error))
            except pydantic.ValidationError:
                return StreamBroken(reason='malformed event')
        event = self._ready.popleft()
        self._has_end = isinstance(event, StreamEnd)
        return event

    async def _pause(self) -> None:
        """Let tokens gather before the next read, under load.

        The first token is never put off, and what was read already is
        passed on before any pause.
        """
        if not self._has_begun:
            self._has_begun = True
            return
        gap_s = self._pace.gap_s
        if gap_s:
            await self._reader.pause(gap_s)


def parse_events(events: list[bytes]) -> Iterable[EngineEvent]:
    """Return the checked events of an answer."""
    for data in events:
        yield FrameModel.model_validate_json(data).as_event()


def join_frames(events: Iterable[EngineEvent]) -> list[EngineEvent]:
    """Return the events with adjoining frames made one."""
    joined: list[EngineEvent] = []
    for event in events:
        last = joined[-1] if joined else None
        if (
            isinstance(event, TokenFrame)
            and isinstance(last, TokenFrame)
            and event.request == last.request
            and event.attempt == last.attempt
            and event.offset == last.offset + len(last.tokens)
        ):
            joined[-1] = TokenFrame(
                request=last.request,
                attempt=last.attempt,
                offset=last.offset,
                tokens=last.tokens + event.tokens,
            )
        else:
            joined.append(event)
    return joined


class HttpReportStream:
    """Reports that come as server-sent events."""

    def __init__(self, response: httpx.Response, endpoint: Endpoint) -> None:
        self._reader = EventReader(response)
        self._endpoint = endpoint
        self._ready: deque[EngineReport] = deque()

    async def receive(self) -> EngineReport | None:
        """Return the next report, None when the stream has ended."""
        while not self._ready:
            try:
                events = await self._reader.receive()
                if events is None:
                    return None
                for data in events:
                    model = ReportModel.model_validate_json(data)
                    report = model.as_report(self._endpoint.id)
                    if report is not None:
                        self._ready.append(report)
            except (httpx.HTTPError, pydantic.ValidationError):
                return None
        return self._ready.popleft()


def describe(error: Exception) -> str:
    """Return a short text that names an error."""
    return f'{type(error).__name__}: {error}'
