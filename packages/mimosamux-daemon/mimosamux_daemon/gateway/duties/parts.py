"""Builds the duties that one daemon at a time does for all, and runs them."""

from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_daemon.gateway.duties.metering import Metering
from mimosamux_daemon.gateway.duties.rollout_duty import RolloutDuty
from mimosamux_daemon.gateway.duties.scaling import Scaling
from mimosamux_daemon.gateway.parts import GatewayParts
from mimosamux_daemon.gateway.trial_judge import SequentialJudge
from mimosamux_daemon.ports.duty_calls import DutyCalls
from mimosamux_daemon.ports.gateway_platform import GatewayPlatform


@dataclass(frozen=True, kw_only=True, slots=True)
class DutyParts:
    """The duties of a daemon, made of its other parts."""

    parts: GatewayParts
    platform: GatewayPlatform
    clock: Callable[[], float]

    async def run(self, calls: DutyCalls) -> None:
        """Compete for the lease of the duties until cancelled."""
        await self.parts.duties.run(
            metering=self._build_metering(calls),
            scaling=self._build_scaling(calls),
            rollouts=self._build_rollout_duty(),
        )

    def _build_metering(self, calls: DutyCalls) -> Metering:
        """Return the duty of reporting usage."""
        parts = self.parts
        return Metering(
            table=self.platform.table,
            table_era=self.platform.store_era,
            calls=calls,
            request_counts=parts.request_counts,
            finalized=parts.finalized_windows,
            lateness_s=parts.settings.usage_lateness_s,
            propagation_s=lambda: parts.states.propagation_s,
            metrics=parts.metrics,
            lose_lease=lambda lease: lease.end(),
        )

    def _build_scaling(self, calls: DutyCalls) -> Scaling:
        """Return the duty of ordering endpoints."""
        parts = self.parts
        scaling = Scaling(
            calls=calls,
            roster=parts.roster,
            demand=parts.demand,
            configuration=lambda: parts.configuration.current,
            first_start=parts.settings.first_start,
            clock=self.clock,
            metrics=parts.metrics,
            lose_lease=lambda lease: lease.end(),
            rollouts=parts.rollouts,
        )
        parts.roster.on_leaving.append(scaling.note_leaving)
        parts.rollouts.on_changed.append(scaling.note_rollout)
        return scaling

    def _build_rollout_duty(self) -> RolloutDuty:
        """Return the duty of carrying out roll-outs."""
        parts = self.parts
        return RolloutDuty(
            rows=parts.rollout_rows,
            rollouts=parts.rollouts,
            tallies=parts.trials,
            exchange=parts.rollout_exchange,
            states=parts.states,
            roster=parts.roster,
            make_judge=SequentialJudge,
            demand=parts.demand,
            configuration=lambda: parts.configuration.current,
            store_time=parts.store_time,
            clock=self.clock,
            metrics=parts.metrics,
        )
