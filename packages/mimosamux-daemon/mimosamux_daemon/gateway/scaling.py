"""Orders endpoints, as the holder of the duty."""

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
from mimosamux_daemon.gateway.demand import Demand
from mimosamux_daemon.gateway.demand_prior import expect_busy
from mimosamux_daemon.gateway.endpoint_record import EndpointRecord
from mimosamux_daemon.gateway.metrics import GatewayMetrics
from mimosamux_daemon.gateway.rollouts import Rollouts
from mimosamux_daemon.gateway.roster import Roster
from mimosamux_daemon.gateway.scaling_plan import (
    ScalingPolicy,
    Slot,
    find_wanted,
    plan_counts,
)
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.duty_calls import (
    DutyCalls,
    DutyOutcome,
    EndpointOrder,
)

log = get_log('scaling')

TICK_S = 0.5
DRY_S = 2.0
"""Time until a place is tried again where there was nothing to be had."""
TRY_S = 1.0
"""Time between two such tries, whatever the place, until one has room again.
With five places tried every 2 s each, 44 of 84 orders were refused in the
first 25 s of a day."""
REPEAT_S = 15.0
"""Orders are repeated after this time: one that was given before, and
carried out late, would otherwise stay in force."""
LEARN_S = 15.0
"""Time for which work has to come before there are fewer endpoints than
were found, or than the caps of accounts lead to expect."""
SETTLE_S = 6.0
"""Time over the start of an endpoint after which an order that was taken
and has no effect is given again."""


@dataclass(kw_only=True, slots=True)
class _Given:
    """An order that was given last for one slot."""

    count: int
    at: float


