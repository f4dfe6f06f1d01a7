"""How a daemon stops: without cutting off any request."""

from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import anyio

from mimosamux_daemon.domain.names import VMId
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.models import Cloud

log = get_log('stopping')

POLL_S = 0.1
NOTICE_POLL_S = 1.0
NOTICE_TIMEOUT_S = 2.0
LAST_SECONDS = 1.5
"""What is kept of a reclaim notice for closing connections."""
HAND_OVER_S = 3.0
"""Time that handing over takes; it has to end within the notice."""

HandOver = Callable[[float], Awaitable[None]]
"""Hands what is open to peers, within so many seconds."""


@dataclass(frozen=True, kw_only=True, slots=True)
class StopParts:
    """What the stop needs of the daemon."""

    leave: Callable[[], Awaitable[None]]
    """Tells the peers, so that no new address answer leads here."""
    has_peers: Callable[[], bool]
    """Whether other daemons are ready to take over."""
    drained_at: Callable[[], float | None]
    """When no older address answer leads here any more."""
    open_requests: Callable[[], int]
    hand_over: HandOver
    drain_side_effects: Callable[[], Awaitable[None]]


class StopSequence:
    """Stops in order: leave, serve on, finish, hand over, drain."""

    def __init__(self, *, parts: StopParts, grace_s: float) -> None:
        self._parts = parts
        self._grace_s = grace_s

    async def run(self, last: float | None = None) -> None:
        """Return when nothing is open here any more.

        `last` is when a reclaimed VM is gone, by `anyio.current_time`; a
        planned stop has no such limit and takes the time it needs.
        """
        log.info('leaving', is_reclaimed=last is not None)
        await self._parts.leave()
        await self._serve_on(last)
        await self._finish(last)
        await self._hand_over(last)
        await self._drain(last)

    async def _serve_on(self, last: float | None) -> None:
        """Serve callers whose address answer still leads here."""
        until = self._parts.drained_at()
        if until is None or not self._parts.has_peers():
            return
        if last is not None:
            until = min(until, last - HAND_OVER_S - LAST_SECONDS)
        await anyio.sleep_until(until)

    async def _finish(self, last: float | None) -> None:
        """Wait for open requests to end by themselves."""
        until = anyio.current_time() + self._grace_s
        if last is not None:
            until = min(until, last - HAND_OVER_S - LAST_SECONDS)
        with anyio.CancelScope(deadline=until):
            await self._wait_until_idle()

    async def _hand_over(self, last: float | None) -> None:
        """Hand the rest to peers; without any, serve it to its end.

        A peer that refuses or dies leaves requests here, so it is tried
        again until nothing is open.
        """
        while self._parts.open_requests():
            if last is not None and anyio.current_time() >= last:
                log.warning('cut_off', requests=self._parts.open_requests())
                return
            if self._parts.has_peers():
                # Cut short, it would leave requests that neither go on
                # here nor at a peer.
                with anyio.CancelScope(shield=True):
                    await self._parts.hand_over(HAND_OVER_S)
            await anyio.sleep(POLL_S)

    async def _drain(self, last: float | None) -> None:
        """Let side effects end, as nobody else may run them."""
        until = float('inf') if last is None else last
        with anyio.CancelScope(deadline=until):
            await self._parts.drain_side_effects()

    async def _wait_until_idle(self) -> None:
        # Requests end in several parts, which share no event.
        while self._parts.open_requests():  # noqa: ASYNC110
            await anyio.sleep(POLL_S)


async def wait_for_notice(cloud: Cloud, vm: VMId) -> float:
    """Return the seconds left once the platform takes this VM back."""
    while True:
        await anyio.sleep(NOTICE_POLL_S)
        seconds_left = await _find_notice(cloud, vm)
        if seconds_left is not None:
            return seconds_left


async def _find_notice(cloud: Cloud, vm: VMId) -> float | None:
    with anyio.move_on_after(NOTICE_TIMEOUT_S):
        notices = await cloud.list_notices()
        if isinstance(notices, Unavailable):
            return None
        left = [item.seconds_left for item in notices if item.vm == vm]
        return min(left, default=None)
    return None
