"""Builds the account of a process, and shows it in its metrics."""

from typing import Protocol

from aioprometheus import Counter, Gauge

from mimosamux_daemon.callers.account import CallerAccount
from mimosamux_daemon.callers.limits import (
    MIB,
    find_descriptor_limit,
    find_limits,
)
from mimosamux_daemon.callers.record import CallerRecord, LossCause

GATEWAY_OWN_BYTES = 96 * MIB
"""Memory that a gateway at a large site needs without callers."""
MODEL_DAEMON_OWN_BYTES = 128 * MIB
"""The same for a model daemon, with the prompts and answers that it keeps."""


class CallerMetrics(Protocol):
    """Metrics of what callers hold and lost."""

    caller_losses: Counter
    """What was given up at a limit, by cause."""
    caller_holdings: Gauge
    """What callers hold, by kind."""
    caller_limits: Gauge
    """The most that they may hold, by kind."""


def build_account(
    *,
    own_bytes: int,
    memory_mb: float = 0.0,
    descriptors: int = 0,
    metrics: CallerMetrics | None = None,
) -> CallerAccount:
    """Return an account for a VM with some memory, in MiB, and descriptors.

    `own_bytes` is what the process needs without callers; 0 means that memory
    or descriptors are not known.
    """

    def note(cause: LossCause) -> None:
        if metrics is not None:
            metrics.caller_losses.inc({'cause': cause})

    limits = find_limits(
        memory_mb=memory_mb,
        descriptors=find_descriptor_limit(descriptors),
        own_bytes=own_bytes,
    )
    return CallerAccount(limits=limits, record=CallerRecord(note=note))


def show_holdings(account: CallerAccount, metrics: CallerMetrics) -> None:
    """Set the gauges to what callers hold now, and to the most."""
    for kind, held, most in account.holdings():
        metrics.caller_holdings.set({'kind': kind}, held)
        metrics.caller_limits.set({'kind': kind}, most)
