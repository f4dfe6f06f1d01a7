"""The control loop that scales the VMs of one data centre.

While it holds the lease of its data centre, a planner repeatedly fetches
the state of the cloud, computes a plan and starts or stops VMs. Every
planner computes the plan for all data centres from the same demand, prices
and VMs, so the plans agree; each carries out the part of its own data
centre.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.control.demand import DemandPolicy, Forecast
from mimosamux_daemon.control.lease_keeper import LeaseKeeper
from mimosamux_daemon.control.leases import Lease
from mimosamux_daemon.control.order_rows import OrderRows, VMOrder
from mimosamux_daemon.control.orders import OrderDependencies, Orders
from mimosamux_daemon.control.planning import (
    PlanInput,
    PlanningPolicy,
    make_plan,
)
from mimosamux_daemon.control.planning_exchange import (
    PlanningExchange,
    make_summary,
)
from mimosamux_daemon.control.rates import RateEstimates
from mimosamux_daemon.control.steps import (
    ObservedState,
    PlanSteps,
    compute_steps,
)
from mimosamux_daemon.domain.configuration import Configuration
from mimosamux_daemon.domain.engine import LoadReport
from mimosamux_daemon.domain.names import (
    DaemonId,
    DataCentreName,
    ModelName,
    VMId,
)
from mimosamux_daemon.domain.plan import (
    ClassDemand,
    ModelOffer,
    Offer,
    OfferCount,
    Plan,
    offer_of,
)
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import VM, Endpoint, VMRole, VMState
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.models.cloud import Cloud
from mimosamux_daemon.ports.table import Table

log = get_log('planner')

LoadReports = Callable[[], Sequence[tuple[Endpoint, LoadReport | None]]]


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannerPolicy:
    """Times in seconds, and the constants of planning."""

    interval_s: float = 5.0
    """Longest time between two planning rounds."""
    notice_poll_s: float = 1.0
    """Interval of polling for reclaim notices."""
    demand_collection_s: float = 10.0
    """Time for which a new lease holder collects demand before it starts
    or stops VMs."""
    call_timeout_s: float = 2.0
    demand: DemandPolicy = field(default_factory=DemandPolicy)
    planning: PlanningPolicy = field(default_factory=PlanningPolicy)


@dataclass(frozen=True, kw_only=True, slots=True)
class CloudSnapshot:
    """State of the cloud from one round of calls."""

    vms: tuple[VM, ...]
    reclaim_noticed: frozenset[VMId]
    """VMs with a reclaim notice."""
    requested_at: float
    """Time of the request, on the monotonic clock."""


class Planner:
    """Plans and scales one data centre while it holds the lease."""

    def __init__(
        self,
        *,
        data_centre: DataCentreName,
        daemon: DaemonId,
        keeper: LeaseKeeper,
        table: Table,
        dependencies: OrderDependencies,
        exchange: PlanningExchange,
        rates: RateEstimates,
        configuration: Callable[[], Configuration],
        wall_clock: Callable[[], float],
        load_reports: LoadReports = tuple,
        policy: PlannerPolicy | None = None,
    ) -> None:
        self.plan = Plan()
        self._data_centre = data_centre
        self._daemon = daemon
        self._keeper = keeper
        self._table = table
        self._dependencies = dependencies
        self._cloud: Cloud = dependencies.cloud
        self._exchange = exchange
        self._rates = rates
        self._configuration = configuration
        self._wall_clock = wall_clock
        self._load_reports = load_reports
        self._policy = policy or PlannerPolicy()
        self._prices: dict[Offer, float] = {}
        self._summary_sequence = 0
        self._wake_event = anyio.Event()
        # When the cloud refuses a VM in one data centre, the others have
        # to start a replacement. Planning at once, not at the next
        # interval, shortens the time for which targets are missed.
        dependencies.on_refused = self.wake
        exchange.set_change_callback(self.wake)

    @property
    def lease(self) -> Lease | None:
        """Return the lease while it is held."""
        return self._keeper.held

    async def run(self) -> None:
        """Acquire the lease and plan while holding it, until cancelled."""
        await self._keeper.run(self._plan_under_lease)

    def wake(self) -> None:
        """Start the next planning round at once, such as after a refusal."""
        self._wake_event.set()

    async def _plan_under_lease(self, lease: Lease) -> None:
        forecast = Forecast(policy=self._policy.demand)
        forecast.seed(self._exchange.previous_forecast())
        can_order_at = anyio.current_time() + self._policy.demand_collection_s
        async with anyio.create_task_group() as tasks:
            orders = Orders(
                data_centre=self._data_centre,
                dependencies=self._dependencies,
                rows=OrderRows(
                    table=self._table,
                    data_centre=self._data_centre,
                    daemon=self._daemon,
                    fencing=lease.fencing,
                    wall_clock=self._wall_clock,
                ),
                lease=lease,
                tasks=tasks,
            )
            reclaim_noticed: frozenset[VMId] = frozenset()
            while True:
                snapshot = await self._fetch_snapshot()
                if snapshot is not None:
                    reclaim_noticed = snapshot.reclaim_noticed
                    can_order = anyio.current_time() >= can_order_at
                    await self._plan_once(
                        orders, lease, snapshot, forecast, can_order
                    )
                await self._wait_for_next_round(reclaim_noticed)

    async def _plan_once(
        self,
        orders: Orders,
        lease: Lease,
        snapshot: CloudSnapshot,
        forecast: Forecast,
        can_order: bool,
    ) -> None:
        demands = forecast.update(self._exchange.own_demand())
        own_vms = [
            vm for vm in snapshot.vms if vm.data_centre == self._data_centre
        ]
        can_order &= await orders.reconcile(own_vms, snapshot.requested_at)
        self._rates.add_reports(self._load_reports())
        counts = count_own(orders, snapshot, own_vms)
        await self._exchange_summary(orders, lease, demands, counts)
        state = self._build_observed_state(orders, snapshot, counts)
        self.plan = make_plan(
            PlanInput(
                configuration=self._configuration(),
                demands=self._exchange.add_remote_demand(demands),
                rates={
                    **self._exchange.remote_rates(),
                    **self._rates.current,
                },
                prices=self._prices,
                running=state.running,
                refused=self._dependencies.backoff.suspended()
                | self._exchange.remote_refused_offers(),
            ),
            self._policy.planning,
        )
        if not can_order or not self._configuration().version:
            return
        steps = compute_steps(
            self.plan, state, self._configuration(), self._policy.planning
        )
        await self._carry_out(orders, steps)

    async def _carry_out(self, orders: Orders, steps: PlanSteps) -> None:
        if steps.starts or steps.stops:
            log.info(
                'plan_changed',
                data_centre=self._data_centre,
                starts=len(steps.starts),
                stops=len(steps.stops),
                per_hour=round(self.plan.per_hour, 3),
            )
        await orders.start(steps.starts)
        await orders.stop(steps.stops, steps.stop_reason)

    async def _exchange_summary(
        self,
        orders: Orders,
        lease: Lease,
        demands: Sequence[ClassDemand],
        counts: Sequence[OfferCount],
    ) -> None:
        self._summary_sequence += 1
        summary = make_summary(
            data_centre=self._data_centre,
            fencing=lease.fencing,
            sequence=self._summary_sequence,
            demands=demands,
            rates=self._rates.current,
            refused=self._dependencies.backoff.suspended(),
            stopping=orders.stopping(),
            counts=counts,
        )
        await self._exchange.exchange(summary, self.plan.ceiling_shortfalls)

    async def _fetch_snapshot(self) -> CloudSnapshot | None:
        """Fetch the state of the cloud; return None if a call fails.

        Planning on a partial snapshot would start a second copy of each
        VM that is missing from it.
        """
        requested_at = anyio.current_time()
        reported_counts = self._exchange.remote_counts()
        unknown = (
            set(self._configuration().data_centres) - reported_counts.keys()
        )
        with anyio.move_on_after(self._policy.call_timeout_s):
            # Full VM lists of all data centres would make up most of a
            # planner's traffic. Data centres whose planners reported VM
            # counts are left out.
            vms = await self._cloud.list_vms({self._data_centre, *unknown})
            notices = await self._cloud.list_notices()
            prices = await self._cloud.list_prices()
            if isinstance(vms, Unavailable) or isinstance(
                notices, Unavailable
            ):
                return None
            if not isinstance(prices, Unavailable):
                for price in prices:
                    self._prices[offer_of(price)] = price.per_hour
            return CloudSnapshot(
                vms=vms,
                reclaim_noticed=frozenset(notice.vm for notice in notices),
                requested_at=requested_at,
            )
        return None

    async def _wait_for_next_round(
        self, reclaim_noticed: frozenset[VMId]
    ) -> None:
        """Wait for the interval, a wake-up or a new reclaim notice."""
        with anyio.move_on_after(self._policy.interval_s):
            while not self._wake_event.is_set():
                with anyio.move_on_after(self._policy.notice_poll_s):
                    await self._wake_event.wait()
                if await self._has_new_notice(reclaim_noticed):
                    break
        self._wake_event = anyio.Event()

    async def _has_new_notice(self, reclaim_noticed: frozenset[VMId]) -> bool:
        with anyio.move_on_after(self._policy.call_timeout_s):
            notices = await self._cloud.list_notices()
            if not isinstance(notices, Unavailable):
                return any(
                    notice.vm not in reclaim_noticed for notice in notices
                )
        return False

    def _build_observed_state(
        self,
        orders: Orders,
        snapshot: CloudSnapshot,
        own_counts: Sequence[OfferCount],
    ) -> ObservedState:
        own = _own_orders(orders, snapshot)
        reported_counts = self._exchange.remote_counts()
        stopping = self._exchange.remote_stopping_vms()
        listed = [
            vm
            for vm in snapshot.vms
            if vm.data_centre != self._data_centre
            and vm.data_centre not in reported_counts
            and vm.id not in snapshot.reclaim_noticed
        ]
        counts = [
            *own_counts,
            *_count_listed(listed, stopping),
            *(item for items in reported_counts.values() for item in items),
        ]
        return ObservedState(
            data_centre=self._data_centre,
            own=tuple(own),
            live=frozenset(order.id for order in own if orders.is_live(order)),
            running=_sum_counts(counts, lambda item: item.running),
            live_counts=_sum_counts(counts, lambda item: item.live),
            per_hour=sum(
                item.paid * self._prices.get(item.offer, 0.0)
                for item in counts
            ),
            prices=self._prices,
        )


def count_own(
    orders: Orders, snapshot: CloudSnapshot, vms: Sequence[VM]
) -> tuple[OfferCount, ...]:
    """Count the VMs of the planner's own data centre by model and offer."""
    running: Counter[ModelOffer] = Counter()
    live: Counter[ModelOffer] = Counter()
    paid: Counter[ModelOffer] = Counter()
    for order in _own_orders(orders, snapshot):
        running[order.model, order.offer] += 1
        live[order.model, order.offer] += orders.is_live(order)
    listed = {vm.id for vm in vms}
    for vm in vms:
        if _is_paid_endpoint(vm) and vm.id not in snapshot.reclaim_noticed:
            paid[vm.model or ModelName(''), offer_of(vm)] += 1
    for order in _own_orders(orders, snapshot):
        paid[order.model, order.offer] += order.vm not in listed
    return _as_counts(running, live, paid)


