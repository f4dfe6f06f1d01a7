"""Endpoint and class rows of `mimosamux status`."""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.names import ClassName
from mimosamux_daemon.planning_parts import PlanningParts
from mimosamux_daemon.serving.first_tokens import FirstTokenTimes
from mimosamux_daemon.serving_parts import ServingParts


@dataclass(frozen=True, kw_only=True, slots=True)
class StatusReport:
    """Builds the status rows from the state of this daemon."""

    serving: ServingParts
    planning: PlanningParts
    first_tokens: FirstTokenTimes
    configuration: Callable[[], Configuration]

    def endpoints(self) -> Sequence[Mapping[str, Any]]:
        """Return a row for each endpoint: state, load and price an hour."""
        return [
            {
                'endpoint': state.endpoint.id,
                'data_centre': state.endpoint.data_centre,
                'serves': state.endpoint.model or state.endpoint.service,
                'state': 'leaving' if state.is_leaving else 'ready',
                'market': state.endpoint.market,
                'per_hour': self.serving.prices.by_pool.get(state.pool),
                'open_from_here': len(state.open_by_request),
                'running': state.report.running if state.report else None,
                'waiting': state.report.waiting if state.report else None,
            }
            for state in self.serving.fleet.by_id.values()
        ]

    def classes(self) -> Sequence[Mapping[str, Any]]:
        """Return a row for each work class.

        It compares the time to the first token with the target, and gives the
        cost ceiling and the amount an hour missing under it.
        """
        missing = {
            shortfall.work_class: shortfall.missing_per_hour
            for shortfall in self.planning.planning_view.ceilings.shortfalls
        }
        return [
            self._describe(name, missing.get(name))
            for name in self.configuration().classes
        ]

    def _describe(
        self, name: ClassName, missing_per_hour: float | None
    ) -> Mapping[str, Any]:
        work_class = self.configuration().classes[name]
        summary = self.first_tokens.summary(name)
        ceiling = work_class.cost_ceiling_per_hour
        return {
            'class': name,
            'target_first_token_s': work_class.first_token_s,
            'p95_first_token_s': summary.p95_s,
            'within_target': summary.share_within_target,
            'answers': summary.count,
            'ceiling_per_hour': None if ceiling == float('inf') else ceiling,
            'missing_per_hour': missing_per_hour,
        }
