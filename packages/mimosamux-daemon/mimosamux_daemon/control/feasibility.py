"""Rejects configured targets that no known VM or engine can meet."""

from collections.abc import Callable
from dataclasses import dataclass

from mimosamux_daemon.control.proposals import Invalid
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.work import WorkClass
from mimosamux_daemon.serving.fleet import Fleet
from mimosamux_daemon.serving.prices import PriceBook


@dataclass(kw_only=True, slots=True)
class TargetCheck:
    """Checks targets against the known prices and engine speeds.

    Unknown prices and speeds reject nothing, because a daemon that has
    just started must not reject a valid configuration.
    """

    prices: PriceBook
    fleet: Fleet
    in_force: Callable[[], Configuration]

    def __call__(self, configuration: Configuration) -> Invalid | None:
        """Return the first new target that cannot be met, if any.

        Unchanged classes pass, because prices that have risen since must
        not keep operators from changing anything else.
        """
        known = self.in_force().classes
        for name, work_class in configuration.classes.items():
            if known.get(name) == work_class:
                continue
            problem = self._find_problem(f'classes.{name}', work_class)
            if problem is not None:
                return problem
        return None

    def _find_problem(
        self, path: str, work_class: WorkClass
    ) -> Invalid | None:
        cheapest = min(self.prices.by_pool.values(), default=0.0)
        if work_class.cost_ceiling_per_hour < cheapest:
            return Invalid(
                path=f'{path}.cost_ceiling_per_hour',
                problem=f'the cheapest VM costs {cheapest:g} an hour',
            )
        fastest = min(self._decode_intervals(), default=0.0)
        if work_class.token_interval_s < fastest:
            return Invalid(
                path=f'{path}.token_interval_s',
                problem=f'the fastest engine takes {fastest:g} s a token',
            )
        return None

    def _decode_intervals(self) -> list[float]:
        return [
            state.report.decode_interval_s
            for state in self.fleet.by_id.values()
            if state.report is not None
        ]
