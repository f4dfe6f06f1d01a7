"""The planner of a data centre: looks, plans and orders, while it leads.

All planners see the same demand, prices and VMs and so come to the same
plan for all data centres; each gives the orders of its own.
"""

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.control.demand import DemandPolicy, Forecast
from mimosamux_daemon.control.lease_keeper import LeaseKeeper
from mimosamux_daemon.control.leases import Lease
from mimosamux_daemon.control.order_rows import OrderRows, VMOrder
from mimosamux_daemon.control.orders import OrderParts, Orders
from mimosamux_daemon.control.planning import (
    PlanInput,
    PlanningPolicy,
    make_plan,
)
from mimosamux_daemon.control.planning_exchange import (
    PlanningExchange,
    make_summary,
)
from mimosamux_daemon.control.rates import RateBook
from mimosamux_daemon.control.steps import Steps, World, find_steps
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

Reports = Callable[[], Sequence[tuple[Endpoint, LoadReport | None]]]


@dataclass(frozen=True, kw_only=True, slots=True)
class PlannerPolicy:
    """Times in seconds, and the constants of planning."""

    interval_s: float = 5.0
    notice_poll_s: float = 1.0
    settle_s: float = 10.0
    """A new holder learns the demand for so long before it orders."""
    call_timeout_s: float = 2.0
    demand: DemandPolicy = field(default_factory=DemandPolicy)
    planning: PlanningPolicy = field(default_factory=PlanningPolicy)


@dataclass(frozen=True, kw_only=True, slots=True)
class View:
    """What the platform shows at one moment."""

    vms: tuple[VM, ...]
    noticed: frozenset[VMId]
    asked_at: float


