"""What is known of one peer."""

from dataclasses import dataclass

from mimosamux_wire import StateDigest

from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.gateway.neighbours import News


@dataclass(frozen=True, kw_only=True, slots=True)
class DaemonPlace:
    """Where a daemon is and where it is reached."""

    id: DaemonId
    """Address at which its peers reach it."""
    data_centre: DataCentreName
    region: str
    entry_address: str
    link_mbps: float = 0.0
    """Bandwidth of its VM's link, 0: not known."""


@dataclass(kw_only=True, slots=True)
class PeerState:
    """What is known of one peer."""

    place: DaemonPlace
    lifetime: int
    state: MemberState
    heard_at: float
    via: DaemonId
    """Daemon that told of it last, often itself."""
    news: News
    sequence: int = 0
    heard_sequence: int = 0
    """Newest digest of this daemon that the peer is known to have taken."""
    lease_fencing: int = 0
    lease_ended_version: int = 0
    """Version of the lease's row at which it ended there, 0: it did not."""
    configuration_version: int = 0
    is_relay: bool = False
    reads_tables: bool = False


def place_of(digest: StateDigest) -> DaemonPlace:
    """Return where the daemon of a digest is."""
    return DaemonPlace(
        id=DaemonId(digest.address),
        data_centre=DataCentreName(digest.data_centre),
        region=digest.region,
        entry_address=digest.entry_address,
        link_mbps=max(digest.link_mbps, 0.0),
    )


def state_of(digest: StateDigest) -> MemberState:
    """Return the state that a digest tells."""
    try:
        return MemberState(digest.state)
    except ValueError:
        # A newer daemon may know more states; it is alive at least.
        return MemberState.JOINING
