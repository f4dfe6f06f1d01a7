"""Prices of VMs and network delays to data centres, for routing."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from mimosamux_daemon.domain.names import DataCentreName
from mimosamux_daemon.domain.vms import VM, Endpoint, Market, Price

DEFAULT_PRICE_PER_HOUR = 1.0
"""Price of a VM until the platform reports one."""
DEFAULT_ONE_WAY_S = 0.002
"""One-way network delay to a data centre without a known one."""


class CapacityPool(NamedTuple):
    """The VMs of a data centre, machine class and market: one price."""

    data_centre: DataCentreName
    machine_class: str
    market: Market


def pool_of(vm: VM | Endpoint | Price) -> CapacityPool:
    """Return the capacity pool of a VM, an endpoint or a price."""
    return CapacityPool(vm.data_centre, vm.machine_class, vm.market)


@dataclass(kw_only=True, slots=True)
class PriceBook:
    """Latest known price per VM hour, by capacity pool."""

    by_pool: dict[CapacityPool, float] = field(default_factory=dict)
    cheapest: float = DEFAULT_PRICE_PER_HOUR
    """Lowest known positive price."""

    def update(self, prices: Iterable[Price]) -> None:
        """Apply new prices; other pools keep their last known price."""
        for price in prices:
            self.by_pool[pool_of(price)] = price.per_hour
        positive = [price for price in self.by_pool.values() if price > 0]
        self.cheapest = min(positive, default=DEFAULT_PRICE_PER_HOUR)

    def relative(self, pool: CapacityPool) -> float:
        """Return a pool's price as a multiple of the lowest price."""
        return self.by_pool.get(pool, self.cheapest) / self.cheapest


@dataclass(frozen=True, kw_only=True, slots=True)
class Distances:
    """One-way network delays from this daemon's data centre."""

    own: DataCentreName | None = None
    """This daemon's data centre; None: all data centres are near."""
    one_way_s_by_data_centre: Mapping[DataCentreName, float] = field(
        default_factory=dict
    )

    def is_near(self, data_centre: DataCentreName) -> bool:
        """Whether the data centre is this daemon's own."""
        return self.own is None or data_centre == self.own

    def one_way_s(self, data_centre: DataCentreName) -> float:
        """Return the one-way delay to a data centre, 0 to a near one."""
        if self.is_near(data_centre):
            return 0.0
        return self.one_way_s_by_data_centre.get(
            data_centre, DEFAULT_ONE_WAY_S
        )
