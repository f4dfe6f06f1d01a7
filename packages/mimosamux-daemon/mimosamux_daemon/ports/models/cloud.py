"""Port to the platform's cloud API."""

from collections.abc import Collection
from dataclasses import dataclass
from typing import Protocol

from mimosamux_daemon.domain.names import DataCentreName, ModelName, VMId
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import VM, Market, Price, ReclaimNotice


@dataclass(frozen=True, kw_only=True, slots=True)
class StartVM:
    """Order for an endpoint VM; `order_id` identifies repeated orders."""

    order_id: str
    data_centre: DataCentreName
    machine_class: str
    market: Market
    model: ModelName
    fencing: int


@dataclass(frozen=True, kw_only=True, slots=True)
class StartRefused:
    """The cloud has no such VM available at present."""

    reason: str


class Cloud(Protocol):
    """VMs, their prices and reclaim notices."""

    async def list_vms(
        self, data_centres: Collection[DataCentreName] = ()
    ) -> tuple[VM, ...] | Unavailable:
        """Return the live and leaving VMs; the list lags by some seconds.

        An empty `data_centres` selects all data centres.
        """

    async def list_notices(self) -> tuple[ReclaimNotice, ...] | Unavailable:
        """Return the reclaim notices in force."""

    async def list_prices(self) -> tuple[Price, ...] | Unavailable:
        """Return the current prices."""

    async def start_vm(
        self, order: StartVM
    ) -> VM | StartRefused | Unavailable:
        """Start a VM."""

    async def stop_vm(self, vm: VMId) -> None | Unavailable:
        """Stop a VM; no error if the VM is gone already."""
