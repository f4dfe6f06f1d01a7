"""Which digests of this daemon others have taken, and the other way round."""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import anyio
from mimosamux_wire import DigestHeard, GroupHeard, StateBatch

from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.gateway.neighbours import Neighbour
from mimosamux_daemon.gateway.peer_records import PeerState
from mimosamux_daemon.gateway.relays import Relays


@dataclass(frozen=True, kw_only=True, slots=True)
class _RelayHeard:
    """What the group of a foreign relay has taken, as it told last."""

    heard: GroupHeard
    at: float


class Confirmations:
    """Takes what others confirm, and confirms for the own group."""

    def __init__(
        self,
        *,
        lifetime: int,
        by_id: Mapping[DaemonId, PeerState],
        relays: Relays,
        clock: Callable[[], float],
    ) -> None:
        self.changed = anyio.Event()
        """Set, and replaced by a new one, when a peer confirms more."""
        self._lifetime = lifetime
        self._by_id = by_id
        self._relays = relays
        self._clock = clock
        self._has_confirmed = False
        self._heard_by_relay: dict[DaemonId, _RelayHeard] = {}
        """What each foreign relay's group has taken."""

    def for_members(self, age_s: float) -> list[GroupHeard]:
        """Return what other groups have taken, as told up to an age ago."""
        oldest = self._clock() - age_s
        return [
            each.heard
            for each in self._heard_by_relay.values()
            if each.at > oldest
        ]

    def forget(self, id_: DaemonId) -> None:
        """Forget what a daemon told that is given up."""
        self._heard_by_relay.pop(id_, None)

    def group_heard(
        self, id_: DaemonId, members: list[DaemonId]
    ) -> GroupHeard:
        """Return what this daemon and its members have all taken.

        Only of those daemons that the receiver answers for.
        """
        stands_for = [
            peer
            for peer in map(self._by_id.get, members)
            if peer is not None
            and self._relays.neighbour(peer.place.id).acked_batch
        ]
        of_group = id_ in members
        heard = [
            DigestHeard(
                lifetime=peer.incarnation,
                sequence=self._taken_by_all(peer, stands_for),
            )
            for peer in self._by_id.values()
            if id_ in (peer.place.id, peer.via)
            or (of_group and peer.place.id in members)
        ]
        lifetimes = [peer.incarnation for peer in stands_for]
        return GroupHeard(members=[self._lifetime, *lifetimes], heard=heard)

    def _taken_by_all(
        self, origin: PeerState, members: list[PeerState]
    ) -> int:
        taken = [
            self._relays.neighbour(member.place.id).acked_sequence(
                origin.incarnation
            )
            for member in members
            if member is not origin
        ]
        return min([origin.sequence, *taken])

    def take(
        self, sender: DaemonId, neighbour: Neighbour, batch: StateBatch
    ) -> None:
        """Take which of this daemon's digests others have."""
        peer = self._by_id.get(sender)
        if peer is not None and peer.incarnation == neighbour.incarnation:
            self.note_heard(peer, neighbour.acked_sequence(self._lifetime))
        heard_by_lifetime: dict[int, int] = {}
        for group in batch.confirmed:
            for heard in group.heard:
                if heard.lifetime == self._lifetime:
                    for lifetime in group.members:
                        known = heard_by_lifetime.get(lifetime, 0)
                        heard_by_lifetime[lifetime] = max(
                            known, heard.sequence
                        )
        if heard_by_lifetime:
            for each in self._by_id.values():
                sequence = heard_by_lifetime.get(each.incarnation)
                if sequence is not None:
                    self.note_heard(each, sequence)
        if batch.confirmed and not batch.is_member:
            self._heard_by_relay[sender] = _RelayHeard(
                heard=batch.confirmed[0], at=self._clock()
            )
        self.wake_waiters()

    def note_heard(self, peer: PeerState, sequence: int) -> None:
        """Note that a peer surely has a digest, and all before it."""
        if sequence > peer.acked_sequence:
            peer.acked_sequence = sequence
            self._has_confirmed = True

    def wake_waiters(self) -> None:
        """Wake those who wait for a confirmation, if there was one."""
        if self._has_confirmed:
            self._has_confirmed = False
            self.changed.set()
            self.changed = anyio.Event()
