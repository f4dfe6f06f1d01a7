"""What daemons tell each other of endpoints that leave."""

from dataclasses import dataclass

from mimosamux_wire import EndpointsLeave

from mimosamux_daemon.domain.names import DaemonId, EndpointId
from mimosamux_daemon.gateway.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.peer_states import PeerStates
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.ports import PeerLinks

MS_PER_S = 1000
NOT_KNOWN_MS = -1


@dataclass(kw_only=True, slots=True)
class LeavingExchange:
    """Tells peers who leaves, and takes what they tell."""

    roster: Roster
    states: PeerStates
    peers: PeerLinks

    def __post_init__(self) -> None:
        self.peers.handle(EndpointsLeave, self._take)
        self.roster.on_learned.append(self._tell_learned)
        self.roster.on_own_answer.append(self.tell)

    def tell(self, record: EndpointRecord) -> None:
        """Tell of an endpoint that this daemon knows to leave."""
        left_s = self.roster.left_s(record)
        left_ms = NOT_KNOWN_MS if left_s is None else int(left_s * MS_PER_S)
        self.states.queue(
            EndpointsLeave(
                endpoints=[record.id],
                leave_in_ms=[left_ms],
                incarnations=[record.incarnation],
            )
        )

    def _tell_learned(self, record: EndpointRecord) -> None:
        """Tell of an endpoint that the list shows as leaving.

        Where one daemon reads the list for the others, they have it from
        there at the same time.
        """
        if self.states.is_flat:
            self.tell(record)

    async def _take(self, sender: DaemonId, message: EndpointsLeave) -> None:
        is_news = False
        told = zip(message.endpoints, message.leave_in_ms, strict=False)
        for place, (id_, left_ms) in enumerate(told):
            is_news |= self.roster.note_leaving(
                EndpointId(id_),
                left_s=None if left_ms < 0 else left_ms / MS_PER_S,
                source=sender,
                incarnation=_number_at(message.incarnations, place),
            )
        if is_news and self.states.forwards_messages:
            self.states.queue(message)


def _number_at(numbers: list[int], place: int) -> int:
    """Return a number that an older peer does not tell as 0."""
    return numbers[place] if place < len(numbers) else 0
