"""The parts of a daemon that choose an endpoint, without the rest of it."""

from mimosamux_daemon.domain.names import DataCentreName
from mimosamux_daemon.gateway.balancing.choice import Chooser
from mimosamux_daemon.gateway.balancing.engine_candidates import (
    EngineCandidates,
)
from mimosamux_daemon.gateway.balancing.load_forecast import LoadForecast
from mimosamux_daemon.gateway.balancing.prefix_cache_index import (
    PrefixCacheIndex,
)
from mimosamux_daemon.gateway.balancing.service_endpoints import (
    ServiceEndpoints,
)
from mimosamux_daemon.gateway.rollouts import RolloutLimits, Rollouts


def make_chooser(
    roster,
    *,
    clock,
    rng,
    zone='north',
    daemons=lambda: 1,
    is_relayed=lambda: False,
    endpoints=None,
):
    """Return a chooser for the endpoints that are listed from now on."""
    endpoints = ServiceEndpoints() if endpoints is None else endpoints
    roster.on_listed.append(endpoints.add)
    roster.on_leaving.append(endpoints.discard)
    return Chooser(
        prefix_index=PrefixCacheIndex(is_current=roster.is_current),
        roster=roster,
        rollouts=Rollouts(
            limits=RolloutLimits(),
            serving=roster.serving,
            is_isolated=lambda: False,
            clock=clock,
        ),
        forecast=LoadForecast(
            is_relayed=is_relayed, endpoints=endpoints.records
        ),
        candidates=EngineCandidates(endpoints=endpoints, rng=rng),
        daemons=daemons,
        data_centre=DataCentreName(zone),
        clock=clock,
        rng=rng,
    )
