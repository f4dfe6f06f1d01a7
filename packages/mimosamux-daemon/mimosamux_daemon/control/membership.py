"""Which daemons there are: heartbeats, summaries, and who is suspected.

Daemons of a data centre send each other heartbeats directly. Of another
data centre a daemon hears through the two of its own that keep a link
there: their heartbeats carry a summary of it, and the members are fetched
only when the digest in the summary is new.
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

HEARTBEAT_S = 1.0
SUMMARY_S = 2.0
TICK_S = 0.5
PAUSE_S = 1.0
"""A tick that comes so much too late means that this daemon stood still."""
INTRODUCE_S = 5.0
JOIN_ROUNDS = 2
SEEDS_AT_ONCE = 16
CALL_TIMEOUT_S = 2.0
AVOID_S = 6.0
"""A peer of another data centre that did not answer is avoided so long."""
REMEMBER_GONE_S = 600.0


class Membership(MemberView):
    """Keeps the view of the other daemons, and theirs of this one."""

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
        """Set once a seed has answered, or none of them did twice."""
        self.superseded = anyio.Event()
        """Set when a newer process runs under this name: stop then."""
        self.times_suspected = 0
        """How often peers said that they had suspected this daemon."""
        self.left_at: float | None = None
        """Time of `anyio.current_time` at which `leave` was called."""
        self._peers = peers
        self._seeds = seeds
        self._sleep = sleep
        self._fetching: set[DataCentreName] = set()
        self._tasks: anyio.abc.TaskGroup | None = None
        peers.handle(Heartbeat, self._take_heartbeat)
        peers.handle(SummaryExchange, self._take_summary)
        peers.handle(MembersFetch, self._answer_fetch)
        peers.handle(Superseded, self._take_superseded)

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
        for _ in range(JOIN_ROUNDS):
            # Side by side: with most seeds dead a daemon that tried one
            # after the other would not be ready for half a minute.
            async with anyio.create_task_group() as tasks:
                for seed in self._unknown_seeds()[:SEEDS_AT_ONCE]:
                    tasks.start_soon(self._meet, seed)
            if self.joined.is_set() or not self._seeds():
                break
            await self._sleep(HEARTBEAT_S)
        self.joined.set()
        while True:
            await self._sleep(INTRODUCE_S * random.uniform(0.7, 1.3))
            for seed in self._unknown_seeds()[:1]:
                await self._meet(seed)

    async def _meet(self, seed: PeerAddress) -> None:
        self._peers.set_address(seed.id, seed.address)
        if await self._fetch(seed.id, DataCentreName('')):
            self.joined.set()

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

    def _start(
        self,
        function: Callable[..., Coroutine[Any, Any, None]],
        *arguments: object,
    ) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(function, *arguments)
