"""Records of other daemons, built from the gossip digests they write."""

from dataclasses import dataclass

from mimosamux_wire import StateDigest

from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.domain.names import (
    DaemonId,
    DataCentreName,
    ServiceName,
)
from mimosamux_daemon.gateway.exchange.neighbours import RecentDigests


@dataclass(frozen=True, kw_only=True, slots=True)
class DaemonPlace:
    """Location and addresses of a daemon."""

    id: DaemonId
    """Address at which its peers reach it."""
    data_centre: DataCentreName
    region: str
    entry_address: str
    """Address at which callers reach it."""
    link_mbps: float = 0.0
    """Bandwidth of its VM's link in Mbit/s, 0: unknown."""
    tunnel: str = ''
    """Address at which it opens tunnels to endpoints, empty: it opens none."""


@dataclass(kw_only=True, slots=True)
class PeerState:
    """State of one peer, from its newest digest."""

    place: DaemonPlace
    incarnation: int
    """Identifies the process; a restarted daemon has another one."""
    state: MemberState
    heard_at: float
    """When its newest digest arrived, on the monotonic clock."""
    via: DaemonId
    """Daemon that its newest digest came from: itself or a relay."""
    digests: RecentDigests
    """Its newest digests, to be forwarded."""
    sequence: int = 0
    """Sequence number of its newest digest."""
    acked_sequence: int = 0
    """Newest digest of this daemon that the peer has acknowledged."""
    lease_fencing: int = 0
    """Fencing number of the lease that it holds, 0: it holds none."""
    lease_ended_version: int = 0
    """Version of the lease's row at which its lease ended, 0: it did not."""
    configuration_version: int = 0
    is_relay: bool = False
    reads_tables: bool = False
    """Whether the platform's store answers its reads."""
    unreached_services: frozenset[ServiceName] = frozenset()
    """Services to whose endpoints it cannot connect itself."""


def place_of(digest: StateDigest) -> DaemonPlace:
    """Return the place of the daemon that wrote a digest."""
    return DaemonPlace(
        id=DaemonId(digest.address),
        data_centre=DataCentreName(digest.data_centre),
        region=digest.region,
        entry_address=digest.entry_address,
        link_mbps=max(digest.link_mbps, 0.0),
        tunnel=digest.tunnel_address,
    )


def state_of(digest: StateDigest) -> MemberState:
    """Return the state in a digest, JOINING if it is unknown here."""
    try:
        return MemberState(digest.state)
    except ValueError:
        # A newer software version may have more states. The digest shows
        # that the daemon is alive.
        return MemberState.JOINING
