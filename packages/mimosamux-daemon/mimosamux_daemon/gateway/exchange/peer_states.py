"""Gossip: daemons exchange digests of their state several times a second.

A digest replaces the daemon's earlier ones, and its counters count from the
start of the process, so the loss of a message only delays information. Up to
a dozen daemons send digests to each other directly. In larger sites, relays
forward them unchanged, so all that is known of a peer is what it wrote itself.
"""

import math
import random
from collections.abc import Awaitable, Callable, Iterable, Mapping
from typing import Protocol

import anyio
from mimosamux_wire import (
    DaemonsKnown,
    DigestHeard,
    EnvelopeType,
    Message,
    StateBatch,
    StateDigest,
    decode,
    encode,
)
from mimosamux_wire import Envelope as WireEnvelope

from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.domain.names import (
    DaemonId,
    DataCentreName,
    ServiceName,
)
from mimosamux_daemon.gateway.exchange.acknowledgements import Acknowledgements
from mimosamux_daemon.gateway.exchange.groups import (
    LARGEST_GROUP,
    UNKNOWN_DATA_CENTRE,
)
from mimosamux_daemon.gateway.exchange.neighbours import (
    EncodedDigest,
    RecentDigests,
)
from mimosamux_daemon.gateway.exchange.peer_records import (
    DaemonPlace,
    PeerState,
    place_of,
    state_of,
)
from mimosamux_daemon.gateway.exchange.relays import (
    ANSWER_TIMEOUT_S,
    Relays,
    shared_silence_s,
)
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import PeerLinks

__all__ = ['DaemonPlace', 'DigestPart', 'PeerState', 'PeerStates']

log = get_log('peer_states')

DIGEST_INTERVAL_S = 0.25
INTERVAL_PER_DAEMON_S = 0.01
"""The interval between digests grows with the number of daemons, so that
each receives at most a hundred digests (48 KB) a second."""
DUE_SHARE = 0.9
"""Part of the interval after which a digest is due. Pauses vary by a tenth,
so that daemons which started together do not keep sending together."""
MIN_FORWARD_PAUSE_S = 0.1
FORWARD_PAUSE_PER_PEER_S = 0.0125
"""Pause of a relay before it forwards new digests: the minimum, and the pause
per daemon that it sends to, which limits it to 80 messages a second. Forwarded
only once per digest interval, the use of a cap took 1.2 s to be acknowledged
by 23 peers, and requests were refused although the cap had room."""
URGENT_INTERVAL_S = 0.1
"""Interval between digests while an update is urgent, in a small site. It
grows with the number of daemons too, half as fast."""
MAX_FORWARD_PAUSE_S = 0.5
"""Longest pause of a relay, however many daemons it sends to."""
MIN_FRESH_S = 1.0
"""A digest older than this and than four intervals is stale."""
HAND_OVER_S = 0.4
"""Longest wait of a daemon that stops for its last digest to arrive."""
MAX_HOPS = 3
"""Hops of a digest: to a relay, to a relay of another group, to a member."""
SILENT_INTERVALS = 2.5
"""Intervals without a batch from any peer after which this daemon's own
connections are taken to be broken, rather than a peer."""
MIN_SILENT_PEERS = 2
"""Peers that must be silent for this: a single one may have died."""
FORGET_AFTER_S = 30.0
"""Silence after which a daemon is removed, and nothing is sent to it."""
MAX_ENDED_INCARNATIONS = 4096
"""Ended incarnations that are remembered, to reject their late digests."""


