"""Draws a bounded number of engines for a choice.

Estimating the delay at every engine takes milliseconds in a large service.
A few engines suffice: the first in the hash order of the prompt's prefix, one
that has the prefix cached, and a random sample in case these are all busy.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from mimosamux_daemon.domain.gateway import PromptInfo
from mimosamux_daemon.domain.names import EndpointId, ServiceName
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.balancing.service_endpoints import (
    ServiceEndpoints,
)

FEW_ENDPOINTS = 16
"""Endpoints up to which a choice compares all of them."""
FIRST_IN_ORDER = 4
"""Engines taken from the start of the hash order. At usual load one of them
is fast enough, and is then the first of all engines that is."""
SAMPLE_SIZE = 4
WIDE_SAMPLE_SIZE = 12
"""Engines drawn at random: at first, and if no candidate is fast enough.
Without the second, larger sample, a request would be refused by load shedding
although one of the other engines is idle."""
SPARE_DRAWS = 4
"""Further engines drawn, in place of those that accept no requests now."""


@dataclass(kw_only=True, slots=True)
class EngineCandidates:
    """Candidates for requests to services with many engines."""

    endpoints: ServiceEndpoints
    rng: random.Random

    def is_bounded(self, service: ServiceName) -> bool:
        """Whether a choice for a service compares a part of its engines."""
        return len(self.endpoints.records(service)) > FEW_ENDPOINTS

    def draw(
        self,
        service: ServiceName,
        prompt: PromptInfo,
        holder: EndpointRecord | None,
        *,
        excluding: Collection[EndpointId],
        now: float,
    ) -> list[EndpointRecord]:
        """Return a few engines that accept requests, in no order."""
        members = self.endpoints.members(service)
        first = members.first_in_order(prompt.shared_prefix_id)
        found = _select(first, FIRST_IN_ORDER, excluding, now)
        if holder is not None:
            found += _select([holder], 1, excluding, now)
        found += self.sample(
            service, SAMPLE_SIZE, excluding=excluding, now=now
        )
        return list(dict.fromkeys(found))

    def sample(
        self,
        service: ServiceName,
        count: int,
        *,
        excluding: Collection[EndpointId],
        now: float,
    ) -> list[EndpointRecord]:
        """Return engines drawn at random that accept requests."""
        members = self.endpoints.members(service)
        drawn = members.sample(count + SPARE_DRAWS, self.rng)
        return _select(drawn, count, excluding, now)


def _select(
    records: Iterable[EndpointRecord],
    count: int,
    excluding: Collection[EndpointId],
    now: float,
) -> list[EndpointRecord]:
    """Return the first of the endpoints to which a request may be sent."""
    selected: list[EndpointRecord] = []
    for record in records:
        if len(selected) == count:
            break
        if (
            record.id not in excluding
            and record.accepts_requests
            and record.is_open(now)
            and not record.is_deprioritised(now)
        ):
            selected.append(record)
    return selected
