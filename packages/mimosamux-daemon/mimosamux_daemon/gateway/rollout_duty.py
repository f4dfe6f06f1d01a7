"""Carries orders for new versions out, as the holder of the duty."""

import math
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
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
from mimosamux_daemon.gateway.demand import Demand
from mimosamux_daemon.gateway.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.peer_states import PeerStates
from mimosamux_daemon.gateway.rollout_exchange import RolloutExchange
from mimosamux_daemon.gateway.rollout_rows import RolloutRows, WriteResult
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.trial_judge import Evidence, Judgement, Verdict
from mimosamux_daemon.gateway.trial_share import TrialShare
from mimosamux_daemon.gateway.trial_tallies import Counts, TrialTallies
from mimosamux_daemon.logs import get_log

log = get_log('rollout_duty')

TICK_S = 0.25
TOLD_S = 0.5
"""Time between two words of the share that a version may get."""
TAKEOVER_S = 1.0
"""Time for which the new version has every new request before the others are
given up: it can still be taken back then."""
UNTOLD_S = 2.0
"""Longest wait for daemons to say that a step is in force there."""
BUSY_SHARE = 0.7
"""Share of its time for which an endpoint may be busy once its version has
every request."""
LAST_S = 0.5
"""Time before the end of an order at which a trial without a verdict ends."""
LATE_S = 8.0
"""Time beyond the end of an order for which streams that run at the other
versions are waited for: ending late costs less than cutting them off."""


class Judge(Protocol):
    """Judges a new version by its answers."""

    def judge(self, evidence: Evidence) -> Judgement:
        """Return what the answers so far say of the new version."""


