"""Chooses the daemons that a daemon sends its digests to.

A member of a group sends to the group's relay. A relay sends to the members
that use it, and to the relays of other groups. In a site of a dozen daemons
or fewer, each sends to all others.
"""

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field, replace

from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.gateway.exchange.groups import (
    UNKNOWN_DATA_CENTRE,
    Groups,
    form_groups,
)
from mimosamux_daemon.gateway.exchange.neighbours import Neighbour
from mimosamux_daemon.logs import get_log

log = get_log('relays')

ANSWER_TIMEOUT_S = 1.0
"""Time without an answer after which the next daemon of the group is used
as the relay. A lower bound; at least three digest intervals, since an answer
may be in transit."""
MAX_UPLINKS = 2
"""Relays of its group that a member sends to at once: one that may have
failed, and the next, so that no digest is late while the first is in doubt."""
SKIP_S = 10.0
"""Time for which a relay that did not answer is skipped. Other daemons may
still reach it and forward its digests, so it would seem alive and would be
tried again at once."""
BATCH_NUMBERS_PER_S = 1000
"""Upper bound of the batches sent to one daemon in a second. Times the
clock's reading, it gives a batch number above all earlier ones."""
MEMBERSHIP_S = 3.0
"""Time for which a relay sends to a member without receiving a batch from
it. A lower bound; at least three times the answer time-out, since a batch may
be in transit."""


@dataclass(frozen=True, kw_only=True, slots=True)
class KnownDaemon:
    """A daemon whose address is known, even if no digest of it arrived."""

    since: float
    """When it became known, on the monotonic clock."""
    data_centre: DataCentreName
    link_mbps: float = 0.0
    """Bandwidth of its VM's link in Mbit/s, 0: unknown."""


