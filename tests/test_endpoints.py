"""The fleet follows the platform's list, notices and its outages."""

import unittest

import anyio
from mimosamux_daemon.control.endpoints import EndpointPoller, PollPolicy
from mimosamux_daemon.domain.names import (
    DaemonId,
    DataCentreName,
    EndpointId,
    ModelName,
    ServiceName,
    VMId,
)
from mimosamux_daemon.domain.outcomes import Refused
from mimosamux_daemon.domain.vms import Endpoint, VMRole, VMState
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.prices import PriceBook

from tests.support.clock import run_paused
from tests.support.clouds import FakeCloud, make_vm
from tests.support.fleets import make_request, make_router
from tests.support.peers import Network

POLICY = PollPolicy()


def make_endpoint(id_):
    return Endpoint(
        id=EndpointId(id_),
        vm=VMId(id_),
        address='127.0.0.1:9001',
        data_centre=DataCentreName('riga-1'),
        model=ModelName('demo'),
        service=ServiceName('echo'),
    )


def make_keeper(cloud, fleet, **fields):
    return EndpointPoller(
        cloud=cloud, fleet=fleet, prices=PriceBook(), **fields
    )


async def run_for(keeper, seconds):
    with anyio.move_on_after(seconds):
        await keeper.run()


class TestFleet(unittest.TestCase):
    def test_leaving_endpoint_is_in_no_list_of_those_that_serve(self):
        """An endpoint is about to be reclaimed.

        A request that is placed there from a list is cut off or moved for
        nothing; its caller waits longer.
        """

        async def check():
            fleet = Fleet()
            fleet.add(make_endpoint('stays'))
            fleet.add(make_endpoint('leaves'))
            fleet.mark_leaving(EndpointId('leaves'), seconds_left=30.0)
            for served in (
                fleet.serving_model('demo'),
                fleet.serving_service('echo'),
            ):
                ids = [state.endpoint.id for state in served]
                self.assertEqual(ids, ['stays'])
            fleet.set_own(EndpointId('leaves'), is_own=True)
            self.assertEqual(list(fleet.own_endpoints('demo')), [])

        run_paused(check)


class TestList(unittest.TestCase):
    def test_endpoint_vms_with_an_address_are_added(self):
        async def check():
            fleet = Fleet()
            cloud = FakeCloud(
                make_vm('a'),
                make_vm('b', role=VMRole.ENTRY),
                make_vm('c', state=VMState.STARTING, address=''),
                make_vm('d', data_centre='riga-2'),
            )
            keeper = make_keeper(
                cloud, fleet, data_centres=lambda: ('riga-1',)
            )
            await run_for(keeper, 1)
            self.assertEqual(set(fleet.by_id), {'a'})

        run_paused(check)

    def test_vm_missing_from_one_lagging_list_is_kept(self):
        """One replica of the list is behind and lacks a VM that serves.

        Dropped at once, its open streams would be cut.
        """

        async def check():
            fleet = Fleet()
            cloud = FakeCloud(make_vm('a'), make_vm('b'))
            keeper = make_keeper(cloud, fleet)
            await keeper.poll_vms()
            del cloud.vms[1]
            await keeper.poll_vms()
            self.assertIn('b', fleet.by_id)
            cloud.vms.append(make_vm('b'))
            await anyio.sleep(60)
            await keeper.poll_vms()
            del cloud.vms[1]
            await keeper.poll_vms()
            self.assertIn('b', fleet.by_id)
            await run_for(keeper, POLICY.gone_after_s + 2 * POLICY.list_s)
            self.assertEqual(set(fleet.by_id), {'a'})

        run_paused(check)

    def test_outage_of_the_platform_drops_nobody(self):
        """The cloud API is down for an hour while the endpoints serve.

        Taken for an empty list, the outage would end all serving.
        """

        async def check():
            fleet = Fleet()
            cloud = FakeCloud(make_vm('a'))
            keeper = make_keeper(cloud, fleet)
            await keeper.poll_vms()
            cloud.is_down = True
            await run_for(keeper, 3600)
            self.assertEqual(set(fleet.by_id), {'a'})
            self.assertFalse(fleet.by_id[EndpointId('a')].is_leaving)

        run_paused(check)

    def test_outage_check_fails_if_an_outage_is_an_empty_list(self):
        async def check():
            fleet = Fleet()
            cloud = FakeCloud(make_vm('a'))
            keeper = make_keeper(cloud, fleet)
            await keeper.poll_vms()
            cloud.vms.clear()
            await run_for(keeper, 3600)
            self.assertEqual(set(fleet.by_id), set())

        run_paused(check)


