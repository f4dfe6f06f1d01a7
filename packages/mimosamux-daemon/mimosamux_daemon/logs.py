"""Structured logs: one line of key=value pairs (logfmt) for each event.

Writing never blocks on a slow reader, and a rate limit bounds the volume.
"""

import os
import select
import time
from collections import Counter
from collections.abc import Callable, MutableMapping
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any, TextIO

import structlog

PIPE_BYTES = 4096
"""Bytes that a writable pipe accepts without blocking (POSIX PIPE_BUF)."""
MAX_BUFFER_BYTES = 256 * 1024
"""Size limit of the buffer for lines that the reader has not accepted.

Further lines are dropped."""
LINES_PER_S = 200.0
"""Sustained rate limit, in lines a second. A line takes about 50 us, so
this is 1% of a core; a daemon that forwards 20 requests a second writes 30
lines a second."""
BURST_LINES = 1000.0
"""Burst size of the rate limit, for example for the start of an outage."""

EventDict = MutableMapping[str, Any]


class LineWriter:
    """A text stream whose writes never block on the reader.

    If the reader of a pipe stalled, a blocking write to the full pipe would
    stop the daemon in the middle of requests, and callers would get no data.
    """

    def __init__(self, *, stream: TextIO) -> None:
        self.lines_lost = 0
        self._stream = stream
        self._buffer = b''
        self._descriptor: int | None = None
        self._poller = select.poll()
        with suppress(OSError, ValueError):
            self._descriptor = stream.fileno()
            self._poller.register(self._descriptor, select.POLLOUT)

    def write(self, text: str) -> int:
        """Write or buffer a line; drop and count it if the buffer is full."""
        if self._descriptor is None:
            return self._stream.write(text)
        data = text.encode(errors='replace')
        if len(self._buffer) + len(data) > MAX_BUFFER_BYTES:
            self.lines_lost += text.count('\n')
        else:
            self._buffer += data
        self._drain(self._descriptor)
        return len(text)

    def flush(self) -> None:
        """Write buffered lines as far as the reader accepts them."""
        if self._descriptor is None:
            self._stream.flush()
        else:
            self._drain(self._descriptor)

    def _drain(self, descriptor: int) -> None:
        while self._buffer and self._is_writable():
            try:
                written = os.write(descriptor, self._buffer[:PIPE_BYTES])
            except OSError:
                # The reader is gone. Drop the lines and continue to serve.
                self.lines_lost += self._buffer.count(b'\n')
                self._buffer = b''
                return
            self._buffer = self._buffer[written:]

    def _is_writable(self) -> bool:
        return any(
            events & select.POLLOUT for _, events in self._poller.poll(0)
        )


@dataclass(kw_only=True, slots=True)
class EventRateLimiter:
    """A structlog processor that limits the rate of events (token bucket).

    It drops events of level info only; warnings and errors always pass. The
    field `left_out` of the next event that passes gives the number of
    dropped events by name.
    """

    clock: Callable[[], float] = time.monotonic
    lines_per_s: float = LINES_PER_S
    burst: float = BURST_LINES
    _tokens: float = BURST_LINES
    _refilled_at: float | None = None
    _dropped_counts: Counter[str] = field(default_factory=Counter)

    def __call__(
        self, logger: Any, method: str, event_dict: EventDict
    ) -> EventDict:
        """Pass the event on, or raise `DropEvent` over the rate limit."""
        now = self.clock()
        if self._refilled_at is not None:
            refill = (now - self._refilled_at) * self.lines_per_s
            self._tokens = min(self._tokens + refill, self.burst)
        self._refilled_at = now
        if method == 'info' and self._tokens < 1:
            self._dropped_counts[str(event_dict.get('event'))] += 1
            raise structlog.DropEvent
        self._tokens -= 1
        if self._dropped_counts:
            event_dict['left_out'] = ','.join(
                f'{event}:{count}'
                for event, count in self._dropped_counts.items()
            )
            self._dropped_counts.clear()
        return event_dict


def configure_logs(stream: TextIO) -> None:
    """Write every event to `stream` as one line of key=value pairs."""
    writer = LineWriter(stream=stream)

    def add_lines_lost(
        logger: Any, method: str, event_dict: EventDict
    ) -> EventDict:
        if writer.lines_lost:
            event_dict['lines_lost'] = writer.lines_lost
            writer.lines_lost = 0
        return event_dict

    structlog.configure(
        processors=[
            EventRateLimiter(),
            add_lines_lost,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt='iso', key='at'),
            structlog.processors.LogfmtRenderer(
                key_order=['at', 'level', 'event'],
                drop_missing=True,
                bool_as_flag=False,
            ),
        ],
        logger_factory=structlog.WriteLoggerFactory(
            file=writer  # type: ignore[arg-type]
        ),
        cache_logger_on_first_use=True,
    )


def get_log(component: str) -> structlog.typing.FilteringBoundLogger:
    """Return the logger of a component."""
    # `bind` would freeze the configuration in force at import, which is
    # the default: events would go to stdout until the process ends.
    log: structlog.typing.FilteringBoundLogger = structlog.get_logger(
        component=component
    )
    return log
