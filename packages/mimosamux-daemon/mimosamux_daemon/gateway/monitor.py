"""Serves metrics, health and status of a daemon to operators over HTTP."""

from collections.abc import Callable
from dataclasses import dataclass

import orjson

from mimosamux_daemon.adapters.http1_exchange import IncomingRequest, Reply
from mimosamux_daemon.callers import CallerAccount, show_holdings
from mimosamux_daemon.control.members import MemberState
from mimosamux_daemon.domain.names import ContentKey
from mimosamux_daemon.domain.store_eras import StoreEra
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.configuration import ConfirmedConfiguration
from mimosamux_daemon.gateway.crashes.quarantine import CrashQuarantine
from mimosamux_daemon.gateway.duties.duties import Duties
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.trial_tallies import (
    TrialTallies,
    count_bad_answers,
)

RELEASE_PATH = b'/v1/operator/release/'
JSON_HEADERS = ((b'Content-Type', b'application/json'),)


@dataclass(kw_only=True, slots=True)
class Monitor:
    """Serves the metrics endpoint and the operator endpoints.

    Prometheus reads `/metrics`; `mimosamux status` shows the status.
    """

    daemon: str
    metrics: GatewayMetrics
    configuration: ConfirmedConfiguration
    roster: Roster
    states: PeerStates
    quarantine: CrashQuarantine
    rollouts: Rollouts
    trials: TrialTallies
    duties: Duties
    store_era: StoreEra
    account: CallerAccount
    open_requests: Callable[[], int]
    is_stopping: Callable[[], bool]
    clock: Callable[[], float]

    def __post_init__(self) -> None:
        self.metrics.collectors.append(self.collect)

    async def handle(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Answer one request."""
        path = incoming.head.path
        if path == b'/metrics':
            content, headers = self.metrics.render()
            fields = tuple(
                (name.encode(), value.encode())
                for name, value in headers.items()
            )
            await reply.answer(200, fields, content)
        elif path == b'/v1/operator/status':
            await reply.answer(200, JSON_HEADERS, orjson.dumps(self.status()))
        elif path.startswith(RELEASE_PATH):
            await self._release(incoming, reply)
        elif path == b'/healthz':
            await reply.answer(200, (), b'ok\n')
        else:
            await reply.answer(404, ())

    async def _release(self, incoming: IncomingRequest, reply: Reply) -> None:
        """Release quarantined content on the order of an operator."""
        if incoming.head.method != b'POST':
            await reply.answer(405, ((b'Allow', b'POST'),))
            return
        name = incoming.head.path.removeprefix(RELEASE_PATH)
        content = ContentKey(name.decode('latin-1'))
        if self.quarantine.release(content):
            await reply.answer(
                200, JSON_HEADERS, orjson.dumps({'content': content})
            )
            return
        message = f'no content {content!r} is suspected'
        problem = orjson.dumps({'error': {'message': message}})
        await reply.answer(404, JSON_HEADERS, problem)

    def status(self) -> dict[str, object]:
        """Return the status of the daemon as sections of rows."""
        return {
            'daemon': self.daemon,
            'version': self.configuration.current.version,
            'configuration': [
                {'age_s': round(min(self.configuration.age_s, 1e6), 3)}
            ],
            'daemons': self._daemon_rows(),
            'endpoints': [
                self._endpoint_row(record)
                for record in self.roster.by_id.values()
                if record.gone_at is None
            ],
            'held_requests': self._quarantine_rows(),
            'explained_parts': self._explained_rows(),
            'rollouts': self._rollout_rows(),
        }

    def collect(self) -> None:
        """Set the gauges to the current state."""
        metrics = self.metrics
        metrics.open_requests.set({}, self.open_requests())
        metrics.stopping.set({}, int(self.is_stopping()))
        show_holdings(self.account, self.metrics)
        metrics.configuration_version.set(
            {}, self.configuration.current.version
        )
        metrics.configuration_age_s.set({}, min(self.configuration.age_s, 1e6))
        fresh = len(self.states.fresh())
        silent = len(self.states.by_id) - fresh
        metrics.peers.set({'state': 'fresh'}, fresh)
        metrics.peers.set({'state': 'silent'}, silent)
        metrics.relayed_daemons.set({}, self.states.relayed_daemons)
        metrics.store_era.set({}, self.store_era.current)
        metrics.holds_lease.set({}, int(self.duties.held is not None))
        suspects = self.quarantine.suspects
        quarantined = len(list(suspects.quarantined()))
        metrics.suspects.set({'state': 'held'}, quarantined)
        explained = len(list(suspects.explained()))
        metrics.suspects.set({'state': 'explained'}, explained)
        others = len(suspects.by_content) - quarantined - explained
        metrics.suspects.set({'state': 'suspected'}, others)
        for kind in ('content', 'part'):
            metrics.most_crashes.set(
                {'kind': kind},
                suspects.most_crashes(of_parts=kind == 'part'),
            )
        for view in self.rollouts.by_service.values():
            order = view.rollout.order
            metrics.rollout_share.set(
                {'service': order.service, 'version': order.version},
                self.rollouts.share(order.service),
            )
        counts: dict[tuple[str, str], int] = {}
        for record in self.roster.by_id.values():
            if record.gone_at is None:
                key = (record.listed.service, self._endpoint_state(record))
                counts[key] = counts.get(key, 0) + 1
        for service in {key[0] for key in counts}:
            for state in ('serving', 'limited', 'avoided', 'leaving'):
                labels = {'service': service, 'state': state}
                metrics.endpoints.set(labels, counts.get((service, state), 0))

    def _daemon_rows(self) -> list[dict[str, object]]:
        """Return this daemon, then each peer."""
        fresh = {peer.place.id for peer in self.states.fresh()}
        held = self.duties.held
        rows: list[dict[str, object]] = [
            {
                'daemon': self.states.place.id,
                'address': self.states.place.entry_address,
                'state': self.states.state.name.lower(),
                'heard': 'itself',
                'lease': '' if held is None else held.fencing,
            }
        ]
        for id_, peer in self.states.by_id.items():
            state = MemberState(peer.state).name.lower()
            rows.append(
                {
                    'daemon': id_,
                    'address': peer.place.entry_address,
                    'state': state,
                    'heard': 'fresh' if id_ in fresh else 'silent',
                    'lease': peer.lease_fencing or '',
                }
            )
        return rows

    def _quarantine_rows(self) -> list[dict[str, object]]:
        """Return the quarantined contents."""
        suspects = self.quarantine.suspects
        return [
            {
                'content': suspect.content,
                'crashes': len(suspect.crashed),
                'held_s': round(
                    suspects.quarantine_left_s(suspect.content), 1
                ),
            }
            for suspect in suspects.quarantined()
        ]

    def _explained_rows(self) -> list[dict[str, object]]:
        """Return the parts that are not held because contents explain it."""
        return [
            {
                'content': suspect.content,
                'crashes': len(suspect.crashed),
                'explained_by': content,
            }
            for suspect, content in self.quarantine.suspects.explained()
        ]

    def _rollout_rows(self) -> list[dict[str, object]]:
        """Return the last roll-out of each service, with its trial counts."""
        rows: list[dict[str, object]] = []
        for service, view in self.rollouts.by_service.items():
            total = self.trials.total(service)
            rows.append(
                {
                    'service': service,
                    'version': view.rollout.order.version,
                    'stage': view.rollout.stage,
                    'share': round(self.rollouts.share(service), 3),
                    'tried': '' if total is None else total.trials,
                    'bad': ''
                    if total is None
                    else count_bad_answers(total.by_source),
                    'reason': view.rollout.reason,
                }
            )
        return rows

    def _endpoint_row(self, record: EndpointRecord) -> dict[str, object]:
        now = self.clock()
        failed = record.health.failure_rate(now)
        share = record.share
        return {
            'endpoint': record.id,
            'service': record.listed.service,
            'data_centre': record.listed.data_centre,
            'market': record.listed.market,
            'state': self._endpoint_state(record),
            'under_way': record.load.total(now).requests,
            'failed_share': '' if failed is None else round(failed, 2),
            'limit_per_s': '' if share is None else share.limit_per_s,
            'own_share_per_s': '' if share is None else round(share.per_s, 2),
        }

    def _endpoint_state(self, record: EndpointRecord) -> str:
        if record.is_leaving:
            return 'leaving'
        if record.is_unreachable(self.clock()):
            return 'avoided'
        return 'serving' if record.share is None else 'limited'
