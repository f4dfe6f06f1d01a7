"""Exchange of demand, capacity and plans between planners and daemons.

In each planning round, a planner calls every other daemon of its data
centre. The request carries the planner's summary and the ceilings that it
enforces; the answer carries the daemon's demand and the summaries that it
received from other data centres. The planner also sends its summary to one
random daemon of each other data centre, which need not be the lease holder
there; the planner there collects the summary with its own calls.
"""

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

import anyio
from mimosamux_wire import Message
from mimosamux_wire.planning_messages import (
    CountRecord,
    DemandRecord,
    DemandTold,
    OfferRecord,
    PlanningSummary,
    PlanTold,
    RateRecord,
    ShortfallRecord,
)

from mimosamux_daemon.control.ceilings import Ceilings
from mimosamux_daemon.control.demand import DemandMeter, sum_demands
from mimosamux_daemon.domain.names import (
    ClassName,
    DaemonId,
    DataCentreName,
    ModelName,
    VMId,
)
from mimosamux_daemon.domain.plan import (
    CeilingShortfall,
    ClassDemand,
    Offer,
    OfferCount,
    ServiceRate,
)
from mimosamux_daemon.domain.vms import Market
from mimosamux_daemon.ports.peer import Peers

SUMMARY_TTL_S = 900.0
"""Age at which a summary of another data centre expires.

Network partitions between regions last minutes. Dropping the demand of
another region sooner would stop VMs that are needed when it reconnects.
"""
COUNTS_TTL_S = 20.0
"""Age at which reported VM counts expire; the cloud's list replaces them."""
DAEMON_DEMAND_TTL_S = 20.0
"""Age at which the demand of a daemon expires."""
CALL_TIMEOUT_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class ReceivedSummary:
    """A summary and the monotonic time of its arrival."""

    summary: PlanningSummary
    received_at: float


class PlanningView:
    """A daemon's view of planning, whether or not it is the planner.

    It keeps the newest summary of each data centre, and puts the ceiling
    shortfalls of the planner in force at the daemon's admission control.
    """

    def __init__(
        self,
        *,
        data_centre: DataCentreName,
        meter: DemandMeter,
        ceilings: Ceilings,
        peers: Peers | None = None,
    ) -> None:
        self.meter = meter
        self.ceilings = ceilings
        self.by_data_centre: dict[str, ReceivedSummary] = {}
        self.on_capacity_change: Callable[[], None] = lambda: None
        """Called when another data centre is new, has fewer VMs, or its
        set of refused offers changes."""
        self._data_centre = data_centre
        self.latest_own_summary: PlanningSummary | None = None
        """Newest summary from the planner of this data centre."""
        self._unforwarded: set[str] = set()
        """Data centres whose summaries the planner has not yet received."""
        if peers is not None:
            peers.handle(PlanTold, self._handle_plan)
            peers.handle(PlanningSummary, self._handle_summary)

    def merge_summary(self, summary: PlanningSummary) -> None:
        """Keep the summary of another data centre if it is newer."""
        name = summary.data_centre
        known = self.by_data_centre.get(name)
        if name == self._data_centre:
            return
        if known is not None and _version(summary) <= _version(known.summary):
            return
        self.by_data_centre[name] = ReceivedSummary(
            summary=summary, received_at=anyio.current_time()
        )
        self._unforwarded.add(name)
        if known is None or _has_lost_capacity(known.summary, summary):
            self.on_capacity_change()

    def current_summaries(self) -> list[PlanningSummary]:
        """Return the unexpired summaries of other data centres."""
        now = anyio.current_time()
        return [
            received.summary
            for received in self.by_data_centre.values()
            if now - received.received_at <= SUMMARY_TTL_S
        ]

    async def _handle_plan(
        self, sender: DaemonId, message: PlanTold
    ) -> DemandTold:
        # A planner that was paused may send a plan that is older than its
        # successor's; its fencing token is lower.
        own = self.latest_own_summary
        if own is None or _version(message.summary) >= _version(own):
            self.latest_own_summary = message.summary
            self.ceilings.update(map(_as_shortfall, message.shortfalls))
        unforwarded, self._unforwarded = self._unforwarded, set()
        return DemandTold(
            demands=[_as_record(item) for item in self.meter.current()],
            summaries=[
                self.by_data_centre[name].summary for name in unforwarded
            ],
        )

    async def _handle_summary(
        self, sender: DaemonId, message: PlanningSummary
    ) -> Message | None:
        self.merge_summary(message)
        return None


