"""Divides the daemons of a data centre into groups, without coordination.

If every daemon sends to every other one, the number of messages grows with
the square of the daemons: at 195 daemons, each sent 80 messages of 3 KB a
second, and state arrived 2.4 s late. With groups, one relay of each group
exchanges digests with the other groups. Daemons that know the same daemons
compute the same groups.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass

import xxhash

from mimosamux_daemon.domain.names import DaemonId, DataCentreName

LARGEST_GROUP = 12
"""Daemons that one relay sends to directly. Up to this number of daemons in
all, each is a group of its own, so all exchange digests without relays."""
UNKNOWN_DATA_CENTRE = DataCentreName('')
"""Stands for a data centre that is not known yet."""

GroupKey = tuple[str, int]
"""A data centre and the group's index in it; a daemon's id and 0 for a
daemon that is a group of its own."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Groups:
    """Daemons by group, each group in the order of preference as relay."""

    by_key: Mapping[GroupKey, tuple[DaemonId, ...]]
    key_by_id: Mapping[DaemonId, GroupKey]
    relays_by_key: Mapping[GroupKey, tuple[DaemonId, ...]]
    """Daemons that may relay for a group, in the order of preference: also
    the widest links of other groups of the data centre."""

    def of(self, id_: DaemonId) -> tuple[DaemonId, ...]:
        """Return the group of a daemon; only itself if it is unknown."""
        key = self.key_by_id.get(id_)
        return (id_,) if key is None else self.by_key[key]

    def relays_of(self, id_: DaemonId) -> tuple[DaemonId, ...]:
        """Return the relays of a daemon's group, the preferred one first."""
        key = self.key_by_id.get(id_)
        return (id_,) if key is None else self.relays_by_key[key]

    def relays_of_others(
        self, id_: DaemonId
    ) -> Iterator[tuple[DaemonId, ...]]:
        """Yield the relays of every group except that of a daemon."""
        own = self.key_by_id.get(id_)
        for key, relays in self.relays_by_key.items():
            if key != own:
                yield tuple(each for each in relays if each != id_)


def form_groups(
    centre_by_id: Mapping[DaemonId, DataCentreName],
    link_by_id: Mapping[DaemonId, float] | None = None,
) -> Groups:
    """Return the groups of these daemons.

    Daemons with the widest links are the preferred relays, one in each group
    while there are enough of them: a relay sends each digest once per member
    over its own link. Where there are not, they relay for several groups. A
    link of unknown bandwidth ranks last.

    Daemons do not coordinate: the same known daemons give the same groups.
    Where two views differ, a daemon gets a digest twice or late.
    """
    links = {} if link_by_id is None else link_by_id

    def rank(id_: DaemonId) -> tuple[float, int]:
        return -links.get(id_, 0.0), _rank(id_)

    members: dict[GroupKey, list[DaemonId]] = defaultdict(list)
    is_flat = len(centre_by_id) <= LARGEST_GROUP
    ids_by_centre: dict[DataCentreName, list[DaemonId]] = defaultdict(list)
    for id_, centre in centre_by_id.items():
        if is_flat or centre == UNKNOWN_DATA_CENTRE:
            members[(id_, 0)].append(id_)
        else:
            ids_by_centre[centre].append(id_)
    for centre, ids in ids_by_centre.items():
        for id_, index in _assign(ids, links, rank).items():
            members[(centre, index)].append(id_)
    by_key = {
        key: tuple(sorted(group, key=rank)) for key, group in members.items()
    }
    key_by_id = {id_: key for key, group in by_key.items() for id_ in group}
    relays_by_key = dict(by_key)
    for centre in ids_by_centre:
        groups = {
            key: group for key, group in by_key.items() if key[0] == centre
        }
        relays_by_key.update(_order_relays(groups, links))
    return Groups(
        by_key=by_key, key_by_id=key_by_id, relays_by_key=relays_by_key
    )


def _order_relays(
    groups: Mapping[GroupKey, tuple[DaemonId, ...]],
    links: Mapping[DaemonId, float],
) -> dict[GroupKey, tuple[DaemonId, ...]]:
    """Return the preferred relays of each group of a data centre.

    Where links differ, the widest ones stand in for each other before a
    narrow one relays. A group without any of them uses that of another group,
    unless its own best link has more bandwidth for each daemon it relays for.
    """
    link_by_id = {
        id_: links.get(id_, 0.0) for group in groups.values() for id_ in group
    }
    widest = max(link_by_id.values())
    if widest == min(link_by_id.values()):
        return dict(groups)
    relayed = {
        group[0]: len(group)
        for group in groups.values()
        if link_by_id[group[0]] == widest
    }
    """Daemons that each of the widest links relays for."""
    orders: dict[GroupKey, tuple[DaemonId, ...]] = {}
    for key, group in groups.items():
        wide = [id_ for id_ in group if link_by_id[id_] == widest]
        narrow = [id_ for id_ in group if link_by_id[id_] < widest]
        others = sorted(
            (id_ for id_ in relayed if id_ not in wide),
            key=lambda id_: relayed[id_],
        )
        orders[key] = (*wide, *others, *narrow)
        if wide:
            continue
        total = relayed[others[0]] + len(group)
        if widest / total > link_by_id[narrow[0]] / len(group):
            relayed[others[0]] = total
        else:
            orders[key] = group
    return orders


def _assign(
    ids: Sequence[DaemonId],
    links: Mapping[DaemonId, float],
    rank: Callable[[DaemonId], tuple[float, int]],
) -> dict[DaemonId, int]:
    """Return the group index of each daemon of a data centre.

    Daemons with the widest links are spread over the groups, one each. The
    index of all others is a hash of their id, so that it does not depend on
    which daemons come or go.
    """
    count = _count_groups(len(ids))
    index_by_id = {id_: _hash(id_) % count for id_ in ids}
    widest = max((links.get(id_, 0.0) for id_ in ids), default=0.0)
    wide = sorted(
        (id_ for id_ in ids if links.get(id_, 0.0) == widest), key=rank
    )
    if len(wide) < len(ids):
        for index, id_ in enumerate(wide[:count]):
            index_by_id[id_] = index
    return index_by_id


def _count_groups(daemons: int) -> int:
    """Return the number of groups for the daemons of a data centre.

    It is a power of two, so that an additional daemon moves few others
    between groups.
    """
    count = 1
    while count * LARGEST_GROUP < daemons:
        count *= 2
    return count


def _hash(id_: DaemonId) -> int:
    return xxhash.xxh3_64_intdigest(f'group {id_}'.encode())


def _rank(id_: DaemonId) -> int:
    return xxhash.xxh3_64_intdigest(f'relay {id_}'.encode())
