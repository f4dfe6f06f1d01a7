"""Exchange of load and health figures of endpoints between daemons."""

from collections.abc import Callable
from functools import lru_cache

from mimosamux_wire import EndpointUse, StateDigest

from mimosamux_daemon.domain.names import DaemonId, EndpointId
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.balancing.health import AnswerCounts
from mimosamux_daemon.gateway.exchange.peer_states import PeerState
from mimosamux_daemon.gateway.roster import Roster

NO_USE = EndpointUse()


class EndpointUsageExchange:
    """The part of the gossip digests that covers endpoints.

    Each digest lists, per endpoint, the sender's requests in flight and the
    answers that it counted in the last window.
    """

    def __init__(self, *, roster: Roster, clock: Callable[[], float]) -> None:
        self._roster = roster
        self._clock = clock
        self._reported_by_peer: dict[DaemonId, set[EndpointId]] = {}
        """Endpoints that each peer's last digest contained."""

    def write(self, digest: StateDigest) -> None:
        """Add this daemon's figures for each endpoint to a digest."""
        now = self._clock()
        for record in self._roster.by_id.values():
            use, answers = record.load.own(), record.health.own(now)
            if use.requests or answers.ended:
                digest.endpoints.append(
                    EndpointUse(
                        endpoint=record.id,
                        open_requests=use.requests,
                        unread_tokens=int(use.unread_tokens),
                        ended=answers.ended,
                        failed=answers.failed,
                        incarnation=record.incarnation,
                    )
                )

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """Apply a peer's digest.

        Only endpoints in this digest or in the peer's previous one are
        updated: with 65 daemons and 92 endpoints, iterating over all of them
        took 0.21 of the 0.34 ms for each digest.
        """
        now, peer_id = self._clock(), peer.place.id
        reported: set[EndpointId] = set()
        by_id = self._roster.by_id
        for use in digest.endpoints:
            id_ = EndpointId(use.endpoint)
            record = by_id.get(id_)
            if record is not None and self._is_current(record, use):
                reported.add(id_)
                _apply_use(peer_id, record, use, now)
        before = self._reported_by_peer.get(peer_id, set())
        self._reported_by_peer[peer_id] = reported
        for id_ in before - reported:
            record = by_id.get(id_)
            if record is not None:
                _apply_use(peer_id, record, NO_USE, now)

    def forget_peer(self, id_: DaemonId) -> None:
        """Remove the state of a peer that is considered dead."""
        self._reported_by_peer.pop(id_, None)

    def _is_current(self, record: EndpointRecord, use: EndpointUse) -> bool:
        return use.incarnation == record.incarnation or (
            self._roster.is_current(record.id, use.incarnation)
        )


def _apply_use(
    peer: DaemonId, record: EndpointRecord, use: EndpointUse, now: float
) -> None:
    """Pass a peer's figures to the load and health of one endpoint."""
    record.load.note_peer(
        peer,
        requests=use.open_requests,
        unread_tokens=use.unread_tokens,
        now=now,
    )
    answers = _answer_counts(use.ended, use.failed)
    record.health.note_peer(peer, answers, now)


@lru_cache(maxsize=1024)
def _answer_counts(ended: int, failed: int) -> AnswerCounts:
    """Return one object for equal counts; most endpoints have few answers."""
    return AnswerCounts(ended=ended, failed=failed)
