"""Rates of replicas, learned from the load reports of the engines."""

from collections.abc import Iterable, Mapping

from mimosamux_daemon.domain.engine import LoadReport
from mimosamux_daemon.domain.names import ModelName
from mimosamux_daemon.domain.plan import ServiceRate
from mimosamux_daemon.domain.vms import Endpoint

SMOOTHING = 0.05
"""Weight of the newest report."""

RateKey = tuple[ModelName, str]
"""Model and machine class."""


class RateBook:
    """Learned rates by model and machine class."""

    def __init__(self) -> None:
        self._rates_by_key: dict[RateKey, ServiceRate] = {}

    @property
    def current(self) -> Mapping[RateKey, ServiceRate]:
        """Return what has been learned so far."""
        return self._rates_by_key

    def learn(
        self, reported: Iterable[tuple[Endpoint, LoadReport | None]]
    ) -> None:
        """Take the newest report of each endpoint into account."""
        for endpoint, report in reported:
            if endpoint.model is None or report is None or not report.slots:
                continue
            self.take(
                (endpoint.model, endpoint.machine_class), _as_rate(report)
            )

    def take(self, key: RateKey, rate: ServiceRate) -> None:
        """Take one measured rate into account."""
        old = self._rates_by_key.get(key)
        self._rates_by_key[key] = rate if old is None else _mix(old, rate)


def _as_rate(report: LoadReport) -> ServiceRate:
    return ServiceRate(
        prefill_tokens_per_s=report.prefill_tokens_per_s,
        decode_interval_s=report.decode_interval_s,
        slots=report.slots,
    )


def _mix(old: ServiceRate, new: ServiceRate) -> ServiceRate:
    return ServiceRate(
        prefill_tokens_per_s=_step(
            old.prefill_tokens_per_s, new.prefill_tokens_per_s
        ),
        decode_interval_s=_step(old.decode_interval_s, new.decode_interval_s),
        slots=new.slots,
    )


def _step(old: float, new: float) -> float:
    return old + SMOOTHING * (new - old)