@dataclass(kw_only=True, slots=True)
class Relays:
    """Chooses relays and members from the messages received.

    There is no election. A member sends to the first daemon of its group
    that answers, and a daemon that members send to acts as their relay. Two
    relays in one group cost extra messages; a group without a relay gets
    digests late, until its members try the next daemon.
    """

    own_id: DaemonId
    clock: Callable[[], float]
    is_fresh: Callable[[DaemonId], bool]
    """Whether a daemon's newest digest is up to date, also if relayed."""
    is_relay: Callable[[DaemonId], bool]
    """Whether a daemon's newest digest says that it acts as a relay."""
    own_centre: DataCentreName
    own_link_mbps: float = 0.0
    known_by_id: dict[DaemonId, KnownDaemon] = field(default_factory=dict)
    neighbours_by_id: dict[DaemonId, Neighbour] = field(default_factory=dict)
    uplinks: tuple[DaemonId, ...] = ()
    """Relays that this daemon sends to; none if it is the relay itself."""
    answer_timeout_s: float = ANSWER_TIMEOUT_S
    _groups: Groups | None = None
    _round: int = 0

    @property
    def acts_as_relay(self) -> bool:
        """Whether this daemon forwards the digests of others."""
        return not self.uplinks or any(True for _ in self.members())

    def add_daemon(
        self, id_: DaemonId, centre: DataCentreName, link_mbps: float = 0.0
    ) -> bool:
        """Add a daemon or update its place; return whether it is new."""
        if id_ == self.own_id:
            return False
        known = self.known_by_id.get(id_)
        before = known or KnownDaemon(
            since=self.clock(), data_centre=UNKNOWN_DATA_CENTRE
        )
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
        """Remove a daemon that is gone."""
        self.known_by_id.pop(id_, None)
        self.neighbours_by_id.pop(id_, None)
        self._groups = None

    def neighbour(self, id_: DaemonId) -> Neighbour:
        """Return the exchange with a directly connected daemon."""
        found = self.neighbours_by_id.get(id_)
        if found is None:
            first = int(self.clock() * BATCH_NUMBERS_PER_S)
            found = Neighbour(sent_batch=first)
            self.neighbours_by_id[id_] = found
        return found

    def members(self) -> Iterable[DaemonId]:
        """Yield the daemons that use this one as their relay."""
        now = self.clock()
        for id_, neighbour in self.neighbours_by_id.items():
            if neighbour.member_until > now:
                yield id_

    def note_member(self, neighbour: Neighbour) -> None:
        """Count a daemon as a member of this relay for a limited time."""
        membership_s = max(MEMBERSHIP_S, 3 * self.answer_timeout_s)
        neighbour.member_until = self.clock() + membership_s

    def choose_targets(self) -> list[DaemonId]:
        """Choose the uplinks anew and return all daemons to send to."""
        self._round += 1
        uplinks = self._choose_uplinks()
        if uplinks != self.uplinks:
            self._log_uplinks(uplinks)
        self.uplinks = uplinks
        targets = dict.fromkeys([*self.uplinks, *self.members()])
        if self.acts_as_relay:
            targets.update(dict.fromkeys(self._other_relays()))
            for relays in self._current_groups().relays_of_others(self.own_id):
                targets.update(dict.fromkeys(self._choose_in_group(relays)))
        return list(targets)

    def _log_uplinks(self, uplinks: tuple[DaemonId, ...]) -> None:
        links_mbps = (self.known_by_id[id_].link_mbps for id_ in uplinks)
        log.info(
            'uplinks_changed',
            uplinks=','.join(uplinks),
            links_mbps=','.join(f'{each:g}' for each in links_mbps),
            relayed=sum(1 for _ in self.members()),
        )

    def _other_relays(self) -> Iterable[DaemonId]:
        """Yield the other relays of this daemon's group.

        After the loss of a relay, its members may use two different relays
        for a while. If these two did not exchange digests, each part of the
        group would get no digests of the other.
        """
        for id_ in self._current_groups().of(self.own_id):
            if (
                id_ != self.own_id
                and self.is_relay(id_)
                and self.is_fresh(id_)
            ):
                yield id_

    def _current_groups(self) -> Groups:
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
        """Return the relay that answers, and one before it still in doubt."""
        chosen: list[DaemonId] = []
        for id_ in self._current_groups().relays_of(self.own_id):
            if id_ == self.own_id:
                break
            if not self._is_usable(id_):
                continue
            chosen.append(id_)
            if self._has_answered(id_) or len(chosen) == MAX_UPLINKS:
                break
        for id_, neighbour in self.neighbours_by_id.items():
            if id_ not in chosen:
                # Nothing is sent to it, so it owes no answer.
                neighbour.awaiting_since = None
        return tuple(chosen)

    def _is_usable(self, id_: DaemonId) -> bool:
        """Whether to send to a relay: it answers, or its time-out runs."""
        now, neighbour = self.clock(), self.neighbour(id_)
        if now < neighbour.skipped_until:
            return False
        if self._has_answered(id_):
            neighbour.awaiting_since = None
            return True
        if neighbour.skipped_until and not self.is_fresh(id_):
            return False
        if neighbour.awaiting_since is None:
            neighbour.awaiting_since = now
        if now - neighbour.awaiting_since < self.answer_timeout_s:
            return True
        neighbour.awaiting_since = None
        neighbour.skipped_until = now + SKIP_S
        return False

    def _has_answered(self, id_: DaemonId) -> bool:
        heard_at = self.neighbour(id_).heard_at
        oldest = self.clock() - self.answer_timeout_s
        return heard_at is not None and heard_at > oldest

    def _choose_in_group(
        self, candidates: tuple[DaemonId, ...]
    ) -> tuple[DaemonId, ...]:
        """Return which of another group's possible relays to send to."""
        if len(candidates) == 1:
            return candidates
        relays = [
            id_
            for id_ in candidates
            if self.is_relay(id_) and self.is_fresh(id_)
        ]
        if relays:
            return tuple(relays)
        # No relay of the group is known: the group is cut off or gone, or no
        # digest of it has arrived. Its daemons are tried in rotation; the
        # first one that is reached sends the group's digests.
        return (candidates[self._round % len(candidates)],)


def shared_silence_s(neighbours: Iterable[Neighbour], now: float) -> float:
    """Return the time since the last batch of any of them arrived.

    It is infinite if none ever arrived.
    """
    heard = [each.heard_at for each in neighbours if each.heard_at is not None]
    return now - max(heard) if heard else math.inf
