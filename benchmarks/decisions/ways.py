"""The ways to run a day that are compared."""

import itertools
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

import anyio
from mimosamux_daemon.adapters.memory_cloud import MemoryCloud
from mimosamux_daemon.domain.names import DataCentreName, EndpointId, ModelName
from mimosamux_daemon.domain.outcomes import Reason, Refused
from mimosamux_daemon.domain.vms import Market
from mimosamux_daemon.domain.work import ModelRequest
from mimosamux_daemon.ports.models.cloud import StartVM
from mimosamux_daemon.serving.fleet import EndpointState, Fleet
from mimosamux_daemon.serving.routing import Choice, Router

from benchmarks.decisions.users import DATA_CENTRES

TICK_S = 2.0


@dataclass(frozen=True, kw_only=True)
class Way:
    """How VMs are chosen, requests routed and reclaims survived."""

    name: str
    replicas: int = 0
    """VMs of a fixed fleet, spread evenly; 0: our planner decides."""
    routing: str = 'ours'
    """`ours`, `round robin` or `least reported`."""
    only_on_demand: bool = False
    late_share: float = 0.03
    """Share of late requests that the planner plans with."""
    moves_kv: bool = True


OURS = Way(name='ours')
PROMPT_AGAIN = Way(name='prompt again', moves_kv=False)


def on_demand(late_share: float) -> Way:
    """Return our planner without any reclaimable VM."""
    return Way(
        name='all on demand', only_on_demand=True, late_share=late_share
    )


def fixed(routing: str, replicas: int) -> Way:
    """Return a fixed fleet of reclaimable VMs with plain routing."""
    return Way(name=routing, routing=routing, replicas=replicas)


class PlainRouter(Router):
    """Takes endpoints in turn, or believes the latest reports."""

    def __init__(self, *, fleet: Fleet, by_load: bool) -> None:
        super().__init__(fleet=fleet)
        self._plain_fleet = fleet
        self._by_load = by_load
        self._turns = itertools.count()

    def choose(
        self,
        request: ModelRequest,
        *,
        answer_tokens: int = 0,
        excluding: frozenset[EndpointId] = frozenset(),
        accepted: bool = False,
    ) -> Choice | Refused:
        """Return an endpoint; none is refused for being late."""
        states = [
            state
            for state in self._plain_fleet.serving_model(request.model)
            if state.endpoint.id not in excluding
        ]
        if not states:
            return Refused(reason=Reason.NO_ENDPOINT, message='none')
        if self._by_load:
            state = min(states, key=_load_of)
        else:
            state = states[next(self._turns) % len(states)]
        return Choice(endpoint=state.endpoint, first_token_s=0.0)


def _load_of(state: EndpointState) -> int:
    report = state.report
    if report is None:
        return 0
    return report.queued_prefill_tokens + report.running + report.waiting


async def keep_fixed_fleet(cloud: MemoryCloud, replicas: int) -> None:
    """Keep a number of reclaimable VMs, spread evenly, for ever."""
    numbers = itertools.count()
    while True:
        standing = Counter(
            vm.data_centre
            for vm in cloud.live_now()
            if not cloud.by_id[vm.id].was_reclaimed
        )
        for number, name in enumerate(DATA_CENTRES):
            each, more = divmod(replicas, len(DATA_CENTRES))
            wanted = each + (number < more)
            for _ in range(wanted - standing[DataCentreName(name)]):
                await cloud.start_vm(_order(name, next(numbers)))
        await anyio.sleep(TICK_S)


def _order(data_centre: str, number: int) -> StartVM:
    return StartVM(
        order_id=f'fixed-{number}',
        data_centre=DataCentreName(data_centre),
        machine_class='standard',
        market=Market.RECLAIMABLE,
        model=ModelName('model'),
        fencing=1,
    )


ROUTERS: dict[str, Callable[[Fleet], Router]] = {
    'round robin': lambda fleet: PlainRouter(fleet=fleet, by_load=False),
    'least reported': lambda fleet: PlainRouter(fleet=fleet, by_load=True),
}
