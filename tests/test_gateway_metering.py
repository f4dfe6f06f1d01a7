"""Metering: when the counts of a usage window are final."""

import unittest
from types import SimpleNamespace

import anyio
from mimosamux_daemon.adapters.memory_table import MemoryTable
from mimosamux_daemon.domain.store_eras import StoreEra
from mimosamux_daemon.gateway.duties.metering import Metering
from mimosamux_daemon.gateway.finalized_windows import FinalizedWindows
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.request_counts import RequestCounts
from mimosamux_daemon.ports.duty_calls import DutyOutcome
from mimosamux_wire import StateDigest, WindowUse

from tests.support.clock import run_paused

WINDOW_S = 5.0
LATENESS_S = 10.0
PEER = SimpleNamespace(place=SimpleNamespace(id='peer:1'), incarnation=7)
LEASE = SimpleNamespace(
    is_valid=lambda: True, is_continuous=False, fencing=1, end=lambda: None
)


class Reports:
    """Takes usage reports, with the time of each."""

    def __init__(self):
        self.taken = []

    async def report_usage(self, report, *, fencing):
        self.taken.append((anyio.current_time(), report))
        return DutyOutcome.DONE


async def report_late_digest(
    *, arrives_s, propagation_s, lateness_s=LATENESS_S
):
    """Return the reports of window 0, whose last digest comes late."""
    began_at = anyio.current_time()
    counts = RequestCounts(
        window_s=WINDOW_S, now=lambda: anyio.current_time() - began_at
    )
    reports = Reports()
    metering = Metering(
        table=MemoryTable(),
        table_era=StoreEra(),
        calls=reports,
        request_counts=counts,
        finalized=FinalizedWindows(
            states=SimpleNamespace(on_joined=[], queue=lambda message: None),
            peers=SimpleNamespace(handle=lambda kind, handler: None),
        ),
        lateness_s=lateness_s,
        propagation_s=lambda: propagation_s,
        metrics=GatewayMetrics(),
        lose_lease=lambda lease: None,
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(metering.run, LEASE)
        await anyio.sleep(WINDOW_S + arrives_s)
        digest = StateDigest(
            windows=[WindowUse(window=0, account='school', requests=9)]
        )
        counts.take(PEER, digest)
        await anyio.sleep(LATENESS_S - arrives_s)
        tasks.cancel_scope.cancel()
    return [
        (at - began_at - WINDOW_S, report.counts)
        for at, report in reports.taken
        if report.window == 0
    ]


class TestFinalCounts(unittest.TestCase):
    def test_digest_that_passes_relays_is_counted(self):
        """Guards against usage that lacks what distant daemons counted.

        At a large site a digest is written less often and passes relays, so
        the last counts of a window come seconds after its end.
        """
        [(_, counts)] = run_paused(
            lambda: report_late_digest(arrives_s=2.5, propagation_s=3.0)
        )
        self.assertEqual(counts, {'school': 9})

    def test_report_is_in_time_however_slow_digests_are(self):
        """Guards against reports that wait for digests until overdue."""
        [(delay_s, _)] = run_paused(
            lambda: report_late_digest(arrives_s=2.5, propagation_s=60.0)
        )
        self.assertLess(delay_s, LATENESS_S - WINDOW_S + 1.0)

    def test_short_lateness_leaves_the_shortest_delay(self):
        """Guards against counts that are final before the last digests.

        Where reports are due after 2 s, half of that is less than what a
        small site has always waited.
        """
        [(_, counts)] = run_paused(
            lambda: report_late_digest(
                arrives_s=1.4, propagation_s=0.5, lateness_s=2.0
            )
        )
        self.assertEqual(counts, {'school': 9})