class PlanningExchange:
    """The planner's side of the exchange with all other daemons."""

    def __init__(
        self,
        *,
        daemon: DaemonId,
        planning_view: PlanningView,
        peers: Peers | None,
        own_daemons: Callable[[], Iterable[DaemonId]],
        other_daemons: Callable[
            [], Mapping[DataCentreName, tuple[DaemonId, ...]]
        ],
        randomness: random.Random,
    ) -> None:
        self._daemon = daemon
        self._planning_view = planning_view
        self._peers = peers
        self._own_daemons = own_daemons
        self._other_daemons = other_daemons
        self._randomness = randomness
        self._demand_by_daemon: dict[
            DaemonId, tuple[float, tuple[ClassDemand, ...]]
        ] = {}

    def set_change_callback(self, action: Callable[[], None]) -> None:
        """Set the callback for VMs lost or refused in other data centres."""
        self._planning_view.on_capacity_change = action

    async def exchange(
        self,
        summary: PlanningSummary,
        shortfalls: Iterable[CeilingShortfall],
    ) -> None:
        """Send the summary and the shortfalls, and collect demand."""
        shortfalls = tuple(shortfalls)
        self._planning_view.ceilings.update(shortfalls)
        if self._peers is None:
            return
        plan = PlanTold(
            summary=summary,
            shortfalls=[_as_shortfall_record(item) for item in shortfalls],
        )
        async with anyio.create_task_group() as tasks:
            for daemon in self._own_daemons():
                if daemon != self._daemon:
                    tasks.start_soon(
                        self._exchange_with, self._peers, daemon, plan
                    )
            for daemons in self._other_daemons().values():
                if daemons:
                    chosen = self._randomness.choice(daemons)
                    tasks.start_soon(
                        _send_summary, self._peers, chosen, summary
                    )

    def own_demand(self) -> tuple[ClassDemand, ...]:
        """Return the total unexpired demand of this data centre."""
        now = anyio.current_time()
        unexpired = [
            demands
            for received_at, demands in self._demand_by_daemon.values()
            if now - received_at <= DAEMON_DEMAND_TTL_S
        ]
        unexpired.append(self._planning_view.meter.current())
        return sum_demands(item for demands in unexpired for item in demands)

    def previous_forecast(self) -> tuple[ClassDemand, ...]:
        """Return the last forecast that a planner sent to this daemon."""
        summary = self._planning_view.latest_own_summary
        records = summary.demands if summary else []
        return tuple(_as_demand(record) for record in records)

    def add_remote_demand(
        self, own: Iterable[ClassDemand]
    ) -> tuple[ClassDemand, ...]:
        """Add the forecasts of the other data centres to the own one."""
        remote = [
            _as_demand(record)
            for summary in self._planning_view.current_summaries()
            for record in summary.demands
        ]
        return sum_demands([*own, *remote])

    def remote_refused_offers(self) -> frozenset[Offer]:
        """Return the offers that the cloud refused to other planners."""
        return frozenset(
            Offer(
                data_centre=DataCentreName(summary.data_centre),
                machine_class=record.machine_class,
                market=Market(record.market),
            )
            for summary in self._planning_view.current_summaries()
            for record in summary.refused
        )

    def remote_stopping_vms(self) -> frozenset[VMId]:
        """Return the VMs that other planners are draining."""
        return frozenset(
            VMId(vm)
            for summary in self._planning_view.current_summaries()
            for vm in summary.stopping
        )

    def remote_counts(
        self,
    ) -> dict[DataCentreName, tuple[OfferCount, ...]]:
        """Return the unexpired VM counts by other data centre."""
        now = anyio.current_time()
        return {
            DataCentreName(name): tuple(
                _as_count(DataCentreName(name), record)
                for record in received.summary.counts
            )
            for name, received in self._planning_view.by_data_centre.items()
            if now - received.received_at <= COUNTS_TTL_S
        }

    def remote_rates(self) -> dict[tuple[ModelName, str], ServiceRate]:
        """Return the service rates that other planners reported."""
        return {
            (ModelName(record.model), record.machine_class): ServiceRate(
                prefill_tokens_per_s=record.prefill_tokens_per_s,
                decode_interval_s=record.decode_interval_s,
                slots=record.slots,
            )
            for summary in self._planning_view.current_summaries()
            for record in summary.rates
        }

    async def _exchange_with(
        self, peers: Peers, daemon: DaemonId, plan: PlanTold
    ) -> None:
        answer = await peers.call(daemon, plan, timeout_s=CALL_TIMEOUT_S)
        if not isinstance(answer, DemandTold):
            return
        demands = tuple(_as_demand(record) for record in answer.demands)
        self._demand_by_daemon[daemon] = (anyio.current_time(), demands)
        for summary in answer.summaries:
            self._planning_view.merge_summary(summary)


