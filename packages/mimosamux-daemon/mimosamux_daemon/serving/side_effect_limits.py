"""Times that calls which may not be repeated are handled by."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True, slots=True)
class SideEffectLimits:
    """Times in seconds."""

    dispatch_window_s: float = 2.0
    """A call goes out this soon after its row was written, or the row is
    checked again. Shorter than the time to take a daemon for dead."""
    settle_s: float = 3.0
    """Time to find out whether a write of unknown fate has landed."""
    ending_s: float = 1.0
    """Time that the caller waits for the row to hold the answer."""
    wait_s: float = 10.0
    """Time that a second caller waits for the first one's answer."""
    poll_s: float = 0.05
    """First pause between two looks at the row; it doubles."""
    poll_most_s: float = 1.0
    overdue_s: float = 30.0
    """Added to the holder's own time until its call counts as unknown,
    even if the holder seems to be alive."""
    retry_after_s: float = 2.0
    """When a caller is told to come again."""
