"""Service rates of replicas, estimated from the engines' load reports."""

from collections.abc import Iterable, Mapping

from mimosamux_daemon.domain.engine import LoadReport
from mimosamux_daemon.domain.names import ModelName
from mimosamux_daemon.domain.plan import ServiceRate
from mimosamux_daemon.domain.vms import Endpoint

EWMA_WEIGHT = 0.05
"""Weight of the newest report in the moving average."""

RateKey = tuple[ModelName, str]
"""Model and machine class."""


class RateEstimates:
    """Exponential moving averages of rates by model and machine class."""

    def __init__(self) -> None:
        self._rates_by_key: dict[RateKey, ServiceRate] = {}

    @property
    def current(self) -> Mapping[RateKey, ServiceRate]:
        """Return the current estimates."""
        return self._rates_by_key

    def add_reports(
        self, reported: Iterable[tuple[Endpoint, LoadReport | None]]
    ) -> None:
        """Add the newest report of each endpoint to the averages."""
        for endpoint, report in reported:
            if endpoint.model is None or report is None or not report.slots:
                continue
            self.add(
                (endpoint.model, endpoint.machine_class), _as_rate(report)
            )

    def add(self, key: RateKey, rate: ServiceRate) -> None:
        """Add one measured rate to its average."""
        old = self._rates_by_key.get(key)
        self._rates_by_key[key] = (
            rate if old is None else _update_average(old, rate)
        )


def _as_rate(report: LoadReport) -> ServiceRate:
    return ServiceRate(
        prefill_tokens_per_s=report.prefill_tokens_per_s,
        decode_interval_s=report.decode_interval_s,
        slots=report.slots,
    )


def _update_average(old: ServiceRate, new: ServiceRate) -> ServiceRate:
    return ServiceRate(
        prefill_tokens_per_s=_ewma(
            old.prefill_tokens_per_s, new.prefill_tokens_per_s
        ),
        decode_interval_s=_ewma(old.decode_interval_s, new.decode_interval_s),
        slots=new.slots,
    )


def _ewma(old: float, new: float) -> float:
    return old + EWMA_WEIGHT * (new - old)
