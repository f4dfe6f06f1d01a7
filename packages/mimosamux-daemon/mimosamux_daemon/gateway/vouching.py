"""Daemons vouch for the configuration of one that is cut off.

A daemon that cannot reach the platform does not know whether the keys in
force are still valid. A peer that can reach it knows, and tells the age of
its own knowledge; the time of the question bounds how old the answer is.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from mimosamux_wire import Message, StateDigest, Vouch, Vouched

from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.domain.routes import ConfigurationDocument
from mimosamux_daemon.errors import InvalidConfiguration
from mimosamux_daemon.gateway.configuration import ConfirmedConfiguration
from mimosamux_daemon.gateway.peer_states import PeerState, PeerStates
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Peers, PeerUnavailable

log = get_log('vouching')

ASK_AFTER_S = 2.0
"""Age of the own confirmation from which peers are asked. While the
platform answers, the age stays below twice the wait of its feed."""
POLL_S = 0.1
ASK_EVERY_S = 0.5
ASKED_AT_ONCE = 2
READ_FIRST_S = 1.0
"""Time for which a daemon that reads the platform leaves a newer document to
its own reading, in a site with relays. Whoever reads for the others has it
first: asked by twenty of them for 0.5 MB at once, its link of 5 Mbit/s was
full for seconds, and it reached neither platform nor endpoints."""
ANSWER_S = 0.4
"""Longest wait for an answer; an older one would hardly help."""


@dataclass(kw_only=True, slots=True)
class Vouching:
    """Answers for the configuration, and asks peers about it."""

    configuration: ConfirmedConfiguration
    states: PeerStates
    peers: Peers
    parse: Callable[[bytes], ConfigurationDocument]
    reads_platform: Callable[[], bool]
    """Whether the platform's tables answer this daemon."""
    clock: Callable[[], float]
    rng: random.Random
    _behind_since: float | None = None

    def __post_init__(self) -> None:
        self.peers.handle(Vouch, self._answer)

    def write(self, digest: StateDigest) -> None:
        """Tell which version is in force here."""
        digest.configuration_version = self.configuration.current.version

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Nothing to do: the version is part of the peer's state."""

    async def run(self) -> None:
        """Ask while it is needed, until cancelled."""
        while True:
            await anyio.sleep(POLL_S)
            asked = self._pick()
            if not asked:
                continue
            async with anyio.create_task_group() as tasks:
                for peer in asked:
                    tasks.start_soon(self._ask, peer)
            await anyio.sleep(ASK_EVERY_S - POLL_S)

    def _pick(self) -> list[DaemonId]:
        """Return the peers to ask now."""
        fresh = self.states.fresh()
        version = self.configuration.current.version
        newer = [
            peer.place.id
            for peer in fresh
            if peer.configuration_version > version
        ]
        if self._leaves_it_to_reading(bool(newer)):
            newer = []
        if not newer and self.configuration.age_s < ASK_AFTER_S:
            return []
        candidates = newer or [peer.place.id for peer in fresh]
        count = min(len(candidates), ASKED_AT_ONCE)
        return self.rng.sample(candidates, count)

    def _leaves_it_to_reading(self, is_behind: bool) -> bool:
        """Whether a newer document will likely come from the platform."""
        if not is_behind:
            self._behind_since = None
            return True
        if self._behind_since is None:
            self._behind_since = self.clock()
        if self.states.is_flat or not self.reads_platform():
            return False
        return self.clock() - self._behind_since < READ_FIRST_S

    async def _ask(self, peer: DaemonId) -> None:
        asked_at = self.clock()
        answer = await self.peers.call(
            peer,
            Vouch(version=self.configuration.current.version),
            timeout_s=ANSWER_S,
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
            self.configuration.take(document, source=peer)
        self.configuration.confirm(
            answer.version, asked_at - answer.age_ms / 1000
        )

    async def _answer(self, sender: DaemonId, message: Vouch) -> Message:
        configuration = self.configuration
        version = configuration.current.version
        is_behind = message.version < version
        return Vouched(
            version=version,
            # Rounded up: an age that is too high does no harm.
            age_ms=int(min(configuration.age_s, 1e6) * 1000) + 1,
            document=configuration.data if is_behind else b'',
        )
