"""Replicates committed configuration versions to all daemons.

As in bimodal multicast (Birman et al., ACM TOCS 17(2), 1999), versions are
first pushed without acknowledgement. Anti-entropy then repairs losses:
heartbeats carry version numbers, and a daemon that is behind fetches the
missing versions from a peer. In case data centres cannot reach each other,
one daemon of each data centre polls the head row in the table; all other
daemons poll it at a longer interval.
"""

import random
from collections.abc import Awaitable, Callable, Sequence

import anyio
from mimosamux_wire import (
    CommittedVersion,
    ConfigurationFetch,
    ConfigurationPush,
    ConfigurationState,
    Message,
)

from mimosamux_daemon.control.configuration import (
    AdvanceResult,
    ConfigurationReplica,
    parse_snapshot,
)
from mimosamux_daemon.control.configuration_changes import (
    VersionRecord,
    parse_record,
)
from mimosamux_daemon.control.configuration_log import ConfigurationLog
from mimosamux_daemon.control.membership import Membership
from mimosamux_daemon.domain.names import DaemonId
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports import Peers

log = get_log('configuration')

POLL_INTERVAL_S = 4.0
"""Interval at which one daemon per data centre polls the head row."""
FALLBACK_POLL_INTERVAL_S = 60.0
"""Interval at which all other daemons poll it."""
REPAIR_DELAY_S = 0.3
"""Wait before a fetch; the push closes most gaps in that time."""
FETCH_TIMEOUT_S = 2.0
START_RETRY_INTERVAL_S = 1.0
MAX_PUSHED_VERSIONS = 64
"""Maximum version records in a push message."""
FETCH_SNAPSHOT = -1
"""Fetching after this version makes the peer send a snapshot."""


