"""How things stand at the other daemons, exchanged several times a second.

What a daemon tells replaces what it told before, and counters count from the
start of a process, so a message that is lost does no harm beyond its age.
Up to a dozen daemons tell each other directly. More of them hang on relays,
which pass digests on unchanged: what is known of a daemon is always what it
said itself.
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
from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.gateway.confirmations import Confirmations
from mimosamux_daemon.gateway.groups import LARGEST_GROUP, NOWHERE
from mimosamux_daemon.gateway.neighbours import Encoded, News
from mimosamux_daemon.gateway.peer_records import (
    DaemonPlace,
    PeerState,
    place_of,
    state_of,
)
from mimosamux_daemon.gateway.relays import ANSWER_S, Relays, longest_silence
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import PeerLinks

__all__ = ['DaemonPlace', 'DigestPart', 'PeerState', 'PeerStates']

log = get_log('peer_states')

INTERVAL_S = 0.25
INTERVAL_PER_DAEMON_S = 0.01
"""The interval grows with the daemons, so that one takes in no more than a
hundred digests a second, 48 KB, however many there are."""
DUE_SHARE = 0.9
"""Part of the interval from which on a digest is due: pauses vary by a tenth,
so that daemons which started together do not go on telling together."""
FORWARD_S = 0.1
FORWARD_PER_PEER_S = 0.0125
"""Pause of a relay before it passes on what is new: the least, and for each
daemon that it tells, so that its messages stay at 80 a second. Passed on only
at the interval of digests, a use of a cap took 1.2 s to be confirmed by 23
peers, and requests were refused that had room."""
HURRIED_INTERVAL_S = 0.1
"""The interval while what is told is urgent, in a small site; it grows like
the other one."""
LONGEST_FORWARD_S = 0.5
"""Longest pause of a relay, however many it tells."""
FRESH_S = 1.0
"""A digest older than this, and than four intervals, is out of date."""
HOPS = 3
"""Daemons that pass a digest on, and its receiver."""
SILENT_INTERVALS = 2.5
"""Intervals without a word from any peer after which something is wrong
with this daemon's connections, and not with a peer."""
FEWEST_SILENT = 2
"""Peers that have to be silent: one alone may have died."""
GONE_S = 30.0
"""A daemon that is silent for so long is not sent anything any more."""
KEPT_ENDED = 4096
"""Processes that are remembered to have ended, against their late news."""


