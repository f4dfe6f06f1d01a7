"""A cloud in memory, with the faults that the platform's can have.

Nothing runs in the background: the state of a VM at any moment follows
from the times in its record, and the lagging list is that state some
seconds ago.
"""

from collections.abc import Collection
from dataclasses import dataclass, field, replace

import anyio
import anyio.lowlevel

from mimosamux_daemon.domain.names import DataCentreName, VMId
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import (
    VM,
    Market,
    Price,
    ReclaimNotice,
    VMRole,
    VMState,
)
from mimosamux_daemon.ports.models.cloud import StartRefused, StartVM

HOUR_S = 3600.0
NEVER = float('inf')

Offer = tuple[DataCentreName, str, Market]
"""Data centre, machine class and market."""


@dataclass(kw_only=True, slots=True)
class CloudFaults:
    """What goes wrong at present; tests change it while running."""

    down: bool = False
    delay_s: float = 0.0
    list_lag_s: float = 5.0
    """How old the list of VMs is."""
    start_delay_s: float = 30.0
    """Time from an order until the VM is live."""
    refused: set[Offer] = field(default_factory=set)
    """Offers of which no VM can be had now."""
    lose_next_starts: int = 0
    """So many starts take effect and their answers are lost."""
    lose_next_stops: int = 0


@dataclass(kw_only=True, slots=True)
class VMRecord:
    """One VM and the times at which its state changes."""

    vm: VM
    started_at: float
    live_at: float
    leaving_at: float = NEVER
    gone_at: float = NEVER
    was_reclaimed: bool = False

    def state_at(self, time: float) -> VMState | None:
        """Return the state at a time, None before and after its life."""
        if time < self.started_at or time >= self.gone_at:
            return None
        if time >= self.leaving_at:
            return VMState.LEAVING
        return VMState.LIVE if time >= self.live_at else VMState.STARTING


@dataclass(frozen=True, kw_only=True, slots=True)
class PriceChange:
    """A price an hour that holds from a time on."""

    at: float
    per_hour: float


