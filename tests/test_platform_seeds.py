"""Seeds from the platform's list of entry VMs."""

import unittest

from mimosamux_daemon.control.platform_seeds import PlatformSeeds
from mimosamux_daemon.domain.vms import VMRole, VMState
from mimosamux_daemon.settings import PeerAddress

from tests.support.clock import run_paused
from tests.support.clouds import FakeCloud, make_vm

FIXED = PeerAddress(id='old', address='old:1')


class TestPlatformSeeds(unittest.TestCase):
    def test_live_entry_vms_are_seeds_beside_those_of_the_settings(self):
        """Every daemon that the settings name has been replaced.

        A new one would find nobody, and serve with no configuration.
        """

        async def check():
            cloud = FakeCloud(
                make_vm('new', role=VMRole.ENTRY),
                make_vm('going', role=VMRole.ENTRY, state=VMState.LEAVING),
                make_vm('engine'),
            )
            seeds = PlatformSeeds(
                cloud=cloud, data_centre='riga-1', configured=(FIXED,)
            )
            await seeds.poll()
            cloud.is_down = True
            await seeds.poll()
            return [seed.id for seed in seeds.current()]

        self.assertEqual(run_paused(check), ['old', 'new'])
