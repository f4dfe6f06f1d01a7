"""Estimates the offered load before any request was observed.

When a whole site starts, the caps of the client accounts are all that a
daemon knows about the load to come. Without an estimate there would be too
few endpoints until further ones have started, and requests would be late or
refused for those seconds.
"""

from mimosamux_daemon.domain.names import ServiceName
from mimosamux_daemon.domain.routes import GatewayConfiguration
from mimosamux_daemon.gateway.balancing.engine_speed import (
    DEFAULT_TOKENS_PER_S,
)

CAP_UTILISATION = 0.5
"""Expected use, as a share of the sum of all caps. On eight recorded days of
two installations the first ten seconds used 0.39 to 0.66 of it."""


def estimate_offered_load(
    configuration: GatewayConfiguration, service: ServiceName
) -> float:
    """Return the load that accounts likely offer to a service, in endpoints.

    The load divides evenly among the services that scale. Only caps in
    tokens count; without any, the estimate is 0.
    """
    services = configuration.services_by_name
    scaled = [name for name, each in services.items() if each.scaling]
    if service not in scaled:
        return 0.0
    tokens_per_s = sum(
        account.cap.rate_per_s
        for account in configuration.accounts_by_id.values()
        if account.cap is not None and account.cap.is_in_tokens
    )
    return CAP_UTILISATION * tokens_per_s / DEFAULT_TOKENS_PER_S / len(scaled)
