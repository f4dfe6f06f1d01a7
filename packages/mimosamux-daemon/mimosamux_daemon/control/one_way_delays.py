"""One-way network delays to data centres, from measured round trips."""

import math
from collections.abc import Iterator, Mapping

from mimosamux_daemon.control.membership import Membership
from mimosamux_daemon.domain.names import DataCentreName


class OneWayDelays(Mapping[DataCentreName, float]):
    """Half of the round-trip time to each data centre, in seconds.

    Iteration yields all known data centres; look-up of one whose round
    trip has not been measured raises `KeyError`.
    """

    def __init__(self, *, membership: Membership) -> None:
        self._membership = membership

    def __getitem__(self, data_centre: DataCentreName) -> float:
        round_trip_s = self._membership.round_trip_to(data_centre)
        if math.isinf(round_trip_s):
            raise KeyError(data_centre)
        return round_trip_s / 2

    def __iter__(self) -> Iterator[DataCentreName]:
        return iter(self._membership.data_centres())

    def __len__(self) -> int:
        return len(self._membership.data_centres())
