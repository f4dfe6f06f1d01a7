"""Notices that the process has not run for a while.

While the program is loaded, a thread takes notes; from then on, a timer of the
event loop does.

A process that is frozen, or gets no processor time, receives its signals when
it runs again, without the times at which they were sent. This module imports
only the standard library, as it is used before the program is loaded.
"""

import math
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager

PERIOD_S = 0.1
"""Interval at which a thread notes that the process runs."""
STANDSTILL_S = 0.5
"""A shorter time without a note is no standstill."""


class StandstillWatch:
    """Knows since when the process may not have run."""

    def __init__(self, *, clock: Callable[[], float] = time.monotonic) -> None:
        self._clock = clock
        self._noted_at = clock()
        self._began_at = self._ended_at = -math.inf
        """Beginning and end of the last standstill."""
        self._is_noted_elsewhere = threading.Event()

    def note_running(self) -> None:
        """Note that the process runs now; called about each `PERIOD_S`."""
        now = self._clock()
        if now - self._noted_at >= STANDSTILL_S:
            self._began_at, self._ended_at = self._noted_at, now
        self._noted_at = now

    def find_start(self) -> float:
        """Return the earliest time of an event that is seen only now.

        That is the beginning of a standstill that is ending or has just
        ended, as the process may take its notes before it sees the event. One
        that really comes so soon behind a standstill counts as too old.
        """
        now = self._clock()
        if now - self._noted_at >= STANDSTILL_S:
            return self._noted_at
        return self._began_at if now - self._ended_at < PERIOD_S else now

    def run(self) -> None:
        """Take notes until `end_run`."""
        while not self._is_noted_elsewhere.wait(PERIOD_S):
            self.note_running()

    def end_run(self) -> None:
        """End `run`: from now on, its caller takes the notes."""
        self._is_noted_elsewhere.set()


@contextmanager
def watch_standstills() -> Iterator[StandstillWatch]:
    """Watch in a thread until the context exits or `end_run` is called."""
    watch = StandstillWatch()
    thread = threading.Thread(
        target=watch.run, name='standstills', daemon=True
    )
    thread.start()
    try:
        yield watch
    finally:
        watch.end_run()
        thread.join()
