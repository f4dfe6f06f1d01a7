"""Which daemon watches which endpoint, and what it tells its peers.

Each endpoint is watched by one daemon of its data centre, so an engine
keeps one stream of reports open however many daemons there are. The
others learn of it from digests, one a second from each peer.
"""

import random
from collections.abc import Callable
from typing import Protocol

import anyio
import anyio.abc
from mimosamux_wire import FleetDigest, FullDigestWanted, Message

from mimosamux_daemon.control.account_digests import (
    apply_accounts,
    write_accounts,
)
from mimosamux_daemon.control.digests import (
    DIGEST_INTERVAL_S,
    DigestWriter,
    apply_digest,
)
from mimosamux_daemon.control.spread import spread_endpoints
from mimosamux_daemon.domain.engine import (
    ConnectFailed,
    EngineReport,
    LoadReport,
)
from mimosamux_daemon.domain.names import (
    DaemonId,
    DataCentreName,
    EndpointId,
)
from mimosamux_daemon.domain.vms import Endpoint
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.metrics import Metrics
from mimosamux_daemon.ports.models.engine import Engines, ReportStream
from mimosamux_daemon.ports.peer import Peers
from mimosamux_daemon.serving.fair_shares import FairShares
from mimosamux_daemon.serving.fleet import Fleet

log = get_log('ownership')

FIRST_PAUSE_S = 0.5
LAST_PAUSE_S = 15.0
SILENCE_S = 10.0
"""A stream of reports that is silent for so long is opened again."""


class Members(Protocol):
    """The daemons of a data centre, as membership knows them."""

    @property
    def changed(self) -> anyio.Event:
        """Event that is set, and replaced, when members change."""

    def members(self, data_centre: DataCentreName) -> tuple[DaemonId, ...]:
        """Return the daemons that are up there, this one included."""


