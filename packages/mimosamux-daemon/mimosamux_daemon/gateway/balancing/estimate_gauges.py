"""Gauges of what a daemon has learned about engines and services."""

from dataclasses import dataclass

from mimosamux_daemon.gateway.balancing.choice import Chooser
from mimosamux_daemon.gateway.configuration import ConfirmedConfiguration
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.streams.versions import SoftwareVersions


@dataclass(frozen=True, kw_only=True, slots=True)
class EstimateGauges:
    """Sets the gauges that the choice of an endpoint relies on."""

    chooser: Chooser
    versions: SoftwareVersions
    configuration: ConfirmedConfiguration
    metrics: GatewayMetrics

    def collect(self) -> None:
        """Set the gauges to the current state."""
        self._collect_residence_times()
        self._collect_engine_factors()
        self._collect_software_versions()

    def _collect_residence_times(self) -> None:
        gauge = self.metrics.residence_s
        by_service = self.chooser.forecast.residence_by_service
        for service, residence in by_service.items():
            for work, time in (
                ('request', residence.request),
                ('prefill', residence.prefill),
            ):
                gauge.set({'service': service, 'work': work}, time.mean_s)

    def _collect_engine_factors(self) -> None:
        gauge = self.metrics.engine_factor
        factors = self.chooser.engine_factors
        for service, fastest, slowest in factors.range_by_service():
            gauge.set({'service': service, 'bound': 'fastest'}, fastest)
            gauge.set({'service': service, 'bound': 'slowest'}, slowest)

    def _collect_software_versions(self) -> None:
        for service in self.configuration.current.services_by_name:
            count = len(self.versions.of(service))
            self.metrics.software_versions.set({'service': service}, count)
