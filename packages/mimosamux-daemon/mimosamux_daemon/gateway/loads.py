"""What daemons have under way at one endpoint."""

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


@dataclass(kw_only=True, slots=True)
class _PeerUse:
    requests: int
    unread_tokens: float
    at: float


@dataclass(kw_only=True, slots=True)
class EndpointLoad:
    """Requests under way from here and, as they tell it, from peers."""

    requests: int = 0
    unread_tokens: float = 0.0
    _by_peer: dict[DaemonId, _PeerUse] = field(default_factory=dict)

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
        if requests:
            self._by_peer[peer] = _PeerUse(
                requests=requests, unread_tokens=unread_tokens, at=now
            )
        else:
            self._by_peer.pop(peer, None)

    def total(self, now: float) -> Use:
        """Return what all daemons have under way, as far as known."""
        requests, unread = self.requests, self.unread_tokens
        for use in self._by_peer.values():
            if now - use.at < PEER_USE_S:
                requests += use.requests
                unread += use.unread_tokens
        return Use(requests=requests, unread_tokens=unread)

    def own(self) -> Use:
        """Return what is under way from here."""
        return Use(requests=self.requests, unread_tokens=self.unread_tokens)
