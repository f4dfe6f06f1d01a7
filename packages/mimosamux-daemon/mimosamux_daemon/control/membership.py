"""Membership and failure detection by heartbeats and summaries.

Daemons of a data centre send each other heartbeats directly. Two daemons
of each data centre exchange summaries with each other data centre. Their
heartbeats forward these summaries to the daemons of their own data centre,
which fetch the members only when the hash in a summary has changed.
"""

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

from mimosamux_daemon.control.member_view import MemberView
from mimosamux_daemon.control.members import (
    GONE_AFTER_S,
    Member,
    MemberState,
    RemoteDataCentre,
    parse_member,
)
from mimosamux_daemon.domain.names import DaemonId, DataCentreName
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import PeerLinks, PeerUnavailable
from mimosamux_daemon.settings import PeerAddress

log = get_log('membership')

HEARTBEAT_INTERVAL_S = 1.0
"""Mean interval of heartbeats to each daemon of the data centre."""
SUMMARY_INTERVAL_S = 2.0
"""Mean interval of summary exchanges with each linked data centre."""
CHECK_INTERVAL_S = 0.5
"""Interval of the checks for missing heartbeats."""
MIN_PAUSE_S = 1.0
"""A check delayed by more than this means that this process was paused."""
SEED_INTERVAL_S = 5.0
"""Mean interval at which a joined daemon contacts one unreachable seed."""
JOIN_ROUNDS = 2
"""Rounds of contacting seeds after which a daemon joins without any."""
MAX_SEEDS_PER_ROUND = 16
"""Maximum number of seeds that a round contacts, all concurrently."""
CALL_TIMEOUT_S = 2.0
"""Time-out of a summary exchange or a fetch."""
UNREACHABLE_S = 6.0
"""Time for which a remote peer that did not answer is avoided."""
GONE_RETENTION_S = 600.0
"""Time for which the address and incarnation of a gone daemon are kept."""


