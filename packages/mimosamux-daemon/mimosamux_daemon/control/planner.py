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
from mimosamux_daemon.domain.names import DaemonId, DataCentreName, VMId
from mimosamux_daemon.domain.plan import (
    ClassDemand,
    ModelOffer,
    Offer,
    Plan,
    offer_of,
)
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import VM, Endpoint, VMRole, VMState
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.cloud import Cloud
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
        await self._share(orders, lease, demands)
        may_order &= await orders.settle(view.vms, view.asked_at)
        self._rates.learn(self._reports())
        world = self._describe(orders, view)
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
                refused=self._parts.backoff.current()
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
    ) -> None:
        self._sequence += 1
        summary = make_summary(
            data_centre=self._data_centre,
            fencing=lease.fencing,
            sequence=self._sequence,
            demands=demands,
            rates=self._rates.current,
            refused=self._parts.backoff.current(),
            stopping=orders.stopping(),
        )
        await self._exchange.exchange(summary, self.plan.ceiling_shortfalls)

    async def _look(self) -> View | None:
        """Return what the platform shows; None if it does not answer.

        Nothing is ordered on a half view: a VM that is missing from it
        would be started a second time.
        """
        asked_at = anyio.current_time()
        with anyio.move_on_after(self._policy.call_timeout_s):
            vms = await self._cloud.list_vms()
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

    def _describe(self, orders: Orders, view: View) -> World:
        own = [
            order for order in orders.active() if order.vm not in view.noticed
        ]
        stopping = orders.stopping() | self._exchange.stopping_elsewhere()
        others = [
            vm
            for vm in view.vms
            if vm.data_centre != self._data_centre
            and vm.role is VMRole.ENDPOINT
            and vm.model is not None
            and vm.state is not VMState.LEAVING
            and vm.id not in view.noticed
            and vm.id not in stopping
        ]
        paid = [vm for vm in view.vms if vm.id not in view.noticed]
        return World(
            data_centre=self._data_centre,
            own=tuple(own),
            live=frozenset(order.id for order in own if orders.is_live(order)),
            running=_count_running(own, others),
            live_counts=_count_live(own, others, orders),
            per_hour=self._spend(own, paid),
            prices=self._prices,
        )

    def _spend(self, own: Sequence[VMOrder], paid: Sequence[VM]) -> float:
        """Return the money an hour, with VMs that are not listed yet."""
        listed = {vm.id for vm in paid}
        offers = [
            offer_of(vm)
            for vm in paid
            if vm.role is VMRole.ENDPOINT and vm.model is not None
        ] + [order.offer for order in own if order.vm not in listed]
        return sum(self._prices.get(offer, 0.0) for offer in offers)


def _count_running(
    own: Sequence[VMOrder], others: Sequence[VM]
) -> Mapping[ModelOffer, int]:
    counts: Counter[ModelOffer] = Counter()
    counts.update((order.model, order.offer) for order in own)
    counts.update((vm.model, offer_of(vm)) for vm in others if vm.model)
    return counts


def _count_live(
    own: Sequence[VMOrder], others: Sequence[VM], orders: Orders
) -> Mapping[ModelOffer, int]:
    counts: Counter[ModelOffer] = Counter()
    counts.update(
        (order.model, order.offer) for order in own if orders.is_live(order)
    )
    counts.update(
        (vm.model, offer_of(vm))
        for vm in others
        if vm.model and vm.state is VMState.LIVE
    )
    return counts
