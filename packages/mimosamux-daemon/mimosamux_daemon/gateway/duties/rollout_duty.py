"""Executes roll-out orders, as the daemon that holds the lease of this duty.

A roll-out passes through the stages trial (a share of the requests), takeover
(every new request) and clearing (remaining streams move). It ends completed
or, if the new version is judged bad, reverted.
"""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace
from typing import Protocol

import anyio

from mimosamux_daemon.control.leases import Lease
from mimosamux_daemon.domain.names import ServiceName
from mimosamux_daemon.domain.rollouts import (
    Rollout,
    RolloutOrder,
    RolloutStage,
)
from mimosamux_daemon.domain.routes import GatewayConfiguration
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.demand import Demand
from mimosamux_daemon.gateway.exchange.peer_states import PeerStates
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.rollout_exchange import RolloutExchange
from mimosamux_daemon.gateway.rollout_rows import RolloutRows, WriteResult
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.trial_judge import Evidence, Judgement, Verdict
from mimosamux_daemon.gateway.trial_share import TrialShare
from mimosamux_daemon.gateway.trial_tallies import TrialCounts, TrialTallies
from mimosamux_daemon.logs import get_log

log = get_log('rollout_duty')

TICK_S = 0.25
SHARE_INTERVAL_S = 0.5
"""Time between two announcements of the share that a version may get."""
MIN_TAKEOVER_S = 1.0
"""Shortest time for which the new version gets every new request before the
other versions are cleared. The roll-out can still be reverted in it."""
CONFIRMATION_TIMEOUT_S = 2.0
"""Longest wait for the other daemons to report that a step is in force."""
MAX_UTILISATION = 0.7
"""Highest planned utilisation of an endpoint once its version gets every
request."""
DECISION_MARGIN_S = 0.5
"""Time before an order's deadline at which a trial without a verdict is
reverted."""
CLEARING_GRACE_S = 8.0
"""Grace period after an order's deadline for streams at the other versions:
ending late costs less than cutting them off."""


class Judge(Protocol):
    """Judges a new version by its answers."""

    def judge(self, evidence: Evidence) -> Judgement:
        """Return the judgement that the answers so far support."""


