"""Hands recorded signals to a task of the event loop."""

from collections.abc import AsyncIterator

import anyio

from mimosamux_daemon.early_signals import PendingSignals, ReceivedSignal


async def receive_signals(
    pending: PendingSignals,
) -> AsyncIterator[ReceivedSignal]:
    """Yield each signal, also those from before the event loop began."""
    while True:
        await anyio.wait_readable(pending.wakeup)
        for received in pending.take():
            yield received
