"""How things stand at the other daemons, exchanged several times a second.

Every daemon tells every other one. What they tell replaces what they told
before, and counters count from the start of a process, so a message that
is lost does no harm beyond its age.
"""

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Protocol

import anyio
from mimosamux_wire import DaemonsKnown, DigestHeard, Message, StateDigest

from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import PeerLinks

log = get_log('peer_states')

INTERVAL_S = 0.25
INTERVAL_PER_PEER_S = 0.0125
"""The interval grows with the peers, so that the messages of a daemon stay
at 80 a second however many there are."""
HURRIED_INTERVAL_S = 0.1
"""The interval while what is told is urgent, if the peers are few enough
for the bound above."""
FRESH_S = 1.0
"""A digest older than this, and than four intervals, is out of date."""
SILENT_INTERVALS = 2.5
"""Intervals without a word from any peer after which something is wrong
with this daemon's connections, and not with a peer."""
FEWEST_SILENT = 2
"""Peers that have to be silent: one alone may have died."""
GONE_S = 30.0
"""A daemon that is silent for so long is not sent anything any more."""


@dataclass(frozen=True, kw_only=True, slots=True)
class DaemonPlace:
    """Where a daemon is and where it is reached."""

    id: DaemonId
    """Address at which its peers reach it."""
    data_centre: DataCentreName
    region: str
    entry_address: str


