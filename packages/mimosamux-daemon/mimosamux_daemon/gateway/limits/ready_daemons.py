"""The daemons among which limits of endpoints are shared."""

from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates


def list_ready_daemons(states: PeerStates) -> tuple[DaemonId, ...]:
    """Return the ready peers, and this daemon if it is ready or alone."""
    ready = [peer.place.id for peer in states.ready()]
    if states.state is MemberState.READY or not ready:
        ready.append(states.place.id)
    return tuple(ready)