class DigestPart(Protocol):
    """Something that daemons tell each other about."""

    def write(self, digest: StateDigest) -> None:
        """Add what this daemon has to tell."""

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Take what a peer tells."""


class PeerStates:
    """The known peers, and the exchange with them."""

    def __init__(
        self,
        *,
        place: DaemonPlace,
        lifetime: int,
        peers: PeerLinks,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self.place = place
        self.lifetime = lifetime
        self.state = MemberState.JOINING
        self.by_id: dict[DaemonId, PeerState] = {}
        """Peers that were heard of at least once."""
        self.parts: list[DigestPart] = []
        self.on_silence: list[Callable[[], None]] = []
        """Told when all peers in touch have fallen silent together."""
        self.on_joined: list[Callable[[DaemonId], Awaitable[None]]] = []
        """Told of each process that is heard directly for the first time."""
        self._is_silent = False
        self.on_forgotten: list[Callable[[DaemonId], None]] = []
        """Told of each peer that is given up."""
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
        self._news = News(lifetime=lifetime)
        self._confirmations = Confirmations(
            lifetime=lifetime,
            by_id=self.by_id,
            relays=self._relays,
            clock=clock,
        )
        self._ended: dict[int, None] = {}
        """Lifetimes of processes that others have followed."""
        self._sequence = 0
        self._told_at = -math.inf
        self._told = 0
        """Daemons that were told directly the last time."""
        self._queue: list[Message] = []
        self._queued = anyio.Event()
        self._plain: dict[DaemonId, None] = {}
        """Daemons of a version that tells single digests, to everybody."""
        peers.handle(StateBatch, self._take_batch)
        peers.handle(StateDigest, self._take_alone)
        peers.handle(DaemonsKnown, self._take_known)

    @property
    def interval_s(self) -> float:
        """Time between two digests of this daemon."""
        return max(INTERVAL_S, INTERVAL_PER_DAEMON_S * self._daemons)

    @property
    def fresh_s(self) -> float:
        """Age up to which a digest tells how things stand now."""
        passing_s = 0.0 if self.is_flat else HOPS * LONGEST_FORWARD_S
        return max(FRESH_S, 4 * self.interval_s + passing_s)

    @property
    def _daemons(self) -> int:
        return 1 + len(self._relays.known_by_id)

    @property
    def is_flat(self) -> bool:
        """Whether so few daemons are known that all tell each other."""
        return self._daemons <= LARGEST_GROUP

    @property
    def confirmed(self) -> anyio.Event:
        """Set, and replaced by a new one, when a peer confirms more."""
        return self._confirmations.changed

    @property
    def acts_as_relay(self) -> bool:
        """Whether this daemon passes on what others tell."""
        return self._relays.acts_as_relay

    @property
    def passes_on(self) -> bool:
        """Whether news that daemons queue are queued again here.

        In a small site all of them have each from whoever learned it.
        """
        return not self.is_flat and self.acts_as_relay

    def introduce(
        self,
        ids: Iterable[DaemonId],
        centre_by_id: Mapping[DaemonId, DataCentreName] | None = None,
        link_by_id: Mapping[DaemonId, float] | None = None,
    ) -> None:
        """Begin to count on these daemons; known ones change nothing."""
        centres = {} if centre_by_id is None else centre_by_id
        links = {} if link_by_id is None else link_by_id
        for id_ in ids:
            if self._relays.note_known(
                id_, centres.get(id_, NOWHERE), links.get(id_, 0.0)
            ):
                self._peers.set_address(id_, id_)

    def fresh(self) -> list[PeerState]:
        """Return the peers whose digests are up to date."""
        oldest = self._clock() - self.fresh_s
        return [peer for peer in self.by_id.values() if peer.heard_at > oldest]

    def ready(self) -> list[PeerState]:
        """Return those of them that serve callers."""
        return [
            peer for peer in self.fresh() if peer.state is MemberState.READY
        ]

    def is_alone(self) -> bool:
        """Whether other daemons were heard of, and none is heard now."""
        return bool(self.by_id) and not self.fresh()

    @property
    def next_sequence(self) -> int:
        """Return the number of the digest that will tell what is new now."""
        return self._sequence + 1

    def heard_by_all(self) -> int:
        """Return the newest digest that every peer in touch has taken.

        What was told with it, or before, is known to all of them: they say
        so themselves, so neither a lost message nor a slow one, nor a relay
        that has stopped, can make this daemon believe it too early.
        """
        fresh = self.fresh()
        if not fresh:
            return self._sequence
        return min(peer.heard_sequence for peer in fresh)

    def hurry(self) -> None:
        """Tell the peers soon: something is new that they wait for."""
        interval_s = max(
            HURRIED_INTERVAL_S, INTERVAL_PER_DAEMON_S * self._daemons / 2
        )
        if self._clock() - self._told_at >= interval_s:
            self._told_at = -math.inf
            self._queued.set()

    def news_age_s(self) -> float:
        """Return the age of the oldest digest that is up to date."""
        oldest = min((peer.heard_at for peer in self.fresh()), default=None)
        return 0.0 if oldest is None else self._clock() - oldest

    def expected(self) -> int:
        """Return how many daemons may be serving, this one included.

        Those that are silent count until they are given up: they may be
        cut off from here and serve callers all the same.
        """
        serving = (MemberState.JOINING, MemberState.READY)
        return 1 + sum(peer.state in serving for peer in self.by_id.values())

    async def run(self) -> None:
        """Tell the peers until cancelled."""
        while True:
            await self.tick()
            pause_s = self.pause_s() * self._rng.uniform(0.9, 1.1)
            with anyio.move_on_after(pause_s):
                await self._queued.wait()
            await self._send_queued()

    async def tick(self) -> None:
        """Tell what is due, pass on what is new, and look who is silent."""
        is_due = self._clock() - self._told_at >= DUE_SHARE * self.interval_s
        await self._tell(has_news=is_due)
        self._look_for_silence()
        self._forget_silent()

    def queue(self, message: Message) -> None:
        """Have a message passed on to every known daemon at once."""
        self._queue.append(message)
        self._queued.set()

    async def tell(self) -> None:
        """Tell how things stand here, to whom it concerns."""
        await self._tell(has_news=True)

    def pause_s(self) -> float:
        """Return the time until there is something to do again."""
        if self.is_flat:
            return self.interval_s
        forward_s = max(FORWARD_S, FORWARD_PER_PEER_S * self._told)
        return min(self.interval_s, forward_s, LONGEST_FORWARD_S)

    async def _tell(self, *, has_news: bool) -> None:
        self._relays.answer_s = max(ANSWER_S, 3 * self.interval_s)
        told = self._relays.choose()
        self._told = len(told)
        if has_news:
            self._told_at = self._clock()
            await self._tell_plain(self._write())
        members = list(self._relays.members())
        for id_ in told:
            batch = self._batch_for(id_, members)
            if batch is not None:
                await self._peers.notify(id_, batch)

    async def _send_queued(self) -> None:
        queue, self._queue = self._queue, []
        self._queued = anyio.Event()
        if not queue:
            return
        for id_ in self._relays.choose():
            for message in queue:
                await self._peers.notify(id_, message)

    async def _tell_plain(self, digest: StateDigest) -> None:
        if not self._plain:
            return
        digest.heard = [
            DigestHeard(lifetime=peer.lifetime, sequence=peer.sequence)
            for peer in self.fresh()
        ]
        for id_ in self._plain:
            await self._peers.notify(id_, digest)

    def _write(self) -> StateDigest:
        self._sequence += 1
        digest = StateDigest(
            address=self.place.id,
            data_centre=self.place.data_centre,
            region=self.place.region,
            entry_address=self.place.entry_address,
            link_mbps=self.place.link_mbps,
            lifetime=self.lifetime,
            sequence=self._sequence,
            state=self.state,
            is_relay=self._relays.acts_as_relay,
        )
        for part in self.parts:
            part.write(digest)
        self._news.entries.append(
            Encoded(
                sequence=self._sequence,
                data=encode(digest, EnvelopeType.ONEWAY, 0),
            )
        )
        return digest

    def _batch_for(
        self, id_: DaemonId, members: list[DaemonId]
    ) -> StateBatch | None:
        """Return what is new to a daemon, None if nothing is."""
        relays = self._relays
        batch = StateBatch(lifetime=self.lifetime)
        batch.is_member = id_ in relays.uplinks
        news = self._news_for(id_, members)
        if not relays.neighbour(id_).fill(batch, news):
            return None
        if not batch.is_member:
            batch.confirmed.append(
                self._confirmations.group_heard(id_, members)
            )
        if id_ in members:
            batch.confirmed.extend(
                self._confirmations.for_members(self.fresh_s)
            )
        return batch

    def _news_for(
        self, id_: DaemonId, members: list[DaemonId]
    ) -> Iterable[News]:
        """Return what a daemon is to be told of, besides what it told.

        Members are told everything, other relays of this daemon's members,
        and its own relay of all that did not come from there.
        """
        yield self._news
        uplinks = self._relays.uplinks
        for peer in self.by_id.values():
            if peer.via == id_ or peer.place.id == id_:
                continue
            if id_ in members or (
                peer.via not in uplinks
                if id_ in uplinks
                else peer.via in members
            ):
                yield peer.news

    async def _take_batch(self, sender: DaemonId, batch: StateBatch) -> None:
        if batch.lifetime in self._ended:
            return
        self.introduce([sender])
        neighbour = self._relays.neighbour(sender)
        is_new = neighbour.lifetime != batch.lifetime
        neighbour.take(batch, own_lifetime=self.lifetime)
        neighbour.heard_at = self._clock()
        if batch.is_member:
            self._relays.note_member(neighbour)
        for data in batch.digests:
            self._take_data(data, sender)
        self._confirmations.take(sender, neighbour, batch)
        if is_new:
            await self._tell_known(sender)

    async def _take_alone(self, sender: DaemonId, digest: StateDigest) -> None:
        """Take a digest of a daemon that knows nothing of batches yet."""
        if digest.address != sender or digest.lifetime in self._ended:
            return
        is_new = sender not in self._plain
        self._plain[sender] = None
        self.introduce([sender])
        self._take(digest, encode(digest, EnvelopeType.ONEWAY, 0), sender)
        peer = self.by_id.get(sender)
        for heard in digest.heard:
            if peer is not None and heard.lifetime == self.lifetime:
                self._confirmations.note_heard(peer, heard.sequence)
        self._confirmations.wake_waiters()
        if is_new:
            await self._tell_known(sender)

    def _take_data(self, data: bytes, via: DaemonId) -> None:
        found = decode(data)
        digest = found.message if isinstance(found, WireEnvelope) else None
        if not isinstance(digest, StateDigest) or not digest.address:
            log.warning('digest_unreadable', peer=via, size=len(data))
        elif digest.address != self.place.id:
            self._take(digest, data, via)

    def _take(self, digest: StateDigest, data: bytes, via: DaemonId) -> None:
        id_ = DaemonId(digest.address)
        known = self.by_id.get(id_)
        if digest.lifetime in self._ended:
            return
        if known is None or known.lifetime != digest.lifetime:
            known = self._begin(id_, digest, known, via)
        elif digest.sequence <= known.sequence:
            return
        known.via = via
        known.news.entries.append(Encoded(sequence=digest.sequence, data=data))
        known.state = state_of(digest)
        known.heard_at = self._clock()
        known.sequence = digest.sequence
        known.lease_fencing = digest.lease_fencing
        known.lease_ended_version = digest.lease_ended_version
        known.configuration_version = digest.configuration_version
        known.is_relay = digest.is_relay
        known.reads_tables = digest.reads_tables
        for part in self.parts:
            part.take(known, digest)

    def _begin(
        self,
        id_: DaemonId,
        digest: StateDigest,
        before: PeerState | None,
        via: DaemonId,
    ) -> PeerState:
        log.info('peer_heard', peer=id_, lifetime=digest.lifetime, via=via)
        if before is not None:
            # News of the process before may still be under way elsewhere;
            # taken, they would make its counters count a second time.
            self._ended[before.lifetime] = None
            if len(self._ended) > KEPT_ENDED:
                del self._ended[next(iter(self._ended))]
        place = place_of(digest)
        self.introduce([id_], {id_: place.data_centre}, {id_: place.link_mbps})
        peer = self.by_id[id_] = PeerState(
            place=place,
            lifetime=digest.lifetime,
            state=MemberState.JOINING,
            heard_at=self._clock(),
            via=via,
            news=News(lifetime=digest.lifetime),
        )
        return peer

    async def _tell_known(self, id_: DaemonId) -> None:
        """Tell a process that is heard for the first time who is there."""
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

    async def _take_known(
        self, sender: DaemonId, message: DaemonsKnown
    ) -> None:
        ids = [DaemonId(address) for address in message.addresses]
        centres = map(DataCentreName, message.data_centres)
        links = dict(zip(ids, message.links_mbps, strict=False))
        self.introduce(ids, dict(zip(ids, centres, strict=False)), links)

    def _is_fresh(self, id_: DaemonId) -> bool:
        peer = self.by_id.get(id_)
        oldest = self._clock() - self.fresh_s
        return peer is not None and peer.heard_at > oldest

    def _is_relay(self, id_: DaemonId) -> bool:
        peer = self.by_id.get(id_)
        return peer is not None and peer.is_relay

    def _look_for_silence(self) -> None:
        """Notice when every neighbour has fallen silent at once.

        Open connections can stop to deliver without a reset, while new ones
        work. A request sent on a kept one then runs, and its answer never
        comes; nothing but the silence of all peers tells so in time.
        """
        neighbours = [
            neighbour
            for neighbour in self._relays.neighbours_by_id.values()
            if neighbour.heard_at is not None
        ]
        silence_s = longest_silence(neighbours, self._clock())
        is_silent = (
            len(neighbours) >= FEWEST_SILENT
            and silence_s > SILENT_INTERVALS * self.interval_s
        )
        if is_silent and not self._is_silent:
            log.warning('peers_silent', peers=len(neighbours))
            for listener in self.on_silence:
                listener()
        self._is_silent = is_silent

    def _forget_silent(self) -> None:
        oldest = self._clock() - GONE_S
        for id_, known in tuple(self._relays.known_by_id.items()):
            peer = self.by_id.get(id_)
            if (known.since if peer is None else peer.heard_at) > oldest:
                continue
            log.info('peer_forgotten', peer=id_)
            self._relays.forget(id_)
            self._confirmations.forget(id_)
            self._plain.pop(id_, None)
            self.by_id.pop(id_, None)
            self._peers.forget(id_)
            for listener in self.on_forgotten:
                listener(id_)
