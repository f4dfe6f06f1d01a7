"""Port to the platform's cloud API."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from mimosamux_daemon.domain.names import DataCentreName, ModelName, VMId
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import VM, Market, Price, ReclaimNotice


@dataclass(frozen=True, kw_only=True, slots=True)
class StartVM:
    """Order for an endpoint VM; the id makes a repeat harmless to spot."""

    order_id: str
    data_centre: DataCentreName
    machine_class: str
    market: Market
    model: ModelName
    fencing: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StartRefused:
    """The cloud has no such VM to give now."""

    reason: str


class Cloud(Protocol):
    """VMs, their prices, and notices that some are taken back."""

    async def list_vms(
        self, data_centres: Collection[DataCentreName] = ()
    ) -> tuple[VM, ...] | Unavailable:
        """Return the live and leaving VMs, as of some seconds ago.

        Those of the named data centres; without names, all of them.
        """

    async def list_notices(self) -> tuple[ReclaimNotice, ...] | Unavailable:
        """Return the reclaim notices in force now."""

    async def list_prices(self) -> tuple[Price, ...] | Unavailable:
        """Return the prices in force now."""

    async def start_vm(
        self, order: StartVM
    ) -> VM | StartRefused | Unavailable:
        """Start a VM."""

    async def stop_vm(self, vm: VMId) -> None | Unavailable:
        """Stop a VM; stopping one that is gone is no error."""
