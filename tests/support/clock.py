"""Runs a test on a clock that stands still and jumps over waits."""

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import trio._core._run as scheduler
from trio.testing import MockClock

SEED = 1


def run_paused(function: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run `function` under a clock that jumps to the next deadline.

    Tasks that are ready together run in an order that trio draws anew
    each time, unless it is told not to: the same test would then pass or
    fail by chance, and a fault found once could not be found again.
    """
    scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True  # type: ignore[misc]
    scheduler._r.seed(SEED)
    clock = MockClock(autojump_threshold=0)
    return anyio.run(
        function, *args, backend='trio', backend_options={'clock': clock}
    )
