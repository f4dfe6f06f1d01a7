"""One line of key=value pairs for each event; a full pipe holds up nobody."""

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
"""Bytes that a pipe takes at once if it takes any (POSIX's PIPE_BUF)."""
KEPT_BYTES = 256 * 1024
"""Bytes of lines that wait while nobody reads; later ones are lost."""
LINES_PER_S = 200.0
"""Lines a second that are written in the long run. A line takes about
50 us, so this is 1% of a core; a daemon that passes on 20 requests a second
writes 30."""
BURST_LINES = 1000.0
"""Lines that may be written at once, as at the start of a disturbance."""

EventDict = MutableMapping[str, Any]


class LineWriter:
    """A text stream that never waits for its reader.

    A reader that stands still would otherwise stop the daemon in the middle
    of a request as soon as the pipe is full: callers would see silence.
    """

    def __init__(self, *, stream: TextIO) -> None:
        self.lines_lost = 0
        self._stream = stream
        self._waiting = b''
        self._descriptor: int | None = None
        self._poller = select.poll()
        with suppress(OSError, ValueError):
            self._descriptor = stream.fileno()
            self._poller.register(self._descriptor, select.POLLOUT)

    def write(self, text: str) -> int:
        """Write a line, or keep it for later, or lose it."""
        if self._descriptor is None:
            return self._stream.write(text)
        data = text.encode(errors='replace')
        if len(self._waiting) + len(data) > KEPT_BYTES:
            self.lines_lost += text.count('\n')
        else:
            self._waiting += data
        self._drain(self._descriptor)
        return len(text)

    def flush(self) -> None:
        """Write what waits, as far as the reader takes it."""
        if self._descriptor is None:
            self._stream.flush()
        else:
            self._drain(self._descriptor)

    def _drain(self, descriptor: int) -> None:
        while self._waiting and self._is_writable():
            try:
                written = os.write(descriptor, self._waiting[:PIPE_BYTES])
            except OSError:
                # Nobody will ever read this; the daemon serves on.
                self.lines_lost += self._waiting.count(b'\n')
                self._waiting = b''
                return
            self._waiting = self._waiting[written:]

    def _is_writable(self) -> bool:
        return any(
            events & select.POLLOUT for _, events in self._poller.poll(0)
        )


@dataclass(kw_only=True, slots=True)
class VolumeLimit:
    """A structlog processor that leaves events out under load.

    What was left out is counted, and told with the next line that is let
    through. Warnings and errors are never left out.
    """

    clock: Callable[[], float] = time.monotonic
    lines_per_s: float = LINES_PER_S
    burst: float = BURST_LINES
    _allowed: float = BURST_LINES
    _filled_at: float | None = None
    _left_out: Counter[str] = field(default_factory=Counter)

    def __call__(
        self, logger: Any, method: str, event_dict: EventDict
    ) -> EventDict:
        """Let an event through, or leave it out."""
        now = self.clock()
        if self._filled_at is not None:
            filled = (now - self._filled_at) * self.lines_per_s
            self._allowed = min(self._allowed + filled, self.burst)
        self._filled_at = now
        if method == 'info' and self._allowed < 1:
            self._left_out[str(event_dict.get('event'))] += 1
            raise structlog.DropEvent
        self._allowed -= 1
        if self._left_out:
            event_dict['left_out'] = ','.join(
                f'{event}:{count}' for event, count in self._left_out.items()
            )
            self._left_out.clear()
        return event_dict


def configure_logs(stream: TextIO) -> None:
    """Write every event to `stream` as one line of key=value pairs."""
    writer = LineWriter(stream=stream)

    def tell_lost(
        logger: Any, method: str, event_dict: EventDict
    ) -> EventDict:
        if writer.lines_lost:
            event_dict['lines_lost'] = writer.lines_lost
            writer.lines_lost = 0
        return event_dict

    structlog.configure(
        processors=[
            VolumeLimit(),
            tell_lost,
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
    # Binding here would fix the configuration of this moment, which is
    # the default: events would go to stdout until the process ends.
    log: structlog.typing.FilteringBoundLogger = structlog.get_logger(
        component=component
    )
    return log