@dataclass(kw_only=True, slots=True)
class Scaling:
    """The duty of ordering endpoints, for as long as a lease is held."""

    calls: DutyCalls
    roster: Roster
    demand: Demand
    configuration: Callable[[], GatewayConfiguration]
    clock: Callable[[], float]
    metrics: GatewayMetrics
    lose_lease: Callable[[Lease], None]
    rollouts: Rollouts
    first_start: bool = False
    """Whether the whole site has started for the first time."""
    policy: ScalingPolicy = field(default_factory=ScalingPolicy)
    _given: dict[tuple[ServiceName, Slot], _Given] = field(
        default_factory=dict
    )
    _found: dict[ServiceName, int] = field(default_factory=dict)
    """Most endpoints of one market that a service had, while learning."""
    _shrunk: set[tuple[ServiceName, Slot]] = field(default_factory=set)
    """Slots whose last order was for fewer endpoints."""
    _dry: dict[tuple[ServiceName, DataCentreName], float] = field(
        default_factory=dict
    )
    """Places without reclaimable endpoints, and when to try them again.
    They stay here until an order is taken: a place that counted as good
    again before would have on-demand endpoints sent away in vain."""

    _next_try: float = -math.inf

    async def run(self, lease: Lease) -> None:
        """Order what is missing until cancelled."""
        self._given.clear()
        while True:
            changed = self.roster.changed
            if lease.is_valid():
                await self._order_all(lease)
            with anyio.move_on_after(TICK_S):
                await changed.wait()

    def note_leaving(self, record: EndpointRecord) -> None:
        """Take the last reclaimable endpoint of a place as a sign.

        All of a place are reclaimed together, and none is to be had there
        for a while. One that leaves alone has crashed, or is replaced:
        with its place given up for that, endpoints elsewhere would be
        ordered and sent away again.
        """
        listed = record.listed
        if listed.market is not Market.RECLAIMABLE:
            return
        if self._is_given_up(record):
            return
        slot = Slot(data_centre=listed.data_centre, market=listed.market)
        key = (listed.service, slot)
        if key in self._shrunk:
            return
        # What was ordered is gone with it, so it is to be given anew.
        self._given.pop(key, None)
        if self._count_held(listed.service).get(slot, 0) == 0:
            place = (listed.service, listed.data_centre)
            self._dry[place] = self.clock() + DRY_S

    def note_rollout(self, rollout: Rollout) -> None:
        """Give every order anew once a service has one version again.

        What was ordered of the other version is gone with it.
        """
        if rollout.stage.is_over:
            for key in tuple(self._given):
                if key[0] == rollout.order.service:
                    del self._given[key]

    def _has_enough(self, service: ServiceName, bounds: ScalingBounds) -> bool:
        """Whether the endpoints that requests may go to can carry them."""
        usable = self.rollouts.find_proven(
            service, self.roster.serving(service)
        )
        busy = self.demand.busy_most(service)
        share = self.policy.busy_share_reduced
        return len(usable) >= find_wanted(bounds, busy / share)

    def _is_given_up(self, record: EndpointRecord) -> bool:
        """Whether it leaves since another version takes over."""
        rollout = self.rollouts.current(record.listed.service)
        return (
            rollout is not None
            and rollout.stage is RolloutStage.CLEARING
            and record.listed.software != rollout.order.version
        )

    async def _order_all(self, lease: Lease) -> None:
        services = self.configuration().services_by_name
        for name, service in services.items():
            if service.scaling is not None:
                await self._order_service(name, service.scaling, lease)

    async def _order_service(
        self, service: ServiceName, bounds: ScalingBounds, lease: Lease
    ) -> None:
        held = self._count_held(service)
        await self._try_dry(service, bounds, held, lease)
        counts = plan_counts(
            bounds=bounds,
            busy=self.demand.busy_most(service),
            least=self._find_least(service, held),
            dry=self._find_dry(service),
            held=held,
            given=self._find_given(service),
            policy=self.policy,
            has_callers=not self.first_start or self._has_callers(service),
            lost=self._find_lost(service),
        )
        if self.rollouts.is_changing(service):
            if self._has_enough(service, bounds):
                return
            counts = _keep_all(counts, held, self._find_given(service))
        for slot, count in counts.items():
            if self._is_due(service, slot, count, held, bounds):
                await self._give(service, slot, count, lease)

    def _find_lost(self, service: ServiceName) -> float:
        """Return how many endpoints the limits that they name take away.

        One that takes half of what an endpoint is planned for counts half.
        """
        mean_s = self.demand.mean_s(service)
        busy = [
            record.share.limit_per_s * mean_s
            for record in self.roster.serving(service)
            if record.share is not None
        ]
        planned = self.policy.busy_share
        return sum(max(0.0, 1 - each / planned) for each in busy)

    def _has_callers(self, service: ServiceName) -> bool:
        """Whether anybody asked for a service, or might soon be let down.

        Before reclaimable endpoints are on order everywhere, the others may
        be all that there will be.
        """
        if self.demand.seen_s(service) > 0:
            return True
        ordered = {
            slot.data_centre
            for name, slot in self._given
            if name == service and slot.market is Market.RECLAIMABLE
        }
        return not self.roster.data_centres(service) <= ordered

    def _find_least(self, service: ServiceName, held: dict[Slot, int]) -> int:
        """Return how many endpoints to keep whatever the demand is."""
        if self.demand.seen_s(service) > LEARN_S:
            return 0
        # While one market takes over from the other both are there, which
        # is no sign that all of them are needed.
        by_market = Counter[Market]()
        for slot, count in held.items():
            by_market[slot.market] += count
        most = max(self._found.get(service, 0), *by_market.values(), 0)
        self._found[service] = most
        expected = expect_busy(self.configuration(), service)
        return max(most, math.ceil(expected / self.policy.busy_share))

    async def _try_dry(
        self,
        service: ServiceName,
        bounds: ScalingBounds,
        held: dict[Slot, int],
        lease: Lease,
    ) -> None:
        """Order one endpoint where there was none, if a try is due."""
        now = self.clock()
        due = [
            place
            for place, next_try in self._dry.items()
            if place[0] == service and now >= next_try
        ]
        if not due or now < self._next_try:
            return
        place = min(due, key=lambda each: self._dry[each])
        self._next_try = now + TRY_S
        self._dry[place] = now + DRY_S
        slot = Slot(data_centre=place[1], market=Market.RECLAIMABLE)
        count = min(held.get(slot, 0) + 1, bounds.most)
        await self._give(service, slot, count, lease)
        if place not in self._dry:
            self._next_try = now

    def _is_due(
        self,
        service: ServiceName,
        slot: Slot,
        count: int,
        held: dict[Slot, int],
        bounds: ScalingBounds,
    ) -> bool:
        given = self._given.get((service, slot))
        if given is None:
            return count > 0 or held.get(slot, 0) > 0
        if given.count != count:
            return True
        passed_s = self.clock() - given.at
        if held.get(slot, 0) != count:
            return passed_s > bounds.boot_s + SETTLE_S
        return passed_s > REPEAT_S and count > 0

    async def _give(
        self, service: ServiceName, slot: Slot, count: int, lease: Lease
    ) -> None:
        if not lease.is_valid():
            return
        outcome = await self.calls.order_endpoints(
            EndpointOrder(
                service=service,
                data_centre=slot.data_centre,
                market=slot.market,
                count=count,
            ),
            fencing=lease.fencing,
        )
        log.info(
            'endpoints_ordered',
            service=service,
            data_centre=slot.data_centre,
            market=slot.market,
            count=count,
            busy=round(self.demand.busy(service), 2),
            fencing=lease.fencing,
            outcome=outcome.name.lower(),
        )
        self.metrics.duty_calls.inc(
            {'duty': 'scaling', 'outcome': outcome.name.lower()}
        )
        if outcome is DutyOutcome.DONE:
            self._note_given(service, slot, count)
        elif outcome is DutyOutcome.REFUSED:
            self._note_refused(service, slot, lease)

    def _note_given(
        self, service: ServiceName, slot: Slot, count: int
    ) -> None:
        key = (service, slot)
        before = self._given.get(key)
        if before is not None and before.count != count:
            is_less = before.count > count
            (self._shrunk.add if is_less else self._shrunk.discard)(key)
        self._given[key] = _Given(count=count, at=self.clock())
        if slot.market is Market.RECLAIMABLE:
            self._dry.pop((service, slot.data_centre), None)

    def _note_refused(
        self, service: ServiceName, slot: Slot, lease: Lease
    ) -> None:
        """Take a refusal: nothing is to be had, or there is a new holder.

        The platform says both in the same way. On-demand endpoints can
        always be had, so for them it is a new holder.
        """
        if slot.market is Market.RECLAIMABLE:
            place = (service, slot.data_centre)
            self._dry[place] = self.clock() + DRY_S
        else:
            self.lose_lease(lease)

    def _find_given(self, service: ServiceName) -> dict[Slot, int]:
        return {
            slot: given.count
            for (name, slot), given in self._given.items()
            if name == service
        }

    def _find_dry(self, service: ServiceName) -> frozenset[DataCentreName]:
        return frozenset(
            place[1] for place in self._dry if place[0] == service
        )

    def _count_held(self, service: ServiceName) -> dict[Slot, int]:
        held: dict[Slot, int] = {}
        for record in self.roster.serving(service):
            slot = Slot(
                data_centre=record.listed.data_centre,
                market=record.listed.market,
            )
            held[slot] = held.get(slot, 0) + 1
        return held


def _keep_all(
    counts: Mapping[Slot, int],
    held: Mapping[Slot, int],
    given: Mapping[Slot, int],
) -> dict[Slot, int]:
    """Return counts that take no endpoint away.

    While a service has two versions the platform counts both together, and
    an order for fewer would end those of the new one.
    """
    return {
        slot: max(count, held.get(slot, 0), given.get(slot, 0))
        for slot, count in counts.items()
    }