class Ownership:
    """Watches this daemon's endpoints and exchanges digests."""

    def __init__(
        self,
        *,
        daemon: DaemonId,
        data_centre: DataCentreName,
        fleet: Fleet,
        engines: Engines,
        peers: Peers,
        members: Members,
        group: Callable[[], tuple[DataCentreName, ...]] | None = None,
        rng: random.Random | None = None,
        metrics: Metrics | None = None,
        shares: FairShares | None = None,
    ) -> None:
        """Take the parts; `group` names data centres that share digests.

        The group is this daemon's data centre unless given. A small
        system takes all of them, so that each daemon knows the load of
        every endpoint.
        """
        self._daemon = daemon
        self._data_centre = data_centre
        self._fleet = fleet
        self._engines = engines
        self._peers = peers
        self._members = members
        self._group = (lambda: (data_centre,)) if group is None else group
        self._rng = random.Random() if rng is None else rng
        self._scope_by_id: dict[EndpointId, anyio.CancelScope] = {}
        self._writer = DigestWriter(fleet=fleet)
        self._sequence_by_peer: dict[DaemonId, int] = {}
        self._full_for: set[DaemonId] = set()
        self._known_peers: frozenset[DaemonId] = frozenset()
        self._metrics = metrics
        self._shares = shares
        peers.handle(FleetDigest, self._take_digest)
        peers.handle(FullDigestWanted, self._take_wish)

    @property
    def owned(self) -> tuple[EndpointId, ...]:
        """Endpoints that this daemon watches now."""
        return tuple(self._scope_by_id)

    def peers(self) -> tuple[DaemonId, ...]:
        """Return the other daemons of the group."""
        daemons = dict.fromkeys(
            daemon
            for data_centre in self._group()
            for daemon in self._members.members(data_centre)
        )
        daemons.pop(self._daemon, None)
        return tuple(daemons)

    async def run(self) -> None:
        """Watch and exchange digests until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_digests)
            while True:
                fleet, members = self._fleet.changed, self._members.changed
                self._spread(tasks)
                await _wait_for_any(fleet, members)

    def _spread(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start and end watches so that they match the ownership."""
        owned = self._find_owned()
        for id_ in set(self._scope_by_id) - set(owned):
            self._scope_by_id.pop(id_).cancel()
            self._fleet.set_own(id_, is_own=False)
            self._writer.forget(id_)
        for id_ in set(owned) - set(self._scope_by_id):
            self._fleet.set_own(id_, is_own=True)
            scope = self._scope_by_id[id_] = anyio.CancelScope()
            tasks.start_soon(self._watch, owned[id_], scope)

    def _find_owned(self) -> dict[EndpointId, Endpoint]:
        """Return this daemon's endpoints in all data centres it serves.

        The endpoints of a data centre without daemons are spread over
        the whole group.
        """
        owned = {}
        for data_centre in self._group():
            endpoints = {
                state.endpoint.id: state.endpoint
                for state in self._fleet.by_id.values()
                if state.endpoint.model is not None
                and state.endpoint.data_centre == data_centre
            }
            daemons = set(self._members.members(data_centre))
            if data_centre == self._data_centre:
                daemons.add(self._daemon)
            daemons = daemons or {*self.peers(), self._daemon}
            owners = spread_endpoints(endpoints, daemons)
            owned.update(
                {
                    id_: endpoints[id_]
                    for id_, watchers in owners.items()
                    if self._daemon in watchers
                }
            )
        return owned

    async def _watch(
        self, endpoint: Endpoint, scope: anyio.CancelScope
    ) -> None:
        with scope:
            pause_s = FIRST_PAUSE_S
            has_reported = False
            while True:
                reports = await self._read_reports(endpoint, has_reported)
                has_reported = has_reported or reports > 0
                pause_s = FIRST_PAUSE_S if reports else pause_s * 2
                pause_s = min(pause_s, LAST_PAUSE_S)
                await anyio.sleep(pause_s * self._rng.uniform(0.5, 1.5))

    async def _read_reports(
        self, endpoint: Endpoint, has_reported: bool
    ) -> int:
        """Return how many reports came before the stream ended.

        A connect that fails counts against the endpoint only if it has
        reported before: an engine without reports may serve all the same.
        """
        reports = 0
        async with self._engines.watch(endpoint) as stream:
            if isinstance(stream, ConnectFailed):
                if has_reported:
                    self._fleet.note_connect(endpoint.id, failed=True)
                return 0
            self._fleet.note_connect(endpoint.id, failed=False)
            while (report := await _receive(stream)) is not None:
                self._take_report(report)
                reports += 1
        log.info('reports_ended', endpoint=endpoint.id, reports=reports)
        return reports

    def _take_report(self, report: EngineReport) -> None:
        if isinstance(report, LoadReport):
            self._fleet.take_report(report)
        else:
            self._fleet.take_cache_event(report)
        self._writer.note(report)

    async def _send_digests(self) -> None:
        await anyio.sleep(DIGEST_INTERVAL_S * self._rng.random())
        while True:
            await self._send_digest()
            await anyio.sleep(DIGEST_INTERVAL_S)

    async def _send_digest(self) -> None:
        peers = self.peers()
        self._full_for |= set(peers) - self._known_peers
        self._known_peers = frozenset(peers)
        accounts = write_accounts(self._shares) if self._shares else []
        news = self._writer.write(peers=len(peers), accounts=accounts)
        full: FleetDigest | None = None
        # Wishes that come while this digest is sent are for the next one.
        wishes, self._full_for = self._full_for, set()
        if wishes & self._known_peers:
            full = self._writer.write_full(self.owned, news)
        async with anyio.create_task_group() as tasks:
            for peer in peers:
                message = full if full and peer in wishes else news
                tasks.start_soon(self._notify, peer, message)

    async def _notify(self, peer: DaemonId, message: Message) -> None:
        """Send within the interval: a stuck link must not hold up others.

        A peer that stands still would otherwise stop the digests to all,
        and every daemon would choose by old reports.
        """
        with anyio.move_on_after(DIGEST_INTERVAL_S / 2):
            await self._peers.notify(peer, message)

    async def _take_digest(
        self, sender: DaemonId, digest: FleetDigest
    ) -> Message | None:
        apply_digest(self._fleet, digest)
        if self._shares is not None:
            apply_accounts(self._shares, digest)
        last = self._sequence_by_peer.get(sender)
        self._sequence_by_peer[sender] = digest.sequence
        in_order = last is not None and digest.sequence == last + 1
        if self._metrics is not None:
            outcome = 'in_order' if in_order else 'gap'
            self._metrics.digests.inc({'outcome': outcome})
        if not digest.full and not in_order:
            await self._notify(sender, FullDigestWanted())
        return None

    async def _take_wish(
        self, sender: DaemonId, wish: FullDigestWanted
    ) -> Message | None:
        self._full_for.add(sender)
        return None


async def _receive(stream: ReportStream) -> EngineReport | None:
    with anyio.move_on_after(SILENCE_S):
        return await stream.receive()
    return None


async def _wait_for_any(*events: anyio.Event) -> None:
    async with anyio.create_task_group() as tasks:

        async def wait(event: anyio.Event) -> None:
            await event.wait()
            tasks.cancel_scope.cancel()

        for event in events:
            tasks.start_soon(wait, event)