def make_summary(
    *,
    data_centre: DataCentreName,
    fencing: int,
    sequence: int,
    demands: Iterable[ClassDemand],
    rates: Mapping[tuple[ModelName, str], ServiceRate],
    refused: Iterable[Offer],
    stopping: Iterable[VMId],
    counts: Iterable[OfferCount],
) -> PlanningSummary:
    """Build the summary that a planner sends to the other daemons."""
    return PlanningSummary(
        data_centre=data_centre,
        fencing=fencing,
        sequence=sequence,
        demands=[_as_record(item) for item in demands],
        rates=[
            RateRecord(
                model=model,
                machine_class=machine_class,
                prefill_tokens_per_s=rate.prefill_tokens_per_s,
                decode_interval_s=rate.decode_interval_s,
                slots=rate.slots,
            )
            for (model, machine_class), rate in rates.items()
        ],
        refused=[
            OfferRecord(
                machine_class=offer.machine_class, market=str(offer.market)
            )
            for offer in refused
            if offer.data_centre == data_centre
        ],
        stopping=list(stopping),
        counts=[
            CountRecord(
                model=item.model,
                machine_class=item.offer.machine_class,
                market=str(item.offer.market),
                running=item.running,
                live=item.live,
                paid=item.paid,
            )
            for item in counts
        ],
    )


async def _send_summary(
    peers: Peers, daemon: DaemonId, summary: PlanningSummary
) -> None:
    with anyio.move_on_after(CALL_TIMEOUT_S):
        await peers.notify(daemon, summary)


def _has_lost_capacity(old: PlanningSummary, new: PlanningSummary) -> bool:
    """Return whether a data centre has fewer VMs or changed refusals."""
    before = sum(record.running for record in old.counts)
    after = sum(record.running for record in new.counts)
    return after < before or old.refused != new.refused


def _version(summary: PlanningSummary) -> tuple[int, int]:
    """Return a key that orders the summaries of one data centre by age."""
    return summary.fencing, summary.sequence


def _as_count(data_centre: DataCentreName, record: CountRecord) -> OfferCount:
    return OfferCount(
        model=ModelName(record.model),
        offer=Offer(
            data_centre=data_centre,
            machine_class=record.machine_class,
            market=Market(record.market),
        ),
        running=record.running,
        live=record.live,
        paid=record.paid,
    )


def _as_record(demand: ClassDemand) -> DemandRecord:
    return DemandRecord(
        model=demand.model,
        work_class=demand.work_class,
        requests_per_s=demand.requests_per_s,
        prompt_tokens=demand.prompt_tokens,
        answer_tokens=demand.answer_tokens,
    )


def _as_demand(record: DemandRecord) -> ClassDemand:
    return ClassDemand(
        model=ModelName(record.model),
        work_class=ClassName(record.work_class),
        requests_per_s=record.requests_per_s,
        prompt_tokens=record.prompt_tokens,
        answer_tokens=record.answer_tokens,
    )


def _as_shortfall_record(shortfall: CeilingShortfall) -> ShortfallRecord:
    return ShortfallRecord(
        work_class=shortfall.work_class,
        needed_per_hour=shortfall.needed_per_hour,
        ceiling_per_hour=shortfall.ceiling_per_hour,
        admitted_share=shortfall.admitted_share,
    )


def _as_shortfall(record: ShortfallRecord) -> CeilingShortfall:
    return CeilingShortfall(
        work_class=ClassName(record.work_class),
        needed_per_hour=record.needed_per_hour,
        ceiling_per_hour=record.ceiling_per_hour,
        admitted_share=record.admitted_share,
    )
