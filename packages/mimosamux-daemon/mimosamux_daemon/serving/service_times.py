"""How long requests hold a slot of an engine, learned by kind."""

from typing import NamedTuple

from mimosamux_daemon.domain.names import ClassName, ModelName

NEWEST_WEIGHT = 0.05
"""Weight of the newest request in a mean."""
DEFAULT_SERVICE_S = 5.0
"""Time that a request holds a slot, until some have been seen."""


class WorkKind(NamedTuple):
    """Requests that take about as long as each other."""

    model: ModelName
    work_class: ClassName


class ServiceTimes:
    """Mean time in seconds by kind of work and by model."""

    def __init__(self) -> None:
        self._mean_by_kind: dict[WorkKind, float] = {}
        self._mean_by_model: dict[ModelName, float] = {}

    def of_kind(self, kind: WorkKind, *, at_most_s: float) -> float:
        """Return the mean of a kind, before any was seen the most."""
        return min(self._mean_by_kind.get(kind, at_most_s), at_most_s)

    def of_model(self, model: ModelName, *, unseen_s: float) -> float:
        """Return the mean over a model, `unseen_s` before any was seen."""
        return self._mean_by_model.get(model, unseen_s)

    def note(self, kind: WorkKind, seconds: float) -> None:
        """Learn from a request that ended."""
        mean = self._mean_by_kind.get(kind, seconds)
        self._mean_by_kind[kind] = mean + NEWEST_WEIGHT * (seconds - mean)
        mean = self._mean_by_model.get(kind.model, seconds)
        self._mean_by_model[kind.model] = mean + NEWEST_WEIGHT * (
            seconds - mean
        )
