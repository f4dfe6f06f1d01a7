"""Counts and logs what callers lost to the limits of a process."""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum

import anyio

from mimosamux_daemon.logs import get_log

log = get_log('callers')

LOG_INTERVAL_S = 1.0
"""A crowd gets one log line in this time, with the counts since the last."""


class LossCause(StrEnum):
    """Why a caller's request or connection was given up."""

    BYTES = 'bytes'
    """Its unfinished request yielded, or was refused: no bytes are left."""
    DESCRIPTORS = 'descriptors'
    """Its connection yielded, or was refused: too many are open."""
    UNREAD_ANSWER = 'unread_answer'
    """Its caller took none of its answer while others had no room."""
    SLOW_BODY = 'slow_body'
    """Its body was not whole in time."""
    TOO_LARGE = 'too_large'
    """Its body is over the limit."""
    NO_BODY_TAKEN = 'no_body_taken'
    """It has a body where none is taken."""
    TURNED_AWAY = 'turned_away'
    """It can't be served, which is known before its body has come."""


@dataclass(kw_only=True, slots=True)
class CallerRecord:
    """What was given up so far, by cause."""

    note: Callable[[LossCause], None] = lambda _: None
    """Called for each loss, for the metrics."""
    counts: Counter[LossCause] = field(default_factory=Counter)
    _untold: Counter[LossCause] = field(default_factory=Counter)
    _told_at: float | None = None

    def add(self, cause: LossCause, **held: int) -> None:
        """Count one loss; `held` is logged with it."""
        self.counts[cause] += 1
        self._untold[cause] += 1
        self.note(cause)
        now = anyio.current_time()
        if self._told_at is not None and now - self._told_at < LOG_INTERVAL_S:
            return
        self._told_at = now
        log.warning(
            'callers_limited',
            **{str(key): count for key, count in self._untold.items()},
            **held,
        )
        self._untold.clear()
