"""Clock by which a daemon measures the age of its information."""

import time


def steady_time() -> float:
    """Return seconds since the machine started, time suspended included.

    The event loop's clock stops while a machine is suspended. With it, a
    lease, a key or a list that expired during the suspension would still count
    as fresh.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
