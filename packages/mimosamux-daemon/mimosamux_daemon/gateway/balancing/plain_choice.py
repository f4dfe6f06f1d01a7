"""Chooses the endpoint of a plain service with the least load per slot.

Requests to a model engine that have no prompt are chosen for in the same way.
Where reports of load are current, they are used as they are, with a penalty
for the distance to another data centre. Where they are out of date, a
forecast is used, and endpoints of nearly equal load are drawn at random.
"""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from mimosamux_daemon.domain.names import DataCentreName, ServiceName
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.balancing.load_forecast import LoadForecast

REMOTE_PENALTY_REQUESTS = 0.5
"""In-flight requests that the distance to another data centre counts as."""
MAX_OWN_CALLS = 1
"""Calls that one daemon has in flight at an endpoint before it prefers other
endpoints, where a service has fewer slots than there are daemons. An equal
part of the slots would be less than one call."""
TIE_SLOT_SHARE = 0.05
"""Difference in load per slot up to which endpoints count as equal. Every
daemon knows the same reports; a smaller difference is no information, and
would send all of them to the same endpoint."""


@dataclass(frozen=True, kw_only=True, slots=True)
class PlainChooser:
    """Chooses among endpoints of plain services by their load."""

    forecast: LoadForecast
    daemons: Callable[[], int]
    """Returns the number of daemons that may serve callers."""
    data_centre: DataCentreName
    rng: random.Random

    def choose(
        self,
        records: Sequence[EndpointRecord],
        service: ServiceName,
        now: float,
    ) -> EndpointRecord:
        """Return one of some endpoints of a service; there has to be one."""
        if self.forecast.is_active():
            return self._choose_by_forecast(records, service, now)
        return self._choose_least_loaded(records, now)

    def _choose_least_loaded(
        self, records: Sequence[EndpointRecord], now: float
    ) -> EndpointRecord:
        """Return the endpoint with the least reported load per slot."""

        def cost(record: EndpointRecord) -> float:
            requests = record.load.total(now).requests
            return self._load_per_slot(
                record, requests, REMOTE_PENALTY_REQUESTS
            )

        shuffled = self.rng.sample(list(records), len(records))
        return min(shuffled, key=cost)

    def _choose_by_forecast(
        self,
        records: Sequence[EndpointRecord],
        service: ServiceName,
        now: float,
    ) -> EndpointRecord:
        """Return one of the endpoints with the least expected load per slot.

        It is drawn in proportion to the slots. Where slots are few, the
        distance does not count: it would send the daemons of a data centre
        to its endpoint, and queueing there takes longer than the way.
        """
        remote_penalty = REMOTE_PENALTY_REQUESTS
        if self.forecast.slots(service, now) < self.daemons():
            remote_penalty = 0.0
            below_bound = [
                record
                for record in records
                if record.load.requests < MAX_OWN_CALLS
            ]
            records = below_bound or records

        costs = [
            self._load_per_slot(
                record,
                self.forecast.load(record, now).requests,
                remote_penalty,
            )
            for record in records
        ]
        limit = min(costs) + TIE_SLOT_SHARE
        tied = [
            record
            for record, each in zip(records, costs, strict=True)
            if each <= limit
        ]
        weights = [record.listed.slots for record in tied]
        return self.rng.choices(tied, weights)[0]

    def _load_per_slot(
        self, record: EndpointRecord, requests: float, remote_penalty: float
    ) -> float:
        """Return requests for each slot, with a penalty for the distance."""
        is_remote = record.listed.data_centre != self.data_centre
        penalty = remote_penalty if is_remote else 0.0
        return (requests + penalty) / record.listed.slots
