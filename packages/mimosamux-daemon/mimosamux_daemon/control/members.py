"""State of other daemons and data centres, without I/O.

A daemon is suspected when no heartbeat has arrived for a time that is
derived from the mean and the deviation of its heartbeat intervals.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

import xxhash
from mimosamux_wire import DataCentreSummary, MemberRecord

from mimosamux_daemon.domain.names import DaemonId, DataCentreName

SUSPECT_MIN_S = 3.0
"""Minimum time without a heartbeat after which a daemon is suspected."""
SUSPECT_MAX_S = 10.0
"""Maximum time without a heartbeat after which a daemon is suspected."""
EXPECTED_DEVIATIONS = 4.0
"""The longest expected heartbeat interval is the mean plus this many
deviations; a daemon is suspected after twice that interval."""
INTERVAL_WEIGHT = 0.1
"""Weight of the newest interval in the moving mean and deviation."""
ROUND_TRIP_WEIGHT = 0.1
"""Weight of the newest round-trip time in the moving average."""
GONE_AFTER_S = 10.0
"""A daemon that has been suspected for this long counts as gone."""
REMOTE_STALE_S = 8.0
"""Age of the newest summary of a data centre from which all daemons there
are suspected."""
MIN_FETCH_INTERVAL_S = 1.0
"""Minimum time between two fetches of the members of a data centre."""
LINKS_PER_DATA_CENTRE = 2
"""Number of daemons of this data centre that exchange summaries with each
other data centre."""


class MemberState(IntEnum):
    """State of a daemon; messages carry the numbers."""

    JOINING = 1
    READY = 2
    LEAVING = 3
    SUSPECTED = 4
    GONE = 5


@dataclass(kw_only=True, slots=True)
class Member:
    """Another daemon, as this daemon knows it."""

    id: DaemonId
    data_centre: DataCentreName
    address: str
    caller_address: str
    incarnation: int
    state: MemberState
    """State that the daemon, or another of its data centre, announced."""
    last_seen_at: float
    """Time of the last heartbeat, or at which the daemon became known."""
    version: int = 0
    """Configuration version that the daemon holds."""
    load: int = 0
    """Load in thousandths of the daemon's capacity."""
    is_suspected: bool = False
    interval_s: float = 1.0
    """Moving mean of the time between two heartbeats."""
    deviation_s: float = 0.1
    """Moving mean of the deviation from `interval_s`."""

    @property
    def suspect_after_s(self) -> float:
        """Time without a heartbeat after which the daemon is suspected."""
        expected_s = self.interval_s + EXPECTED_DEVIATIONS * self.deviation_s
        return min(SUSPECT_MAX_S, max(SUSPECT_MIN_S, 2 * expected_s))

    @property
    def effective_state(self) -> MemberState:
        """The announced state, or SUSPECTED if this daemon suspects it."""
        return MemberState.SUSPECTED if self.is_suspected else self.state

    def record_heartbeat(self, now: float) -> None:
        """Record a heartbeat and clear the suspicion.

        An interval in which the daemon was suspected is not averaged.
        """
        if not self.is_suspected:
            observed_s = now - self.last_seen_at
            deviation = abs(observed_s - self.interval_s)
            self.interval_s += INTERVAL_WEIGHT * (observed_s - self.interval_s)
            self.deviation_s += INTERVAL_WEIGHT * (
                deviation - self.deviation_s
            )
        self.is_suspected = False
        self.last_seen_at = now

    def as_record(self) -> MemberRecord:
        """Encode the member for messages."""
        return MemberRecord(
            id=self.id,
            data_centre=self.data_centre,
            address=self.address,
            caller_address=self.caller_address,
            incarnation=self.incarnation,
            state=self.effective_state,
        )


