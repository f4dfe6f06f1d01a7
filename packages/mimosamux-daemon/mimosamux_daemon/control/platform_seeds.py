"""Seed addresses for discovery, from the settings and the platform."""

import anyio

from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import VMRole, VMState
from mimosamux_daemon.ports.models import Cloud
from mimosamux_daemon.settings import PeerAddress

POLL_S = 60.0
FIRST_POLL_S = 2.0
"""Poll interval until the platform lists a daemon."""
TIMEOUT_S = 2.0
LIST_LIMIT = 64
"""Maximum number of listed daemons; a few suffice to discover all."""


class PlatformSeeds:
    """Seed daemons from the settings and from the platform's entry VMs.

    If every daemon in the settings has been replaced, a new daemon can
    reach the others only through the platform's list.
    """

    def __init__(
        self,
        *,
        cloud: Cloud,
        data_centre: DataCentreName,
        configured: tuple[PeerAddress, ...],
    ) -> None:
        self._cloud = cloud
        self._data_centre = data_centre
        self._configured = configured
        self._listed: tuple[PeerAddress, ...] = ()

    def current(self) -> tuple[PeerAddress, ...]:
        """Return all known seeds."""
        return (*self._configured, *self._listed)

    async def run(self) -> None:
        """Refresh the platform's list periodically until cancelled."""
        while True:
            await self.poll()
            await anyio.sleep(POLL_S if self._listed else FIRST_POLL_S)

    async def poll(self) -> None:
        """Refresh the list; keep the old one if the platform fails."""
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
