"""How endpoints are spread over the daemons that watch them."""

from collections.abc import Iterable

import xxhash

from mimosamux_daemon.domain.names import DaemonId, EndpointId


def spread_endpoints(
    endpoints: Iterable[EndpointId], daemons: Iterable[DaemonId]
) -> dict[EndpointId, tuple[DaemonId, ...]]:
    """Return the daemons that watch each endpoint, mostly one.

    This is rendezvous hashing with a bound: every daemon gets as many as
    the next, or one more. Each sends to its own endpoints first, so one
    with few of them would have to refuse what another has room for. Where
    there are fewer endpoints than daemons, several watch the same one.
    """
    names = sorted(daemons)
    ids = sorted(endpoints)
    if not names or not ids:
        return {}
    copies = -(-len(names) // len(ids))
    each, _ = divmod(len(ids) * copies, len(names))
    room = dict.fromkeys(names, max(each, 1))
    owners: dict[EndpointId, tuple[DaemonId, ...]] = dict.fromkeys(ids, ())
    for id_ in ids * copies:
        free = [name for name in room if name not in owners[id_]]
        if not free:
            continue
        owner = max(free, key=lambda daemon: _weight(daemon, id_))
        owners[id_] = (*owners[id_], owner)
        room[owner] -= 1
        if not room[owner]:
            del room[owner]
        room = room or dict.fromkeys(names, 1)
    return owners


def _weight(daemon: DaemonId, endpoint: EndpointId) -> int:
    return xxhash.xxh64_intdigest(f'{daemon}/{endpoint}'.encode())