class DigestPart(Protocol):
    """A component with fields of its own in the digests."""

    def write(self, digest: StateDigest) -> None:
        """Set its fields in a digest of this daemon."""

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Read its fields from a digest of a peer."""


class PeerStates:
    """The state of all known peers, and the gossip that keeps it current."""

    def __init__(
        self,
        *,
        place: DaemonPlace,
        incarnation: int,
        peers: PeerLinks,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.place = place
        self.incarnation = incarnation
        self.state = MemberState.JOINING
        self.by_id: dict[DaemonId, PeerState] = {}
        """Peers of which at least one digest arrived."""
        self._by_incarnation: dict[int, PeerState] = {}
        self.parts: list[DigestPart] = []
        self.on_silence: list[Callable[[], None]] = []
        """Called when all connected peers have fallen silent together."""
        self.on_joined: list[Callable[[DaemonId], Awaitable[None]]] = []
        """Called with the id of a daemon whose process first sends a batch."""
        self._are_all_silent = False
        self.on_forgotten: list[Callable[[DaemonId], None]] = []
        """Called with the id of each peer removed after a long silence."""
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._relays = Relays(
            own_id=place.id,
            own_centre=place.data_centre,
            own_link_mbps=place.link_mbps,
            clock=clock,
            is_fresh=self._is_fresh,
            is_relay=self._is_relay,
        )
        self._own_digests = RecentDigests(incarnation=incarnation)
        self._acknowledgements = Acknowledgements(
            incarnation=incarnation,
            by_id=self.by_id,
            relays=self._relays,
            clock=clock,
        )
        self._ended: dict[int, None] = {}
        """Incarnations that a restart has ended, oldest first."""
        self._sequence = 0
        self._digest_sent_at = -math.inf
        self._target_count = 0
        """Daemons that the last round sent to."""
        self._queue: list[Message] = []
        self._queued = anyio.Event()
        self._unbatched_ids: dict[DaemonId, None] = {}
        """Daemons of an older version, which send single digests to all."""
        peers.handle(StateBatch, self._take_batch)
        peers.handle(StateDigest, self._take_unbatched)
        peers.handle(DaemonsKnown, self._take_known_daemons)

    @property
    def interval_s(self) -> float:
        """Time between two digests of this daemon."""
        return max(
            DIGEST_INTERVAL_S, INTERVAL_PER_DAEMON_S * self._daemon_count
        )

    @property
    def fresh_s(self) -> float:
        """Age up to which a digest counts as current."""
        return max(MIN_FRESH_S, 4 * self.interval_s + self._forwarding_s)

    @property
    def propagation_s(self) -> float:
        """Time in which what a daemon has counted reaches all others.

        It counts two intervals, since a digest may be lost or its daemon
        busy, and the pauses of the relays that forward it.
        """
        return 2 * self.interval_s + self._forwarding_s

    @property
    def _forwarding_s(self) -> float:
        """Longest time for which relays hold a digest, 0 without relays."""
        return 0.0 if self.is_flat else MAX_HOPS * MAX_FORWARD_PAUSE_S

    @property
    def _daemon_count(self) -> int:
        return 1 + len(self._relays.known_by_id)

    @property
    def is_flat(self) -> bool:
        """Whether all daemons send to each other, without relays."""
        return self._daemon_count <= LARGEST_GROUP

    @property
    def ack_received(self) -> anyio.Event:
        """Set, and replaced by a new one, when a peer acknowledges more."""
        return self._acknowledgements.changed

    @property
    def acts_as_relay(self) -> bool:
        """Whether this daemon forwards the digests of others."""
        return self._relays.acts_as_relay

    @property
    def forwards_messages(self) -> bool:
        """Whether this daemon forwards messages that others queued.

        In a small site the origin sends its message to all daemons itself.
        """
        return not self.is_flat and self.acts_as_relay

    @property
    def relayed_daemons(self) -> int:
        """Return the number of daemons that use this one as their relay."""
        return sum(1 for _ in self._relays.members())

    def add_daemons(
        self,
        ids: Iterable[DaemonId],
        centre_by_id: Mapping[DaemonId, DataCentreName] | None = None,
        link_by_id: Mapping[DaemonId, float] | None = None,
    ) -> None:
        """Add the addresses and places of daemons to send to."""
        centres = {} if centre_by_id is None else centre_by_id
        links = {} if link_by_id is None else link_by_id
        for id_ in ids:
            if self._relays.add_daemon(
                id_, centres.get(id_, UNKNOWN_DATA_CENTRE), links.get(id_, 0.0)
            ):
                self._peers.set_address(id_, id_)

    def fresh(self) -> list[PeerState]:
        """Return the peers whose digests are current."""
        oldest = self._clock() - self.fresh_s
        return [peer for peer in self.by_id.values() if peer.heard_at > oldest]

    def ready(self) -> list[PeerState]:
        """Return those fresh peers that serve callers."""
        return [
            peer for peer in self.fresh() if peer.state is MemberState.READY
        ]

    @property
    def has_lowest_id(self) -> bool:
        """Whether this daemon has the lowest id of all that are in touch.

        It writes for all what a single daemon has to write.
        """
        return self.is_among_lowest_ids(1)

    def is_among_lowest_ids(self, count: int) -> bool:
        """Whether fewer than `count` daemons in touch have a lower id."""
        lower = sum(peer.place.id < self.place.id for peer in self.fresh())
        return lower < count

    def is_alone(self) -> bool:
        """Whether peers are known, and the digests of all are stale."""
        return bool(self.by_id) and not self.fresh()

    @property
    def next_sequence(self) -> int:
        """Return the sequence number of the next digest."""
        return self._sequence + 1

    def acked_by_all(self) -> int:
        """Return the newest own digest that every fresh peer acknowledged.

        All of them know its content and that of earlier ones. Only the
        peers' own acknowledgements count, so no lost or slow message and no
        stopped relay can make the number too high.
        """
        fresh = self.fresh()
        if not fresh:
            return self._sequence
        return min(peer.acked_sequence for peer in fresh)

    def expedite(self) -> None:
        """Send the next digest early, since peers wait for an update."""
        interval_s = max(
            URGENT_INTERVAL_S, INTERVAL_PER_DAEMON_S * self._daemon_count / 2
        )
        if self._clock() - self._digest_sent_at >= interval_s:
            self._digest_sent_at = -math.inf
            self._queued.set()

    def oldest_digest_age_s(self) -> float:
        """Return the age of the oldest current digest, 0 without peers."""
        oldest = min((peer.heard_at for peer in self.fresh()), default=None)
        return 0.0 if oldest is None else self._clock() - oldest

    def max_serving(self) -> int:
        """Return the number of daemons that may serve callers, with this one.

        Silent peers count until they are removed: they may be partitioned
        from this daemon and still serve callers.
        """
        serving = (MemberState.JOINING, MemberState.READY)
        return 1 + sum(peer.state in serving for peer in self.by_id.values())

    async def run(self) -> None:
        """Exchange digests with the peers until cancelled."""
        while True:
            await self.tick()
            pause_s = self.pause_s() * self._rng.uniform(0.9, 1.1)
            with anyio.move_on_after(pause_s):
                await self._queued.wait()
            await self._send_queued()

    async def tick(self) -> None:
        """Send what is due, forward new digests, and check for silence."""
        is_due = (
            self._clock() - self._digest_sent_at >= DUE_SHARE * self.interval_s
        )
        await self._send_digests(is_digest_due=is_due)
        self._check_silence()
        self._forget_silent()

    def queue(self, message: Message) -> None:
        """Send a message to every known daemon, without waiting for a tick."""
        self._queue.append(message)
        self._queued.set()

    async def send_digest(self) -> None:
        """Send a digest of this daemon now."""
        await self._send_digests(is_digest_due=True)

    async def send_last_digest(self) -> None:
        """Send a digest, and wait until those that it goes to have it.

        What a daemon counted since its last digest ends with its process.
        """
        await self.send_digest()
        sequence, targets = self._sequence, self._relays.choose_targets()
        with anyio.move_on_after(HAND_OVER_S):
            while not self._has_arrived(sequence, targets):
                await self.ack_received.wait()

    def _has_arrived(self, sequence: int, targets: list[DaemonId]) -> bool:
        """Whether all daemons of `targets` that stay acknowledged a digest."""
        return all(
            self.by_id[id_].acked_sequence >= sequence
            for id_ in targets
            if self._is_fresh(id_)
            and self.by_id[id_].state is not MemberState.LEAVING
        )

    def pause_s(self) -> float:
        """Return the time until the next tick."""
        if self.is_flat:
            return self.interval_s
        forward_s = max(
            MIN_FORWARD_PAUSE_S, FORWARD_PAUSE_PER_PEER_S * self._target_count
        )
        return min(self.interval_s, forward_s, MAX_FORWARD_PAUSE_S)

    async def _send_digests(self, *, is_digest_due: bool) -> None:
        self._relays.answer_timeout_s = max(
            ANSWER_TIMEOUT_S, 3 * self.interval_s
        )
        targets = self._relays.choose_targets()
        self._target_count = len(targets)
        if is_digest_due:
            self._digest_sent_at = self._clock()
            await self._send_unbatched(self._write_digest())
        members = list(self._relays.members())
        for id_ in targets:
            batch = self._batch_for(id_, members)
            if batch is not None:
                await self._peers.notify(id_, batch)

    async def _send_queued(self) -> None:
        queue, self._queue = self._queue, []
        self._queued = anyio.Event()
        if not queue:
            return
        for id_ in self._relays.choose_targets():
            for message in queue:
                await self._peers.notify(id_, message)

    async def _send_unbatched(self, digest: StateDigest) -> None:
        if not self._unbatched_ids:
            return
        digest.heard = [
            DigestHeard(lifetime=peer.incarnation, sequence=peer.sequence)
            for peer in self.fresh()
        ]
        for id_ in self._unbatched_ids:
            await self._peers.notify(id_, digest)

    def _write_digest(self) -> StateDigest:
        self._sequence += 1
        digest = StateDigest(
            address=self.place.id,
            data_centre=self.place.data_centre,
            region=self.place.region,
            entry_address=self.place.entry_address,
            link_mbps=self.place.link_mbps,
            tunnel_address=self.place.tunnel,
            lifetime=self.incarnation,
            sequence=self._sequence,
            state=self.state,
            is_relay=self._relays.acts_as_relay,
        )
        for part in self.parts:
            part.write(digest)
        self._own_digests.entries.append(
            EncodedDigest(
                sequence=self._sequence,
                data=encode(digest, EnvelopeType.ONEWAY, 0),
            )
        )
        return digest

    def _batch_for(
        self, id_: DaemonId, members: list[DaemonId]
    ) -> StateBatch | None:
        """Return a batch of what is new to a daemon, None if nothing is."""
        relays = self._relays
        batch = StateBatch(lifetime=self.incarnation)
        batch.is_member = id_ in relays.uplinks
        digests = self._digests_for(id_, members)
        if not relays.neighbour(id_).fill(batch, digests):
            return None
        if not batch.is_member:
            batch.confirmed.append(
                self._acknowledgements.build_for(id_, members)
            )
        if id_ in members:
            batch.confirmed.extend(
                self._acknowledgements.received_from_groups(self.fresh_s)
            )
        return batch

    def _digests_for(
        self, id_: DaemonId, members: list[DaemonId]
    ) -> Iterable[RecentDigests]:
        """Yield the digests to send to a daemon, new to it or not.

        A member gets the digests of all daemons, another relay those of
        this daemon's members, and the own relay all that did not come from
        an uplink. No daemon gets digests of its own or digests that it sent.
        """
        yield self._own_digests
        uplinks = self._relays.uplinks
        for peer in self.by_id.values():
            if peer.via == id_ or peer.place.id == id_:
                continue
            if id_ in members or (
                peer.via not in uplinks
                if id_ in uplinks
                else peer.via in members
            ):
                yield peer.digests

    async def _take_batch(self, sender: DaemonId, batch: StateBatch) -> None:
        if batch.lifetime in self._ended:
            return
        self.add_daemons([sender])
        neighbour = self._relays.neighbour(sender)
        is_new = neighbour.incarnation != batch.lifetime
        neighbour.take(batch, own_incarnation=self.incarnation)
        neighbour.heard_at = self._clock()
        if batch.is_member:
            self._relays.note_member(neighbour)
        for data in self._new_digests(batch):
            self._take_encoded(data, sender)
        self._acknowledgements.take(sender, neighbour, batch)
        if is_new:
            await self._send_known_daemons(sender)

    async def _take_unbatched(
        self, sender: DaemonId, digest: StateDigest
    ) -> None:
        """Take a digest of a daemon whose version has no batches."""
        if digest.address != sender or digest.lifetime in self._ended:
            return
        is_new = sender not in self._unbatched_ids
        self._unbatched_ids[sender] = None
        self.add_daemons([sender])
        self._take(digest, encode(digest, EnvelopeType.ONEWAY, 0), sender)
        peer = self.by_id.get(sender)
        for heard in digest.heard:
            if peer is not None and heard.lifetime == self.incarnation:
                self._acknowledgements.record_ack(peer, heard.sequence)
        self._acknowledgements.notify_waiters()
        if is_new:
            await self._send_known_daemons(sender)

    def _new_digests(self, batch: StateBatch) -> list[bytes]:
        """Return the digests of a batch, without those known not to be new.

        Relays send many digests twice, and decoding is the larger part of
        the cost of a digest.
        """
        count = len(batch.digests)
        lifetimes, sequences = batch.digest_lifetimes, batch.digest_sequences
        if not len(lifetimes) == len(sequences) == count:
            # The sender is of an earlier version, which sends no lists.
            return batch.digests
        return [
            data
            for data, lifetime, sequence in zip(
                batch.digests, lifetimes, sequences, strict=True
            )
            if self._may_be_new(lifetime, sequence)
        ]

    def _may_be_new(self, incarnation: int, sequence: int) -> bool:
        """Whether `_take` would not reject such a digest."""
        if incarnation == self.incarnation or incarnation in self._ended:
            return False
        peer = self._by_incarnation.get(incarnation)
        return peer is None or sequence > peer.sequence

    def _take_encoded(self, data: bytes, via: DaemonId) -> None:
        found = decode(data)
        digest = found.message if isinstance(found, WireEnvelope) else None
        if not isinstance(digest, StateDigest) or not digest.address:
            log.warning('digest_unreadable', peer=via, size=len(data))
        elif digest.address != self.place.id:
            self._take(digest, data, via)

    def _take(self, digest: StateDigest, data: bytes, via: DaemonId) -> None:
        id_ = DaemonId(digest.address)
        peer = self.by_id.get(id_)
        if digest.lifetime in self._ended:
            return
        if peer is None or peer.incarnation != digest.lifetime:
            peer = self._start_process(id_, digest, peer, via)
        elif digest.sequence <= peer.sequence:
            return
        peer.via = via
        peer.digests.entries.append(
            EncodedDigest(sequence=digest.sequence, data=data)
        )
        peer.state = state_of(digest)
        peer.heard_at = self._clock()
        peer.sequence = digest.sequence
        peer.lease_fencing = digest.lease_fencing
        peer.lease_ended_version = digest.lease_ended_version
        peer.configuration_version = digest.configuration_version
        peer.is_relay = digest.is_relay
        peer.reads_tables = digest.reads_tables
        peer.unreached_services = frozenset(
            map(ServiceName, digest.unreached_services)
        )
        for part in self.parts:
            part.take(peer, digest)

    def _start_process(
        self,
        id_: DaemonId,
        digest: StateDigest,
        previous: PeerState | None,
        via: DaemonId,
    ) -> PeerState:
        log.info('peer_heard', peer=id_, lifetime=digest.lifetime, via=via)
        if previous is not None:
            # Digests of the earlier process may still be in transit. If they
            # were accepted, its counters would be counted twice.
            self._by_incarnation.pop(previous.incarnation, None)
            self._ended[previous.incarnation] = None
            if len(self._ended) > MAX_ENDED_INCARNATIONS:
                del self._ended[next(iter(self._ended))]
        place = place_of(digest)
        self.add_daemons(
            [id_], {id_: place.data_centre}, {id_: place.link_mbps}
        )
        peer = self.by_id[id_] = PeerState(
            place=place,
            incarnation=digest.lifetime,
            state=MemberState.JOINING,
            heard_at=self._clock(),
            via=via,
            digests=RecentDigests(incarnation=digest.lifetime),
        )
        self._by_incarnation[peer.incarnation] = peer
        return peer

    async def _send_known_daemons(self, id_: DaemonId) -> None:
        """Send the known daemons to a process that is new here."""
        others = {
            each: known
            for each, known in self._relays.known_by_id.items()
            if each != id_
        }
        await self._peers.notify(
            id_,
            DaemonsKnown(
                addresses=[str(each) for each in others],
                data_centres=[
                    str(each.data_centre) for each in others.values()
                ],
                links_mbps=[each.link_mbps for each in others.values()],
            ),
        )
        for listener in self.on_joined:
            await listener(id_)

    async def _take_known_daemons(
        self, sender: DaemonId, message: DaemonsKnown
    ) -> None:
        ids = [DaemonId(address) for address in message.addresses]
        centres = map(DataCentreName, message.data_centres)
        links = dict(zip(ids, message.links_mbps, strict=False))
        self.add_daemons(ids, dict(zip(ids, centres, strict=False)), links)

    def _is_fresh(self, id_: DaemonId) -> bool:
        peer = self.by_id.get(id_)
        oldest = self._clock() - self.fresh_s
        return peer is not None and peer.heard_at > oldest

    def _is_relay(self, id_: DaemonId) -> bool:
        peer = self.by_id.get(id_)
        return peer is not None and peer.is_relay

    def _check_silence(self) -> None:
        """Detect that all neighbours have fallen silent at once.

        Open connections can stop delivering without a reset, while new ones
        work. A request sent on a kept-alive connection then runs, but its
        answer never arrives. Only the silence of all peers shows that in
        time.
        """
        neighbours = [
            neighbour
            for neighbour in self._relays.neighbours_by_id.values()
            if neighbour.heard_at is not None
        ]
        silence_s = shared_silence_s(neighbours, self._clock())
        are_all_silent = (
            len(neighbours) >= MIN_SILENT_PEERS
            and silence_s > SILENT_INTERVALS * self.interval_s
        )
        if are_all_silent and not self._are_all_silent:
            log.warning('peers_silent', peers=len(neighbours))
            for listener in self.on_silence:
                listener()
        self._are_all_silent = are_all_silent

    def _forget_silent(self) -> None:
        oldest = self._clock() - FORGET_AFTER_S
        for id_, known in tuple(self._relays.known_by_id.items()):
            peer = self.by_id.get(id_)
            if (known.since if peer is None else peer.heard_at) > oldest:
                continue
            log.info('peer_forgotten', peer=id_)
            self._relays.forget(id_)
            self._acknowledgements.forget(id_)
            self._unbatched_ids.pop(id_, None)
            self.by_id.pop(id_, None)
            if peer is not None:
                self._by_incarnation.pop(peer.incarnation, None)
            self._peers.forget(id_)
            for listener in self.on_forgotten:
                listener(id_)
