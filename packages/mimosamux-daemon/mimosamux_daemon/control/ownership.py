"""Watches the endpoints that this daemon owns and gossips their state.

Each endpoint is normally watched by one daemon of its data centre, so that
an engine keeps one report stream open, however many daemons there are. The
other daemons receive its state in digests, which each daemon sends to every
peer once per `DIGEST_INTERVAL_S`.
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
from mimosamux_daemon.control.endpoint_assignment import assign_endpoints
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

MIN_RECONNECT_S = 0.5
"""Mean delay before a reconnect after a stream that had reports."""
MAX_RECONNECT_S = 15.0
"""Maximum mean delay; each stream without reports doubles it."""
REPORT_TIMEOUT_S = 10.0
"""A report stream without a report for this long is reopened."""


class Members(Protocol):
    """The part of the membership that ownership depends on."""

    @property
    def changed(self) -> anyio.Event:
        """Event that is set and replaced when the members change."""

    def members(self, data_centre: DataCentreName) -> tuple[DaemonId, ...]:
        """Return the ready daemons of a data centre, sorted."""


class Ownership:
    """Watches this daemon's endpoints and exchanges digests with peers."""

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
        """Register the digest handlers.

        `group` returns the data centres whose daemons exchange digests; by
        default that is only this daemon's own. A small system groups all
        data centres, so that each daemon knows the load of every endpoint.
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
        self._full_digest_requests: set[DaemonId] = set()
        self._known_peers: frozenset[DaemonId] = frozenset()
        self._metrics = metrics
        self._shares = shares
        peers.handle(FleetDigest, self._handle_digest)
        peers.handle(FullDigestWanted, self._handle_full_request)

    @property
    def owned(self) -> tuple[EndpointId, ...]:
        """Endpoints that this daemon watches."""
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
        """Watch endpoints and exchange digests until cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._send_digests)
            while True:
                fleet, members = self._fleet.changed, self._members.changed
                self._update_watches(tasks)
                await _wait_for_any(fleet, members)

    def _update_watches(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start and cancel watches to match the current assignment."""
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
        """Return the endpoints assigned to this daemon, by id.

        The endpoints of a data centre without ready daemons are assigned
        to the daemons of the whole group.
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
            owners = assign_endpoints(endpoints, daemons)
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
            delay_s = MIN_RECONNECT_S
            has_reported = False
            while True:
                reports = await self._read_reports(endpoint, has_reported)
                has_reported = has_reported or reports > 0
                delay_s = MIN_RECONNECT_S if reports else delay_s * 2
                delay_s = min(delay_s, MAX_RECONNECT_S)
                await anyio.sleep(delay_s * self._rng.uniform(0.5, 1.5))

    async def _read_reports(
        self, endpoint: Endpoint, has_reported: bool
    ) -> int:
        """Receive reports until the stream ends; return their number.

        A failed connect counts against the endpoint only if it has sent
        reports before: an engine that offers no report stream may serve
        requests nevertheless.
        """
        reports = 0
        async with self._engines.watch(endpoint) as stream:
            if isinstance(stream, ConnectFailed):
                if has_reported:
                    self._fleet.note_connect(endpoint.id, failed=True)
                return 0
            self._fleet.note_connect(endpoint.id, failed=False)
            while (report := await _receive(stream)) is not None:
                self._apply_report(report)
                reports += 1
        log.info('reports_ended', endpoint=endpoint.id, reports=reports)
        return reports

    def _apply_report(self, report: EngineReport) -> None:
        if isinstance(report, LoadReport):
            self._fleet.apply_report(report)
        else:
            self._fleet.apply_cache_event(report)
        self._writer.note(report)

    async def _send_digests(self) -> None:
        await anyio.sleep(DIGEST_INTERVAL_S * self._rng.random())
        while True:
            await self._send_digest()
            await anyio.sleep(DIGEST_INTERVAL_S)

    async def _send_digest(self) -> None:
        peers = self.peers()
        self._full_digest_requests |= set(peers) - self._known_peers
        self._known_peers = frozenset(peers)
        accounts = write_accounts(self._shares) if self._shares else []
        delta = self._writer.write(peers=len(peers), accounts=accounts)
        full: FleetDigest | None = None
        # Full digests requested while this one is sent go out in the next.
        full_requests, self._full_digest_requests = (
            self._full_digest_requests,
            set(),
        )
        if full_requests & self._known_peers:
            full = self._writer.write_full(self.owned, delta)
        async with anyio.create_task_group() as tasks:
            for peer in peers:
                message = full if full and peer in full_requests else delta
                tasks.start_soon(self._notify, peer, message)

    async def _notify(self, peer: DaemonId, message: Message) -> None:
        """Send a message to a peer, giving up after half the interval.

        Without the time-out, one stalled peer would stop the digests to
        all peers, and every daemon would route by stale reports.
        """
        with anyio.move_on_after(DIGEST_INTERVAL_S / 2):
            await self._peers.notify(peer, message)

    async def _handle_digest(
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

    async def _handle_full_request(
        self, sender: DaemonId, request: FullDigestWanted
    ) -> Message | None:
        self._full_digest_requests.add(sender)
        return None


async def _receive(stream: ReportStream) -> EngineReport | None:
    with anyio.move_on_after(REPORT_TIMEOUT_S):
        return await stream.receive()
    return None


async def _wait_for_any(*events: anyio.Event) -> None:
    async with anyio.create_task_group() as tasks:

        async def wait(event: anyio.Event) -> None:
            await event.wait()
            tasks.cancel_scope.cancel()

        for event in events:
            tasks.start_soon(wait, event)
