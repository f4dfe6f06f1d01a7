"""How planners and daemons share demand: small summaries, no copies.

The planner of a data centre asks each daemon there in turn; the question
carries what it decided and the answer carries the daemon's demand and the
summaries that reached it from other data centres. A summary goes to one
daemon of each other data centre, whichever has its lease.
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

STALE_S = 900.0
"""Age at which what another data centre told is left out.

Regions lose each other for minutes; dropping their demand sooner would
take VMs away that are needed when they come together again.
"""
COUNTS_STALE_S = 20.0
"""Age at which the VMs of a data centre are looked up in the list."""
DAEMON_STALE_S = 20.0
"""Age at which what a daemon told is left out."""
ASK_TIMEOUT_S = 1.0


@dataclass(frozen=True, kw_only=True, slots=True)
class Heard:
    """A summary and when it came in."""

    summary: PlanningSummary
    at: float


class PlanningNews:
    """What one daemon knows of planning; every daemon has one."""

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
        self.by_data_centre: dict[str, Heard] = {}
        self.on_news: Callable[[], None] = lambda: None
        """Called when another data centre lost VMs or is refused some."""
        self._data_centre = data_centre
        self.own_summary: PlanningSummary | None = None
        self._untold: set[str] = set()
        if peers is not None:
            peers.handle(PlanTold, self._take_plan)
            peers.handle(PlanningSummary, self._take_from_peer)

    def take_summary(self, summary: PlanningSummary) -> None:
        """Keep the summary of another data centre if it is news."""
        name = summary.data_centre
        known = self.by_data_centre.get(name)
        if name == self._data_centre:
            return
        if known is not None and _age(summary) <= _age(known.summary):
            return
        self.by_data_centre[name] = Heard(
            summary=summary, at=anyio.current_time()
        )
        self._untold.add(name)
        if known is None or _needs_help(known.summary, summary):
            self.on_news()

    def current_summaries(self) -> list[PlanningSummary]:
        """Return what is known of other data centres and not stale."""
        now = anyio.current_time()
        return [
            heard.summary
            for heard in self.by_data_centre.values()
            if now - heard.at <= STALE_S
        ]

    async def _take_plan(
        self, sender: DaemonId, message: PlanTold
    ) -> DemandTold:
        # A planner that was paused may still tell what it decided before
        # its successor did; its number is lower.
        own = self.own_summary
        if own is None or _age(message.summary) >= _age(own):
            self.own_summary = message.summary
            self.ceilings.take(map(_as_shortfall, message.shortfalls))
        untold, self._untold = self._untold, set()
        return DemandTold(
            demands=[_as_record(item) for item in self.meter.current()],
            summaries=[self.by_data_centre[name].summary for name in untold],
        )

    async def _take_from_peer(
        self, sender: DaemonId, message: PlanningSummary
    ) -> Message | None:
        self.take_summary(message)
        return None


class PlanningExchange:
    """The planner's side of the exchange."""

    def __init__(
        self,
        *,
        daemon: DaemonId,
        news: PlanningNews,
        peers: Peers | None,
        own_daemons: Callable[[], Iterable[DaemonId]],
        other_daemons: Callable[
            [], Mapping[DataCentreName, tuple[DaemonId, ...]]
        ],
        randomness: random.Random,
    ) -> None:
        self._daemon = daemon
        self._news = news
        self._peers = peers
        self._own_daemons = own_daemons
        self._other_daemons = other_daemons
        self._randomness = randomness
        self._told_by_daemon: dict[
            DaemonId, tuple[float, tuple[ClassDemand, ...]]
        ] = {}

    def call_on_news(self, action: Callable[[], None]) -> None:
        """Have an action run when VMs elsewhere are lost or refused."""
        self._news.on_news = action

    async def exchange(
        self,
        summary: PlanningSummary,
        shortfalls: Iterable[CeilingShortfall],
    ) -> None:
        """Tell what was decided, and learn the demand of everybody."""
        shortfalls = tuple(shortfalls)
        self._news.ceilings.take(shortfalls)
        if self._peers is None:
            return
        plan = PlanTold(
            summary=summary, shortfalls=[_as_told(item) for item in shortfalls]
        )
        async with anyio.create_task_group() as tasks:
            for daemon in self._own_daemons():
                if daemon != self._daemon:
                    tasks.start_soon(self._ask, self._peers, daemon, plan)
            for daemons in self._other_daemons().values():
                if daemons:
                    chosen = self._randomness.choice(daemons)
                    tasks.start_soon(_tell, self._peers, chosen, summary)

    def own_demand(self) -> tuple[ClassDemand, ...]:
        """Return the demand at the daemons of this data centre."""
        now = anyio.current_time()
        told = [
            demands
            for at, demands in self._told_by_daemon.values()
            if now - at <= DAEMON_STALE_S
        ]
        told.append(self._news.meter.current())
        return sum_demands(item for demands in told for item in demands)

    def earlier_forecast(self) -> tuple[ClassDemand, ...]:
        """Return what the planner before this one forecast here."""
        summary = self._news.own_summary
        records = summary.demands if summary else []
        return tuple(_as_demand(record) for record in records)

    def add_elsewhere(
        self, own: Iterable[ClassDemand]
    ) -> tuple[ClassDemand, ...]:
        """Return the demand at every data centre, forecast by each."""
        elsewhere = [
            _as_demand(record)
            for summary in self._news.current_summaries()
            for record in summary.demands
        ]
        return sum_demands([*own, *elsewhere])

    def refused_elsewhere(self) -> frozenset[Offer]:
        """Return the offers that gave nothing to other planners."""
        return frozenset(
            Offer(
                data_centre=DataCentreName(summary.data_centre),
                machine_class=record.machine_class,
                market=Market(record.market),
            )
            for summary in self._news.current_summaries()
            for record in summary.refused
        )

    def stopping_elsewhere(self) -> frozenset[VMId]:
        """Return the VMs that other planners are draining."""
        return frozenset(
            VMId(vm)
            for summary in self._news.current_summaries()
            for vm in summary.stopping
        )

    def counts_elsewhere(
        self,
    ) -> dict[DataCentreName, tuple[OfferCount, ...]]:
        """Return the VMs of the data centres that told lately."""
        now = anyio.current_time()
        return {
            DataCentreName(name): tuple(
                _as_count(DataCentreName(name), record)
                for record in heard.summary.counts
            )
            for name, heard in self._news.by_data_centre.items()
            if now - heard.at <= COUNTS_STALE_S
        }

    def rates_elsewhere(self) -> dict[tuple[ModelName, str], ServiceRate]:
        """Return the rates that other planners have learned."""
        return {
            (ModelName(record.model), record.machine_class): ServiceRate(
                prefill_tokens_per_s=record.prefill_tokens_per_s,
                decode_interval_s=record.decode_interval_s,
                slots=record.slots,
            )
            for summary in self._news.current_summaries()
            for record in summary.rates
        }

    async def _ask(
        self, peers: Peers, daemon: DaemonId, plan: PlanTold
    ) -> None:
        answer = await peers.call(daemon, plan, timeout_s=ASK_TIMEOUT_S)
        if not isinstance(answer, DemandTold):
            return
        demands = tuple(_as_demand(record) for record in answer.demands)
        self._told_by_daemon[daemon] = (anyio.current_time(), demands)
        for summary in answer.summaries:
            self._news.take_summary(summary)


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
    """Return the summary of a data centre for the others."""
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


async def _tell(
    peers: Peers, daemon: DaemonId, summary: PlanningSummary
) -> None:
    with anyio.move_on_after(ASK_TIMEOUT_S):
        await peers.notify(daemon, summary)


def _needs_help(old: PlanningSummary, new: PlanningSummary) -> bool:
    """Return whether a data centre has fewer VMs, or other refusals."""
    before = sum(record.running for record in old.counts)
    after = sum(record.running for record in new.counts)
    return after < before or old.refused != new.refused


def _age(summary: PlanningSummary) -> tuple[int, int]:
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


def _as_told(shortfall: CeilingShortfall) -> ShortfallRecord:
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
