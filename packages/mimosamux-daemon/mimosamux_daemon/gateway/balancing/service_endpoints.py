"""Endpoints of each service, with constant-time samples.

The endpoint list of a large site has thousands of entries. A choice that
looks at all of them for each request costs milliseconds; this index follows
the list, so that a choice can draw a few.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import EndpointId, ServiceName
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.balancing.hash_order import HashOrder


@dataclass(kw_only=True, slots=True)
class ServiceMembers:
    """Endpoints of one service, in no particular order."""

    records: list[EndpointRecord] = field(default_factory=list)
    order: HashOrder = field(default_factory=HashOrder)
    _index_by_id: dict[EndpointId, int] = field(default_factory=dict)

    def add(self, record: EndpointRecord) -> None:
        """Add an endpoint, or replace its record by that of a restart."""
        index = self._index_by_id.get(record.id)
        if index is not None:
            self.records[index] = record
            return
        self._index_by_id[record.id] = len(self.records)
        self.records.append(record)
        self.order.add(record.id)

    def discard(self, id_: EndpointId) -> None:
        """Remove an endpoint; the last one takes its place in the list."""
        index = self._index_by_id.pop(id_, None)
        if index is None:
            return
        last = self.records.pop()
        if last.id != id_:
            self.records[index] = last
            self._index_by_id[last.id] = index

    def first_in_order(self, key: str) -> list[EndpointRecord]:
        """Return the first endpoints in the hash order of a key."""
        return [
            self.records[self._index_by_id[id_]]
            for id_ in self.order.first(key, self._index_by_id.keys())
        ]

    def sample(self, count: int, rng: random.Random) -> list[EndpointRecord]:
        """Return distinct endpoints drawn at random."""
        return rng.sample(self.records, min(count, len(self.records)))


class ServiceEndpoints:
    """Listed endpoints that are not leaving, by service."""

    def __init__(self) -> None:
        self._by_service: dict[ServiceName, ServiceMembers] = {}
        self._service_by_id: dict[EndpointId, ServiceName] = {}

    def add(self, record: EndpointRecord) -> None:
        """Add an endpoint, or a new record of a known one."""
        service = record.listed.service
        previous = self._service_by_id.get(record.id)
        if previous is not None and previous != service:
            self._by_service[previous].discard(record.id)
        self._service_by_id[record.id] = service
        self.members(service).add(record)

    def discard(self, record: EndpointRecord) -> None:
        """Remove an endpoint that is leaving."""
        service = self._service_by_id.pop(record.id, None)
        if service is not None:
            self._by_service[service].discard(record.id)

    def members(self, service: ServiceName) -> ServiceMembers:
        """Return the endpoints of a service."""
        return self._by_service.setdefault(service, ServiceMembers())

    def records(self, service: ServiceName) -> Sequence[EndpointRecord]:
        """Return the records of a service's endpoints."""
        return self.members(service).records
