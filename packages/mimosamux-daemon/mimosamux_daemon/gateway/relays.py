"""Whom a daemon tells how things stand: relays, its own members, or all."""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.gateway.groups import NOWHERE, Groups, form_groups
from mimosamux_daemon.gateway.neighbours import Neighbour

ANSWER_S = 1.0
"""Silence after which a relay is left for the next one of its group; at the
least, and three intervals of the exchange: its answer may be under way."""
TRIED_AT_ONCE = 2
"""Relays of the own group told at a time: one that may not answer any more,
and the next, so that nothing is told late while the first is waited for."""
LEFT_S = 10.0
"""Time for which a relay that did not answer is left alone: one that only
this daemon cannot reach would otherwise be tried again at once."""
NUMBERS_PER_S = 1000
"""More than the batches that go to one daemon in a second."""
HANGS_ON_S = 3.0
"""Time for which a relay serves a member that tells nothing; at the least,
and three intervals: what the member tells may be under way."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Known:
    """A daemon that was heard of, whether or not it ever told anything."""

    since: float
    data_centre: DataCentreName
    link_mbps: float = 0.0
    """Bandwidth of its VM's link, 0: not known."""


@dataclass(kw_only=True, slots=True)
class Relays:
    """Chooses whom to tell, from what is heard.

    Nothing is agreed on. A daemon tells the first of its group that
    answers; whoever is told by members passes on what they tell. Two relays
    in one group cost messages, none costs time until the next is tried.
    """

    own_id: DaemonId
    clock: Callable[[], float]
    is_fresh: Callable[[DaemonId], bool]
    """Whether a daemon's news are up to date, whoever passed them on."""
    is_relay: Callable[[DaemonId], bool]
    """Whether a daemon tells that it is a relay."""
    own_centre: DataCentreName
    own_link_mbps: float = 0.0
    known_by_id: dict[DaemonId, Known] = field(default_factory=dict)
    neighbours_by_id: dict[DaemonId, Neighbour] = field(default_factory=dict)
    uplinks: tuple[DaemonId, ...] = ()
    """Relays that this daemon hangs on; none if it is one itself."""
    answer_s: float = ANSWER_S
    _groups: Groups | None = None
    _turn: int = 0

    @property
    def acts_as_relay(self) -> bool:
        """Whether this daemon passes news on."""
        return not self.uplinks or any(True for _ in self.members())

    def note_known(
        self, id_: DaemonId, centre: DataCentreName, link_mbps: float = 0.0
    ) -> bool:
        """Note a daemon, or where it is; False if it was known before."""
        if id_ == self.own_id:
            return False
        known = self.known_by_id.get(id_)
        before = known or Known(since=self.clock(), data_centre=NOWHERE)
        found = replace(
            before,
            data_centre=centre or before.data_centre,
            link_mbps=link_mbps or before.link_mbps,
        )
        if found == known:
            return False
        self.known_by_id[id_] = found
        self._groups = None
        return known is None

    def forget(self, id_: DaemonId) -> None:
        """Forget a daemon that is gone."""
        self.known_by_id.pop(id_, None)
        self.neighbours_by_id.pop(id_, None)
        self._groups = None

    def neighbour(self, id_: DaemonId) -> Neighbour:
        """Return the exchange with a daemon that is told directly."""
        found = self.neighbours_by_id.get(id_)
        if found is None:
            first = int(self.clock() * NUMBERS_PER_S)
            found = Neighbour(number=first)
            self.neighbours_by_id[id_] = found
        return found

    def members(self) -> Iterable[DaemonId]:
        """Return the daemons that hang on this one."""
        now = self.clock()
        for id_, neighbour in self.neighbours_by_id.items():
            if neighbour.hangs_on_until > now:
                yield id_

    def note_member(self, neighbour: Neighbour) -> None:
        """Serve a daemon that takes this one for its relay, for a while."""
        lasts_s = max(HANGS_ON_S, 3 * self.answer_s)
        neighbour.hangs_on_until = self.clock() + lasts_s

    def choose(self) -> list[DaemonId]:
        """Return whom to tell now."""
        self._turn += 1
        self.uplinks = self._choose_uplinks()
        told = dict.fromkeys([*self.uplinks, *self.members()])
        if self.acts_as_relay:
            told.update(dict.fromkeys(self._own_group_relays()))
            for group in self._formed().others(self.own_id):
                told.update(dict.fromkeys(self._relays_of(group)))
        return list(told)

    def _own_group_relays(self) -> Iterable[DaemonId]:
        """Return who else passes news on for the own group.

        After the loss of a relay its members may hang on two others for a
        while. Told nothing of each other, one part of the group would be
        unknown to the other.
        """
        for id_ in self._formed().of(self.own_id):
            if (
                id_ != self.own_id
                and self.is_relay(id_)
                and self.is_fresh(id_)
            ):
                yield id_

    def _formed(self) -> Groups:
        if self._groups is None:
            centre_by_id: Mapping[DaemonId, DataCentreName] = {
                self.own_id: self.own_centre
            } | {
                id_: known.data_centre
                for id_, known in self.known_by_id.items()
            }
            link_by_id = {self.own_id: self.own_link_mbps} | {
                id_: known.link_mbps for id_, known in self.known_by_id.items()
            }
            self._groups = form_groups(centre_by_id, link_by_id)
        return self._groups

    def _choose_uplinks(self) -> tuple[DaemonId, ...]:
        """Return the relay that answers, and any before it still tried."""
        chosen: list[DaemonId] = []
        for id_ in self._formed().of(self.own_id):
            if id_ == self.own_id:
                break
            if not self._may_answer(id_):
                continue
            chosen.append(id_)
            if self._has_answered(id_) or len(chosen) == TRIED_AT_ONCE:
                break
        for id_, neighbour in self.neighbours_by_id.items():
            if id_ not in chosen:
                # It is not told any more, so its silence says nothing.
                neighbour.asked_at = None
        return tuple(chosen)

    def _may_answer(self, id_: DaemonId) -> bool:
        """Whether to tell a relay: it answers, or may still begin to."""
        now, neighbour = self.clock(), self.neighbour(id_)
        if now < neighbour.left_until:
            return False
        if self._has_answered(id_):
            neighbour.asked_at = None
            return True
        if neighbour.left_until and not self.is_fresh(id_):
            return False
        if neighbour.asked_at is None:
            neighbour.asked_at = now
        if now - neighbour.asked_at < self.answer_s:
            return True
        neighbour.asked_at = None
        neighbour.left_until = now + LEFT_S
        return False

    def _has_answered(self, id_: DaemonId) -> bool:
        heard_at = self.neighbour(id_).heard_at
        oldest = self.clock() - self.answer_s
        return heard_at is not None and heard_at > oldest

    def _relays_of(self, group: tuple[DaemonId, ...]) -> tuple[DaemonId, ...]:
        """Return who of another group is told."""
        if len(group) == 1:
            return group
        relays = [
            id_ for id_ in group if self.is_relay(id_) and self.is_fresh(id_)
        ]
        if relays:
            return tuple(relays)
        # Nobody there is known to pass news on: cut off, all gone, or not
        # heard of yet. Asked in turn, the first that is reached tells who.
        return (group[self._turn % len(group)],)


def longest_silence(neighbours: Iterable[Neighbour], now: float) -> float:
    """Return the time since any of them was heard, infinite: never."""
    heard = [each.heard_at for each in neighbours if each.heard_at is not None]
    return now - max(heard) if heard else math.inf
