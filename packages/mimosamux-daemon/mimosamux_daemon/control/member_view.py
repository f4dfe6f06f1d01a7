"""What this daemon knows of the others, and the questions on it."""

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
    """The daemons that this one knows, itself among them.

    Nothing here talks to anybody; `Membership` keeps it up to date.
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
        """Higher than that of an earlier process of the same name."""
        self.changes = 0
        """How often anything but versions and loads has changed."""
        self._address = address
        self._caller_address = caller_address
        self._version = version
        self._load = load
        self._members_by_id: dict[DaemonId, Member] = {}
        self._remotes_by_name: dict[DataCentreName, RemoteDataCentre] = {}
        self._gone_by_id: dict[DaemonId, tuple[Member, float]] = {}
        self._avoided_until: dict[DaemonId, float] = {}
        self._linked_at = (-1, 0)
        self._linked_now: list[RemoteDataCentre] = []
        self._listeners: list[VersionListener] = []
        self._changed = anyio.Event()
        self._versions_changed = anyio.Event()

    @property
    def changed(self) -> anyio.Event:
        """Event that the next change of membership sets."""
        return self._changed

    def incarnation_of(self, daemon: DaemonId) -> int | None:
        """Return which process of a daemon runs, None if none is known."""
        if daemon == self.daemon:
            return self.incarnation
        known = [
            member
            for data_centre in self.data_centres()
            for member in self.known(data_centre)
            if member.id == daemon
        ]
        return max((member.incarnation for member in known), default=None)

    def gone(self) -> tuple[DaemonId, ...]:
        """Return the daemons of this data centre that went lately."""
        return tuple(self._gone_by_id)

    def members(self, data_centre: DataCentreName) -> tuple[DaemonId, ...]:
        """Return the ready daemons of a data centre, sorted."""
        found = [
            member.id
            for member in self.known(data_centre)
            if self.state_of(member.id) is MemberState.READY
        ]
        return tuple(sorted(found))

    def known(self, data_centre: DataCentreName) -> tuple[Member, ...]:
        """Return every daemon known there, this one included."""
        if data_centre == self.data_centre:
            return (self._myself(), *self._members_by_id.values())
        remote = self._remotes_by_name.get(data_centre)
        return tuple(remote.members_by_id.values()) if remote else ()

    def data_centres(self) -> tuple[DataCentreName, ...]:
        """Return every data centre known, this one first."""
        return (self.data_centre, *sorted(self._remotes_by_name))

    def distance_to(self, data_centre: DataCentreName) -> float:
        """Return the round trip in seconds; infinite if not measured."""
        if data_centre == self.data_centre:
            return 0.0
        remote = self._remotes_by_name.get(data_centre)
        return remote.distance_s if remote else math.inf

    def state_of(self, daemon: DaemonId) -> MemberState:
        """Return the state of a daemon; one never heard of is gone."""
        if daemon == self.daemon:
            return self.state
        member = self._members_by_id.get(daemon)
        if member is not None:
            return member.observed
        now = anyio.current_time()
        for remote in self._remotes_by_name.values():
            member = remote.members_by_id.get(daemon)
            if member is not None:
                is_stale = remote.is_stale(now)
                return MemberState.SUSPECTED if is_stale else member.observed
        return MemberState.GONE

    def is_gone(self, daemon: DaemonId) -> bool:
        """Tell whether a daemon is gone for good."""
        return self.state_of(daemon) is MemberState.GONE

    def data_centre_of(self, daemon: DaemonId) -> DataCentreName | None:
        """Return where a daemon is."""
        if daemon == self.daemon or daemon in self._members_by_id:
            return self.data_centre
        for name, remote in self._remotes_by_name.items():
            if daemon in remote.members_by_id:
                return name
        return None

    def versions_by_daemon(self) -> dict[str, int]:
        """Return versions held: local daemons, other data centres.

        Of another data centre it is the lowest of its ready daemons.
        Those that are suspected are left out.
        """
        now = anyio.current_time()
        held: dict[str, int] = {self.daemon: self._version()}
        for member in self._members_by_id.values():
            if member.observed is MemberState.READY:
                held[member.id] = member.version
        for remote in self._remotes_by_name.values():
            if not remote.is_stale(now) and remote.lowest_version >= 0:
                held[remote.name] = remote.lowest_version
        return held

    def local_peers(self) -> tuple[DaemonId, ...]:
        """Return the other daemons of this data centre."""
        return tuple(self._members_by_id)

    def remote_targets(self) -> tuple[DaemonId, ...]:
        """Return the peers elsewhere to which this daemon keeps links."""
        targets = [self._target_in(remote) for remote in self._linked()]
        return tuple(target for target in targets if target is not None)

    def is_poller(self) -> bool:
        """Tell whether this daemon asks the table for its data centre."""
        ranked = rank(self._live_here(), f'poller {self.data_centre}')
        return ranked[0] == self.daemon

    def listen_versions(self, listener: VersionListener) -> None:
        """Have the configuration versions of peers told as they come."""
        self._listeners.append(listener)

    async def wait_change(self, seen: int) -> int:
        """Return `changes` once it is above `seen`."""
        while self.changes <= seen:
            await self._changed.wait()
        return self.changes

    async def wait_held(self, version: int) -> None:
        """Return once all reachable ready daemons hold a version."""
        while min(self.versions_by_daemon().values()) < version:
            await self._versions_changed.wait()

    def _record(self) -> MemberRecord:
        return self._myself().as_record()

    def _myself(self) -> Member:
        return Member(
            id=self.daemon,
            data_centre=self.data_centre,
            address=self._address(),
            caller_address=self._caller_address(),
            incarnation=self.incarnation,
            state=self.state,
            heard_at=anyio.current_time(),
            version=self._version(),
            load=self._load(),
        )

    def _heartbeat(self) -> Heartbeat:
        now = anyio.current_time()
        return Heartbeat(
            sender=self._record(),
            configuration_version=self._version(),
            load=self._load(),
            suspects=[
                member.id
                for member in self._members_by_id.values()
                if member.is_suspected
            ],
            summaries=[remote.as_summary(now) for remote in self._linked()],
        )

    def _own_summary(self) -> DataCentreSummary:
        members = self.known(self.data_centre)
        ready = [m for m in members if m.observed is MemberState.READY]
        return DataCentreSummary(
            data_centre=self.data_centre,
            configuration_version=self._version(),
            lowest_version=min((m.version for m in ready), default=-1),
            members_digest=digest_members(members),
            load=sum(m.load for m in ready) // max(1, len(ready)),
        )

    def _live_here(self) -> list[DaemonId]:
        live = [
            member.id
            for member in self._members_by_id.values()
            if member.observed in (MemberState.READY, MemberState.JOINING)
        ]
        return [self.daemon, *live]

    def _linked(self) -> list[RemoteDataCentre]:
        """Return the data centres to which this daemon keeps a link."""
        # Ranking 11 daemons for 31 data centres at each heartbeat took
        # more time than everything else in it.
        state = (self.changes, len(self._remotes_by_name))
        if self._linked_at != state:
            live = self._live_here()
            self._linked_at = state
            self._linked_now = [
                remote
                for remote in self._remotes_by_name.values()
                if self.daemon
                in rank(live, remote.name)[:LINKS_PER_DATA_CENTRE]
            ]
        return self._linked_now

    def _target_in(self, remote: RemoteDataCentre) -> DaemonId | None:
        now = anyio.current_time()
        candidates = [
            member.id
            for member in remote.members_by_id.values()
            if member.state in (MemberState.READY, MemberState.JOINING)
        ]
        ranked = rank(candidates, self.daemon)
        for daemon in ranked:
            if self._avoided_until.get(daemon, 0.0) <= now:
                return daemon
        return ranked[0] if ranked else None

    def _tell_version(self, daemon: DaemonId, version: int) -> None:
        self._versions_changed.set()
        self._versions_changed = anyio.Event()
        for listener in self._listeners:
            listener(daemon, version)

    def _note_change(self) -> None:
        self.changes += 1
        self._changed.set()
        self._changed = anyio.Event()