@dataclass(kw_only=True, slots=True)
class RemoteDataCentre:
    """Another data centre, as its summaries describe it."""

    name: DataCentreName
    last_seen_at: float = -math.inf
    """Time at which the newest summary was made, on this daemon's clock."""
    version: int = 0
    """Highest configuration version that any summary stated."""
    lowest_version: int = 0
    """Lowest configuration version of its ready daemons; -1 if none is."""
    members_digest: int = 0
    """Hash of its members that the newest summary states."""
    load: int = 0
    """Mean load of its ready daemons, in thousandths of capacity."""
    round_trip_s: float = math.inf
    """Moving average of the round-trip time from this data centre."""
    members_by_id: dict[DaemonId, Member] = field(default_factory=dict)
    known_digest: int = 0
    """Hash of `members_by_id`."""
    fetch_started_at: float = -math.inf
    """Time at which the last fetch of its members began."""

    def needs_members(self, now: float) -> bool:
        """Return whether to fetch the members again.

        Daemons there may disagree for a while, so that the digest
        alternates between two values. Without a minimum interval, each
        summary would then cause a fetch.
        """
        is_new = self.members_digest != self.known_digest
        return is_new and now - self.fetch_started_at >= MIN_FETCH_INTERVAL_S

    def replace_members(self, members: Iterable[Member]) -> None:
        """Replace the known members."""
        self.members_by_id = {member.id: member for member in members}
        self.known_digest = digest_members(self.members_by_id.values())

    def is_stale(self, now: float) -> bool:
        """Return whether the newest summary is too old."""
        return now - self.last_seen_at > REMOTE_STALE_S

    def record_round_trip(self, seconds: float) -> None:
        """Add a measured round-trip time to the moving average."""
        if math.isinf(self.round_trip_s):
            self.round_trip_s = seconds
        self.round_trip_s += ROUND_TRIP_WEIGHT * (seconds - self.round_trip_s)

    def apply_summary(self, summary: DataCentreSummary, now: float) -> None:
        """Apply a summary, unless a newer one has been applied.

        The configuration version only increases, so that of an older
        summary is applied too.
        """
        summarised_at = now - summary.age_ms / 1000
        self.version = max(self.version, summary.configuration_version)
        if summarised_at < self.last_seen_at:
            return
        self.last_seen_at = summarised_at
        self.lowest_version = summary.lowest_version
        self.members_digest = summary.members_digest
        self.load = summary.load
        if summary.distance_us:
            self.record_round_trip(summary.distance_us / 1e6)

    def as_summary(self, now: float) -> DataCentreSummary:
        """Return a summary to forward, with its age."""
        return DataCentreSummary(
            data_centre=self.name,
            age_ms=int(min(now - self.last_seen_at, 1_000_000) * 1000),
            configuration_version=self.version,
            lowest_version=self.lowest_version,
            # The hash of the known members, not the announced one: the
            # receiver fetches the members from this daemon.
            members_digest=self.known_digest,
            load=self.load,
            distance_us=(
                0
                if math.isinf(self.round_trip_s)
                else max(1, int(self.round_trip_s * 1e6))
            ),
        )


def parse_member(record: MemberRecord, now: float) -> Member | None:
    """Decode a member from a message; None if the record is invalid."""
    try:
        state = MemberState(record.state)
    except ValueError:
        # A newer release may define more states; the daemon is alive.
        state = MemberState.JOINING
    if not record.id or not record.data_centre or ':' not in record.address:
        return None
    return Member(
        id=DaemonId(record.id),
        data_centre=DataCentreName(record.data_centre),
        address=record.address,
        caller_address=record.caller_address,
        incarnation=record.incarnation,
        state=state,
        last_seen_at=now,
    )


def digest_members(members: Iterable[Member]) -> int:
    """Return a hash of the fields that other data centres need."""
    parts = sorted(
        f'{member.id} {member.incarnation} {member.effective_state:d}'
        f' {member.address} {member.caller_address}'
        for member in members
    )
    # Thrift integers are signed; 63 bits keep the hash positive.
    return xxhash.xxh3_64_intdigest('\n'.join(parts).encode()) >> 1


def rank(candidates: Iterable[DaemonId], key: str) -> list[DaemonId]:
    """Sort candidates by rendezvous hash with `key`, best first."""
    return sorted(
        candidates,
        key=lambda daemon: xxhash.xxh3_64_intdigest(
            f'{daemon} {key}'.encode()
        ),
        reverse=True,
    )
