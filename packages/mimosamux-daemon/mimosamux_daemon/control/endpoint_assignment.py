"""Assigns endpoints to the daemons that watch them."""

from collections.abc import Iterable

import xxhash

from mimosamux_daemon.domain.names import DaemonId, EndpointId


def assign_endpoints(
    endpoints: Iterable[EndpointId], daemons: Iterable[DaemonId]
) -> dict[EndpointId, tuple[DaemonId, ...]]:
    """Return the daemons that watch each endpoint, usually one.

    This is rendezvous hashing with bounded loads: the numbers of endpoints
    per daemon differ by one at most. A daemon sends requests to its own
    endpoints first, so one with fewer endpoints would reject requests for
    which others have capacity. If there are fewer endpoints than daemons,
    several daemons watch the same endpoint.
    """
    daemon_ids = sorted(daemons)
    endpoint_ids = sorted(endpoints)
    if not daemon_ids or not endpoint_ids:
        return {}
    daemons_per_endpoint = -(-len(daemon_ids) // len(endpoint_ids))
    quota, _ = divmod(
        len(endpoint_ids) * daemons_per_endpoint, len(daemon_ids)
    )
    capacity = dict.fromkeys(daemon_ids, max(quota, 1))
    owners: dict[EndpointId, tuple[DaemonId, ...]] = dict.fromkeys(
        endpoint_ids, ()
    )
    for id_ in endpoint_ids * daemons_per_endpoint:
        candidates = [
            daemon_id for daemon_id in capacity if daemon_id not in owners[id_]
        ]
        if not candidates:
            continue
        owner = max(candidates, key=lambda daemon: _hash(daemon, id_))
        owners[id_] = (*owners[id_], owner)
        capacity[owner] -= 1
        if not capacity[owner]:
            del capacity[owner]
        capacity = capacity or dict.fromkeys(daemon_ids, 1)
    return owners


def _hash(daemon: DaemonId, endpoint: EndpointId) -> int:
    return xxhash.xxh64_intdigest(f'{daemon}/{endpoint}'.encode())
