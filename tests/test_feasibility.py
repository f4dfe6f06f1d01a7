"""Targets that cannot be met are refused with the path of the field."""

import unittest
from dataclasses import replace

import anyio
import anyio.lowlevel
from mimosamux_daemon.control.feasibility import TargetCheck
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.names import DataCentreName
from mimosamux_daemon.domain.vms import Market, Price
from mimosamux_daemon.serving.prices import PriceBook

from tests.support.clock import run_paused
from tests.support.fleets import LOOKUP, make_fleet, make_report


def check(work_class, *, known=True, in_force=()):
    async def look():
        await anyio.lowlevel.checkpoint()
        fleet, prices = make_fleet(1), PriceBook()
        if known:
            fleet.apply_report(make_report('e0', decode_interval_s=0.03))
            prices.update(
                [
                    Price(
                        data_centre=DataCentreName('riga-1'),
                        machine_class='standard',
                        market=Market.RECLAIMABLE,
                        per_hour=0.8,
                    )
                ]
            )
        classes = {work_class.name: work_class}
        configuration = Configuration(version=1, classes=classes)
        before = Configuration(classes={each.name: each for each in in_force})
        target_check = TargetCheck(
            prices=prices, fleet=fleet, in_force=lambda: before
        )
        return target_check(configuration)

    return run_paused(look)


class TestTargetCheck(unittest.TestCase):
    def test_what_can_be_met_is_accepted(self):
        self.assertIsNone(check(LOOKUP))

    def test_a_ceiling_below_the_cheapest_vm_is_refused(self):
        """The class would be refused for its ceiling, request by request."""
        found = check(replace(LOOKUP, cost_ceiling_per_hour=0.5))
        self.assertEqual(found.path, 'classes.lookup.cost_ceiling_per_hour')

    def test_a_class_in_force_does_not_keep_others_from_changing(self):
        """Prices have risen above a ceiling that was accepted before.

        No operator could change anything any more, not even a key.
        """
        poor = replace(LOOKUP, cost_ceiling_per_hour=0.5)
        self.assertIsNone(check(poor, in_force=[poor]))

    def test_tokens_faster_than_any_engine_are_refused(self):
        found = check(replace(LOOKUP, token_interval_s=0.01))
        self.assertEqual(found.path, 'classes.lookup.token_interval_s')

    def test_a_daemon_that_knows_nothing_yet_refuses_nothing(self):
        hard = replace(
            LOOKUP, cost_ceiling_per_hour=0.5, token_interval_s=0.01
        )
        self.assertIsNone(check(hard, known=False))
