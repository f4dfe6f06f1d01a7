"""Builds the account of a process, and shows it in its metrics."""

from typing import Protocol

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


class Gauge(Protocol):
    """A metric that shows the present value for each set of labels."""

    def set(self, labels: dict[str, str], value: float) -> None:
        """Show a value."""


class LossCounter(Protocol):
    """A metric that counts for each set of labels."""

    def inc(self, labels: dict[str, str]) -> None:
        """Count one more."""


class CallerMetrics(Protocol):
    """Metrics of what callers hold and lost."""

    @property
    def caller_losses(self) -> LossCounter:
        """What was given up at a limit, by cause."""

    @property
    def caller_holdings(self) -> Gauge:
        """What callers hold, by kind."""

    @property
    def caller_limits(self) -> Gauge:
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
