"""Circuit breaker and retry budget for calls to the platform's store."""

import math
import random
from dataclasses import dataclass

import anyio

from mimosamux_daemon.logs import get_log

log = get_log('store_guard')

MIN_EARLY_PROBE_GAP_S = 0.25
"""Minimum time between a probe and the next early one, in seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class GuardLimits:
    """Limits for calls to the store; times are in seconds."""

    call_timeout_s: float = 1.5
    """Time-out of one attempt at a table call."""
    object_timeout_s: float = 5.0
    """Time-out of one attempt at an object call; objects are larger."""
    max_attempts: int = 3
    """Attempts per call, including the first."""
    first_backoff_s: float = 0.05
    """Mean backoff before the second attempt; doubles with each attempt."""
    retry_share: float = 0.1
    """Retries that each call adds to the retry budget."""
    max_saved_retries: float = 20.0
    """Capacity of the retry budget; it starts full."""
    failures_to_open: int = 5
    """Consecutive failed attempts that open the circuit."""
    first_probe_delay_s: float = 1.0
    """Mean time from the opening of the circuit to its first probe."""
    max_probe_delay_s: float = 8.0
    """Upper limit of that mean time, which doubles after each failed probe."""


class RetryBudget:
    """Limits retries to a fraction of the calls, plus a small reserve.

    A token bucket that calls fill and retries empty.
    """

    def __init__(self, *, share: float, capacity: float) -> None:
        self._share = share
        self._capacity = capacity
        self._tokens = capacity

    def record_call(self) -> None:
        """Add the retries that one call earns."""
        self._tokens = min(self._capacity, self._tokens + self._share)

    def spend(self) -> bool:
        """Spend one retry; return False if none is left."""
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


class CircuitBreaker:
    """Blocks calls to a store that has failed several times in a row.

    While the circuit is open, single probe calls are let through at
    intervals that grow exponentially. Any successful call closes it.
    """

    def __init__(self, *, limits: GuardLimits, rng: random.Random) -> None:
        self._limits = limits
        self._rng = rng
        self._consecutive_failures = 0
        self._open_count = 0
        self._probe_at: float | None = None
        self._last_probe_at = -math.inf

    @property
    def is_open(self) -> bool:
        """Whether the store is considered down."""
        return self._probe_at is not None

    def allow_call(self) -> bool:
        """Return True if the circuit is closed or a probe is due.

        If a probe is due, the caller's call is the probe and the next one
        is scheduled.
        """
        if self._probe_at is None:
            return True
        if anyio.current_time() < self._probe_at:
            return False
        self._last_probe_at = anyio.current_time()
        self._schedule_probe()
        return True

    def request_probe(self) -> None:
        """Let the next call probe an open circuit, for a waiting operator.

        Otherwise a change would be refused until the next scheduled
        probe although the store has recovered. Early probes keep
        `MIN_EARLY_PROBE_GAP_S` after the probe before them.
        """
        now = anyio.current_time()
        if (
            self._probe_at is not None
            and now - self._last_probe_at >= MIN_EARLY_PROBE_GAP_S
        ):
            self._probe_at = now

    def record_outcome(self, *, failed: bool) -> None:
        """Record the outcome of one attempt."""
        if not failed:
            if self._probe_at is not None:
                log.info('circuit_closed')
            self._consecutive_failures = self._open_count = 0
            self._probe_at = None
            return
        self._consecutive_failures += 1
        if self._consecutive_failures < self._limits.failures_to_open:
            return
        if self._probe_at is None:
            log.warning('circuit_opened', failures=self._consecutive_failures)
        self._open_count += 1
        self._schedule_probe()

    def _schedule_probe(self) -> None:
        mean_delay_s = self._limits.first_probe_delay_s * 2 ** max(
            0, self._open_count - 1
        )
        delay_s = min(mean_delay_s, self._limits.max_probe_delay_s)
        self._probe_at = anyio.current_time() + delay_s * self._rng.uniform(
            0.5, 1.5
        )