@dataclass(kw_only=True, slots=True)
class MemoryCloud:
    """The `Cloud` port in memory; records what was started and paid.

    It ignores fencing numbers and order ids, so that an order given twice
    starts two VMs, as a plain cloud API does.
    """

    faults: CloudFaults = field(default_factory=CloudFaults)
    by_id: dict[VMId, VMRecord] = field(default_factory=dict)
    starts: list[StartVM] = field(default_factory=list)
    """Orders that started a VM."""
    refusals: list[StartVM] = field(default_factory=list)
    stops: list[VMId] = field(default_factory=list)
    prices_by_offer: dict[Offer, list[PriceChange]] = field(
        default_factory=dict
    )
    _started: int = 0

    def set_price(self, price: Price) -> None:
        """Change a price from now on; this also puts an offer up."""
        offer = (price.data_centre, price.machine_class, price.market)
        change = PriceChange(at=anyio.current_time(), per_hour=price.per_hour)
        self.prices_by_offer.setdefault(offer, []).append(change)

    def reclaim(self, vm: VMId, *, notice_s: float) -> None:
        """Give notice of a VM, which is gone when the notice is over."""
        now = anyio.current_time()
        record = self.by_id[vm]
        record.leaving_at = min(record.leaving_at, now)
        record.gone_at = min(record.gone_at, now + notice_s)
        record.was_reclaimed = True

    def live_now(self) -> tuple[VM, ...]:
        """Return the VMs that exist at this moment, without any lag."""
        return self._as_of(anyio.current_time())

    def cost(self) -> float:
        """Return the money spent on every VM up to now."""
        return sum(self.cost_of(vm) for vm in self.by_id)

    def cost_of(self, vm: VMId) -> float:
        """Return the money spent on one VM up to now."""
        record = self.by_id[vm]
        end = min(record.gone_at, anyio.current_time())
        changes = self.prices_by_offer[_offer_of(record.vm)]
        ends = [*(change.at for change in changes[1:]), NEVER]
        total = 0.0
        for change, until in zip(changes, ends, strict=True):
            since = max(change.at, record.started_at)
            hours = max(0.0, min(until, end) - since) / HOUR_S
            total += hours * change.per_hour
        return total

    async def list_vms(
        self, data_centres: Collection[DataCentreName] = ()
    ) -> tuple[VM, ...] | Unavailable:
        """Return the live and leaving VMs, as of some seconds ago."""
        if not await self._is_up():
            return Unavailable(reason='down', may_have_taken_effect=False)
        listed = self._as_of(anyio.current_time() - self.faults.list_lag_s)
        return select_vms(listed, data_centres)

    async def list_notices(self) -> tuple[ReclaimNotice, ...] | Unavailable:
        """Return the reclaim notices in force now."""
        if not await self._is_up():
            return Unavailable(reason='down', may_have_taken_effect=False)
        now = anyio.current_time()
        return tuple(
            ReclaimNotice(vm=vm, seconds_left=record.gone_at - now)
            for vm, record in self.by_id.items()
            if record.was_reclaimed and now < record.gone_at
        )

    async def list_prices(self) -> tuple[Price, ...] | Unavailable:
        """Return the prices in force now."""
        if not await self._is_up():
            return Unavailable(reason='down', may_have_taken_effect=False)
        return tuple(
            Price(
                data_centre=offer[0],
                machine_class=offer[1],
                market=offer[2],
                per_hour=changes[-1].per_hour,
            )
            for offer, changes in self.prices_by_offer.items()
        )

    async def start_vm(
        self, order: StartVM
    ) -> VM | StartRefused | Unavailable:
        """Start a VM."""
        if not await self._is_up():
            return Unavailable(reason='down', may_have_taken_effect=False)
        offer = (order.data_centre, order.machine_class, order.market)
        if offer in self.faults.refused or offer not in self.prices_by_offer:
            self.refusals.append(order)
            return StartRefused(reason='no such VM to be had')
        vm = self._start(order)
        if self.faults.lose_next_starts > 0:
            self.faults.lose_next_starts -= 1
            return Unavailable(
                reason='answer lost', may_have_taken_effect=True
            )
        return vm

    async def stop_vm(self, vm: VMId) -> None | Unavailable:
        """Stop a VM; stopping one that is gone is no error."""
        if not await self._is_up():
            return Unavailable(reason='down', may_have_taken_effect=False)
        self.stops.append(vm)
        record = self.by_id.get(vm)
        if record is not None:
            now = anyio.current_time()
            record.leaving_at = min(record.leaving_at, now)
            record.gone_at = min(record.gone_at, now)
        if self.faults.lose_next_stops > 0:
            self.faults.lose_next_stops -= 1
            return Unavailable(
                reason='answer lost', may_have_taken_effect=True
            )
        return None

    async def _is_up(self) -> bool:
        await anyio.lowlevel.checkpoint()
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        return not self.faults.down

    def _start(self, order: StartVM) -> VM:
        now = anyio.current_time()
        self._started += 1
        name = f'vm-{self._started}'
        vm = VM(
            id=VMId(name),
            data_centre=order.data_centre,
            machine_class=order.machine_class,
            market=order.market,
            role=VMRole.ENDPOINT,
            state=VMState.STARTING,
            address=f'{name}:1',
            order_id=order.order_id,
            model=order.model,
        )
        self.by_id[vm.id] = VMRecord(
            vm=vm,
            started_at=now,
            live_at=now + self.faults.start_delay_s,
        )
        self.starts.append(order)
        return vm

    def _as_of(self, time: float) -> tuple[VM, ...]:
        states = (
            (record.vm, record.state_at(time))
            for record in self.by_id.values()
        )
        return tuple(
            replace(vm, state=state)
            for vm, state in states
            if state is not None
        )


def select_vms(
    vms: tuple[VM, ...], data_centres: Collection[DataCentreName]
) -> tuple[VM, ...]:
    """Return the VMs of some data centres, all if none is named."""
    if not data_centres:
        return vms
    return tuple(vm for vm in vms if vm.data_centre in data_centres)


def _offer_of(vm: VM) -> Offer:
    return (vm.data_centre, vm.machine_class, vm.market)
