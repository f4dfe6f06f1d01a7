"""Signal handlers that are installed before the program's modules are loaded.

The default action of SIGTERM, SIGINT and SIGHUP would end a starting process
at once, and reset the connections that wait for it. The handlers only record
a signal and its time, for the event loop to act on. This module imports only
the standard library, as other packages take time to load.
"""

import signal
import socket
import time
from collections import deque
from collections.abc import Iterator
from contextlib import closing, contextmanager, suppress
from dataclasses import dataclass
from types import FrameType

from mimosamux_daemon.standstill import (
    StandstillWatch,
    watch_standstills,
)

RECORDED = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
READ_BYTES = 4096


@dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedSignal:
    """A signal, and the earliest time at which it may have been sent."""

    number: signal.Signals
    sent_at: float
    """In seconds of `time.monotonic`."""

    def age_s(self) -> float:
        """Return the longest time for which it may be on its way."""
        return time.monotonic() - self.sent_at


class PendingSignals:
    """Signals that the process has received and not yet acted on."""

    def __init__(self, *, watch: StandstillWatch) -> None:
        self.watch = watch
        self._pending: deque[ReceivedSignal] = deque()
        self.wakeup, self._notify = socket.socketpair()
        """`wakeup` is readable while signals are pending."""
        self.wakeup.setblocking(False)
        self._notify.setblocking(False)

    def take(self) -> list[ReceivedSignal]:
        """Return the pending signals, the oldest first, and forget them."""
        with suppress(BlockingIOError):
            self.wakeup.recv(READ_BYTES)
        return [self._pending.popleft() for _ in range(len(self._pending))]

    def close(self) -> None:
        """Close the sockets."""
        self.wakeup.close()
        self._notify.close()

    def record(self, number: int, frame: FrameType | None) -> None:
        """Record a signal; called in the main thread, also in a busy loop."""
        self._pending.append(
            ReceivedSignal(
                number=signal.Signals(number), sent_at=self.watch.find_start()
            )
        )
        # A full buffer wakes the reader as well.
        with suppress(BlockingIOError):
            self._notify.send(b'\0')


@contextmanager
def record_signals() -> Iterator[PendingSignals]:
    """Record the signals of the process until the context exits."""
    with (
        watch_standstills() as watch,
        closing(PendingSignals(watch=watch)) as pending,
    ):
        previous = {
            number: signal.signal(number, pending.record)
            for number in RECORDED
        }
        try:
            yield pending
        finally:
            for number, handler in previous.items():
                signal.signal(number, handler)
