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
    names = sorted(daemons)
    ids = sorted(endpoints)
    if not names or not ids:
        return {}
    copies = -(-len(names) // len(ids))
    quota, _ = divmod(len(ids) * copies, len(names))
    capacity = dict.fromkeys(names, max(quota, 1))
    owners: dict[EndpointId, tuple[DaemonId, ...]] = dict.fromkeys(ids, ())
    for id_ in ids * copies:
        free = [name for name in capacity if name not in owners[id_]]
        if not free:
            continue
        owner = max(free, key=lambda daemon: _weight(daemon, id_))
        owners[id_] = (*owners[id_], owner)
        capacity[owner] -= 1
        if not capacity[owner]:
            del capacity[owner]
        capacity = capacity or dict.fromkeys(names, 1)
    return owners


def _weight(daemon: DaemonId, endpoint: EndpointId) -> int:
    return xxhash.xxh64_intdigest(f'{daemon}/{endpoint}'.encode())
