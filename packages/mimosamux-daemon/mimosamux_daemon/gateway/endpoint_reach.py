"""Finds out which services this daemon cannot connect to, and who can.

A VM may be partitioned from all endpoints while clients, the store and other
daemons reach it. Each endpoint then seems to fail, although the fault is on
this side; connections go through peers until the direct way works again.
"""

import random
from collections.abc import Callable, Coroutine
from http import HTTPStatus
from typing import Any

import anyio
from mimosamux_wire import StateDigest

from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.domain.names import DaemonId, EndpointId, ServiceName
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.exchange.peer_states import PeerState, PeerStates
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.logs import get_log

log = get_log('endpoint_reach')

MIN_UNREACHED = 3
"""Endpoints of a service to which connections must fail in a row, while no
byte comes from any of its endpoints; a single one may have ended."""
MIN_UNREACHED_BESIDE_BYTES = 4
"""The same while bytes come: open connections may live on, though new ones
fail. Several endpoints may also have ended together."""
SILENCE_S = 0.4
"""Time without a byte from a service's endpoints that counts as none."""
EVIDENCE_TTL_S = 2.0
"""Time for which a failed connection attempt counts."""
CHECK_INTERVAL_S = 0.25
PROBE_INTERVAL_S = 0.5
"""Interval of direct attempts while a service is not reached."""
MIN_WAITING = 2
"""Endpoints that must owe answers for a probe of direct connections."""
QUIET_S = 0.6
"""Time in which they sent no byte: open connections may have fallen silent."""
PROBE_PAUSE_S = 1.0
"""Least time between two such probes, if connections succeed."""
MAX_TUNNEL_PEERS = 2
"""Peers tried for one connection."""
PEER_SKIP_S = 1.0
"""Time for which a peer is passed over after it gave no tunnel."""


