"""Time limits for non-repeatable calls."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class SideEffectLimits:
    """Timeouts and pauses, in seconds."""

    dispatch_window_s: float = 2.0
    """Longest age of a claim at which the call may be sent; an older claim
    is confirmed in the table first. Shorter than the time after which
    other daemons consider a silent daemon dead."""
    claim_timeout_s: float = 3.0
    """Time for which a claim whose write got no answer is retried."""
    final_write_s: float = 1.0
    """Time that the caller of an answered call waits for the answer to be
    written to the row."""
    wait_s: float = 10.0
    """Time that a duplicate call waits for the first call to settle."""
    poll_s: float = 0.05
    """Initial pause between two reads of the row; each pause doubles it."""
    max_poll_s: float = 1.0
    """Upper bound of that pause."""
    overdue_grace_s: float = 30.0
    """Added to a call's remaining time, which counts from the first sighting
    of its row. An open call older than that is settled as unknown even if
    its holder seems to be alive."""
    retry_after_s: float = 2.0
    """Retry-After of refusals and of calls in doubt."""
