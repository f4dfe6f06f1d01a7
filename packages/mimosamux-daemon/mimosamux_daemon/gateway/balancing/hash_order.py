"""Rendezvous hash order of a service's endpoints, kept for recent keys.

The order of a key over all endpoints takes one hash per endpoint. The first
few are kept for each recent key and corrected as endpoints come and go, so
that only a key that was not used recently pays for all endpoints.
"""

import bisect
import heapq
from collections import OrderedDict
from collections.abc import Collection

import xxhash

from mimosamux_daemon.domain.names import EndpointId

KEPT_ENDPOINTS = 16
"""Endpoints kept of the order of a key."""
MIN_KEPT_ENDPOINTS = 8
"""Endpoints of a kept order that must still be listed. Below it the order is
computed again: further departures could leave a key without endpoints."""
MAX_KEYS = 512
"""Keys kept; each costs one hash when an endpoint is added."""

Ranked = tuple[int, EndpointId]
"""An endpoint after its hash for a key."""


def rendezvous_hash(endpoint: EndpointId, key: str) -> int:
    """Return the rendezvous hash of an endpoint, the same at each daemon."""
    return xxhash.xxh3_64_intdigest(f'{endpoint} {key}'.encode())


class HashOrder:
    """First endpoints in the hash order of recent keys."""

    def __init__(self) -> None:
        self._ranked_by_key: OrderedDict[str, list[Ranked]] = OrderedDict()
        """Least recently used key first. Endpoints that have gone are left
        in the lists, and skipped when they are read."""

    def add(self, endpoint: EndpointId) -> None:
        """Insert an endpoint in the order of each kept key."""
        for key, ranked in self._ranked_by_key.items():
            entry = (rendezvous_hash(endpoint, key), endpoint)
            if entry not in ranked:
                bisect.insort(ranked, entry)
                del ranked[KEPT_ENDPOINTS:]

    def first(
        self, key: str, listed: Collection[EndpointId]
    ) -> list[EndpointId]:
        """Return the first listed endpoints in the order of a key."""
        ranked = self._ranked_by_key.get(key)
        if ranked is not None:
            self._ranked_by_key.move_to_end(key)
            ids = [id_ for _, id_ in ranked if id_ in listed]
            if len(ids) >= min(MIN_KEPT_ENDPOINTS, len(listed)):
                return ids
        ranked = heapq.nsmallest(
            KEPT_ENDPOINTS,
            ((rendezvous_hash(id_, key), id_) for id_ in listed),
        )
        self._ranked_by_key[key] = ranked
        if len(self._ranked_by_key) > MAX_KEYS:
            self._ranked_by_key.popitem(last=False)
        return [id_ for _, id_ in ranked]
