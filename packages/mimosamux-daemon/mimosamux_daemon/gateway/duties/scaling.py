"""Scaling duty: orders endpoints from the platform.

Only the daemon that holds the lease of the duties runs it. It compares the
endpoints that serve with the counts of `scaling_plan` whenever the list of
endpoints changes, at the latest every `TICK_S`, and orders the difference.
"""

import math
from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import anyio

from mimosamux_daemon.control.leases import Lease
from mimosamux_daemon.domain.names import DataCentreName, ServiceName
from mimosamux_daemon.domain.rollouts import Rollout, RolloutStage
from mimosamux_daemon.domain.routes import GatewayConfiguration, ScalingBounds
from mimosamux_daemon.domain.vms import Market
from mimosamux_daemon.gateway.balancing.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.demand import Demand
from mimosamux_daemon.gateway.demand_prior import estimate_offered_load
from mimosamux_daemon.gateway.duties.scaling_plan import (
    Pool,
    ScalingPolicy,
    clamp_total,
    plan_counts,
)
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.duty_calls import (
    DutyCalls,
    DutyOutcome,
    EndpointOrder,
)

log = get_log('scaling')

TICK_S = 0.5
"""Longest time between two comparisons with the plan."""
CAPACITY_RETRY_S = 2.0
"""Time until reclaimable endpoints of a service are ordered again in a data
centre that had none available."""
PROBE_INTERVAL_S = 1.0
"""Shortest time between two such orders over all services and data centres;
an order that is accepted lifts the limit. With five data centres retried
every 2 s each, the platform refused 44 of 84 orders in the first 25 s of a
day."""
ORDER_REFRESH_S = 15.0
"""Time after which an order is repeated. Without the repetition, an older
order that the platform carries out late would stay in force."""
WARM_UP_S = 15.0
"""Time over which requests of a service must be observed before the demand
alone decides. Until then the number of endpoints does not fall below those
found at the start, nor below the estimate from the caps of accounts."""
START_SLACK_S = 6.0
"""Time beyond the boot time of an endpoint after which an accepted order
that had no effect is repeated."""


@dataclass(kw_only=True, slots=True)
class _AcceptedOrder:
    """Last order for one pool that the platform accepted."""

    count: int
    at: float


