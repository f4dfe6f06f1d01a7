"""Confirms the configuration through peers when the platform is unreachable.

A daemon that cannot reach the platform does not know whether the keys in
force are still valid. A peer that can reach it vouches for its configuration
version and states the age of its own confirmation. That age counts back from
the time of the request, which bounds the age of the answer.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
from mimosamux_wire import Message, StateDigest, Vouch, Vouched

from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.domain.routes import ConfigurationDocument
from mimosamux_daemon.errors import InvalidConfiguration
from mimosamux_daemon.gateway.configuration import ConfirmedConfiguration
from mimosamux_daemon.gateway.exchange.peer_states import PeerState, PeerStates
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Peers, PeerUnavailable

log = get_log('vouching')

ASK_AFTER_S = 2.0
"""Age of this daemon's confirmation from which it asks peers. While the
platform answers, the age stays below twice the feed's polling time-out."""
CHECK_INTERVAL_S = 0.1
ASK_INTERVAL_S = 0.5
MAX_ASKED_PEERS = 2
OWN_READ_S = 1.0
"""Time for which a daemon that can read the platform waits to read a newer
document there before it asks peers, in a site with relays. The daemon that
reads for the others has the document first: when twenty of them requested its
0.5 MB at once, its link of 5 Mbit/s was saturated for seconds, and it reached
neither the platform nor the endpoints."""
ANSWER_TIMEOUT_S = 0.4
"""Time-out of a request to a peer; a later answer is of little use."""


@dataclass(kw_only=True, slots=True)
class Vouching:
    """Vouches for the configuration, and asks peers to vouch for it."""

    configuration: ConfirmedConfiguration
    states: PeerStates
    peers: Peers
    parse: Callable[[bytes], ConfigurationDocument]
    can_read_platform: Callable[[], bool]
    """Whether this daemon can read the platform's tables."""
    clock: Callable[[], float]
    rng: random.Random
    _outdated_since: float | None = None
    _newer_seen: anyio.Event = field(default_factory=anyio.Event)
    """Set when a peer has a newer version; `run` replaces it before it looks
    at the peers, so that none goes unnoticed while it asks."""

    def __post_init__(self) -> None:
        self.peers.handle(Vouch, self._answer)

    def write(self, digest: StateDigest) -> None:
        """Set the configuration version in force in a digest."""
        digest.configuration_version = self.configuration.current.version

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Wake up `run` if the peer has a newer version.

        `PeerStates` stores the version in the peer's state.
        """
        version = self.configuration.current.version
        if digest.configuration_version > version:
            self._newer_seen.set()

    async def run(self) -> None:
        """Ask peers whenever needed, until cancelled."""
        while True:
            await self._wait_until_needed()
            peers = self._choose_peers()
            if not peers:
                continue
            async with anyio.create_task_group() as tasks:
                for peer in peers:
                    tasks.start_soon(self._ask, peer)
            await anyio.sleep(ASK_INTERVAL_S - CHECK_INTERVAL_S)

    async def _wait_until_needed(self) -> None:
        """Wait until a peer may have to be asked, and for a check interval.

        While a peer is known to have a newer version, or the confirmation is
        old, each check interval is one: the state of the peers changes.
        """
        if self._outdated_since is None:
            left_s = ASK_AFTER_S - CHECK_INTERVAL_S - self.configuration.age_s
            with anyio.move_on_after(max(left_s, 0.0)):
                await self._newer_seen.wait()
        await anyio.sleep(CHECK_INTERVAL_S)
        self._newer_seen = anyio.Event()

    def _choose_peers(self) -> list[DaemonId]:
        """Return the peers to ask now, none if none is needed."""
        fresh = self.states.fresh()
        version = self.configuration.current.version
        newer = [
            peer.place.id
            for peer in fresh
            if peer.configuration_version > version
        ]
        if self._awaits_own_read(bool(newer)):
            newer = []
        if not newer and self.configuration.age_s < ASK_AFTER_S:
            return []
        candidates = newer or [peer.place.id for peer in fresh]
        count = min(len(candidates), MAX_ASKED_PEERS)
        return self.rng.sample(candidates, count)

    def _awaits_own_read(self, is_outdated: bool) -> bool:
        """Whether to wait for this daemon's own read of the platform."""
        if not is_outdated:
            self._outdated_since = None
            return True
        if self._outdated_since is None:
            self._outdated_since = self.clock()
        if self.states.is_flat or not self.can_read_platform():
            return False
        return self.clock() - self._outdated_since < OWN_READ_S

    async def _ask(self, peer: DaemonId) -> None:
        asked_at = self.clock()
        answer = await self.peers.call(
            peer,
            Vouch(version=self.configuration.current.version),
            timeout_s=ANSWER_TIMEOUT_S,
        )
        if isinstance(answer, PeerUnavailable):
            return
        if isinstance(answer, Vouched):
            self._take_answer(answer, asked_at, peer)

    def _take_answer(
        self, answer: Vouched, asked_at: float, peer: DaemonId
    ) -> None:
        if answer.document:
            try:
                document = self.parse(answer.document)
            except InvalidConfiguration as error:
                log.error('document_unreadable', peer=peer, problem=str(error))
                return
            self.configuration.update(document, source=peer)
        self.configuration.confirm(
            answer.version, asked_at - answer.age_ms / 1000
        )

    async def _answer(self, sender: DaemonId, message: Vouch) -> Message:
        configuration = self.configuration
        version = configuration.current.version
        is_outdated = message.version < version
        return Vouched(
            version=version,
            # Rounded up: too high an age is safe, too low a one is not.
            age_ms=int(min(configuration.age_s, 1e6) * 1000) + 1,
            document=configuration.data if is_outdated else b'',
        )
