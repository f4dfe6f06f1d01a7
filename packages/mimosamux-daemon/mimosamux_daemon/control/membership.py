"""Which daemons there are: heartbeats, summaries, and who is suspected.

Daemons of a data centre send each other heartbeats directly. Of another
data centre a daemon hears through the two of its own that keep a link
there: their heartbeats carry a summary of it, and the members are fetched
only when the digest in the summary is new.
"""

import math
import random
import time
from collections.abc import Awaitable, Callable, Coroutine, Sequence
from typing import Any

import anyio
import anyio.abc
from mimosamux_wire import (
    DataCentreSummary,
    Heartbeat,
    MemberRecord,
    MembersFetch,
    MembersKnown,
    Message,
    SummaryExchange,
    Superseded,
)

from mimosamux_daemon.control.members import (
    GONE_AFTER_S,
    LINKS_PER_DATA_CENTRE,
    Member,
    MemberState,
    RemoteDataCentre,
    digest_members,
    parse_member,
    rank,
)
from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import PeerLinks, PeerUnavailable
from mimosamux_daemon.settings import PeerAddress

log = get_log('membership')

HEARTBEAT_S = 1.0
SUMMARY_S = 2.0
TICK_S = 0.5
PAUSE_S = 1.0
"""A tick that comes so much too late means that this daemon stood still."""
INTRODUCE_S = 5.0
CALL_TIMEOUT_S = 2.0
AVOID_S = 6.0
"""A peer of another data centre that did not answer is avoided so long."""
REMEMBER_GONE_S = 600.0

VersionListener = Callable[[DaemonId, int], None]