class TestLeaving(unittest.TestCase):
    def test_leaving_endpoint_gets_nothing_after_three_seconds(self):
        """A notice comes while the list of VMs hangs at the platform.

        What is still sent to the endpoint is cut off by the reclaim.
        """

        async def check():
            fleet = Fleet()
            cloud = FakeCloud(make_vm('a'), make_vm('b'))
            keeper = make_keeper(cloud, fleet)
            await keeper.poll_vms()
            cloud.list_delay_s = 600
            router = make_router(fleet)
            sent = []
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(keeper.run)
                await anyio.sleep(5.05)
                noticed_at = anyio.current_time()
                cloud.give_notice('a')
                for _ in range(100):
                    choice = router.choose(make_request())
                    now = anyio.current_time() - noticed_at
                    sent.append((now, choice.endpoint.id))
                    await anyio.sleep(0.1)
                tasks.cancel_scope.cancel()
            late = {endpoint for at, endpoint in sent if at > 3}
            self.assertEqual(late, {'b'})

        run_paused(check)

    def test_peers_learn_at_once_and_lists_do_not_bring_it_back(self):
        """One daemon sees a notice; another's platform calls fail.

        The other goes on sending work there unless it is told, and its
        lagging list shows the VM as live for a while afterwards.
        """

        async def check():
            network = Network()
            fleets = [Fleet(), Fleet()]
            clouds = [FakeCloud(make_vm('a')) for _ in fleets]
            keepers = [
                make_keeper(
                    cloud,
                    fleet,
                    peers=network.join(name),
                    peer_ids=lambda other=other: (DaemonId(other),),
                )
                for cloud, fleet, name, other in zip(
                    clouds, fleets, 'xy', 'yx', strict=True
                )
            ]
            for keeper in keepers:
                await keeper.poll_vms()
            clouds[0].give_notice('a')
            clouds[1].is_down = True
            await keepers[0].poll_notices()
            chosen = make_router(fleets[1]).choose(make_request())
            self.assertIsInstance(chosen, Refused)
            self.assertEqual(len(network.sent), 1)
            fleets[1].remove(EndpointId('a'))
            clouds[1].is_down = False
            await keepers[1].poll_vms()
            self.assertEqual(set(fleets[1].by_id), set())

        run_paused(check)

    def test_vm_listed_as_leaving_is_marked(self):
        async def check():
            fleet = Fleet()
            cloud = FakeCloud(make_vm('a'))
            keeper = make_keeper(cloud, fleet)
            await keeper.poll_vms()
            cloud.vms[0] = make_vm('a', state=VMState.LEAVING)
            await keeper.poll_vms()
            self.assertTrue(fleet.by_id[EndpointId('a')].is_leaving)

        run_paused(check)


class TestPolling(unittest.TestCase):
    def count_polls(self, *, is_poller, vms=0, seconds=60.0):
        async def check():
            cloud = FakeCloud(*(make_vm(f'v{n}') for n in range(vms)))
            keeper = EndpointPoller(
                cloud=cloud,
                fleet=Fleet(),
                prices=PriceBook(),
                is_poller=lambda: is_poller,
            )
            with anyio.move_on_after(seconds):
                await keeper.run()
            return cloud

        return run_paused(check)

    def test_one_daemon_of_a_data_centre_polls_notices_for_all(self):
        """340 daemons that ask every second would wear the cloud API out.

        The others look often enough that a leaving endpoint gets nothing
        new after three seconds, even if the one that polls has died.
        """
        poller = self.count_polls(is_poller=True)
        other = self.count_polls(is_poller=False)
        self.assertGreaterEqual(poller.notice_polls, 60)
        self.assertLessEqual(other.notice_polls, 25)
        self.assertGreaterEqual(other.notice_polls, 20)

    def test_long_lists_are_asked_for_less_often(self):
        """A list of 375 VMs has about 100 KB.

        Asked for every two seconds, it alone would take twice what a
        daemon may spend on all control.
        """
        short = self.count_polls(is_poller=True, vms=10)
        long = self.count_polls(is_poller=True, vms=375)
        self.assertGreaterEqual(short.lists, 30)
        self.assertLessEqual(long.lists, 6)