class EndpointReach:
    """Reach of this daemon by service; the `EndpointRoutes` port."""

    def __init__(
        self,
        *,
        roster: Roster,
        states: PeerStates,
        probe: Callable[[str], Coroutine[Any, Any, None]],
        discard_connections_to: Callable[[str], None],
        metrics: GatewayMetrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._roster = roster
        self._states = states
        self._probe = probe
        """Attempts a direct connection to an address."""
        self._discard_connections_to = discard_connections_to
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._record_by_address: dict[str, EndpointRecord] = {}
        self._failed_at: dict[ServiceName, dict[EndpointId, float]] = {}
        """Last failed attempts since one succeeded, by service."""
        self._received_at: dict[ServiceName, float] = {}
        """When the last bytes came from any endpoint of a service."""
        self._cut_off_since: dict[ServiceName, float] = {}
        self._skipped_until: dict[str, float] = {}
        """Until when a peer's tunnel is passed over."""
        self.on_tunnel_closing: list[Callable[[str], None]] = []
        self._closing_since: dict[str, float] = {}
        """Since when the peer behind a tunnel is known to stop."""
        self._probed_at = 0.0
        states.on_forgotten.append(self._forget_peer)
        roster.on_listed.append(self._add)
        roster.on_forgotten.append(self._forget)
        metrics.collectors.append(self._collect)

    def is_cut_off(self, address: str) -> bool:
        """Whether connections to an endpoint have to go through a peer."""
        record = self._record_by_address.get(address)
        return (
            record is not None and record.listed.service in self._cut_off_since
        )

    def is_cut_off_from(self, service: ServiceName) -> bool:
        """Whether this daemon does not reach a service itself."""
        return service in self._cut_off_since

    @property
    def is_any_cut_off(self) -> bool:
        """Whether there is a service that this daemon does not reach."""
        return bool(self._cut_off_since)

    def is_endpoint(self, address: str) -> bool:
        """Whether a listed endpoint has an address."""
        record = self._record_by_address.get(address)
        return record is not None and record.gone_at is None

    def note_connect(self, address: str, *, failed: bool) -> None:
        """Take the outcome of a direct connection attempt to an endpoint."""
        record = self._record_by_address.get(address)
        if record is None:
            return
        service = record.listed.service
        if not failed:
            self._failed_at.pop(service, None)
            if service in self._cut_off_since:
                self._note_reached(service)
            return
        now = self._clock()
        failed_at = self._failed_at.setdefault(service, {})
        failed_at[record.id] = now
        if service not in self._cut_off_since and self._seems_cut_off(service):
            self._note_cut_off(service)

    def note_received(self, address: str) -> None:
        """Note that bytes came from an endpoint."""
        record = self._record_by_address.get(address)
        if record is not None:
            self._received_at[record.listed.service] = self._clock()

    def can_tunnel_to(self, service: ServiceName) -> bool:
        """Whether some peer may open tunnels to the endpoints of a service."""
        return bool(self._find_peers(service))

    def tunnels_to(self, address: str) -> list[str]:
        """Return the tunnel addresses of peers that reach an endpoint.

        Those of the own data centre come first, and wide links more often.
        """
        record = self._record_by_address.get(address)
        if record is None:
            return []
        own = self._states.place.data_centre
        peers = sorted(
            self._find_peers(record.listed.service),
            key=lambda peer: (
                peer.place.data_centre != own,
                self._rng.random() / max(peer.place.link_mbps, 1.0),
            ),
        )
        return [peer.place.tunnel for peer in peers[:MAX_TUNNEL_PEERS]]

    def do_peers_reach(self, address: str) -> bool:
        """Whether some peer last said that it reaches an endpoint.

        It may have stopped since.
        """
        record = self._record_by_address.get(address)
        return record is not None and any(
            record.listed.service not in peer.unreached_services
            for peer in self._states.by_id.values()
        )

    def may_send_through(self, tunnel: str) -> bool:
        """Whether requests may go through a tunnel: its peer stays."""
        return tunnel not in self._closing_since

    def note_tunnel(self, tunnel: str, *, status: int | None) -> None:
        """Take a peer's answer to a request for a tunnel, None without one."""
        result = 'opened' if status == HTTPStatus.OK else 'refused'
        if status is None:
            result = 'failed'
        self._metrics.tunnels.inc({'side': 'asked', 'result': result})
        if status is None:
            self._skipped_until[tunnel] = self._clock() + PEER_SKIP_S
        else:
            self._skipped_until.pop(tunnel, None)

    def note_tunnel_broken(self, tunnel: str, address: str) -> None:
        """Log and count a request's connection that a peer's stop cut.

        Any other may have been broken by its endpoint.
        """
        since = self._closing_since.get(tunnel)
        if since is None:
            return
        self._metrics.tunnels.inc({'side': 'asked', 'result': 'cut'})
        log.warning(
            'tunnel_cut',
            tunnel=tunnel,
            address=address,
            behind_s=round(self._clock() - since, 3),
        )

    def write(self, digest: StateDigest) -> None:
        """Set the services that this daemon does not reach in a digest."""
        digest.unreached_services = [str(each) for each in self._cut_off_since]

    def take(self, peer: PeerState, digest: StateDigest) -> None:
        """End the use of the tunnels through a peer that stops.

        `PeerStates` stores the services in the peer's state.
        """
        tunnel = peer.place.tunnel
        if peer.state is not MemberState.LEAVING:
            self._closing_since.pop(tunnel, None)
        elif tunnel and tunnel not in self._closing_since:
            self._closing_since[tunnel] = self._clock()
            for listener in self.on_tunnel_closing:
                listener(tunnel)

    def _forget_peer(self, _: DaemonId) -> None:
        known = {peer.place.tunnel for peer in self._states.by_id.values()}
        for tunnel in self._closing_since.keys() - known:
            del self._closing_since[tunnel]

    async def run(self) -> None:
        """Probe direct connections while need be, until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            now = self._clock()
            self._drop_ended_services()
            if self._cut_off_since:
                if now - self._probed_at >= PROBE_INTERVAL_S:
                    await self._probe_services(tuple(self._cut_off_since))
            elif now - self._probed_at >= PROBE_PAUSE_S:
                waiting = self._find_waiting(now)
                if len(waiting) >= MIN_WAITING:
                    await self._probe_all(waiting[:MIN_UNREACHED])

    def _drop_ended_services(self) -> None:
        """Take services without endpoints for ended, and not for unreached.

        Discovery would offer this daemon to nobody for as long.
        """
        for service in tuple(self._cut_off_since):
            if not self._roster.serving(service):
                self._note_reached(service)

    def _find_waiting(self, now: float) -> list[EndpointRecord]:
        """Return endpoints of silent services that owe answers."""
        oldest = now - QUIET_S
        return [
            record
            for service, at in self._received_at.items()
            if at < oldest
            for record in self._roster.of_service(service)
            if any(call.sent_at < oldest for call in record.open_calls)
        ]

    async def _probe_services(self, services: tuple[ServiceName, ...]) -> None:
        for service in services:
            records = self._roster.serving(service)
            if records:
                # Those listed last are the least likely to have ended.
                latest = max(records, key=lambda record: record.listed_at)
                other = self._rng.choice(records)
                await self._probe_all(list({latest, other}))

    async def _probe_all(self, records: list[EndpointRecord]) -> None:
        self._probed_at = self._clock()
        async with anyio.create_task_group() as tasks:
            for record in records:
                tasks.start_soon(self._probe, record.listed.address)

    def _seems_cut_off(self, service: ServiceName) -> bool:
        now = self._clock()
        unreached = sum(
            at > now - EVIDENCE_TTL_S
            for at in self._failed_at[service].values()
        )
        needed = (
            MIN_UNREACHED
            if self._is_silent(service, now)
            else MIN_UNREACHED_BESIDE_BYTES
        )
        return unreached >= min(
            needed, max(len(self._roster.serving(service)), 1)
        )

    def _is_silent(self, service: ServiceName, now: float) -> bool:
        return now - self._received_at.get(service, 0.0) >= SILENCE_S

    def _note_cut_off(self, service: ServiceName) -> None:
        """Begin to use peers.

        Idle connections may hang as well. Peers are told at once, as they
        might ask this daemon for tunnels.
        """
        now = self._clock()
        self._cut_off_since[service] = now
        is_silent = self._is_silent(service, now)
        log.warning(
            'endpoints_unreached',
            service=service,
            failed=len(self._failed_at[service]),
            is_silent=is_silent,
            peers=len(self._find_peers(service)),
        )
        if is_silent:
            for record in self._roster.of_service(service):
                self._discard_connections_to(record.listed.address)
        self._states.expedite()

    def _note_reached(self, service: ServiceName) -> None:
        since = self._cut_off_since.pop(service)
        self._failed_at.pop(service, None)
        log.warning(
            'endpoints_reached',
            service=service,
            after_s=round(self._clock() - since, 2),
        )
        self._states.expedite()

    def _find_peers(self, service: ServiceName) -> list[PeerState]:
        """Return the peers that reach a service and may open a tunnel."""
        now = self._clock()
        return [
            peer
            for peer in self._states.ready()
            if peer.place.tunnel
            and service not in peer.unreached_services
            and self._skipped_until.get(peer.place.tunnel, now) <= now
        ]

    def _add(self, record: EndpointRecord) -> None:
        self._record_by_address[record.listed.address] = record

    def _forget(self, id_: EndpointId) -> None:
        self._record_by_address = {
            address: record
            for address, record in self._record_by_address.items()
            if record.id != id_
        }

    def _collect(self) -> None:
        """Set the gauge of the services that are not reached."""
        for service in {
            record.listed.service for record in self._roster.by_id.values()
        }:
            self._metrics.unreached.set(
                {'service': service}, int(service in self._cut_off_since)
            )
