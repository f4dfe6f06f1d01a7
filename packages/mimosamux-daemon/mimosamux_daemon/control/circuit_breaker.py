"""Limits of calls to the store, a retry allowance and a breaker."""

import math
import random
from dataclasses import dataclass

import anyio

from mimosamux_daemon.logs import get_log

log = get_log('store_guard')

INVITED_S = 0.25
"""Least time from one probe to one that somebody invites."""


@dataclass(frozen=True, kw_only=True, slots=True)
class GuardLimits:
    """Limits of one guard; times are seconds."""

    call_timeout_s: float = 1.5
    """Longest that one try may take."""
    object_timeout_s: float = 5.0
    """The same for objects, which are larger."""
    tries: int = 3
    """Tries of one call, the first included."""
    pause_s: float = 0.05
    """Mean pause before the second try; it doubles with each."""
    retry_share: float = 0.1
    """Retries that each call earns for later ones."""
    retries_kept: float = 20.0
    """Most retries that can be saved up."""
    failures_to_open: int = 5
    """Failures in a row that open the circuit."""
    open_s: float = 1.0
    """Mean time until one call probes an open circuit."""
    open_most_s: float = 8.0
    """The time doubles with each failed probe, up to this."""


class RetryAllowance:
    """Allows retries as a share of calls, with a small reserve."""

    def __init__(self, *, share: float, most: float) -> None:
        self._share = share
        self._most = most
        self._saved = most

    def note_call(self) -> None:
        """Earn the share of one call."""
        self._saved = min(self._most, self._saved + self._share)

    def take(self) -> bool:
        """Spend one retry; False if none is left."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


class CircuitBreaker:
    """Says when the store is so bad that calls need not be tried."""

    def __init__(self, *, limits: GuardLimits, chance: random.Random) -> None:
        self._limits = limits
        self._chance = chance
        self._failures = 0
        self._opened = 0
        self._probe_at: float | None = None
        self._probed_at = -math.inf

    @property
    def is_open(self) -> bool:
        """Whether the store counts as down at present."""
        return self._probe_at is not None

    def allows(self) -> bool:
        """Return True for a call that may go out, or for a due probe."""
        if self._probe_at is None:
            return True
        if anyio.current_time() < self._probe_at:
            return False
        self._probed_at = anyio.current_time()
        self._put_off_probe()
        return True

    def invite_probe(self) -> None:
        """Let the next call probe an open circuit, for a person who waits.

        Otherwise a change is refused for as long as the next probe is put
        off, though the store is back. Probes stay a while apart.
        """
        now = anyio.current_time()
        if self._probe_at is not None and now - self._probed_at >= INVITED_S:
            self._probe_at = now

    def note(self, *, failed: bool) -> None:
        """Take the outcome of a call into account."""
        if not failed:
            if self._probe_at is not None:
                log.info('circuit_closed')
            self._failures = self._opened = 0
            self._probe_at = None
            return
        self._failures += 1
        if self._failures < self._limits.failures_to_open:
            return
        if self._probe_at is None:
            log.warning('circuit_opened', failures=self._failures)
        self._opened += 1
        self._put_off_probe()

    def _put_off_probe(self) -> None:
        mean = self._limits.open_s * 2 ** max(0, self._opened - 1)
        pause = min(mean, self._limits.open_most_s)
        self._probe_at = anyio.current_time() + pause * self._chance.uniform(
            0.5, 1.5
        )