class Membership(MemberView):
    """Exchanges heartbeats and summaries to keep the view up to date."""

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
        super().__init__(
            daemon=daemon,
            data_centre=data_centre,
            incarnation=int(wall_clock() * 1000),
            address=address,
            caller_address=caller_address,
            version=version,
            load=load,
        )
        self.joined = anyio.Event()
        """Set once a seed has answered, or all `JOIN_ROUNDS` have failed."""
        self.superseded = anyio.Event()
        """Set when a newer process runs under this id; this one must stop."""
        self.times_suspected = 0
        """Number of heartbeats in which a peer suspected this daemon."""
        self.left_at: float | None = None
        """Time (`anyio.current_time`) at which `leave` was called."""
        self._peers = peers
        self._seeds = seeds
        self._sleep = sleep
        self._fetching: set[DataCentreName] = set()
        self._tasks: anyio.abc.TaskGroup | None = None
        peers.handle(Heartbeat, self._handle_heartbeat)
        peers.handle(SummaryExchange, self._handle_summary)
        peers.handle(MembersFetch, self._handle_fetch)
        peers.handle(Superseded, self._handle_superseded)

    def become_ready(self) -> None:
        """Announce from now on that this daemon serves."""
        if self.state is MemberState.JOINING:
            self.state = MemberState.READY
            self._record_change()

    async def leave(self) -> None:
        """Announce immediately that this daemon is about to stop."""
        self.state = MemberState.LEAVING
        self.left_at = anyio.current_time()
        self._record_change()
        heartbeat = self._heartbeat()
        for daemon in self.local_peers():
            await self._peers.notify(daemon, heartbeat)
        message = SummaryExchange(
            sender=self._own_record(), summary=self._own_summary()
        )
        for daemon in self.remote_targets():
            await self._peers.notify(daemon, message)

    async def run(self) -> None:
        """Exchange heartbeats and detect failures until cancelled."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            for member in self._members_by_id.values():
                tasks.start_soon(self._send_heartbeats, member.id)
            for name in self._remotes_by_name:
                tasks.start_soon(self._exchange_summaries, name)
            tasks.start_soon(self._contact_seeds)
            tasks.start_soon(self._detect_failures)

    async def _send_heartbeats(self, daemon: DaemonId) -> None:
        while daemon in self._members_by_id:
            await self._peers.notify(daemon, self._heartbeat())
            await self._sleep(
                HEARTBEAT_INTERVAL_S * random.uniform(0.95, 1.05)
            )

    async def _contact_seeds(self) -> None:
        for _ in range(JOIN_ROUNDS):
            # Concurrently: with most seeds dead, a daemon that contacted
            # them one by one would not be ready for half a minute.
            async with anyio.create_task_group() as tasks:
                for seed in self._unreachable_seeds()[:MAX_SEEDS_PER_ROUND]:
                    tasks.start_soon(self._contact_seed, seed)
            if self.joined.is_set() or not self._seeds():
                break
            await self._sleep(HEARTBEAT_INTERVAL_S)
        self.joined.set()
        while True:
            await self._sleep(SEED_INTERVAL_S * random.uniform(0.7, 1.3))
            for seed in self._unreachable_seeds()[:1]:
                await self._contact_seed(seed)

    async def _contact_seed(self, seed: PeerAddress) -> None:
        self._peers.set_address(seed.id, seed.address)
        if await self._fetch(seed.id, DataCentreName('')):
            self.joined.set()

    def _unreachable_seeds(self) -> list[PeerAddress]:
        # Contacting gone daemons too reconnects those that came back, and
        # both sides of a partition that outlasted GONE_AFTER_S.
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

    async def _detect_failures(self) -> None:
        last = anyio.current_time()
        while True:
            await self._sleep(CHECK_INTERVAL_S)
            now = anyio.current_time()
            pause_s = now - last - CHECK_INTERVAL_S
            last = now
            if pause_s > MIN_PAUSE_S:
                self._compensate_pause(pause_s)
            self._update_suspicions(now)

    def _compensate_pause(self, pause_s: float) -> None:
        # While paused, this process received no heartbeats. Without this
        # correction it would suspect all daemons at once on resuming.
        log.warning('was_paused', seconds=round(pause_s, 3))
        for member in self._members_by_id.values():
            member.last_seen_at += pause_s
        for remote in self._remotes_by_name.values():
            remote.last_seen_at += pause_s

    def _update_suspicions(self, now: float) -> None:
        for member in tuple(self._members_by_id.values()):
            silence = now - member.last_seen_at
            if silence > member.suspect_after_s + GONE_AFTER_S:
                self._mark_gone(member, now)
            elif silence > member.suspect_after_s and not member.is_suspected:
                member.is_suspected = True
                log.warning('suspected', peer=member.id, silence_s=silence)
                self._record_change()
        for daemon, (_, since) in tuple(self._gone_by_id.items()):
            if now - since > GONE_RETENTION_S:
                del self._gone_by_id[daemon]

    def _mark_gone(self, member: Member, now: float) -> None:
        log.warning('gone', peer=member.id)
        self._members_by_id.pop(member.id, None)
        self._gone_by_id[member.id] = (member, now)
        self._peers.forget(member.id)
        self._record_change()

    async def _exchange_summaries(self, name: DataCentreName) -> None:
        while name in self._remotes_by_name:
            await self._sleep(SUMMARY_INTERVAL_S * random.uniform(0.9, 1.1))
            remote = self._remotes_by_name[name]
            target = self._link_target(remote)
            if target is None or remote not in self._linked_data_centres():
                continue
            message = SummaryExchange(
                sender=self._own_record(), summary=self._own_summary()
            )
            sent_at = anyio.current_time()
            answer = await self._peers.call(
                target, message, timeout_s=CALL_TIMEOUT_S
            )
            if isinstance(answer, SummaryExchange):
                remote.record_round_trip(anyio.current_time() - sent_at)
                self._apply_summary(answer.summary, target)
            else:
                until = anyio.current_time() + UNREACHABLE_S
                self._unreachable_until[target] = until

    async def _handle_heartbeat(
        self, sender: DaemonId, message: Heartbeat
    ) -> None:
        member = self._update_member(sender, message.sender)
        if member is None:
            return
        now = anyio.current_time()
        if member.is_suspected:
            # Tell the daemon that it was suspected: its process may only
            # have been paused and hold something that others took over.
            await self._peers.notify(sender, self._heartbeat())
            log.info('back', peer=sender)
            self._record_change()
        member.record_heartbeat(now)
        member.version = max(member.version, message.configuration_version)
        member.load = message.load
        if self.daemon in message.suspects:
            self.times_suspected += 1
            log.warning('was_suspected', by=sender)
        self._notify_version_listeners(sender, message.configuration_version)
        for summary in message.summaries:
            self._apply_summary(summary, sender)

    async def _handle_summary(
        self, sender: DaemonId, message: SummaryExchange
    ) -> Message:
        name = DataCentreName(message.sender.data_centre)
        if sender == message.sender.id and name != self.data_centre:
            self._peers.set_address(sender, message.sender.address)
            self._apply_summary(message.summary, sender)
        return SummaryExchange(
            sender=self._own_record(), summary=self._own_summary()
        )

    async def _handle_fetch(
        self, sender: DaemonId, message: MembersFetch
    ) -> Message:
        is_local = message.sender.data_centre == self.data_centre
        if is_local:
            self._update_member(sender, message.sender)
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
                for member in self.known_members(name)
            ],
            summaries=summaries,
        )

    async def _handle_superseded(
        self, sender: DaemonId, message: Superseded
    ) -> None:
        if message.incarnation <= self.incarnation:
            return
        if self.state is MemberState.JOINING:
            # This is the newer process, on a machine whose wall clock is
            # behind that of its predecessor.
            self.incarnation = message.incarnation + 1
            return
        log.error('superseded', by=sender)
        self.superseded.set()

    def _update_member(
        self, sender: DaemonId, record: MemberRecord
    ) -> Member | None:
        """Update a local member from its own record and return it.

        Returns None for a record that is invalid, of another daemon or of
        another data centre, or that a newer incarnation supersedes.
        """
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
            self._start_task(
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
            self._record_change()
        if known.caller_address != stated.caller_address:
            known.caller_address = stated.caller_address
            self._record_change()
        return known

    def _add(self, member: Member, *, is_back: bool) -> None:
        is_new = member.id not in self._members_by_id
        self._gone_by_id.pop(member.id, None)
        self._members_by_id[member.id] = member
        self._peers.set_address(member.id, member.address)
        log.info('joined', peer=member.id, is_back=is_back)
        self._record_change()
        if is_new:
            self._start_task(self._send_heartbeats, member.id)

    def _apply_summary(
        self, summary: DataCentreSummary, via: DaemonId
    ) -> None:
        name = DataCentreName(summary.data_centre)
        if not name or name == self.data_centre:
            return
        now = anyio.current_time()
        remote = self._remotes_by_name.get(name)
        if remote is None:
            remote = self._add_remote(name)
        was_stale = remote.is_stale(now)
        remote.apply_summary(summary, now)
        if was_stale is not remote.is_stale(now):
            self._record_change()
        self._notify_version_listeners(via, summary.configuration_version)
        if remote.needs_members(now) and name not in self._fetching:
            remote.fetch_started_at = now
            self._fetching.add(name)
            self._start_task(self._refresh_members, via, name)

    def _add_remote(self, name: DataCentreName) -> RemoteDataCentre:
        remote = RemoteDataCentre(name=name)
        self._remotes_by_name[name] = remote
        self._start_task(self._exchange_summaries, name)
        return remote

    async def _refresh_members(
        self, via: DaemonId, name: DataCentreName
    ) -> None:
        try:
            await self._fetch(via, name)
        finally:
            self._fetching.discard(name)

    async def _fetch(self, via: DaemonId, name: DataCentreName) -> bool:
        message = MembersFetch(sender=self._own_record(), data_centre=name)
        answer = await self._peers.call(via, message, timeout_s=CALL_TIMEOUT_S)
        if isinstance(answer, PeerUnavailable):
            return False
        if isinstance(answer, MembersKnown):
            self._apply_members(answer)
            for summary in answer.summaries:
                self._apply_summary(summary, via)
        return True

    def _apply_members(self, answer: MembersKnown) -> None:
        now = anyio.current_time()
        by_name: dict[DataCentreName, list[Member]] = {}
        for record in answer.members:
            member = parse_member(record, now)
            if member is not None:
                by_name.setdefault(member.data_centre, []).append(member)
        for name, members in by_name.items():
            if name == self.data_centre:
                self._add_local_members(members)
            else:
                self._replace_remote_members(name, members)

    def _add_local_members(self, members: Sequence[Member]) -> None:
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

    def _replace_remote_members(
        self, name: DataCentreName, members: Sequence[Member]
    ) -> None:
        remote = self._remotes_by_name.get(name) or self._add_remote(name)
        for daemon in remote.members_by_id.keys() - {m.id for m in members}:
            self._peers.forget(daemon)
        remote.replace_members(members)
        for member in members:
            self._peers.set_address(member.id, member.address)
        self._record_change()

    def _start_task(
        self,
        function: Callable[..., Coroutine[Any, Any, None]],
        *arguments: object,
    ) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, *arguments)
