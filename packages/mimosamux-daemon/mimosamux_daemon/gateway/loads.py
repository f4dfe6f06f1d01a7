"""What daemons have under way at one endpoint."""

import math
from dataclasses import dataclass, field

from mimosamux_daemon.domain.names import DaemonId

PEER_USE_S = 5.0
"""What a peer told counts for so long; a peer that died leaves nothing
under way, as endpoints drop requests whose connection ends."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Use:
    """Requests under way, and prompt tokens still to be read for them."""

    requests: int = 0
    unread_tokens: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class _PeerUse:
    requests: int
    unread_tokens: float
    at: float


NOTHING = _PeerUse(requests=0, unread_tokens=0.0, at=-math.inf)


@dataclass(kw_only=True, slots=True)
class EndpointLoad:
    """Requests under way from here and, as they tell it, from peers."""

    requests: int = 0
    unread_tokens: float = 0.0
    _by_peer: dict[DaemonId, _PeerUse] = field(default_factory=dict)
    _peers: Use = Use()
    """Sum over the peers; adding it up for each choice took longer than the
    rest of the choice once there were dozens of peers."""
    _peers_until: float = math.inf
    """When the oldest part of the sum no longer counts, or earlier."""

    def begin(self, unread_tokens: float) -> None:
        """Count a request that is about to be sent."""
        self.requests += 1
        self.unread_tokens += unread_tokens

    def note_read(self, unread_tokens: float) -> None:
        """Count a prompt as read, when its answer begins."""
        self.unread_tokens = max(0.0, self.unread_tokens - unread_tokens)

    def end(self, unread_tokens: float) -> None:
        """Count a request out, and what was not read of its prompt."""
        self.requests -= 1
        self.note_read(unread_tokens)

    def note_peer(
        self,
        peer: DaemonId,
        *,
        requests: int,
        unread_tokens: float,
        now: float,
    ) -> None:
        """Take what a peer has under way."""
        before = self._by_peer.pop(peer, NOTHING)
        if requests:
            use = _PeerUse(
                requests=requests, unread_tokens=unread_tokens, at=now
            )
            self._by_peer[peer] = use
            self._peers_until = min(self._peers_until, now + PEER_USE_S)
        else:
            use = NOTHING
        self._peers = Use(
            requests=self._peers.requests + use.requests - before.requests,
            unread_tokens=self._peers.unread_tokens
            + use.unread_tokens
            - before.unread_tokens,
        )

    def total(self, now: float) -> Use:
        """Return what all daemons have under way, as far as known."""
        if now >= self._peers_until:
            self._forget_silent(now)
        return Use(
            requests=self.requests + self._peers.requests,
            unread_tokens=self.unread_tokens + self._peers.unread_tokens,
        )

    def _forget_silent(self, now: float) -> None:
        """Drop peers that have not told anything for long."""
        self._by_peer = {
            peer: use
            for peer, use in self._by_peer.items()
            if now - use.at < PEER_USE_S
        }
        uses = self._by_peer.values()
        self._peers = Use(
            requests=sum(use.requests for use in uses),
            unread_tokens=sum(use.unread_tokens for use in uses),
        )
        self._peers_until = PEER_USE_S + min(
            (use.at for use in uses), default=math.inf
        )

    def own(self) -> Use:
        """Return what is under way from here."""
        return Use(requests=self.requests, unread_tokens=self.unread_tokens)
