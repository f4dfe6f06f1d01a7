"""Groups of daemons of one data centre, the same at each that knows them.

Every daemon telling every other one costs as many messages as there are
pairs: at 195 daemons each sent 80 of 3 KB a second and heard how things stand
2.4 s late. In groups, one daemon of each tells the other groups.
"""

from collections import defaultdict
from collections.abc import Iterator, Mapping
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


def form_groups(centre_by_id: Mapping[DaemonId, DataCentreName]) -> Groups:
    """Return the groups of these daemons.

    Nobody agrees on them: whoever knows the same daemons comes to the same
    groups, and where two views differ a daemon is told twice or late.
    """
    members: dict[GroupKey, list[DaemonId]] = defaultdict(list)
    is_flat = len(centre_by_id) <= LARGEST_GROUP
    count_by_centre: dict[DataCentreName, int] = defaultdict(int)
    for centre in centre_by_id.values():
        count_by_centre[centre] += 1
    for id_, centre in centre_by_id.items():
        if is_flat or centre == NOWHERE:
            members[(id_, 0)].append(id_)
        else:
            parts = _parts(count_by_centre[centre])
            members[(centre, _hash(id_) % parts)].append(id_)
    by_key = {
        key: tuple(sorted(group, key=_rank)) for key, group in members.items()
    }
    key_by_id = {id_: key for key, group in by_key.items() for id_ in group}
    return Groups(by_key=by_key, key_by_id=key_by_id)


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
