"""What one daemon knows of the others: states, no I/O."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import IntEnum

import xxhash
from mimosamux_wire import DataCentreSummary, MemberRecord

from mimosamux_daemon.domain.names import DaemonId, DataCentreName

SUSPECT_MIN_S = 3.0
SUSPECT_MAX_S = 10.0
DEVIATIONS = 4.0
"""Silence above mean and so many deviations of the interval is suspect."""
INTERVAL_WEIGHT = 0.1
"""Weight of the newest interval in the moving mean and deviation."""
DISTANCE_WEIGHT = 0.1
GONE_AFTER_S = 10.0
"""A daemon that was suspected for so long is gone."""
REMOTE_STALE_S = 8.0
"""A data centre not heard of for so long is suspected as a whole."""
FETCH_PAUSE_S = 1.0
LINKS_PER_DATA_CENTRE = 2


class MemberState(IntEnum):
    """State of a daemon; the numbers go over the wire."""

    JOINING = 1
    READY = 2
    LEAVING = 3
    SUSPECTED = 4
    GONE = 5


@dataclass(kw_only=True, slots=True)
class Member:
    """A daemon as this one knows it."""

    id: DaemonId
    data_centre: DataCentreName
    address: str
    caller_address: str
    incarnation: int
    state: MemberState
    """As the daemon itself, or one of its data centre, stated it."""
    heard_at: float
    version: int = 0
    load: int = 0
    is_suspected: bool = False
    interval_s: float = 1.0
    deviation_s: float = 0.1

    @property
    def suspect_after_s(self) -> float:
        """Silence after which the daemon is suspected."""
        usual = self.interval_s + DEVIATIONS * self.deviation_s
        return min(SUSPECT_MAX_S, max(SUSPECT_MIN_S, 2 * usual))

    @property
    def observed(self) -> MemberState:
        """The state with what was observed from here."""
        return MemberState.SUSPECTED if self.is_suspected else self.state

    def hear(self, now: float) -> None:
        """Note a sign of life."""
        if not self.is_suspected:
            interval = now - self.heard_at
            off = abs(interval - self.interval_s)
            self.interval_s += INTERVAL_WEIGHT * (interval - self.interval_s)
            self.deviation_s += INTERVAL_WEIGHT * (off - self.deviation_s)
        self.is_suspected = False
        self.heard_at = now

    def as_record(self) -> MemberRecord:
        """Return the member as messages state it."""
        return MemberRecord(
            id=self.id,
            data_centre=self.data_centre,
            address=self.address,
            caller_address=self.caller_address,
            incarnation=self.incarnation,
            state=self.observed,
        )


@dataclass(kw_only=True, slots=True)
class RemoteDataCentre:
    """Another data centre as its summaries describe it."""

    name: DataCentreName
    heard_at: float = -math.inf
    version: int = 0
    lowest_version: int = 0
    members_digest: int = 0
    """As the newest summary states it."""
    load: int = 0
    distance_s: float = math.inf
    """Smoothed round trip to it from this data centre."""
    members_by_id: dict[DaemonId, Member] = field(default_factory=dict)
    held_digest: int = 0
    """Of the members that are held."""
    fetched_at: float = -math.inf
    """When members were last asked for."""

    def wants_members(self, now: float) -> bool:
        """Tell whether to fetch the members that a summary announced.

        Daemons there may disagree for a while, so that the digest goes
        back and forth; without a pause each summary would cost a fetch.
        """
        is_new = self.members_digest != self.held_digest
        return is_new and now - self.fetched_at >= FETCH_PAUSE_S

    def take_members(self, members: Iterable[Member]) -> None:
        """Hold these members in place of those held before."""
        self.members_by_id = {member.id: member for member in members}
        self.held_digest = digest_members(self.members_by_id.values())

    def is_stale(self, now: float) -> bool:
        """Tell whether the data centre was not heard of for too long."""
        return now - self.heard_at > REMOTE_STALE_S

    def note_distance(self, seconds: float) -> None:
        """Note a measured round trip."""
        if math.isinf(self.distance_s):
            self.distance_s = seconds
        self.distance_s += DISTANCE_WEIGHT * (seconds - self.distance_s)

    def take_summary(self, summary: DataCentreSummary, now: float) -> None:
        """Take a summary unless a fresher one is held."""
        stated_at = now - summary.age_ms / 1000
        self.version = max(self.version, summary.configuration_version)
        if stated_at < self.heard_at:
            return
        self.heard_at = stated_at
        self.lowest_version = summary.lowest_version
        self.members_digest = summary.members_digest
        self.load = summary.load
        if summary.distance_us:
            self.note_distance(summary.distance_us / 1e6)

    def as_summary(self, now: float) -> DataCentreSummary:
        """Return what is known, with its age."""
        return DataCentreSummary(
            data_centre=self.name,
            age_ms=int(min(now - self.heard_at, 1_000_000) * 1000),
            configuration_version=self.version,
            lowest_version=self.lowest_version,
            # Of what is held, not of what was stated: others fetch here.
            members_digest=self.held_digest,
            load=self.load,
            distance_us=(
                0
                if math.isinf(self.distance_s)
                else max(1, int(self.distance_s * 1e6))
            ),
        )


def parse_member(record: MemberRecord, now: float) -> Member | None:
    """Return the member that a record states, None if it states none."""
    try:
        state = MemberState(record.state)
    except ValueError:
        # A newer daemon may know more states; it is alive at least.
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
        heard_at=now,
    )


def digest_members(members: Iterable[Member]) -> int:
    """Return a hash of all that other data centres need to know."""
    parts = sorted(
        f'{member.id} {member.incarnation} {member.observed:d}'
        f' {member.address} {member.caller_address}'
        for member in members
    )
    # Thrift's integers are signed; one bit less keeps it positive.
    return xxhash.xxh3_64_intdigest('\n'.join(parts).encode()) >> 1


def rank(candidates: Iterable[DaemonId], key: str) -> list[DaemonId]:
    """Return candidates by rendezvous hash with `key`, best first."""
    return sorted(
        candidates,
        key=lambda daemon: xxhash.xxh3_64_intdigest(
            f'{daemon} {key}'.encode()
        ),
        reverse=True,
    )
