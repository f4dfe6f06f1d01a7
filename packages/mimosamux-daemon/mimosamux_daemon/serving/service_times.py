"""Service times: how long requests occupy an engine slot.

Each mean is an exponentially weighted moving average over ended requests.
"""

from typing import NamedTuple

from mimosamux_daemon.domain.names import ClassName, ModelName

SAMPLE_WEIGHT = 0.05
"""Weight of the newest sample in a mean."""
DEFAULT_SERVICE_S = 5.0
"""Service time assumed while no request has ended."""


class WorkKind(NamedTuple):
    """Model and class of a request; service times are similar within both."""

    model: ModelName
    work_class: ClassName


class ServiceTimes:
    """Mean service time in seconds, by kind of work and by model."""

    def __init__(self) -> None:
        self._mean_by_kind: dict[WorkKind, float] = {}
        self._mean_by_model: dict[ModelName, float] = {}

    def mean_of_kind(self, kind: WorkKind, *, max_s: float) -> float:
        """Return the mean of a kind, capped at and defaulting to `max_s`."""
        return min(self._mean_by_kind.get(kind, max_s), max_s)

    def mean_of_model(self, model: ModelName, *, default_s: float) -> float:
        """Return the mean of a model, `default_s` without samples."""
        return self._mean_by_model.get(model, default_s)

    def add_sample(self, kind: WorkKind, seconds: float) -> None:
        """Add the service time of an ended request."""
        mean = self._mean_by_kind.get(kind, seconds)
        self._mean_by_kind[kind] = mean + SAMPLE_WEIGHT * (seconds - mean)
        mean = self._mean_by_model.get(kind.model, seconds)
        self._mean_by_model[kind.model] = mean + SAMPLE_WEIGHT * (
            seconds - mean
        )
