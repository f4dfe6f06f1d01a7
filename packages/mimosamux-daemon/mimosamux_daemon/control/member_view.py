"""Queries on the members that this daemon knows."""

import math
from collections.abc import Callable

import anyio
from mimosamux_wire import DataCentreSummary, Heartbeat, MemberRecord

from mimosamux_daemon.control.members import (
    LINKS_PER_DATA_CENTRE,
    Member,
    MemberState,
    RemoteDataCentre,
    digest_members,
    rank,
)
from mimosamux_daemon.domain.names import DaemonId, DataCentreName

VersionListener = Callable[[DaemonId, int], None]


class MemberView:
    """The daemons that this daemon knows, itself included.

    The view does no I/O; `Membership` keeps it up to date.
    """

    def __init__(
        self,
        *,
        daemon: DaemonId,
        data_centre: DataCentreName,
        incarnation: int,
        address: Callable[[], str],
        caller_address: Callable[[], str],
        version: Callable[[], int],
        load: Callable[[], int],
    ) -> None:
        self.daemon = daemon
        self.data_centre = data_centre
        self.state = MemberState.JOINING
        self.incarnation = incarnation
        """Higher than that of any earlier process of this daemon."""
        self.changes = 0
        """Number of membership changes; versions and loads do not count."""
        self._address = address
        self._caller_address = caller_address
        self._version = version
        self._load = load
        self._members_by_id: dict[DaemonId, Member] = {}
        self._remotes_by_name: dict[DataCentreName, RemoteDataCentre] = {}
        self._gone_by_id: dict[DaemonId, tuple[Member, float]] = {}
        self._unreachable_until: dict[DaemonId, float] = {}
        self._links_cache_key = (-1, 0)
        self._links_cache: list[RemoteDataCentre] = []
        self._listeners: list[VersionListener] = []
        self._changed = anyio.Event()
        self._versions_changed = anyio.Event()

    @property
    def changed(self) -> anyio.Event:
        """Event that the next membership change sets and replaces."""
        return self._changed

    def incarnation_of(self, daemon: DaemonId) -> int | None:
        """Return the newest known incarnation of a daemon, if any."""
        if daemon == self.daemon:
            return self.incarnation
        known_members = [
            member
            for data_centre in self.data_centres()
            for member in self.known_members(data_centre)
            if member.id == daemon
        ]
        return max(
            (member.incarnation for member in known_members), default=None
        )

    def recently_gone(self) -> tuple[DaemonId, ...]:
        """Return local daemons that failure detection removed recently."""
        return tuple(self._gone_by_id)

    def members(self, data_centre: DataCentreName) -> tuple[DaemonId, ...]:
        """Return the ready daemons of a data centre, sorted."""
        found = [
            member.id
            for member in self.known_members(data_centre)
            if self.state_of(member.id) is MemberState.READY
        ]
        return tuple(sorted(found))

    def known_members(self, data_centre: DataCentreName) -> tuple[Member, ...]:
        """Return all known daemons of a data centre, in any state."""
        if data_centre == self.data_centre:
            return (self._own_member(), *self._members_by_id.values())
        remote = self._remotes_by_name.get(data_centre)
        return tuple(remote.members_by_id.values()) if remote else ()

    def data_centres(self) -> tuple[DataCentreName, ...]:
        """Return all known data centres: the local one, then by name."""
        return (self.data_centre, *sorted(self._remotes_by_name))

    def round_trip_to(self, data_centre: DataCentreName) -> float:
        """Return the round-trip time in seconds; infinite if unmeasured."""
        if data_centre == self.data_centre:
            return 0.0
        remote = self._remotes_by_name.get(data_centre)
        return remote.round_trip_s if remote else math.inf

    def state_of(self, daemon: DaemonId) -> MemberState:
        """Return the state of a daemon; an unknown one is GONE.

        Daemons of a data centre without a fresh summary are SUSPECTED.
        """
        if daemon == self.daemon:
            return self.state
        member = self._members_by_id.get(daemon)
        if member is not None:
            return member.effective_state
        now = anyio.current_time()
        for remote in self._remotes_by_name.values():
            member = remote.members_by_id.get(daemon)
            if member is not None:
                is_stale = remote.is_stale(now)
                return (
                    MemberState.SUSPECTED
                    if is_stale
                    else member.effective_state
                )
        return MemberState.GONE

    def is_gone(self, daemon: DaemonId) -> bool:
        """Return whether a daemon is gone or unknown."""
        return self.state_of(daemon) is MemberState.GONE

    def data_centre_of(self, daemon: DaemonId) -> DataCentreName | None:
        """Return the data centre of a daemon; None if it is unknown."""
        if daemon == self.daemon or daemon in self._members_by_id:
            return self.data_centre
        for name, remote in self._remotes_by_name.items():
            if daemon in remote.members_by_id:
                return name
        return None

    def versions_by_daemon(self) -> dict[str, int]:
        """Return configuration versions by local daemon and data centre.

        The version of another data centre is the lowest of its ready
        daemons. Local daemons that are not ready and data centres without
        a fresh summary or a ready daemon are left out.
        """
        now = anyio.current_time()
        held: dict[str, int] = {self.daemon: self._version()}
        for member in self._members_by_id.values():
            if member.effective_state is MemberState.READY:
                held[member.id] = member.version
        for remote in self._remotes_by_name.values():
            if not remote.is_stale(now) and remote.lowest_version >= 0:
                held[remote.name] = remote.lowest_version
        return held

    def local_peers(self) -> tuple[DaemonId, ...]:
        """Return the other known daemons of this data centre."""
        return tuple(self._members_by_id)

    def remote_targets(self) -> tuple[DaemonId, ...]:
        """Return the daemon to contact in each linked data centre."""
        targets = [
            self._link_target(remote) for remote in self._linked_data_centres()
        ]
        return tuple(target for target in targets if target is not None)

    def is_poller(self) -> bool:
        """Return whether this daemon polls for its data centre.

        The poller is the live local daemon with the highest rank.
        """
        ranked = rank(self._live_local_daemons(), f'poller {self.data_centre}')
        return ranked[0] == self.daemon

    def add_version_listener(self, listener: VersionListener) -> None:
        """Call `listener` with each configuration version a peer sends."""
        self._listeners.append(listener)

    async def wait_for_change(self, seen: int) -> int:
        """Wait until `changes` exceeds `seen`; return its value."""
        while self.changes <= seen:
            await self._changed.wait()
        return self.changes

    async def wait_for_version(self, version: int) -> None:
        """Wait until all reachable ready daemons hold a version."""
        while min(self.versions_by_daemon().values()) < version:
            await self._versions_changed.wait()

    def _own_record(self) -> MemberRecord:
        return self._own_member().as_record()

    def _own_member(self) -> Member:
        return Member(
            id=self.daemon,
            data_centre=self.data_centre,
            address=self._address(),
            caller_address=self._caller_address(),
            incarnation=self.incarnation,
            state=self.state,
            last_seen_at=anyio.current_time(),
            version=self._version(),
            load=self._load(),
        )

    def _heartbeat(self) -> Heartbeat:
        now = anyio.current_time()
        return Heartbeat(
            sender=self._own_record(),
            configuration_version=self._version(),
            load=self._load(),
            suspects=[
                member.id
                for member in self._members_by_id.values()
                if member.is_suspected
            ],
            summaries=[
                remote.as_summary(now)
                for remote in self._linked_data_centres()
            ],
        )

    def _own_summary(self) -> DataCentreSummary:
        members = self.known_members(self.data_centre)
        ready = [m for m in members if m.effective_state is MemberState.READY]
        return DataCentreSummary(
            data_centre=self.data_centre,
            configuration_version=self._version(),
            lowest_version=min((m.version for m in ready), default=-1),
            members_digest=digest_members(members),
            load=sum(m.load for m in ready) // max(1, len(ready)),
        )

    def _live_local_daemons(self) -> list[DaemonId]:
        live = [
            member.id
            for member in self._members_by_id.values()
            if member.effective_state
            in (MemberState.READY, MemberState.JOINING)
        ]
        return [self.daemon, *live]

    def _linked_data_centres(self) -> list[RemoteDataCentre]:
        """Return the data centres with which this daemon exchanges summaries.

        The result is cached until the membership changes.
        """
        # Without the cache, ranking 11 daemons for 31 data centres takes
        # most of the time of each heartbeat.
        state = (self.changes, len(self._remotes_by_name))
        if self._links_cache_key != state:
            live = self._live_local_daemons()
            self._links_cache_key = state
            self._links_cache = [
                remote
                for remote in self._remotes_by_name.values()
                if self.daemon
                in rank(live, remote.name)[:LINKS_PER_DATA_CENTRE]
            ]
        return self._links_cache

    def _link_target(self, remote: RemoteDataCentre) -> DaemonId | None:
        now = anyio.current_time()
        candidates = [
            member.id
            for member in remote.members_by_id.values()
            if member.state in (MemberState.READY, MemberState.JOINING)
        ]
        ranked = rank(candidates, self.daemon)
        for daemon in ranked:
            if self._unreachable_until.get(daemon, 0.0) <= now:
                return daemon
        return ranked[0] if ranked else None

    def _notify_version_listeners(
        self, daemon: DaemonId, version: int
    ) -> None:
        self._versions_changed.set()
        self._versions_changed = anyio.Event()
        for listener in self._listeners:
            listener(daemon, version)

    def _record_change(self) -> None:
        self.changes += 1
        self._changed.set()
        self._changed = anyio.Event()