@dataclass(kw_only=True, slots=True)
class Scaling:
    """Orders endpoints for as long as this daemon holds the lease."""

    calls: DutyCalls
    roster: Roster
    demand: Demand
    configuration: Callable[[], GatewayConfiguration]
    clock: Callable[[], float]
    metrics: GatewayMetrics
    lose_lease: Callable[[Lease], None]
    """Called when a refusal shows that another daemon holds the lease."""
    rollouts: Rollouts
    first_start: bool = False
    """Whether the whole site starts for the first time."""
    policy: ScalingPolicy = field(default_factory=ScalingPolicy)
    _accepted_orders: dict[tuple[ServiceName, Pool], _AcceptedOrder] = field(
        default_factory=dict
    )
    _initial_peaks: dict[ServiceName, int] = field(default_factory=dict)
    """Highest number of endpoints of one market that served each service
    during its warm-up."""
    _scaled_down: set[tuple[ServiceName, Pool]] = field(default_factory=set)
    """Pools whose last change of order was a reduction."""
    _retry_at: dict[tuple[ServiceName, DataCentreName], float] = field(
        default_factory=dict
    )
    """When to order again, by service and data centre, where no reclaimable
    endpoints were available.
    An entry is removed only when an order is accepted: if the data centre
    counted as available earlier, the plan would give up on-demand endpoints
    that are still needed."""

    _next_probe_at: float = -math.inf

    async def run(self, lease: Lease) -> None:
        """Keep the orders in line with the plan until cancelled."""
        self._accepted_orders.clear()
        while True:
            changed = self.roster.changed
            if lease.is_valid():
                await self._order_all(lease)
            with anyio.move_on_after(TICK_S):
                await changed.wait()

    def note_leaving(self, record: EndpointRecord) -> None:
        """Treat a data centre as unavailable if its last endpoint leaves.

        The platform reclaims all reclaimable endpoints of a data centre
        together, and has none available there for a while. An endpoint
        that leaves alone has crashed or is being replaced: treating its
        data centre as unavailable would order endpoints elsewhere, only to
        give them up again.
        """
        listed = record.listed
        if listed.market is not Market.RECLAIMABLE:
            return
        if self._is_being_replaced(record):
            return
        pool = Pool(data_centre=listed.data_centre, market=listed.market)
        key = (listed.service, pool)
        if key in self._scaled_down:
            return
        # The accepted order covered the endpoint that leaves, so the order
        # must be placed again.
        self._accepted_orders.pop(key, None)
        if self._count_serving(listed.service).get(pool, 0) == 0:
            location = (listed.service, listed.data_centre)
            self._retry_at[location] = self.clock() + CAPACITY_RETRY_S

    def note_rollout(self, rollout: Rollout) -> None:
        """Place the orders of a service again when its roll-out is over.

        The endpoints of the replaced version that the earlier orders
        covered are gone.
        """
        if rollout.stage.is_over:
            for key in tuple(self._accepted_orders):
                if key[0] == rollout.order.service:
                    del self._accepted_orders[key]

    def _has_enough_capacity(
        self, service: ServiceName, bounds: ScalingBounds
    ) -> bool:
        """Whether the endpoints of proven versions can carry the peak load."""
        usable = self.rollouts.find_proven(
            service, self.roster.serving(service)
        )
        load = self.demand.peak_offered_load(service)
        utilisation = self.policy.degraded_utilisation
        return len(usable) >= clamp_total(bounds, load / utilisation)

    def _is_being_replaced(self, record: EndpointRecord) -> bool:
        """Whether a roll-out replaces the version of an endpoint."""
        rollout = self.rollouts.current(record.listed.service)
        return (
            rollout is not None
            and rollout.stage is RolloutStage.CLEARING
            and record.listed.software != rollout.order.version
        )

    async def _order_all(self, lease: Lease) -> None:
        """Place the orders that are due for every service that scales."""
        services = self.configuration().services_by_name
        for name, service in services.items():
            if service.scaling is not None:
                await self._order_service(name, service.scaling, lease)

    async def _order_service(
        self, service: ServiceName, bounds: ScalingBounds, lease: Lease
    ) -> None:
        serving = self._count_serving(service)
        await self._probe_capacity(service, bounds, serving, lease)
        counts = plan_counts(
            bounds=bounds,
            load=self.demand.peak_offered_load(service),
            minimum=self._find_minimum(service, serving),
            unavailable=self._find_unavailable(service),
            serving=serving,
            ordered=self._find_ordered(service),
            policy=self.policy,
            expects_requests=not self.first_start
            or self._expects_requests(service),
            lost_capacity=self._find_lost_capacity(service),
        )
        if self.rollouts.is_changing(service):
            if self._has_enough_capacity(service, bounds):
                return
            counts = _avoid_reductions(
                counts, serving, self._find_ordered(service)
            )
        for pool, count in counts.items():
            if self._is_due(service, pool, count, serving, bounds):
                await self._place_order(service, pool, count, lease)

    def _find_lost_capacity(self, service: ServiceName) -> float:
        """Return the capacity lost to rate limits and to slow engines.

        The unit is endpoints: one whose limit admits half of the planned
        load, or which takes twice the mean time, counts as half an endpoint
        lost. Slow engines count where fast ones do not make up for them, and
        as whole endpoints: factors vary by some percent, which must not
        change the orders.
        """
        mean_busy_s = self.demand.mean_busy_s(service)
        planned = self.policy.target_utilisation
        to_limits = to_slowness = 0.0
        for record in self.roster.serving(service):
            if record.share is None:
                to_slowness += 1 - 1 / record.time_factor
            else:
                load = record.share.limit_per_s * mean_busy_s
                to_limits += max(0.0, 1 - load / planned)
        return to_limits + max(math.floor(to_slowness), 0)

    def _expects_requests(self, service: ServiceName) -> bool:
        """Whether to keep capacity for requests of a service.

        True after the first request, and also until reclaimable endpoints
        are on order in every data centre: until then, the on-demand
        endpoints may be the only capacity.
        """
        if self.demand.observed_s(service) > 0:
            return True
        ordered = {
            pool.data_centre
            for name, pool in self._accepted_orders
            if name == service and pool.market is Market.RECLAIMABLE
        }
        return not self.roster.data_centres(service) <= ordered

    def _find_minimum(
        self, service: ServiceName, serving: dict[Pool, int]
    ) -> int:
        """Return the number of endpoints to keep regardless of demand.

        It is 0 after the warm-up of the service.
        """
        if self.demand.observed_s(service) > WARM_UP_S:
            return 0
        # Endpoints of both markets run side by side while one market
        # replaces the other, so the peak is taken per market: their sum
        # would overstate the need.
        by_market = Counter[Market]()
        for pool, count in serving.items():
            by_market[pool.market] += count
        most = max(self._initial_peaks.get(service, 0), *by_market.values(), 0)
        self._initial_peaks[service] = most
        expected = estimate_offered_load(self.configuration(), service)
        return max(most, math.ceil(expected / self.policy.target_utilisation))

    async def _probe_capacity(
        self,
        service: ServiceName,
        bounds: ScalingBounds,
        serving: dict[Pool, int],
        lease: Lease,
    ) -> None:
        """Order one more endpoint where a retry is due."""
        now = self.clock()
        due = [
            location
            for location, retry_at in self._retry_at.items()
            if location[0] == service and now >= retry_at
        ]
        if not due or now < self._next_probe_at:
            return
        location = min(due, key=lambda each: self._retry_at[each])
        self._next_probe_at = now + PROBE_INTERVAL_S
        self._retry_at[location] = now + CAPACITY_RETRY_S
        pool = Pool(data_centre=location[1], market=Market.RECLAIMABLE)
        count = min(serving.get(pool, 0) + 1, bounds.max_endpoints)
        await self._place_order(service, pool, count, lease)
        if location not in self._retry_at:
            self._next_probe_at = now

    def _is_due(
        self,
        service: ServiceName,
        pool: Pool,
        count: int,
        serving: dict[Pool, int],
        bounds: ScalingBounds,
    ) -> bool:
        """Whether to place the order for a pool: changed, failed or old."""
        last = self._accepted_orders.get((service, pool))
        if last is None:
            return count > 0 or serving.get(pool, 0) > 0
        if last.count != count:
            return True
        passed_s = self.clock() - last.at
        if serving.get(pool, 0) != count:
            return passed_s > bounds.boot_s + START_SLACK_S
        return passed_s > ORDER_REFRESH_S and count > 0

    async def _place_order(
        self, service: ServiceName, pool: Pool, count: int, lease: Lease
    ) -> None:
        """Send one order, and record its outcome."""
        if not lease.is_valid():
            return
        outcome = await self.calls.order_endpoints(
            EndpointOrder(
                service=service,
                data_centre=pool.data_centre,
                market=pool.market,
                count=count,
            ),
            fencing=lease.fencing,
        )
        log.info(
            'endpoints_ordered',
            service=service,
            data_centre=pool.data_centre,
            market=pool.market,
            count=count,
            busy=round(self.demand.offered_load(service), 2),
            fencing=lease.fencing,
            outcome=outcome.name.lower(),
        )
        self.metrics.duty_calls.inc(
            {'duty': 'scaling', 'outcome': outcome.name.lower()}
        )
        if outcome is DutyOutcome.DONE:
            self._note_accepted(service, pool, count)
        elif outcome is DutyOutcome.REFUSED:
            self._note_refused(service, pool, lease)

    def _note_accepted(
        self, service: ServiceName, pool: Pool, count: int
    ) -> None:
        key = (service, pool)
        before = self._accepted_orders.get(key)
        if before is not None and before.count != count:
            is_less = before.count > count
            (self._scaled_down.add if is_less else self._scaled_down.discard)(
                key
            )
        self._accepted_orders[key] = _AcceptedOrder(
            count=count, at=self.clock()
        )
        if pool.market is Market.RECLAIMABLE:
            self._retry_at.pop((service, pool.data_centre), None)

    def _note_refused(
        self, service: ServiceName, pool: Pool, lease: Lease
    ) -> None:
        """Handle a refusal: no capacity, or a newer holder of the lease.

        The platform reports both in the same way. On-demand endpoints are
        always available, so a refusal for them means a newer holder.
        """
        if pool.market is Market.RECLAIMABLE:
            location = (service, pool.data_centre)
            self._retry_at[location] = self.clock() + CAPACITY_RETRY_S
        else:
            self.lose_lease(lease)

    def _find_ordered(self, service: ServiceName) -> dict[Pool, int]:
        """Return the counts of the accepted orders for a service."""
        return {
            pool: order.count
            for (name, pool), order in self._accepted_orders.items()
            if name == service
        }

    def _find_unavailable(
        self, service: ServiceName
    ) -> frozenset[DataCentreName]:
        """Return the data centres without reclaimable endpoints to order."""
        return frozenset(
            location[1]
            for location in self._retry_at
            if location[0] == service
        )

    def _count_serving(self, service: ServiceName) -> dict[Pool, int]:
        """Return the number of serving endpoints in each pool."""
        serving: dict[Pool, int] = {}
        for record in self.roster.serving(service):
            pool = Pool(
                data_centre=record.listed.data_centre,
                market=record.listed.market,
            )
            serving[pool] = serving.get(pool, 0) + 1
        return serving


def _avoid_reductions(
    counts: Mapping[Pool, int],
    serving: Mapping[Pool, int],
    ordered: Mapping[Pool, int],
) -> dict[Pool, int]:
    """Return the counts, raised so that none removes an endpoint.

    While a service runs two versions the platform counts them together, and
    an order for fewer endpoints would end those of the new version.
    """
    return {
        pool: max(count, serving.get(pool, 0), ordered.get(pool, 0))
        for pool, count in counts.items()
    }