@dataclass(kw_only=True, slots=True)
class PeerState:
    """What is known of one peer."""

    place: DaemonPlace
    lifetime: int
    state: MemberState
    heard_at: float
    sequence: int = 0
    heard_sequence: int = 0
    """Newest digest of this daemon that the peer says it has taken."""
    lease_fencing: int = 0
    configuration_version: int = 0


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
        self._is_silent = False
        self.on_forgotten: list[Callable[[DaemonId], None]] = []
        """Told of each peer that is given up."""
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._sequence = 0
        self._known_since: dict[DaemonId, float] = {}
        self._told_at = -math.inf
        self._queue: list[Message] = []
        self._queued = anyio.Event()
        peers.handle(StateDigest, self._take)
        peers.handle(DaemonsKnown, self._take_known)

    @property
    def interval_s(self) -> float:
        """Time between two digests to each peer."""
        return max(INTERVAL_S, INTERVAL_PER_PEER_S * len(self._known_since))

    @property
    def fresh_s(self) -> float:
        """Age up to which a digest tells how things stand now."""
        return max(FRESH_S, 4 * self.interval_s)

    def introduce(self, ids: Iterable[DaemonId]) -> None:
        """Begin to tell these daemons; known ones change nothing."""
        for id_ in ids:
            if id_ == self.place.id or id_ in self._known_since:
                continue
            self._known_since[id_] = self._clock()
            self._peers.set_address(id_, id_)

    def fresh(self) -> list[PeerState]:
        """Return the peers whose digests are up to date."""
        oldest = self._clock() - self.fresh_s
        return [peer for peer in self.by_id.values() if peer.heard_at > oldest]

    @property
    def next_sequence(self) -> int:
        """Return the number of the digest that will tell what is new now."""
        return self._sequence + 1

    def heard_by_all(self) -> int:
        """Return the newest digest that every peer in touch has taken.

        What was told with it, or before, is known to all of them: they say
        so themselves, so neither a lost message nor a slow one can make
        this daemon believe it too early.
        """
        fresh = self.fresh()
        if not fresh:
            return self._sequence
        return min(peer.heard_sequence for peer in fresh)

    def hurry(self) -> None:
        """Tell the peers soon: something is new that they wait for."""
        interval_s = max(
            HURRIED_INTERVAL_S, INTERVAL_PER_PEER_S * len(self._known_since)
        )
        if self._clock() - self._told_at >= interval_s:
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
            await self.tell()
            self._look_for_silence()
            self._forget_silent()
            pause_s = self.interval_s * self._rng.uniform(0.9, 1.1)
            with anyio.move_on_after(pause_s):
                await self._queued.wait()
            await self._send_queued()

    def queue(self, message: Message) -> None:
        """Have a message sent to every known daemon at once."""
        self._queue.append(message)
        self._queued.set()

    async def tell(self) -> None:
        """Send a digest to every known daemon."""
        self._told_at = self._clock()
        digest = self._write()
        for id_ in tuple(self._known_since):
            await self._peers.notify(id_, digest)

    async def _send_queued(self) -> None:
        queue, self._queue = self._queue, []
        self._queued = anyio.Event()
        for message in queue:
            for id_ in tuple(self._known_since):
                await self._peers.notify(id_, message)

    def _write(self) -> StateDigest:
        self._sequence += 1
        digest = StateDigest(
            address=self.place.id,
            data_centre=self.place.data_centre,
            region=self.place.region,
            entry_address=self.place.entry_address,
            lifetime=self.lifetime,
            sequence=self._sequence,
            state=self.state,
            heard=[
                DigestHeard(lifetime=peer.lifetime, sequence=peer.sequence)
                for peer in self.fresh()
            ],
        )
        for part in self.parts:
            part.write(digest)
        return digest

    async def _take(self, sender: DaemonId, digest: StateDigest) -> None:
        id_ = DaemonId(digest.address)
        if sender != id_:
            return
        known = self.by_id.get(id_)
        is_new = known is None or known.lifetime != digest.lifetime
        if is_new:
            log.info('peer_heard', peer=id_, lifetime=digest.lifetime)
            self.introduce([id_])
            known = self.by_id[id_] = PeerState(
                place=_place_of(digest),
                lifetime=digest.lifetime,
                state=MemberState.JOINING,
                heard_at=self._clock(),
            )
        elif known is None or digest.sequence <= known.sequence:
            return
        known.state = _state_of(digest)
        known.heard_at = self._clock()
        known.sequence = digest.sequence
        known.lease_fencing = digest.lease_fencing
        known.configuration_version = digest.configuration_version
        for heard in digest.heard:
            if heard.lifetime == self.lifetime:
                known.heard_sequence = heard.sequence
        for part in self.parts:
            part.take(known, digest)
        if is_new:
            others = [str(each) for each in self._known_since if each != id_]
            await self._peers.notify(id_, DaemonsKnown(addresses=others))

    async def _take_known(
        self, sender: DaemonId, message: DaemonsKnown
    ) -> None:
        self.introduce(DaemonId(address) for address in message.addresses)

    def _look_for_silence(self) -> None:
        """Notice when every peer has fallen silent at once.

        Open connections can stop to deliver without a reset, while new ones
        work. A request sent on a kept one then runs, and its answer never
        comes; nothing but the silence of all peers tells so in time.
        """
        oldest = self._clock() - SILENT_INTERVALS * self.interval_s
        peers = self.by_id.values()
        is_silent = len(peers) >= FEWEST_SILENT and all(
            peer.heard_at < oldest for peer in peers
        )
        if is_silent and not self._is_silent:
            log.warning('peers_silent', peers=len(peers))
            for listener in self.on_silence:
                listener()
        self._is_silent = is_silent

    def _forget_silent(self) -> None:
        oldest = self._clock() - GONE_S
        for id_, since in tuple(self._known_since.items()):
            peer = self.by_id.get(id_)
            if (since if peer is None else peer.heard_at) > oldest:
                continue
            log.info('peer_forgotten', peer=id_)
            del self._known_since[id_]
            self.by_id.pop(id_, None)
            self._peers.forget(id_)
            for listener in self.on_forgotten:
                listener(id_)


def _place_of(digest: StateDigest) -> DaemonPlace:
    return DaemonPlace(
        id=DaemonId(digest.address),
        data_centre=DataCentreName(digest.data_centre),
        region=digest.region,
        entry_address=digest.entry_address,
    )


def _state_of(digest: StateDigest) -> MemberState:
    try:
        return MemberState(digest.state)
    except ValueError:
        # A newer daemon may know more states; it is alive at least.
        return MemberState.JOINING
