"""Graceful stop of a daemon: open requests end here or at a peer.

A daemon stops on request or when the platform reclaims its VM.
"""

import math
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from mimosamux_daemon.domain.names import VMId
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.models import Cloud

log = get_log('stopping')

OPEN_POLL_S = 0.1
"""Interval between checks for open requests."""
NOTICE_POLL_S = 1.0
"""Interval between requests to the cloud for reclaim notices."""
NOTICE_TIMEOUT_S = 2.0
"""Time limit of a request for reclaim notices."""
CLOSE_RESERVE_S = 2.0
"""Part of the notice period reserved for closing connections, in s."""
EXIT_RESERVE_S = 1.0
"""Part of it that is left for the end of the process, in s."""
CLOSE_GRACE_S = 5.0
"""Time to send the buffered bytes of completed answers."""
HANDOVER_TIMEOUT_S = 3.0
"""Time limit of a handover; it has to end within the notice period."""

HandOver = Callable[[float], Awaitable[None]]
"""Hands open requests to peers, within the given number of seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StopCallbacks:
    """Callbacks into the daemon that the stop sequence uses."""

    leave: Callable[[], Awaitable[None]]
    """Announces the departure: peers omit this daemon from new answers to
    address requests."""
    has_peers: Callable[[], bool]
    """Whether other daemons are ready to take over requests."""
    drained_at: Callable[[], float | None]
    """Time at which the last address answer that names this daemon expires,
    by `anyio.current_time`; None if the daemon is not leaving."""
    open_requests: Callable[[], int]
    """Number of accepted requests that have not ended at this daemon."""
    open_answers: Callable[[], int]
    """Number of answers of which callers have not read the end."""
    close_intake: Callable[[], None]
    """Has new requests refused from now on."""
    hand_over: HandOver
    drain_side_effects: Callable[[], Awaitable[None]]
    """Waits until running side effects have ended and the table tells it."""


def find_end(reclaim_at: float | None) -> float:
    """Return the time at which a stop cuts open requests.

    `reclaim_at` is the time at which the platform reclaims the VM; a stop
    without one waits for open requests.
    """
    return math.inf if reclaim_at is None else reclaim_at - CLOSE_RESERVE_S


def find_close_grace(reclaim_at: float | None, *, now: float) -> float:
    """Return the time for closing connections from now on, in seconds.

    Connections that are still open then are aborted.
    """
    if reclaim_at is None:
        return CLOSE_GRACE_S
    return min(CLOSE_GRACE_S, max(reclaim_at - EXIT_RESERVE_S - now, 0.0))


class StopSequence:
    """Runs the phases of a stop in order.

    The daemon leaves the membership, serves until address answers that name
    it have expired, waits for open requests, takes no new ones, hands over
    the remaining ones and drains side effects.
    """

    def __init__(self, *, callbacks: StopCallbacks, grace_s: float) -> None:
        self._callbacks = callbacks
        self._grace_s = grace_s

    async def run(self, reclaim_at: float | None = None) -> None:
        """Return when no request or side effect is open, or at the end.

        `reclaim_at` is the time at which the platform reclaims the VM, by
        `anyio.current_time`; a planned stop has no such deadline.
        """
        log.info('leaving', is_reclaimed=reclaim_at is not None)
        ends_at = find_end(reclaim_at)
        await self._callbacks.leave()
        await self._serve_until_drained(ends_at)
        await self._await_open_requests(ends_at)
        # With nothing taken from here on, the last look stays true.
        self._callbacks.close_intake()
        await self._hand_over(ends_at)
        await self._drain(ends_at)
        await self._await_answers(ends_at)

    async def _serve_until_drained(self, ends_at: float) -> None:
        """Serve callers whose address answer names this daemon."""
        deadline = self._callbacks.drained_at()
        if deadline is None or not self._callbacks.has_peers():
            return
        await anyio.sleep_until(min(deadline, ends_at - HANDOVER_TIMEOUT_S))

    async def _await_open_requests(self, ends_at: float) -> None:
        """Wait up to the grace period for requests and answers to end."""
        deadline = anyio.current_time() + self._grace_s
        deadline = min(deadline, ends_at - HANDOVER_TIMEOUT_S)
        with anyio.CancelScope(deadline=deadline):
            # Requests end in several components, which share no event.
            while not self._is_idle():  # noqa: ASYNC110
                await anyio.sleep(OPEN_POLL_S)

    async def _hand_over(self, ends_at: float) -> None:
        """Hand open requests to peers; without peers, serve them to the end.

        Requests stay open at this daemon if a peer refuses them or dies, so
        the handover is retried until none is open.
        """
        while self._callbacks.open_requests():
            left_s = ends_at - anyio.current_time()
            if left_s <= 0:
                log.warning(
                    'cut_off', requests=self._callbacks.open_requests()
                )
                return
            if self._callbacks.has_peers():
                # A cancelled handover would leave requests that continue
                # neither at this daemon nor at a peer.
                with anyio.CancelScope(shield=True):
                    await self._callbacks.hand_over(
                        min(HANDOVER_TIMEOUT_S, left_s)
                    )
            await anyio.sleep(min(OPEN_POLL_S, left_s))

    async def _drain(self, ends_at: float) -> None:
        """Wait for side effects to end, as no other daemon may run them."""
        with anyio.CancelScope(deadline=ends_at):
            await self._callbacks.drain_side_effects()

    async def _await_answers(self, ends_at: float) -> None:
        """Wait up to a grace period for readers of the last answers."""
        deadline = min(anyio.current_time() + self._grace_s, ends_at)
        with anyio.CancelScope(deadline=deadline):
            while self._callbacks.open_answers():  # noqa: ASYNC110
                await anyio.sleep(OPEN_POLL_S)

    def _is_idle(self) -> bool:
        callbacks = self._callbacks
        return not (callbacks.open_requests() or callbacks.open_answers())


async def wait_for_notice(cloud: Cloud, vm: VMId) -> float:
    """Wait for a reclaim notice for `vm` and return its seconds left."""
    while True:
        await anyio.sleep(NOTICE_POLL_S)
        seconds_left = await _poll_notice(cloud, vm)
        if seconds_left is not None:
            return seconds_left


async def _poll_notice(cloud: Cloud, vm: VMId) -> float | None:
    with anyio.move_on_after(NOTICE_TIMEOUT_S):
        notices = await cloud.list_notices()
        if isinstance(notices, Unavailable):
            return None
        left = [item.seconds_left for item in notices if item.vm == vm]
        return min(left, default=None)
    return None