@dataclass(kw_only=True, slots=True)
class RolloutDuty:
    """The duty of bringing versions in, for as long as a lease is held."""

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
    """The store's clock in seconds, None before it was ever seen."""
    clock: Callable[[], float]
    metrics: GatewayMetrics
    _needs_read: bool = True
    """Whether a row may have changed that is not known here."""
    _told_at: dict[ServiceName, float] = field(default_factory=dict)
    _judge_by_order: dict[int, Judge] = field(default_factory=dict)
    _step_at: dict[ServiceName, tuple[int, float]] = field(
        default_factory=dict
    )
    """Newest step of each service, and since when it is known here."""

    async def run(self, lease: Lease) -> None:
        """Take one step after the other until cancelled."""
        self._needs_read = True
        while True:
            if lease.is_valid() and self.rollouts.orders_by_service:
                await self._advance_all()
            await anyio.sleep(TICK_S)

    async def _advance_all(self) -> None:
        if self._needs_read and not await self.rows.read_all():
            return
        self._needs_read = False
        now = self.store_time()
        if now is None or self.configuration().version == 0:
            # Every service is unknown before the configuration is.
            return
        for service, order in tuple(self.rollouts.orders_by_service.items()):
            known = self.rollouts.by_service.get(service)
            if known is None or known.rollout.order.number < order.number:
                before = None if known is None else known.rollout
                await self._begin(order, before, now)
            elif not known.rollout.stage.is_over:
                await self._advance(known.rollout, now)

    async def _begin(
        self, order: RolloutOrder, before: Rollout | None, now: float
    ) -> None:
        stage, reason = self._find_first_stage(order)
        held_back: set[str] = set()
        if before is not None:
            held_back = set(before.unproven()) - {order.version}
        rollout = Rollout(
            order=order,
            stage=stage,
            step=1,
            began_at=now,
            held_back=tuple(sorted(held_back)),
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
        runs = {record.listed.software for record in serving}
        if runs == {order.version}:
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
            await self._step(rollout, RolloutStage.REVERTED, judgement.reason)
        elif judgement.verdict is Verdict.GOOD and self._has_enough(rollout):
            await self._step(rollout, RolloutStage.TAKEOVER, judgement.reason)
        elif now >= rollout.ends_at - LAST_S:
            reason = f'not proven in time: {judgement.reason}'
            await self._step(rollout, RolloutStage.REVERTED, reason)
        else:
            self._tell_share(rollout, now)

    async def _advance_takeover(self, rollout: Rollout, now: float) -> None:
        judgement = self._judge(rollout, now)
        if judgement.verdict is Verdict.BAD:
            await self._step(rollout, RolloutStage.REVERTED, judgement.reason)
            return
        since_s = self._since_s(rollout)
        is_told = self._is_in_force(rollout) or since_s > UNTOLD_S
        if is_told and since_s > TAKEOVER_S:
            await self._step(rollout, RolloutStage.CLEARING, judgement.reason)

    async def _advance_clearing(self, rollout: Rollout, now: float) -> None:
        is_clear = self._is_in_force(rollout) and not self._count_open(rollout)
        if is_clear or now > rollout.ends_at + LATE_S:
            await self._step(rollout, RolloutStage.COMPLETED, rollout.reason)

    def _judge(self, rollout: Rollout, now: float) -> Judgement:
        service = rollout.order.service
        total = self.tallies.total(service)
        number = rollout.order.number
        if number not in self._judge_by_order:
            self._judge_by_order[number] = self.make_judge()
        return self._judge_by_order[number].judge(
            Evidence(
                by_kind={} if total is None else total.by_kind,
                passed=(now - rollout.began_at) / rollout.order.within_s,
                is_urgent=not self._others(rollout),
            )
        )

    def _has_enough(self, rollout: Rollout) -> bool:
        """Whether the new version has endpoints for all requests.

        Without them a takeover would turn callers away.
        """
        new = len(self._new(rollout))
        others = len(self._others(rollout))
        busy = self.demand.peak_offered_load(rollout.order.service)
        return new >= max(1, min(others, math.ceil(busy / BUSY_SHARE)))

    def _new(self, rollout: Rollout) -> list[EndpointRecord]:
        return [
            record
            for record in self.roster.serving(rollout.order.service)
            if record.listed.software == rollout.order.version
        ]

    def _others(self, rollout: Rollout) -> list[EndpointRecord]:
        return [
            record
            for record in self.roster.serving(rollout.order.service)
            if record.listed.software != rollout.order.version
        ]

    def _is_in_force(self, rollout: Rollout) -> bool:
        """Whether each daemon that is in touch has said so."""
        return all(
            counts is not None and (counts.number, counts.step) >= rollout.age
            for counts in self._told_counts(rollout)
        )

    def _count_open(self, rollout: Rollout) -> int:
        """Return the requests under way at endpoints of other versions."""
        return self.tallies.open_elsewhere(rollout.order.service) + sum(
            counts.open_elsewhere
            for counts in self._told_counts(rollout)
            if counts is not None
        )

    def _told_counts(self, rollout: Rollout) -> Iterator[Counts | None]:
        service = rollout.order.service
        for peer in self.states.fresh():
            yield self.tallies.peer_counts(peer.place.id, service)

    def _tell_share(self, rollout: Rollout, now: float) -> None:
        service = rollout.order.service
        if self.clock() < self._told_at.get(service, 0.0) + TOLD_S:
            return
        self._told_at[service] = self.clock()
        total = self.tallies.total(service)
        known = self.rollouts.by_service[service]
        if total is None or known.is_stopped:
            return
        share = TrialShare(limits=self.rollouts.limits).find(
            requests=total.requests,
            trials=total.trials,
            passed_s=now - rollout.began_at,
        )
        word = known.word + 1
        self.rollouts.take_share(rollout, word, share)
        self.exchange.tell(rollout, word=word, share=share)

    def _since_s(self, rollout: Rollout) -> float:
        """Return the time since a step was first seen here."""
        service = rollout.order.service
        step, at = self._step_at.get(service, (0, 0.0))
        if step != rollout.step:
            at = self.clock()
            self._step_at[service] = (rollout.step, at)
        return self.clock() - at

    async def _step(
        self, rollout: Rollout, stage: RolloutStage, reason: str
    ) -> None:
        await self._write(rollout.advance(stage, reason))

    async def _write(self, rollout: Rollout) -> None:
        result = await self.rows.write(rollout)
        if result is WriteResult.UNKNOWN:
            self._needs_read = True
            return
        if result is WriteResult.CONFLICT:
            return
        self.rollouts.take(rollout, source='own decision')
        self.exchange.tell(rollout, word=0, share=0.0)
        self.metrics.rollout_steps.inc({'stage': rollout.stage})
