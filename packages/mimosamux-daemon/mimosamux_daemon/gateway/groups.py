"""Groups of daemons of one data centre, the same at each that knows them.

Every daemon telling every other one costs as many messages as there are
pairs: at 195 daemons each sent 80 of 3 KB a second and heard how things stand
2.4 s late. In groups, one daemon of each tells the other groups.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from mimosamux_daemon.domain.names import DaemonId, DataCentreName

LARGEST_GROUP = 12
"""Daemons that a relay tells directly; up to so many in all, each is a
group of its own, so that all tell each other without a relay between."""
NOWHERE = DataCentreName('')
"""Of a daemon whose data centre is not known yet."""

GroupKey = tuple[str, int]


@dataclass(frozen=True, kw_only=True, slots=True)
class Groups:
    """Daemons by group, each group in the order in which they relay."""

    by_key: Mapping[GroupKey, tuple[DaemonId, ...]]
    key_by_id: Mapping[DaemonId, GroupKey]

    def of(self, id_: DaemonId) -> tuple[DaemonId, ...]:
        """Return the group of a daemon; alone if it is not known."""
        key = self.key_by_id.get(id_)
        return (id_,) if key is None else self.by_key[key]

    def others(self, id_: DaemonId) -> Iterator[tuple[DaemonId, ...]]:
        """Return every group but that of a daemon."""
        own = self.key_by_id.get(id_)
        for key, group in self.by_key.items():
            if key != own:
                yield group


def form_groups(
    centre_by_id: Mapping[DaemonId, DataCentreName],
    link_by_id: Mapping[DaemonId, float] | None = None,
) -> Groups:
    """Return the groups of these daemons.

    Those with the widest links relay, one in each group while there are
    enough: what a relay sends goes out over its own link once for each
    member. Links that are not known count as the narrowest.

    Nobody agrees on them: whoever knows the same daemons comes to the same
    groups, and where two views differ a daemon is told twice or late.
    """
    links = {} if link_by_id is None else link_by_id

    def rank(id_: DaemonId) -> tuple[float, int]:
        return -links.get(id_, 0.0), _rank(id_)

    members: dict[GroupKey, list[DaemonId]] = defaultdict(list)
    is_flat = len(centre_by_id) <= LARGEST_GROUP
    ids_by_centre: dict[DataCentreName, list[DaemonId]] = defaultdict(list)
    for id_, centre in centre_by_id.items():
        if is_flat or centre == NOWHERE:
            members[(id_, 0)].append(id_)
        else:
            ids_by_centre[centre].append(id_)
    for centre, ids in ids_by_centre.items():
        for id_, part in _divide(ids, links, rank).items():
            members[(centre, part)].append(id_)
    by_key = {
        key: tuple(sorted(group, key=rank)) for key, group in members.items()
    }
    key_by_id = {id_: key for key, group in by_key.items() for id_ in group}
    return Groups(by_key=by_key, key_by_id=key_by_id)


def _divide(
    ids: Sequence[DaemonId],
    links: Mapping[DaemonId, float],
    rank: Callable[[DaemonId], tuple[float, int]],
) -> dict[DaemonId, int]:
    """Return the group of each daemon of a data centre.

    The widest links are dealt out, one to each group; all others stay where
    they are whoever comes or goes.
    """
    parts = _parts(len(ids))
    part_by_id = {id_: _hash(id_) % parts for id_ in ids}
    widest = max((links.get(id_, 0.0) for id_ in ids), default=0.0)
    wide = sorted(
        (id_ for id_ in ids if links.get(id_, 0.0) == widest), key=rank
    )
    if len(wide) < len(ids):
        for place, id_ in enumerate(wide[:parts]):
            part_by_id[id_] = place
    return part_by_id


def _parts(daemons: int) -> int:
    """Return into how many groups a data centre is divided.

    A power of two: one more daemon then moves few others between groups.
    """
    parts = 1
    while parts * LARGEST_GROUP < daemons:
        parts *= 2
    return parts


def _hash(id_: DaemonId) -> int:
    return xxhash.xxh3_64_intdigest(f'group {id_}'.encode())


def _rank(id_: DaemonId) -> int:
    return xxhash.xxh3_64_intdigest(f'relay {id_}'.encode())
