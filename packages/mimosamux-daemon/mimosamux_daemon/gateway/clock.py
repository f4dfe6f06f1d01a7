"""The clock by which a daemon judges how old what it knows is."""

import time


def steady_time() -> float:
    """Return seconds since the machine started, suspended ones included.

    The runtime's clock stands still while a machine is suspended. After
    that it would let a lease, a key or a list that is long out of date
    pass as fresh.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
