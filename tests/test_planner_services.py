"""The planner and the VMs of plain services."""

import unittest

import anyio
from mimosamux_daemon.adapters.memory_cloud import VMRecord
from mimosamux_daemon.domain.names import ServiceName, VMId
from mimosamux_daemon.domain.vms import VM, VMRole, VMState

from tests.support.clock import run_paused
from tests.support.planning import DATA_CENTRES, FIXED, PlannedSite, play


def service_vm() -> VM:
    return VM(
        id=VMId('portal-1'),
        data_centre=DATA_CENTRES[0],
        machine_class='standard',
        market=FIXED,
        role=VMRole.ENDPOINT,
        state=VMState.LIVE,
        address='portal-1:1',
        service=ServiceName('portal'),
    )


class TestServiceVMs(unittest.TestCase):
    def test_the_planner_leaves_service_vms_alone(self):
        """The list of VMs shows the portal beside the model engines.

        A planner that took it for an engine nobody needs would drain and
        stop it, and no consent slip could be sent any more.
        """

        async def script(site):
            vm = service_vm()
            now = anyio.current_time()
            site.cloud.by_id[vm.id] = VMRecord(
                vm=vm, started_at=now, live_at=now
            )
            await anyio.sleep(600.0)
            return site.cloud.stops

        async def check():
            site = PlannedSite()
            return await play(site, script)

        self.assertNotIn('portal-1', run_paused(check))