class Membership:
    """The daemons that this one knows, itself among them."""

    def __init__(
        self,
        *,
        daemon: DaemonId,
        data_centre: DataCentreName,
        address: Callable[[], str],
        caller_address: Callable[[], str],
        peers: PeerLinks,
        seeds: Callable[[], Sequence[PeerAddress]],
        version: Callable[[], int],
        load: Callable[[], int] = lambda: 0,
        wall_clock: Callable[[], float] = time.time,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self.daemon = daemon
        self.data_centre = data_centre
        self.state = MemberState.JOINING
        self.incarnation = int(wall_clock() * 1000)
        """Higher than that of an earlier process of the same name."""
        self.joined = anyio.Event()
        """Set once a seed has answered, or none of them did twice."""
        self.superseded = anyio.Event()
        """Set when a newer process runs under this name: stop then."""
        self.times_suspected = 0
        """How often peers said that they had suspected this daemon."""
        self.left_at: float | None = None
        """Time of `anyio.current_time` at which `leave` was called."""
        self.changes = 0
        self._address = address
        self._caller_address = caller_address
        self._peers = peers
        self._seeds = seeds
        self._version = version
        self._load = load
        self._sleep = sleep
        self._members_by_id: dict[DaemonId, Member] = {}
        self._remotes_by_name: dict[DataCentreName, RemoteDataCentre] = {}
        self._gone_by_id: dict[DaemonId, tuple[Member, float]] = {}
        self._avoided_until: dict[DaemonId, float] = {}
        self._linked_at = (-1, 0)
        self._linked_now: list[RemoteDataCentre] = []
        self._fetching: set[DataCentreName] = set()
        self._listeners: list[VersionListener] = []
        self._changed = anyio.Event()
        self._versions_changed = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None
        peers.handle(Heartbeat, self._take_heartbeat)
        peers.handle(SummaryExchange, self._take_summary)
        peers.handle(MembersFetch, self._answer_fetch)
        peers.handle(Superseded, self._take_superseded)

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
            if not remote.is_stale(now):
                held[remote.name] = remote.lowest_version
        return held

    def highest_version(self) -> int:
        """Return the highest version that any peer is known to hold."""
        versions = [member.version for member in self._members_by_id.values()]
        versions += [item.version for item in self._remotes_by_name.values()]
        return max(versions, default=0)

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

    def become_ready(self) -> None:
        """Say from now on that this daemon serves."""
        if self.state is MemberState.JOINING:
            self.state = MemberState.READY
            self._note_change()

    async def leave(self) -> None:
        """Say at once that this daemon is about to stop."""
        self.state = MemberState.LEAVING
        self.left_at = anyio.current_time()
        self._note_change()
        heartbeat = self._heartbeat()
        for daemon in self.local_peers():
            await self._peers.notify(daemon, heartbeat)
        message = SummaryExchange(
            sender=self._record(), summary=self._own_summary()
        )
        for daemon in self.remote_targets():
            await self._peers.notify(daemon, message)

    async def run(self) -> None:
        """Send signs of life and watch those of others until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for member in self._members_by_id.values():
                tasks.start_soon(self._beat, member.id)
            for name in self._remotes_by_name:
                tasks.start_soon(self._exchange, name)
            tasks.start_soon(self._introduce)
            tasks.start_soon(self._watch)

    async def _beat(self, daemon: DaemonId) -> None:
        while daemon in self._members_by_id:
            await self._peers.notify(daemon, self._heartbeat())
            await self._sleep(HEARTBEAT_S * random.uniform(0.95, 1.05))

    async def _introduce(self) -> None:
        rounds = 0
        while True:
            for seed in self._unknown_seeds():
                self._peers.set_address(seed.id, seed.address)
                if await self._fetch(seed.id, DataCentreName('')):
                    self.joined.set()
                elif self.joined.is_set():
                    break
            rounds += 1
            if rounds >= 2 or not self._seeds():
                self.joined.set()
            wait_s = INTRODUCE_S if self.joined.is_set() else HEARTBEAT_S
            await self._sleep(wait_s * random.uniform(0.7, 1.3))

    def _unknown_seeds(self) -> list[PeerAddress]:
        # Daemons that went and came back, or that were cut off until
        # both sides forgot each other, find together again by this.
        seeds = {seed.id: seed for seed in self._seeds()}
        for daemon, (member, _) in self._gone_by_id.items():
            known = PeerAddress(id=daemon, address=member.address)
            seeds.setdefault(daemon, known)
        unknown = [
            seed
            for seed in seeds.values()
            if seed.id != self.daemon
            and self.state_of(seed.id)
            in (MemberState.GONE, MemberState.SUSPECTED)
        ]
        random.shuffle(unknown)
        return unknown

    async def _watch(self) -> None:
        last = anyio.current_time()
        while True:
            await self._sleep(TICK_S)
            now = anyio.current_time()
            late_s = now - last - TICK_S
            last = now
            if late_s > PAUSE_S:
                self._forgive(late_s)
            self._suspect_silent(now)

    def _forgive(self, late_s: float) -> None:
        # This daemon stood still and heard nobody meanwhile. Without this
        # it would wake up and suspect everybody at once.
        log.warning('was_paused', seconds=round(late_s, 3))
        for member in self._members_by_id.values():
            member.heard_at += late_s
        for remote in self._remotes_by_name.values():
            remote.heard_at += late_s

    def _suspect_silent(self, now: float) -> None:
        for member in tuple(self._members_by_id.values()):
            silence = now - member.heard_at
            if silence > member.suspect_after_s + GONE_AFTER_S:
                self._bury(member, now)
            elif silence > member.suspect_after_s and not member.is_suspected:
                member.is_suspected = True
                log.warning('suspected', peer=member.id, silence_s=silence)
                self._note_change()
        for daemon, (_, since) in tuple(self._gone_by_id.items()):
            if now - since > REMEMBER_GONE_S:
                del self._gone_by_id[daemon]

    def _bury(self, member: Member, now: float) -> None:
        log.warning('gone', peer=member.id)
        self._members_by_id.pop(member.id, None)
        self._gone_by_id[member.id] = (member, now)
        self._peers.forget(member.id)
        self._note_change()

    async def _exchange(self, name: DataCentreName) -> None:
        while name in self._remotes_by_name:
            await self._sleep(SUMMARY_S * random.uniform(0.9, 1.1))
            remote = self._remotes_by_name[name]
            target = self._target_in(remote)
            if target is None or remote not in self._linked():
                continue
            message = SummaryExchange(
                sender=self._record(), summary=self._own_summary()
            )
            sent_at = anyio.current_time()
            answer = await self._peers.call(
                target, message, timeout_s=CALL_TIMEOUT_S
            )
            if isinstance(answer, SummaryExchange):
                remote.note_distance(anyio.current_time() - sent_at)
                self._note_summary(answer.summary, target)
            else:
                until = anyio.current_time() + AVOID_S
                self._avoided_until[target] = until

    # What comes in.

    async def _take_heartbeat(
        self, sender: DaemonId, message: Heartbeat
    ) -> None:
        member = self._welcome(sender, message.sender)
        if member is None:
            return
        now = anyio.current_time()
        if member.is_suspected:
            # It learns that it was suspected, in case that it was only
            # paused and holds something that others may have taken over.
            await self._peers.notify(sender, self._heartbeat())
            log.info('back', peer=sender)
            self._note_change()
        member.hear(now)
        member.version = max(member.version, message.configuration_version)
        member.load = message.load
        if self.daemon in message.suspects:
            self.times_suspected += 1
            log.warning('was_suspected', by=sender)
        self._tell_version(sender, message.configuration_version)
        for summary in message.summaries:
            self._note_summary(summary, sender)

    async def _take_summary(
        self, sender: DaemonId, message: SummaryExchange
    ) -> Message:
        name = DataCentreName(message.sender.data_centre)
        if sender == message.sender.id and name != self.data_centre:
            self._peers.set_address(sender, message.sender.address)
            self._note_summary(message.summary, sender)
        return SummaryExchange(
            sender=self._record(), summary=self._own_summary()
        )

    async def _answer_fetch(
        self, sender: DaemonId, message: MembersFetch
    ) -> Message:
        is_local = message.sender.data_centre == self.data_centre
        if is_local:
            self._welcome(sender, message.sender)
        now = anyio.current_time()
        wanted = message.data_centre
        names = [DataCentreName(wanted)] if wanted else self.data_centres()
        remotes = [
            self._remotes_by_name[name]
            for name in names
            if name in self._remotes_by_name
        ]
        summaries = [remote.as_summary(now) for remote in remotes]
        if self.data_centre in names:
            summaries.append(self._own_summary())
        return MembersKnown(
            members=[
                member.as_record()
                for name in names
                for member in self.known(name)
            ],
            summaries=summaries,
        )

    async def _take_superseded(
        self, sender: DaemonId, message: Superseded
    ) -> None:
        if message.incarnation <= self.incarnation:
            return
        if self.state is MemberState.JOINING:
            # This is the newer process, on a machine whose clock is
            # behind its predecessor's.
            self.incarnation = message.incarnation + 1
            return
        log.error('superseded', by=sender)
        self.superseded.set()

    def _welcome(
        self, sender: DaemonId, record: MemberRecord
    ) -> Member | None:
        """Return the live member that a record states, if it is one."""
        now = anyio.current_time()
        stated = parse_member(record, now)
        if (
            stated is None
            or stated.id != sender
            or stated.data_centre != self.data_centre
        ):
            return None
        known = self._members_by_id.get(sender)
        gone, _ = self._gone_by_id.get(sender, (None, 0.0))
        newest = known or gone
        if newest is not None and newest.incarnation > stated.incarnation:
            self._start(
                self._peers.notify,
                sender,
                Superseded(incarnation=newest.incarnation),
            )
            return None
        if known is None or known.incarnation < stated.incarnation:
            self._add(stated, is_back=gone is not None)
            if gone is not None and gone.incarnation == stated.incarnation:
                stated.is_suspected = True
            return stated
        if known.state is not stated.state:
            known.state = stated.state
            self._note_change()
        if known.caller_address != stated.caller_address:
            known.caller_address = stated.caller_address
            self._note_change()
        return known

    def _add(self, member: Member, *, is_back: bool) -> None:
        is_new = member.id not in self._members_by_id
        self._gone_by_id.pop(member.id, None)
        self._members_by_id[member.id] = member
        self._peers.set_address(member.id, member.address)
        log.info('joined', peer=member.id, is_back=is_back)
        self._note_change()
        if is_new:
            self._start(self._beat, member.id)

    def _note_summary(self, summary: DataCentreSummary, via: DaemonId) -> None:
        name = DataCentreName(summary.data_centre)
        if not name or name == self.data_centre:
            return
        now = anyio.current_time()
        remote = self._remotes_by_name.get(name)
        if remote is None:
            remote = self._add_remote(name)
        was_stale = remote.is_stale(now)
        remote.take_summary(summary, now)
        if was_stale is not remote.is_stale(now):
            self._note_change()
        self._tell_version(via, summary.configuration_version)
        if remote.wants_members(now) and name not in self._fetching:
            remote.fetched_at = now
            self._fetching.add(name)
            self._start(self._refresh, via, name)

    def _add_remote(self, name: DataCentreName) -> RemoteDataCentre:
        remote = RemoteDataCentre(name=name)
        self._remotes_by_name[name] = remote
        self._start(self._exchange, name)
        return remote

    async def _refresh(self, via: DaemonId, name: DataCentreName) -> None:
        try:
            await self._fetch(via, name)
        finally:
            self._fetching.discard(name)

    async def _fetch(self, via: DaemonId, name: DataCentreName) -> bool:
        message = MembersFetch(sender=self._record(), data_centre=name)
        answer = await self._peers.call(via, message, timeout_s=CALL_TIMEOUT_S)
        if isinstance(answer, PeerUnavailable):
            return False
        if isinstance(answer, MembersKnown):
            self._take_members(answer)
            for summary in answer.summaries:
                self._note_summary(summary, via)
        return True

    def _take_members(self, answer: MembersKnown) -> None:
        now = anyio.current_time()
        by_name: dict[DataCentreName, list[Member]] = {}
        for record in answer.members:
            member = parse_member(record, now)
            if member is not None:
                by_name.setdefault(member.data_centre, []).append(member)
        for name, members in by_name.items():
            if name == self.data_centre:
                self._take_local(members)
            else:
                self._take_remote(name, members)

    def _take_local(self, members: Sequence[Member]) -> None:
        for member in members:
            is_known = member.id in self._members_by_id
            is_dead = member.state in (
                MemberState.SUSPECTED,
                MemberState.GONE,
            )
            if member.id == self.daemon or is_known or is_dead:
                continue
            if member.id not in self._gone_by_id:
                self._add(member, is_back=False)

    def _take_remote(
        self, name: DataCentreName, members: Sequence[Member]
    ) -> None:
        remote = self._remotes_by_name.get(name) or self._add_remote(name)
        for daemon in remote.members_by_id.keys() - {m.id for m in members}:
            self._peers.forget(daemon)
        remote.take_members(members)
        for member in members:
            self._peers.set_address(member.id, member.address)
        self._note_change()

    # What goes out.

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
            lowest_version=min((m.version for m in ready), default=0),
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

    def _start(
        self,
        function: Callable[..., Coroutine[Any, Any, None]],
        *arguments: object,
    ) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, *arguments)