class ConfigurationSync:
    """Keeps a replica in sync with those of all other daemons."""

    def __init__(
        self,
        *,
        replica: ConfigurationReplica,
        log: ConfigurationLog,
        peers: Peers,
        membership: Membership,
        sleep: Callable[[float], Awaitable[None]] = anyio.sleep,
    ) -> None:
        self._replica = replica
        self._log = log
        self._peers = peers
        self._membership = membership
        self._sleep = sleep
        self._unsent: list[VersionRecord] = []
        self._has_unsent = anyio.Event()
        self._newer_version_by_id: dict[DaemonId, int] = {}
        self._has_newer = anyio.Event()
        peers.handle(ConfigurationPush, self._receive_push)
        peers.handle(ConfigurationFetch, self._answer_fetch)
        membership.add_version_listener(self.note_peer_version)

    def broadcast(self, records: Sequence[VersionRecord]) -> None:
        """Queue committed versions to be sent to all daemons."""
        self._unsent.extend(records)
        self._has_unsent.set()

    def note_peer_version(self, daemon: DaemonId, version: int) -> None:
        """Schedule a fetch from a peer if its version is newer."""
        if version > self._replica.version:
            self._newer_version_by_id[daemon] = version
            self._has_newer.set()

    async def start(
        self, propose_first: Callable[[], Awaitable[None]] | None = None
    ) -> None:
        """Bring the replica up to date and return.

        The version comes from the log or, if the store is unavailable,
        is the highest of the reachable peers. If the log is empty,
        `propose_first` is called to commit the first version.
        """
        while True:
            caught_up = await self._log.catch_up(self._replica)
            if isinstance(caught_up, Unavailable):
                log.warning('start_without_store', reason=caught_up.reason)
                await self._start_from_peers()
            elif self._replica.version == 0 and propose_first is not None:
                await propose_first()
            if self._replica.version > 0:
                return
            await self._sleep(
                START_RETRY_INTERVAL_S * random.uniform(0.5, 1.5)
            )

    async def run(self) -> None:
        """Push, repair and poll until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._push_unsent)
            tasks.start_soon(self._repair)
            tasks.start_soon(self._poll)

    async def _push_unsent(self) -> None:
        while True:
            await self._has_unsent.wait()
            records = self._unsent[:MAX_PUSHED_VERSIONS]
            del self._unsent[:MAX_PUSHED_VERSIONS]
            if not self._unsent:
                self._has_unsent = anyio.Event()
            local = self._membership.data_centre
            message = _build_push(records, origin=local)
            for daemon in self._membership.local_peers():
                await self._peers.notify(daemon, message)
            for daemon in self._membership.remote_targets():
                await self._peers.notify(daemon, message)

    async def _receive_push(
        self, sender: DaemonId, message: ConfigurationPush
    ) -> None:
        applied: list[VersionRecord] = []
        for item in message.versions:
            record = parse_record(item.row)
            if record is None:
                continue
            result = self._replica.advance(record)
            if result is AdvanceResult.APPLIED:
                applied.append(record)
            elif result is not AdvanceResult.ALREADY_APPLIED:
                self.note_peer_version(sender, record.version)
                break
        if applied:
            await self._forward(sender, message.origin, applied)

    async def _forward(
        self, sender: DaemonId, origin: str, applied: list[VersionRecord]
    ) -> None:
        """Forward records that are new to this daemon.

        Records from another data centre go to the local daemons. Records
        that originate in this data centre go to the remote daemons that
        this daemon has links to.
        """
        local = self._membership.data_centre
        message = _build_push(applied, origin=origin)
        if origin == local:
            targets = self._membership.remote_targets()
        elif self._membership.data_centre_of(sender) == local:
            targets = ()
        else:
            targets = self._membership.local_peers()
        for daemon in targets:
            await self._peers.notify(daemon, message)

    async def _answer_fetch(
        self, sender: DaemonId, message: ConfigurationFetch
    ) -> Message:
        replica = self._replica
        if message.after >= replica.version:
            return ConfigurationState(version=replica.version)
        records = replica.records_after(message.after)
        if records is None:
            return ConfigurationState(
                version=replica.version,
                snapshot=replica.snapshot().as_bytes(),
            )
        return ConfigurationState(
            version=replica.version,
            versions=_build_push(records, origin='').versions,
        )

    async def _repair(self) -> None:
        while True:
            await self._has_newer.wait()
            await self._sleep(REPAIR_DELAY_S * random.uniform(0.5, 1.5))
            self._has_newer = anyio.Event()
            while self._newer_version_by_id:
                daemon = max(
                    self._newer_version_by_id,
                    key=self._newer_version_by_id.__getitem__,
                )
                if (
                    self._newer_version_by_id.pop(daemon)
                    > self._replica.version
                ):
                    await self._fetch(daemon)

    async def _fetch(self, daemon: DaemonId) -> bool:
        """Apply newer versions from a peer; return False if that fails."""
        answer = await self._request_state(daemon, self._replica.version)
        if answer is None:
            return False
        if self._apply_state(answer):
            return True
        # The records do not apply to this replica, and fetching them again
        # would leave it behind for good. A snapshot replaces its document.
        log.error('replica_diverged', version=self._replica.version)
        answer = await self._request_state(daemon, FETCH_SNAPSHOT)
        return answer is not None and self._apply_state(answer)

    async def _request_state(
        self, daemon: DaemonId, after: int
    ) -> ConfigurationState | None:
        answer = await self._peers.call(
            daemon, ConfigurationFetch(after=after), timeout_s=FETCH_TIMEOUT_S
        )
        return answer if isinstance(answer, ConfigurationState) else None

    def _apply_state(self, state: ConfigurationState) -> bool:
        if state.snapshot:
            snapshot = parse_snapshot(state.snapshot)
            if snapshot is None:
                return False
            self._replica.replace(snapshot)
            return True
        for item in state.versions:
            record = parse_record(item.row)
            if record is None:
                return False
            if self._replica.advance(record) in (
                AdvanceResult.CORRUPT,
                AdvanceResult.GAP,
            ):
                return False
        return True

    async def _start_from_peers(self) -> None:
        """Fetch the highest version that reachable peers hold.

        All local daemons are queried, and up to two in each other data
        centre until one answers. Starting from the first answer could
        put an older version in force than other daemons have.
        """
        await self._membership.joined.wait()
        version = -1
        while version < self._replica.version:
            version = self._replica.version
            for daemon in self._membership.local_peers():
                await self._fetch(daemon)
            for name in self._membership.data_centres()[1:]:
                await self._fetch_from_one_of(
                    [m.id for m in self._membership.known_members(name)]
                )

    async def _fetch_from_one_of(self, daemons: Sequence[DaemonId]) -> None:
        for daemon in random.sample(daemons, min(2, len(daemons))):
            if await self._fetch(daemon):
                return

    async def _poll(self) -> None:
        waited_s = 0.0
        while True:
            wait_s = POLL_INTERVAL_S * random.uniform(0.85, 1.15)
            await self._sleep(wait_s)
            waited_s += wait_s
            if (
                not self._membership.is_poller()
                and waited_s < FALLBACK_POLL_INTERVAL_S
            ):
                continue
            # Without jitter on the long interval too, daemons that started
            # together would all poll in the same second.
            waited_s = -random.uniform(0, FALLBACK_POLL_INTERVAL_S / 2)
            caught_up = await self._log.catch_up(self._replica)
            if not isinstance(caught_up, Unavailable) and caught_up.records:
                self.broadcast(caught_up.records)


def _build_push(
    records: Sequence[VersionRecord], *, origin: str
) -> ConfigurationPush:
    return ConfigurationPush(
        origin=origin,
        versions=[
            CommittedVersion(version=record.version, row=record.as_bytes())
            for record in records
        ],
    )
