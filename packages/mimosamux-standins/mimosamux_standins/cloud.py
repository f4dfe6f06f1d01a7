"""A cloud that lists given VMs and hands out prepared ones."""

from collections.abc import Collection
from dataclasses import dataclass, field, replace

import anyio
import anyio.lowlevel
from mimosamux_daemon.adapters.memory_cloud import select_vms
from mimosamux_daemon.domain.names import DataCentreName, VMId
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import VM, Price, ReclaimNotice, VMState
from mimosamux_daemon.ports.models.cloud import StartRefused, StartVM

DOWN = Unavailable(reason='down', may_have_taken_effect=False)
ANSWER_LOST = Unavailable(reason='answer lost', may_have_taken_effect=True)


@dataclass(kw_only=True, slots=True)
class CloudFaults:
    """What goes wrong at present."""

    down: bool = False
    delay_s: float = 0.0
    list_lag_s: float = 0.0
    """How old the list of VMs is."""
    refuse_starts: bool = False
    lose_next_starts: int = 0
    """So many starts take effect and their answers are lost."""


@dataclass(frozen=True, kw_only=True, slots=True)
class _Snapshot:
    at: float
    vms: tuple[VM, ...]


@dataclass(kw_only=True, slots=True)
class StandInCloud:
    """The `Cloud` port over VMs that run already.

    A start takes a VM out of `spares` and lists it, and a stop puts it
    back there; no process is started or stopped.
    """

    faults: CloudFaults = field(default_factory=CloudFaults)
    spares: list[VM] = field(default_factory=list)
    prices: tuple[Price, ...] = ()
    starts: list[StartVM] = field(default_factory=list)
    stops: list[VMId] = field(default_factory=list)
    by_id: dict[VMId, VM] = field(default_factory=dict)
    gone_at_by_id: dict[VMId, float] = field(default_factory=dict)
    _history: list[_Snapshot] = field(default_factory=list)

    def put(self, vm: VM) -> None:
        """List a VM, or change one that is listed."""
        self.by_id[vm.id] = vm
        self._note_change()

    def remove(self, vm: VMId) -> None:
        """Take a VM off the list."""
        self.by_id.pop(vm, None)
        self.gone_at_by_id.pop(vm, None)
        self._note_change()

    def reclaim(self, vm: VMId, *, seconds_left: float) -> None:
        """Give notice of a VM; it leaves, and is gone after that time."""
        self.gone_at_by_id[vm] = anyio.current_time() + seconds_left
        if vm in self.by_id:
            self.put(replace(self.by_id[vm], state=VMState.LEAVING))

    async def list_vms(
        self, data_centres: Collection[DataCentreName] = ()
    ) -> tuple[VM, ...] | Unavailable:
        """Return the VMs as of `list_lag_s` ago."""
        if not await self._is_up():
            return DOWN
        as_of = anyio.current_time() - self.faults.list_lag_s
        for snapshot in reversed(self._history):
            if snapshot.at <= as_of:
                return select_vms(snapshot.vms, data_centres)
        oldest = self._history[0].vms if self._history else ()
        return select_vms(oldest, data_centres)

    async def list_notices(self) -> tuple[ReclaimNotice, ...] | Unavailable:
        """Return the notices in force now."""
        if not await self._is_up():
            return DOWN
        now = anyio.current_time()
        return tuple(
            ReclaimNotice(vm=vm, seconds_left=gone_at - now)
            for vm, gone_at in self.gone_at_by_id.items()
        )

    async def list_prices(self) -> tuple[Price, ...] | Unavailable:
        """Return the prices in force now."""
        return self.prices if await self._is_up() else DOWN

    async def start_vm(
        self, order: StartVM
    ) -> VM | StartRefused | Unavailable:
        """List a spare VM that fits the order."""
        if not await self._is_up():
            return DOWN
        spare = next((vm for vm in self.spares if _fits(vm, order)), None)
        if spare is None or self.faults.refuse_starts:
            return StartRefused(reason='no such VM to be had')
        self.spares.remove(spare)
        self.starts.append(order)
        started = replace(spare, order_id=order.order_id, model=order.model)
        self.put(started)
        if self.faults.lose_next_starts > 0:
            self.faults.lose_next_starts -= 1
            return ANSWER_LOST
        return started

    async def stop_vm(self, vm: VMId) -> None | Unavailable:
        """Take a VM off the list."""
        if not await self._is_up():
            return DOWN
        self.stops.append(vm)
        stopped = self.by_id.get(vm)
        if stopped is not None:
            self.spares.append(replace(stopped, order_id=''))
        self.remove(vm)
        return None

    async def _is_up(self) -> bool:
        await anyio.lowlevel.checkpoint()
        if self.faults.delay_s:
            await anyio.sleep(self.faults.delay_s)
        now = anyio.current_time()
        for vm, gone_at in tuple(self.gone_at_by_id.items()):
            if gone_at <= now:
                self.remove(vm)
        return not self.faults.down

    def _note_change(self) -> None:
        self._history.append(
            _Snapshot(at=anyio.current_time(), vms=tuple(self.by_id.values()))
        )


def _fits(vm: VM, order: StartVM) -> bool:
    return (
        vm.data_centre == order.data_centre
        and vm.machine_class == order.machine_class
        and vm.market == order.market
        and vm.model in (None, order.model)
    )