class Planner:
    """Keeps the lease of a data centre and plans while it is held."""

    def __init__(
        self,
        *,
        data_centre: DataCentreName,
        daemon: DaemonId,
        keeper: LeaseKeeper,
        table: Table,
        parts: OrderParts,
        exchange: PlanningExchange,
        rates: RateBook,
        configuration: Callable[[], Configuration],
        wall_clock: Callable[[], float],
        reports: Reports = tuple,
        policy: PlannerPolicy | None = None,
    ) -> None:
        self.plan = Plan()
        self._data_centre = data_centre
        self._daemon = daemon
        self._keeper = keeper
        self._table = table
        self._parts = parts
        self._cloud: Cloud = parts.cloud
        self._exchange = exchange
        self._rates = rates
        self._configuration = configuration
        self._wall_clock = wall_clock
        self._reports = reports
        self._policy = policy or PlannerPolicy()
        self._prices: dict[Offer, float] = {}
        self._sequence = 0
        self._woken = anyio.Event()
        # Other data centres have to start what this one cannot get, and
        # the other way round; waiting for the next look would leave the
        # targets unmet for longer.
        parts.on_refused = self.wake
        exchange.call_on_news(self.wake)

    @property
    def lease(self) -> Lease | None:
        """Return the lease while it is held."""
        return self._keeper.held

    async def run(self) -> None:
        """Wait for the lease and plan while it is held, for ever."""
        await self._keeper.run(self._lead)

    def wake(self) -> None:
        """Plan at once: a reclaim notice or a new configuration came."""
        self._woken.set()

    async def _lead(self, lease: Lease) -> None:
        forecast = Forecast(policy=self._policy.demand)
        forecast.seed(self._exchange.earlier_forecast())
        may_order_at = anyio.current_time() + self._policy.settle_s
        async with anyio.create_task_group() as tasks:
            orders = Orders(
                data_centre=self._data_centre,
                parts=self._parts,
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
            noticed: frozenset[VMId] = frozenset()
            while True:
                view = await self._look()
                if view is not None:
                    noticed = view.noticed
                    may_order = anyio.current_time() >= may_order_at
                    await self._plan_once(
                        orders, lease, view, forecast, may_order
                    )
                await self._wait(noticed)

    async def _plan_once(
        self,
        orders: Orders,
        lease: Lease,
        view: View,
        forecast: Forecast,
        may_order: bool,
    ) -> None:
        demands = forecast.update(self._exchange.own_demand())
        own_vms = [
            vm for vm in view.vms if vm.data_centre == self._data_centre
        ]
        may_order &= await orders.settle(own_vms, view.asked_at)
        self._rates.learn(self._reports())
        counts = count_own(orders, view, own_vms)
        await self._share(orders, lease, demands, counts)
        world = self._describe(orders, view, counts)
        self.plan = make_plan(
            PlanInput(
                configuration=self._configuration(),
                demands=self._exchange.add_elsewhere(demands),
                rates={
                    **self._exchange.rates_elsewhere(),
                    **self._rates.current,
                },
                prices=self._prices,
                running=world.running,
                refused=self._parts.backoff.suspended()
                | self._exchange.refused_elsewhere(),
            ),
            self._policy.planning,
        )
        if not may_order or not self._configuration().version:
            return
        steps = find_steps(
            self.plan, world, self._configuration(), self._policy.planning
        )
        await self._order(orders, steps)

    async def _order(self, orders: Orders, steps: Steps) -> None:
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

    async def _share(
        self,
        orders: Orders,
        lease: Lease,
        demands: Sequence[ClassDemand],
        counts: Sequence[OfferCount],
    ) -> None:
        self._sequence += 1
        summary = make_summary(
            data_centre=self._data_centre,
            fencing=lease.fencing,
            sequence=self._sequence,
            demands=demands,
            rates=self._rates.current,
            refused=self._parts.backoff.suspended(),
            stopping=orders.stopping(),
            counts=counts,
        )
        await self._exchange.exchange(summary, self.plan.ceiling_shortfalls)

    async def _look(self) -> View | None:
        """Return what the platform shows; None if it does not answer.

        Nothing is ordered on a half view: a VM that is missing from it
        would be started a second time.
        """
        asked_at = anyio.current_time()
        told = self._exchange.counts_elsewhere()
        unknown = set(self._configuration().data_centres) - told.keys()
        with anyio.move_on_after(self._policy.call_timeout_s):
            # Whole lists of all data centres would be most of what a
            # planner receives; those that told their counts are left out.
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
            return View(
                vms=vms,
                noticed=frozenset(notice.vm for notice in notices),
                asked_at=asked_at,
            )
        return None

    async def _wait(self, noticed: frozenset[VMId]) -> None:
        """Wait for the next look, cut short by a new reclaim notice."""
        with anyio.move_on_after(self._policy.interval_s):
            while not self._woken.is_set():
                with anyio.move_on_after(self._policy.notice_poll_s):
                    await self._woken.wait()
                if await self._has_new_notice(noticed):
                    break
        self._woken = anyio.Event()

    async def _has_new_notice(self, noticed: frozenset[VMId]) -> bool:
        with anyio.move_on_after(self._policy.call_timeout_s):
            notices = await self._cloud.list_notices()
            if not isinstance(notices, Unavailable):
                return any(notice.vm not in noticed for notice in notices)
        return False

    def _describe(
        self, orders: Orders, view: View, own_counts: Sequence[OfferCount]
    ) -> World:
        own = _own_orders(orders, view)
        told = self._exchange.counts_elsewhere()
        stopping = self._exchange.stopping_elsewhere()
        listed = [
            vm
            for vm in view.vms
            if vm.data_centre != self._data_centre
            and vm.data_centre not in told
            and vm.id not in view.noticed
        ]
        counts = [
            *own_counts,
            *_count_listed(listed, stopping),
            *(item for items in told.values() for item in items),
        ]
        return World(
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
    orders: Orders, view: View, vms: Sequence[VM]
) -> tuple[OfferCount, ...]:
    """Return the VMs of the planner's own data centre."""
    running: Counter[ModelOffer] = Counter()
    live: Counter[ModelOffer] = Counter()
    paid: Counter[ModelOffer] = Counter()
    for order in _own_orders(orders, view):
        running[order.model, order.offer] += 1
        live[order.model, order.offer] += orders.is_live(order)
    listed = {vm.id for vm in vms}
    for vm in vms:
        if _is_paid_endpoint(vm) and vm.id not in view.noticed:
            paid[vm.model or ModelName(''), offer_of(vm)] += 1
    for order in _own_orders(orders, view):
        paid[order.model, order.offer] += order.vm not in listed
    return _as_counts(running, live, paid)


def _own_orders(orders: Orders, view: View) -> list[VMOrder]:
    return [order for order in orders.active() if order.vm not in view.noticed]


def _count_listed(
    vms: Sequence[VM], stopping: frozenset[VMId]
) -> tuple[OfferCount, ...]:
    """Return the VMs of data centres that have not told their counts."""
    running: Counter[ModelOffer] = Counter()
    live: Counter[ModelOffer] = Counter()
    paid: Counter[ModelOffer] = Counter()
    for vm in filter(_is_paid_endpoint, vms):
        key = (vm.model or ModelName(''), offer_of(vm))
        paid[key] += 1
        stays = vm.state is not VMState.LEAVING and vm.id not in stopping
        running[key] += stays
        live[key] += stays and vm.state is VMState.LIVE
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
