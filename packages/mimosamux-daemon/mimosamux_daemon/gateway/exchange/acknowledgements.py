"""Acknowledgements of digests between daemons and groups of daemons.

The digests of a daemon are numbered. A receiver acknowledges the highest
number up to which it has them. A relay acknowledges for its whole group.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

import anyio
from mimosamux_wire import DigestHeard, GroupHeard, StateBatch

from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.gateway.exchange.neighbours import Neighbour
from mimosamux_daemon.gateway.exchange.peer_records import PeerState
from mimosamux_daemon.gateway.exchange.relays import Relays


@dataclass(frozen=True, kw_only=True, slots=True)
class _RelayAck:
    """Last acknowledgement by a relay of another group, for that group."""

    heard: GroupHeard
    at: float


class Acknowledgements:
    """Collects acknowledgements, and builds those for the own group."""

    def __init__(
        self,
        *,
        incarnation: int,
        by_id: Mapping[DaemonId, PeerState],
        relays: Relays,
        clock: Callable[[], float],
    ) -> None:
        self.changed = anyio.Event()
        """Set, and replaced by a new one, when a peer acknowledges more."""
        self._own_incarnation = incarnation
        self._by_id = by_id
        self._relays = relays
        self._clock = clock
        self._has_new_ack = False
        self._ack_by_relay: dict[DaemonId, _RelayAck] = {}
        """Last acknowledgement by the relay of each other group."""

    def received_from_groups(self, age_s: float) -> list[GroupHeard]:
        """Return acknowledgements of other groups, none older than an age."""
        oldest = self._clock() - age_s
        return [
            each.heard
            for each in self._ack_by_relay.values()
            if each.at > oldest
        ]

    def forget(self, id_: DaemonId) -> None:
        """Remove the acknowledgement of a daemon that is given up."""
        self._ack_by_relay.pop(id_, None)

    def build_for(self, id_: DaemonId, members: list[DaemonId]) -> GroupHeard:
        """Build the acknowledgement by this daemon and its members.

        It covers the digests of the receiver `id_`, of the daemons whose
        digests it forwards and, if it is a member, of all members.
        """
        represented = [
            peer
            for peer in map(self._by_id.get, members)
            if peer is not None
            and self._relays.neighbour(peer.place.id).acked_batch
        ]
        of_group = id_ in members
        heard = [
            DigestHeard(
                lifetime=peer.incarnation,
                sequence=self._acked_by_all(peer, represented),
            )
            for peer in self._by_id.values()
            if id_ in (peer.place.id, peer.via)
            or (of_group and peer.place.id in members)
        ]
        incarnations = [peer.incarnation for peer in represented]
        return GroupHeard(
            members=[self._own_incarnation, *incarnations], heard=heard
        )

    def _acked_by_all(
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
        """Take the acknowledgements of this daemon's digests from a batch."""
        peer = self._by_id.get(sender)
        if peer is not None and peer.incarnation == neighbour.incarnation:
            self.record_ack(
                peer, neighbour.acked_sequence(self._own_incarnation)
            )
        acked_by_incarnation: dict[int, int] = {}
        for group in batch.confirmed:
            for heard in group.heard:
                if heard.lifetime == self._own_incarnation:
                    for lifetime in group.members:
                        highest = acked_by_incarnation.get(lifetime, 0)
                        acked_by_incarnation[lifetime] = max(
                            highest, heard.sequence
                        )
        if acked_by_incarnation:
            for each in self._by_id.values():
                sequence = acked_by_incarnation.get(each.incarnation)
                if sequence is not None:
                    self.record_ack(each, sequence)
        if batch.confirmed and not batch.is_member:
            self._ack_by_relay[sender] = _RelayAck(
                heard=batch.confirmed[0], at=self._clock()
            )
        self.notify_waiters()

    def record_ack(self, peer: PeerState, sequence: int) -> None:
        """Record that a peer has a digest and all before it."""
        if sequence > peer.acked_sequence:
            peer.acked_sequence = sequence
            self._has_new_ack = True

    def notify_waiters(self) -> None:
        """Wake the waiting tasks if there was a new acknowledgement."""
        if self._has_new_ack:
            self._has_new_ack = False
            self.changed.set()
            self.changed = anyio.Event()
