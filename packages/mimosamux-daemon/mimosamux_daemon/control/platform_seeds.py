"""Daemons that the platform's list of entry VMs names."""

import anyio

from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import VMRole, VMState
from mimosamux_daemon.ports.models import Cloud
from mimosamux_daemon.settings import PeerAddress

POLL_S = 60.0
FIRST_POLL_S = 2.0
TIMEOUT_S = 2.0
LIST_LIMIT = 64
"""Daemons kept; a few are enough to learn of all others."""


class PlatformSeeds:
    """The daemons of the settings, and those that the platform lists.

    Where every daemon that the settings name has been replaced, a new one
    would find nobody without the platform's list.
    """

    def __init__(
        self,
        *,
        cloud: Cloud,
        data_centre: DataCentreName,
        fixed: tuple[PeerAddress, ...],
    ) -> None:
        self._cloud = cloud
        self._data_centre = data_centre
        self._fixed = fixed
        self._listed: tuple[PeerAddress, ...] = ()

    def current(self) -> tuple[PeerAddress, ...]:
        """Return every seed that is known now."""
        return (*self._fixed, *self._listed)

    async def run(self) -> None:
        """Ask the platform now and then, until cancelled."""
        while True:
            await self.poll()
            await anyio.sleep(POLL_S if self._listed else FIRST_POLL_S)

    async def poll(self) -> None:
        """Take over the list, if it can be had."""
        with anyio.move_on_after(TIMEOUT_S):
            vms = await self._cloud.list_vms((self._data_centre,))
            if isinstance(vms, Unavailable):
                return
            self._listed = tuple(
                PeerAddress(id=DaemonId(vm.id), address=vm.address)
                for vm in vms
                if vm.role is VMRole.ENTRY
                and vm.state is VMState.LIVE
                and vm.address
            )[:LIST_LIMIT]