def _own_orders(orders: Orders, snapshot: CloudSnapshot) -> list[VMOrder]:
    return [
        order
        for order in orders.active()
        if order.vm not in snapshot.reclaim_noticed
    ]


def _count_listed(
    vms: Sequence[VM], stopping: frozenset[VMId]
) -> tuple[OfferCount, ...]:
    """Count the listed VMs of data centres that reported no counts."""
    running: Counter[ModelOffer] = Counter()
    live: Counter[ModelOffer] = Counter()
    paid: Counter[ModelOffer] = Counter()
    for vm in filter(_is_paid_endpoint, vms):
        key = (vm.model or ModelName(''), offer_of(vm))
        paid[key] += 1
        is_staying = vm.state is not VMState.LEAVING and vm.id not in stopping
        running[key] += is_staying
        live[key] += is_staying and vm.state is VMState.LIVE
    return _as_counts(running, live, paid)


def _is_paid_endpoint(vm: VM) -> bool:
    return vm.role is VMRole.ENDPOINT and vm.model is not None


def _as_counts(
    running: Counter[ModelOffer],
    live: Counter[ModelOffer],
    paid: Counter[ModelOffer],
) -> tuple[OfferCount, ...]:
    return tuple(
        OfferCount(
            model=key[0],
            offer=key[1],
            running=running[key],
            live=live[key],
            paid=paid[key],
        )
        for key in running.keys() | paid.keys()
    )


def _sum_counts(
    counts: Sequence[OfferCount], value: Callable[[OfferCount], int]
) -> Mapping[ModelOffer, int]:
    total: Counter[ModelOffer] = Counter()
    for item in counts:
        total[item.model, item.offer] += value(item)
    return total
