"""Prices of VMs and distances to data centres, as routing reads them."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from mimosamux_daemon.domain.names import DataCentreName
from mimosamux_daemon.domain.vms import VM, Endpoint, Market, Price

DEFAULT_PRICE_PER_HOUR = 1.0
"""Price of a VM until the platform has named one."""
DEFAULT_ONE_WAY_S = 0.002
"""One-way time to a data centre for which none is known."""


class Place(NamedTuple):
    """Where and how a VM is paid for; a price belongs to each."""

    data_centre: DataCentreName
    machine_class: str
    market: Market


def place_of(vm: VM | Endpoint | Price) -> Place:
    """Return the place that a VM, an endpoint or a price belongs to."""
    return Place(vm.data_centre, vm.machine_class, vm.market)


@dataclass(kw_only=True, slots=True)
class PriceBook:
    """Latest known price of an hour, by place."""

    by_place: dict[Place, float] = field(default_factory=dict)
    cheapest: float = DEFAULT_PRICE_PER_HOUR

    def take(self, prices: Iterable[Price]) -> None:
        """Note new prices; places not named keep their last price."""
        for price in prices:
            self.by_place[place_of(price)] = price.per_hour
        positive = [price for price in self.by_place.values() if price > 0]
        self.cheapest = min(positive, default=DEFAULT_PRICE_PER_HOUR)

    def relative(self, place: Place) -> float:
        """Return the price as a multiple of the cheapest one."""
        return self.by_place.get(place, self.cheapest) / self.cheapest


@dataclass(frozen=True, kw_only=True, slots=True)
class Distances:
    """One-way times from this daemon's data centre, in seconds."""

    own: DataCentreName | None = None
    """None: every data centre counts as near."""
    one_way_s_by_data_centre: Mapping[DataCentreName, float] = field(
        default_factory=dict
    )

    def is_near(self, data_centre: DataCentreName) -> bool:
        """Whether the data centre is this daemon's own."""
        return self.own is None or data_centre == self.own

    def one_way_s(self, data_centre: DataCentreName) -> float:
        """Return the one-way time to a data centre."""
        if self.is_near(data_centre):
            return 0.0
        return self.one_way_s_by_data_centre.get(
            data_centre, DEFAULT_ONE_WAY_S
        )
