"""Announces leaving endpoints to the other daemons."""

from dataclasses import dataclass

from mimosamux_wire import EndpointsLeave

from mimosamux_daemon.domain.names import DaemonId, EndpointId
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.ports import PeerLinks

MS_PER_S = 1000
UNKNOWN_MS = -1


@dataclass(kw_only=True, slots=True)
class LeavingExchange:
    """Sends and receives announcements of leaving endpoints."""

    roster: Roster
    states: PeerStates
    peers: PeerLinks

    def __post_init__(self) -> None:
        self.peers.handle(EndpointsLeave, self._take)
        self.roster.on_listed_leaving.append(self._announce_listed)
        self.roster.on_answered_leaving.append(self.announce)

    def announce(self, record: EndpointRecord) -> None:
        """Announce a leaving endpoint to all daemons."""
        left_s = self.roster.left_s(record)
        left_ms = UNKNOWN_MS if left_s is None else int(left_s * MS_PER_S)
        self.states.queue(
            EndpointsLeave(
                endpoints=[record.id],
                leave_in_ms=[left_ms],
                incarnations=[record.incarnation],
            )
        )

    def _announce_listed(self, record: EndpointRecord) -> None:
        """Announce an endpoint that the list shows as leaving.

        Only in a small site. In a larger one, one daemon reads the list for
        all and forwards it, so the others learn of it at the same time.
        """
        if self.states.is_flat:
            self.announce(record)

    async def _take(self, sender: DaemonId, message: EndpointsLeave) -> None:
        is_new = False
        announced = zip(message.endpoints, message.leave_in_ms, strict=False)
        for index, (id_, left_ms) in enumerate(announced):
            is_new |= self.roster.note_leaving(
                EndpointId(id_),
                left_s=None if left_ms < 0 else left_ms / MS_PER_S,
                source=sender,
                incarnation=_number_at(message.incarnations, index),
            )
        if is_new and self.states.forwards_messages:
            self.states.queue(message)


def _number_at(numbers: list[int], index: int) -> int:
    """Return the number at an index, 0 if an older peer sent none."""
    return numbers[index] if index < len(numbers) else 0