@dataclass(kw_only=True, slots=True)
class RolloutDuty:
    """Advances the roll-outs of all services while a lease is held."""

    rows: RolloutRows
    rollouts: Rollouts
    tallies: TrialTallies
    exchange: RolloutExchange
    states: PeerStates
    roster: Roster
    make_judge: Callable[[], Judge]
    demand: Demand
    configuration: Callable[[], GatewayConfiguration]
    store_time: Callable[[], float | None]
    """Returns the store's time in seconds, None while it is unknown."""
    clock: Callable[[], float]
    metrics: GatewayMetrics
    _needs_read: bool = True
    """Whether the rows may contain steps that this daemon does not know."""
    _announced_at: dict[ServiceName, float] = field(default_factory=dict)
    """Time of the last share announcement for each service."""
    _judge_by_order: dict[int, Judge] = field(default_factory=dict)
    """Judges by the number of their order."""
    _step_seen_at: dict[ServiceName, tuple[int, float]] = field(
        default_factory=dict
    )
    """Newest step of each service and the time it was first seen."""

    async def run(self, lease: Lease) -> None:
        """Advance roll-outs until cancelled."""
        self._needs_read = True
        await self.rollouts.ordered.wait()
        while True:
            if lease.is_valid():
                await self._advance_all()
            await anyio.sleep(TICK_S)

    async def _advance_all(self) -> None:
        if self._needs_read and not await self.rows.read_all():
            return
        self._needs_read = False
        now = self.store_time()
        if now is None or self.configuration().version == 0:
            # Without a configuration every service would seem unknown.
            return
        for service, order in tuple(self.rollouts.orders_by_service.items()):
            view = self.rollouts.by_service.get(service)
            if view is not None and order.is_rewrite_of(view.rollout.order):
                # This also restores the step, if the table has lost it.
                await self._write(replace(view.rollout, order=order))
            elif view is None or order.replaces(view.rollout.order):
                previous = None if view is None else view.rollout
                await self._start_rollout(order, previous, now)
            elif not view.rollout.stage.is_over:
                await self._advance(view.rollout, now)

    async def _start_rollout(
        self, order: RolloutOrder, previous: Rollout | None, now: float
    ) -> None:
        stage, reason = self._find_first_stage(order)
        unapproved_versions: set[str] = set()
        if previous is not None:
            unapproved_versions = set(previous.unproven_versions()) - {
                order.version
            }
        rollout = Rollout(
            order=order,
            stage=stage,
            step=1,
            began_at=now,
            unapproved_versions=tuple(sorted(unapproved_versions)),
            reason=reason,
        )
        await self._write(rollout)

    def _find_first_stage(
        self, order: RolloutOrder
    ) -> tuple[RolloutStage, str]:
        if order.service not in self.configuration().services_by_name:
            return RolloutStage.REVERTED, 'no such service'
        if order.within_s <= 0:
            return RolloutStage.REVERTED, 'no time to bring it in'
        serving = self.roster.serving(order.service)
        running_versions = {record.listed.software for record in serving}
        if running_versions == {order.version}:
            return RolloutStage.COMPLETED, 'it runs already'
        return RolloutStage.TRIAL, 'ordered'

    async def _advance(self, rollout: Rollout, now: float) -> None:
        if rollout.stage is RolloutStage.TRIAL:
            await self._advance_trial(rollout, now)
        elif rollout.stage is RolloutStage.TAKEOVER:
            await self._advance_takeover(rollout, now)
        else:
            await self._advance_clearing(rollout, now)

    async def _advance_trial(self, rollout: Rollout, now: float) -> None:
        judgement = self._judge(rollout, now)
        if judgement.verdict is Verdict.BAD:
            await self._advance_to(
                rollout, RolloutStage.REVERTED, judgement.reason
            )
        elif judgement.verdict is Verdict.GOOD and self._has_capacity(rollout):
            await self._advance_to(
                rollout, RolloutStage.TAKEOVER, judgement.reason
            )
        elif now >= rollout.ends_at - DECISION_MARGIN_S:
            reason = f'not proven in time: {judgement.reason}'
            await self._advance_to(rollout, RolloutStage.REVERTED, reason)
        else:
            self._announce_share(rollout, now)

    async def _advance_takeover(self, rollout: Rollout, now: float) -> None:
        judgement = self._judge(rollout, now)
        if judgement.verdict is Verdict.BAD:
            await self._advance_to(
                rollout, RolloutStage.REVERTED, judgement.reason
            )
            return
        step_age_s = self._step_age_s(rollout)
        is_confirmed = (
            self._is_in_force(rollout) or step_age_s > CONFIRMATION_TIMEOUT_S
        )
        if is_confirmed and step_age_s > MIN_TAKEOVER_S:
            await self._advance_to(
                rollout, RolloutStage.CLEARING, judgement.reason
            )

    async def _advance_clearing(self, rollout: Rollout, now: float) -> None:
        is_clear = self._is_in_force(rollout) and not self._count_in_flight(
            rollout
        )
        if is_clear or now > rollout.ends_at + CLEARING_GRACE_S:
            await self._advance_to(
                rollout, RolloutStage.COMPLETED, rollout.reason
            )

    def _judge(self, rollout: Rollout, now: float) -> Judgement:
        service = rollout.order.service
        total = self.tallies.total(service)
        number = rollout.order.number
        if number not in self._judge_by_order:
            self._judge_by_order[number] = self.make_judge()
        return self._judge_by_order[number].judge(
            Evidence(
                by_source={} if total is None else total.by_source,
                elapsed=(now - rollout.began_at) / rollout.order.within_s,
                is_urgent=not self._endpoints_of_others(rollout),
            )
        )

    def _has_capacity(self, rollout: Rollout) -> bool:
        """Whether the new version has enough endpoints for all requests.

        With fewer of them a takeover would refuse requests.
        """
        new = len(self._endpoints_of_new(rollout))
        others = len(self._endpoints_of_others(rollout))
        busy = self.demand.peak_offered_load(rollout.order.service)
        return new >= max(1, min(others, math.ceil(busy / MAX_UTILISATION)))

    def _endpoints_of_new(self, rollout: Rollout) -> list[EndpointRecord]:
        return [
            record
            for record in self.roster.serving(rollout.order.service)
            if record.listed.software == rollout.order.version
        ]

    def _endpoints_of_others(self, rollout: Rollout) -> list[EndpointRecord]:
        return [
            record
            for record in self.roster.serving(rollout.order.service)
            if record.listed.software != rollout.order.version
        ]

    def _is_in_force(self, rollout: Rollout) -> bool:
        """Whether all reachable daemons report that a step is in force."""
        return all(
            counts is not None
            and (counts.number, counts.step) >= rollout.progress
            for counts in self._peer_counts(rollout)
        )

    def _count_in_flight(self, rollout: Rollout) -> int:
        """Count the requests in flight at other versions, at all daemons."""
        return self.tallies.open_elsewhere(rollout.order.service) + sum(
            counts.open_elsewhere
            for counts in self._peer_counts(rollout)
            if counts is not None
        )

    def _peer_counts(self, rollout: Rollout) -> Iterator[TrialCounts | None]:
        service = rollout.order.service
        for peer in self.states.fresh():
            yield self.tallies.peer_counts(peer.place.id, service)

    def _announce_share(self, rollout: Rollout, now: float) -> None:
        service = rollout.order.service
        if (
            self.clock()
            < self._announced_at.get(service, 0.0) + SHARE_INTERVAL_S
        ):
            return
        self._announced_at[service] = self.clock()
        total = self.tallies.total(service)
        view = self.rollouts.by_service[service]
        if total is None or view.is_stopped:
            return
        share = TrialShare(limits=self.rollouts.limits).find(
            requests=total.requests,
            trials=total.trials,
            passed_s=now - rollout.began_at,
        )
        sequence = view.sequence + 1
        self.rollouts.apply_share(rollout, sequence, share)
        self.exchange.announce(rollout, sequence=sequence, share=share)

    def _step_age_s(self, rollout: Rollout) -> float:
        """Return the time since this daemon first saw the current step."""
        service = rollout.order.service
        step, at = self._step_seen_at.get(service, (0, 0.0))
        if step != rollout.step:
            at = self.clock()
            self._step_seen_at[service] = (rollout.step, at)
        return self.clock() - at

    async def _advance_to(
        self, rollout: Rollout, stage: RolloutStage, reason: str
    ) -> None:
        """Store and announce the next step of a roll-out."""
        await self._write(rollout.advance(stage, reason))

    async def _write(self, rollout: Rollout) -> None:
        result = await self.rows.write(rollout)
        if result is WriteResult.UNKNOWN:
            self._needs_read = True
            return
        if result is WriteResult.CONFLICT:
            return
        self.rollouts.apply_step(rollout, source='own decision')
        self.exchange.announce(rollout, sequence=0, share=0.0)
        self.metrics.rollout_steps.inc({'stage': rollout.stage})
