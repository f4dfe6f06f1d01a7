"""Spreads committed versions to all daemons, and repairs what was missed.

As in bimodal multicast (Birman et al., ACM TOCS 17(2), 1999, which the
purging paper in the literature builds on), versions are first pushed
without waiting for anybody, and then repaired by comparing summaries:
heartbeats carry versions, and whoever is behind fetches what is missing.
The head row in the table is polled by one daemon of each data centre, for
when data centres cannot reach each other, and rarely by everyone.
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
    Advance,
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

POLL_S = 4.0
"""Interval at which one daemon of each data centre reads the head row."""
LAST_RESORT_S = 60.0
"""Interval at which every other daemon reads it."""
REPAIR_DELAY_S = 0.3
"""Wait for the push before a fetch; most gaps close by themselves."""
FETCH_TIMEOUT_S = 2.0
START_RETRY_S = 1.0
MAX_PUSHED = 64
BEFORE_ANY_VERSION = -1
"""Asked for with this, a peer sends a snapshot."""


class ConfigurationSync:
    """Keeps a replica level with those of all other daemons."""

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
        self._ahead_by_id: dict[DaemonId, int] = {}
        self._has_ahead = anyio.Event()
        peers.handle(ConfigurationPush, self._take_push)
        peers.handle(ConfigurationFetch, self._answer_fetch)
        membership.listen_versions(self.note_version)

    def spread(self, records: Sequence[VersionRecord]) -> None:
        """Send committed versions to everybody, in the background."""
        self._unsent.extend(records)
        self._has_unsent.set()

    def note_version(self, daemon: DaemonId, version: int) -> None:
        """Note what a peer holds; fetch it if that is more than here."""
        if version > self._replica.version:
            self._ahead_by_id[daemon] = version
            self._has_ahead.set()

    async def start(
        self, propose_first: Callable[[], Awaitable[None]] | None = None
    ) -> None:
        """Return once the replica holds a version that is up to date.

        With the store down it is the highest that reachable peers hold.
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
            await self._sleep(START_RETRY_S * random.uniform(0.5, 1.5))

    async def run(self) -> None:
        """Spread, repair and poll until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_unsent)
            tasks.start_soon(self._repair)
            tasks.start_soon(self._poll)

    async def _send_unsent(self) -> None:
        while True:
            await self._has_unsent.wait()
            records = self._unsent[:MAX_PUSHED]
            del self._unsent[:MAX_PUSHED]
            if not self._unsent:
                self._has_unsent = anyio.Event()
            here = self._membership.data_centre
            message = _as_push(records, origin=here)
            for daemon in self._membership.local_peers():
                await self._peers.notify(daemon, message)
            for daemon in self._membership.remote_targets():
                await self._peers.notify(daemon, message)

    async def _take_push(
        self, sender: DaemonId, message: ConfigurationPush
    ) -> None:
        taken: list[VersionRecord] = []
        for item in message.versions:
            record = parse_record(item.row)
            if record is None:
                continue
            result = self._replica.advance(record)
            if result is Advance.TAKEN:
                taken.append(record)
            elif result is not Advance.KNOWN:
                self.note_version(sender, record.version)
                break
        if taken:
            await self._relay(sender, message.origin, taken)

    async def _relay(
        self, sender: DaemonId, origin: str, taken: list[VersionRecord]
    ) -> None:
        """Pass versions on that came in for the first time.

        What comes from another data centre goes to this one's daemons;
        what was accepted in this one goes to the links to others.
        """
        here = self._membership.data_centre
        message = _as_push(taken, origin=origin)
        if origin == here:
            targets = self._membership.remote_targets()
        elif self._membership.data_centre_of(sender) == here:
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
            versions=_as_push(records, origin='').versions,
        )

    async def _repair(self) -> None:
        while True:
            await self._has_ahead.wait()
            await self._sleep(REPAIR_DELAY_S * random.uniform(0.5, 1.5))
            self._has_ahead = anyio.Event()
            while self._ahead_by_id:
                daemon = max(
                    self._ahead_by_id, key=self._ahead_by_id.__getitem__
                )
                if self._ahead_by_id.pop(daemon) > self._replica.version:
                    await self._fetch(daemon)

    async def _fetch(self, daemon: DaemonId) -> bool:
        """Take what a peer has more; False if it did not answer."""
        answer = await self._ask(daemon, self._replica.version)
        if answer is None:
            return False
        if self._take_state(answer):
            return True
        # The records do not fit what is held here. Asking for them again
        # would leave this daemon behind for good; a snapshot replaces it.
        log.error('replica_differs', version=self._replica.version)
        answer = await self._ask(daemon, BEFORE_ANY_VERSION)
        return answer is not None and self._take_state(answer)

    async def _ask(
        self, daemon: DaemonId, after: int
    ) -> ConfigurationState | None:
        answer = await self._peers.call(
            daemon, ConfigurationFetch(after=after), timeout_s=FETCH_TIMEOUT_S
        )
        return answer if isinstance(answer, ConfigurationState) else None

    def _take_state(self, state: ConfigurationState) -> bool:
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
                Advance.CORRUPT,
                Advance.GAP,
            ):
                return False
        return True

    async def _start_from_peers(self) -> None:
        """Take the highest version that peers hold.

        Every local daemon is asked, and those elsewhere that summaries
        show ahead: starting from the first answer could put an older
        version in force than others have.
        """
        await self._membership.joined.wait()
        version = -1
        while version < self._replica.version:
            version = self._replica.version
            for daemon in self._membership.local_peers():
                await self._fetch(daemon)
            for name in self._membership.data_centres()[1:]:
                await self._fetch_from_one_of(
                    [m.id for m in self._membership.known(name)]
                )

    async def _fetch_from_one_of(self, daemons: Sequence[DaemonId]) -> None:
        for daemon in random.sample(daemons, min(2, len(daemons))):
            if await self._fetch(daemon):
                return

    async def _poll(self) -> None:
        waited_s = 0.0
        while True:
            wait_s = POLL_S * random.uniform(0.85, 1.15)
            await self._sleep(wait_s)
            waited_s += wait_s
            if not self._membership.is_poller() and waited_s < LAST_RESORT_S:
                continue
            # Jitter also on the long interval: daemons that started
            # together would all ask in the same second.
            waited_s = -random.uniform(0, LAST_RESORT_S / 2)
            caught_up = await self._log.catch_up(self._replica)
            if not isinstance(caught_up, Unavailable) and caught_up.records:
                self.spread(caught_up.records)


def _as_push(
    records: Sequence[VersionRecord], *, origin: str
) -> ConfigurationPush:
    return ConfigurationPush(
        origin=origin,
        versions=[
            CommittedVersion(version=record.version, row=record.as_bytes())
            for record in records
        ],
    )
