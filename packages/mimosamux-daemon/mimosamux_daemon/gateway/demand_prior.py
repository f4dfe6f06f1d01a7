"""What demand to expect before any was seen.

A daemon that starts with the installation knows nothing of its callers but
what operators granted them. Without a guess there are too few endpoints for
the seconds in which more of them start, and requests are late or refused.
"""

from mimosamux_daemon.domain.names import ServiceName
from mimosamux_daemon.domain.routes import GatewayConfiguration
from mimosamux_daemon.gateway.engine_speed import DEFAULT_TOKENS_PER_S

CAPS_USED = 0.5
"""Part of all caps together that is expected to be used. On eight recorded
days of two installations the first ten seconds used 0.39 to 0.66 of them."""


def expect_busy(
    configuration: GatewayConfiguration, service: ServiceName
) -> float:
    """Return how many endpoints of a service accounts likely keep busy.

    Only caps in tokens tell anything; without any, nothing is expected.
    """
    services = configuration.services_by_name
    sharing = [name for name, each in services.items() if each.scaling]
    if service not in sharing:
        return 0.0
    tokens_per_s = sum(
        account.cap.rate_per_s
        for account in configuration.accounts_by_id.values()
        if account.cap is not None and account.cap.is_in_tokens
    )
    return CAPS_USED * tokens_per_s / DEFAULT_TOKENS_PER_S / len(sharing)
