"""Orders to the cloud and the engines of one data centre, under a lease.

Every order is written down before it is given, and the lease is looked at
right before. After a lost answer the list of VMs tells what happened; it
lags, so an order counts as without effect only once the list is newer
than the order by the longest lag.
"""

import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field, replace

import anyio
import anyio.abc

from mimosamux_daemon.control.backoff import Backoff
from mimosamux_daemon.control.drains import EndpointDrainer
from mimosamux_daemon.control.leases import Lease
from mimosamux_daemon.control.order_rows import (
    OrderChange,
    OrderRows,
    OrderState,
    VMOrder,
)
from mimosamux_daemon.control.weight_queue import WeightQueue
from mimosamux_daemon.domain.configuration import Configuration, ModelSpec
from mimosamux_daemon.domain.engine import (
    EngineOrder,
    OrderDone,
    OrderRefused,
)
from mimosamux_daemon.domain.names import (
    DataCentreName,
    EndpointId,
    ModelName,
    VMId,
)
from mimosamux_daemon.domain.plan import Offer
from mimosamux_daemon.domain.store import Unavailable
from mimosamux_daemon.domain.vms import VM, Endpoint, VMRole, VMState
from mimosamux_daemon.logs import get_log
from mimosamux_daemon.ports.models.cloud import Cloud, StartRefused, StartVM
from mimosamux_daemon.ports.models.engine import Engines

log = get_log('orders')


@dataclass(frozen=True, kw_only=True, slots=True)
class OrderPolicy:
    """Times in seconds."""

    list_lag_bound_s: float = 30.0
    """The list of VMs is never older than this."""
    call_timeout_s: float = 5.0
    retry_s: float = 2.0
    gone_after_lists: int = 3
    """A VM is gone once it is missing from so many lists in a row."""


@dataclass(kw_only=True, slots=True)
class TrackedOrder:
    """An order, and what has been seen of its VM."""

    order: VMOrder
    since: float
    """Time after which it cannot have been given again."""
    was_listed: bool = False
    lists_missing: int = 0
    is_busy: bool = False
    """A task loads, drains or stops it, or waits for the cloud."""


@dataclass(frozen=True, kw_only=True, slots=True)
class WantedVM:
    """A VM to start, and why."""

    offer: Offer
    model: ModelName
    version: str
    why: str


@dataclass(kw_only=True)
class OrderParts:
    """What orders are given through."""

    cloud: Cloud
    engines: Engines
    drains: EndpointDrainer
    weights: WeightQueue
    backoff: Backoff
    configuration: Callable[[], Configuration]
    randomness: random.Random
    policy: OrderPolicy = field(default_factory=OrderPolicy)
    on_ready: Callable[[VMOrder], None] = lambda _: None
    on_refused: Callable[[], None] = lambda: None
    """Called when a start was refused, so that another one is planned."""


class Orders:
    """Starts, loads and stops the VMs of one data centre."""

    def __init__(
        self,
        *,
        data_centre: DataCentreName,
        parts: OrderParts,
        rows: OrderRows,
        lease: Lease,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        self._data_centre = data_centre
        self._parts = parts
        self._rows = rows
        self._lease = lease
        self._tasks = tasks
        self._by_id: dict[str, TrackedOrder] = {}
        self._vms_by_id: dict[VMId, VM] = {}
        self._is_read = False
        self._number = 0

    def active(self) -> Iterator[VMOrder]:
        """Return the orders whose VMs are there to stay, or may be."""
        return (
            tracked.order
            for tracked in self._by_id.values()
            if tracked.order.state is not OrderState.STOPPING
        )

    def stopping(self) -> frozenset[VMId]:
        """Return the VMs that are drained and stopped."""
        return frozenset(
            tracked.order.vm
            for tracked in self._by_id.values()
            if tracked.order.state is OrderState.STOPPING
        )

    def is_live(self, order: VMOrder) -> bool:
        """Return whether the VM of an order serves."""
        vm = self._vms_by_id.get(order.vm)
        return (
            order.state is OrderState.READY
            and vm is not None
            and vm.state is VMState.LIVE
        )

    async def settle(self, vms: Sequence[VM], asked_at: float) -> bool:
        """Bring the orders in line with the list of VMs.

        False if the rows cannot be read: nothing may be ordered then, as
        an order of an earlier holder could be under way unseen.
        """
        if not self._is_read and not await self._read_rows():
            return False
        self._vms_by_id = {vm.id: vm for vm in vms if self._is_own(vm)}
        changes: list[OrderChange] = []
        self._match_listed()
        self._adopt_unknown()
        for tracked in list(self._by_id.values()):
            change = self._find_gone(tracked, asked_at)
            if change is not None:
                changes.append(change)
        if changes and await self._write(changes):
            for change in changes:
                self._by_id.pop(change.order.id, None)
        self._continue_work()
        return self._is_read

    async def start(self, wanted: Sequence[WantedVM]) -> None:
        """Write the intentions down, then order the VMs."""
        orders = [self._new_order(item) for item in wanted]
        changes = [
            OrderChange(order=order, why=item.why)
            for order, item in zip(orders, wanted, strict=True)
        ]
        if not changes or not await self._write(changes):
            return
        for order in orders:
            tracked = TrackedOrder(order=order, since=anyio.current_time())
            tracked.is_busy = True
            self._by_id[order.id] = tracked
            self._tasks.start_soon(self._start_one, tracked)

    async def stop(self, orders: Sequence[VMOrder], why: str) -> None:
        """Write the intentions down, then drain and stop the VMs."""
        changes = [
            OrderChange(
                order=order.moved_to(OrderState.STOPPING),
                before=str(order.state),
                why=why,
            )
            for order in orders
        ]
        if not changes or not await self._write(changes):
            return
        for change in changes:
            self._by_id[change.order.id].order = change.order
        self._continue_work()

    async def _read_rows(self) -> bool:
        orders = await self._rows.read_all()
        if isinstance(orders, Unavailable):
            return False
        now = anyio.current_time()
        found = {order.id: order for order in orders}
        for id_, order in found.items():
            tracked = self._by_id.get(id_)
            if tracked is None:
                # Its order may be under way from an earlier holder, so it
                # counts as given just now.
                self._by_id[id_] = TrackedOrder(order=order, since=now)
            elif not tracked.is_busy:
                tracked.order = order
        for id_ in [id_ for id_ in self._by_id if id_ not in found]:
            if not self._by_id[id_].is_busy:
                del self._by_id[id_]
        self._is_read = True
        return True

    async def _write(self, changes: Sequence[OrderChange]) -> bool:
        if not self._lease.is_valid():
            return False
        if await self._rows.write(changes):
            return True
        # Some of it may stand all the same, or land late. Acting on what
        # is in memory could then start a VM a second time.
        self._is_read = False
        return False

    def _is_own(self, vm: VM) -> bool:
        """Whether the planner of this data centre decides on a VM.

        The VMs of plain services are not its business: counting them as
        adopted but unneeded, it would drain and stop every service.
        """
        return (
            vm.data_centre == self._data_centre
            and vm.role is VMRole.ENDPOINT
            and vm.model is not None
        )

    def _match_listed(self) -> None:
        by_order_id = {vm.order_id: vm for vm in self._vms_by_id.values()}
        for tracked in self._by_id.values():
            order = tracked.order
            vm = by_order_id.get(order.id)
            if not order.vm and vm is not None:
                tracked.order = _with_vm(order, vm)
            tracked.was_listed |= tracked.order.vm in self._vms_by_id

    def _adopt_unknown(self) -> None:
        """Take over VMs that no order tells of.

        An order that took effect after it was given up on leaves a VM
        that is paid for and not used by anybody.
        """
        known = {tracked.order.vm for tracked in self._by_id.values()}
        for vm in self._vms_by_id.values():
            if vm.id in known or vm.state is VMState.LEAVING:
                continue
            order = VMOrder(
                id=f'adopted-{vm.id}',
                data_centre=vm.data_centre,
                machine_class=vm.machine_class,
                market=vm.market,
                model=vm.model or ModelName(''),
                version='',
                state=OrderState.STARTED,
                fencing=self._lease.fencing,
                vm=vm.id,
            )
            self._by_id[order.id] = TrackedOrder(
                order=order, since=anyio.current_time(), was_listed=True
            )
            log.info('vm_adopted', vm=vm.id, order=vm.order_id)

    def _find_gone(
        self, tracked: TrackedOrder, asked_at: float
    ) -> OrderChange | None:
        order = tracked.order
        if order.vm in self._vms_by_id:
            tracked.lists_missing = 0
            return None
        tracked.lists_missing += 1
        lag_is_over = (
            asked_at - tracked.since > self._parts.policy.list_lag_bound_s
        )
        is_missing = (
            tracked.lists_missing >= self._parts.policy.gone_after_lists
        )
        if tracked.is_busy and order.state is OrderState.INTENDED:
            return None
        if not is_missing or not (tracked.was_listed or lag_is_over):
            return None
        why = 'was not started' if not order.vm else 'is gone'
        return OrderChange(
            order=order, before=str(order.state), why=why, deletes=True
        )

    def _continue_work(self) -> None:
        """Start a task for each VM that has something to be done."""
        for tracked in self._by_id.values():
            if tracked.is_busy:
                continue
            order = tracked.order
            vm = self._vms_by_id.get(order.vm)
            if order.state is OrderState.STOPPING and order.vm:
                tracked.is_busy = True
                self._tasks.start_soon(self._stop_one, tracked)
            elif (
                order.state in (OrderState.STARTED, OrderState.LOADING)
                and vm is not None
                and vm.state is VMState.LIVE
                and order.model in self._parts.configuration().models
            ):
                tracked.is_busy = True
                self._tasks.start_soon(self._load_one, tracked, vm)

    def _new_order(self, wanted: WantedVM) -> VMOrder:
        self._number += 1
        unique = self._parts.randomness.randbytes(4).hex()
        name = f'{self._data_centre}-{self._lease.fencing}-{self._number}'
        return VMOrder(
            id=f'{name}-{unique}',
            data_centre=self._data_centre,
            machine_class=wanted.offer.machine_class,
            market=wanted.offer.market,
            model=wanted.model,
            version=wanted.version,
            state=OrderState.INTENDED,
            fencing=self._lease.fencing,
        )

    async def _start_one(self, tracked: TrackedOrder) -> None:
        order = tracked.order
        outcome: VM | StartRefused | Unavailable
        outcome = Unavailable(reason='timeout', may_have_landed=True)
        if not self._lease.is_valid():
            return
        with anyio.move_on_after(self._parts.policy.call_timeout_s):
            outcome = await self._parts.cloud.start_vm(
                StartVM(
                    order_id=order.id,
                    data_centre=order.data_centre,
                    machine_class=order.machine_class,
                    market=order.market,
                    model=order.model,
                    fencing=order.fencing,
                )
            )
        tracked.since = anyio.current_time()
        tracked.is_busy = False
        log.info('vm_ordered', order=order.id, outcome=type(outcome).__name__)
        if isinstance(outcome, VM):
            self._parts.backoff.note_started(order.offer)
            tracked.order = _with_vm(order, outcome)
        elif isinstance(outcome, StartRefused):
            self._parts.backoff.note_refused(order.offer)
            await self._forget(tracked, 'start refused')
            self._parts.on_refused()
        elif not outcome.may_have_landed:
            await self._forget(tracked, 'cloud did not answer')

    async def _forget(self, tracked: TrackedOrder, why: str) -> None:
        order = tracked.order
        change = OrderChange(
            order=order, before=str(order.state), why=why, deletes=True
        )
        if await self._write([change]):
            self._by_id.pop(order.id, None)

    async def _load_one(self, tracked: TrackedOrder, vm: VM) -> None:
        models = self._parts.configuration().models
        try:
            spec = models.get(tracked.order.model)
            if spec is not None:
                async with self._parts.weights.turn(spec):
                    await self._load(tracked, vm, spec)
        finally:
            tracked.is_busy = False

    async def _load(
        self, tracked: TrackedOrder, vm: VM, spec: ModelSpec
    ) -> None:
        if tracked.order.state not in (OrderState.STARTED, OrderState.LOADING):
            return
        order = replace(
            tracked.order, state=OrderState.LOADING, version=spec.version
        )
        change = OrderChange(
            order=order, before=str(tracked.order.state), why='VM is live'
        )
        if not await self._write([change]):
            return
        tracked.order = order
        engine_order = EngineOrder(
            id=f'{order.id}-load',
            endpoint=EndpointId(vm.id),
            action='load',
            argument=f'{spec.name}@{spec.version}',
            fencing=self._lease.fencing,
        )
        if not self._lease.is_valid():
            return
        outcome = await self._parts.engines.order(
            _as_endpoint(vm, spec), engine_order
        )
        if isinstance(outcome, OrderRefused):
            # Another daemon has given it an order with a higher number.
            self._lease.end()
            log.info('order_refused', order=order.id, reason=outcome.reason)
        if isinstance(outcome, OrderDone):
            await self._note_ready(tracked)

    async def _note_ready(self, tracked: TrackedOrder) -> None:
        if tracked.order.state is not OrderState.LOADING:
            return
        order = tracked.order.moved_to(OrderState.READY)
        if await self._write([OrderChange(order=order)]):
            tracked.order = order
            self._parts.on_ready(order)

    async def _stop_one(self, tracked: TrackedOrder) -> None:
        try:
            await self._parts.drains.drain(EndpointId(tracked.order.vm))
            while self._lease.is_valid():
                outcome: None | Unavailable
                outcome = Unavailable(reason='timeout', may_have_landed=True)
                with anyio.move_on_after(self._parts.policy.call_timeout_s):
                    outcome = await self._parts.cloud.stop_vm(tracked.order.vm)
                if outcome is None:
                    break
                await anyio.sleep(self._parts.policy.retry_s)
            # The list still shows the VM for a while: stopping it again
            # at each list would only be noise.
            await anyio.sleep(self._parts.policy.list_lag_bound_s)
        finally:
            tracked.is_busy = False


def _with_vm(order: VMOrder, vm: VM) -> VMOrder:
    state = order.state
    if state is OrderState.INTENDED:
        state = OrderState.STARTED
    return order.moved_to(state, vm=vm.id)


def _as_endpoint(vm: VM, spec: ModelSpec) -> Endpoint:
    return Endpoint(
        id=EndpointId(vm.id),
        vm=vm.id,
        address=vm.address,
        data_centre=vm.data_centre,
        machine_class=vm.machine_class,
        market=vm.market,
        model=vm.model,
        model_version=spec.version,
        checks_fencing=spec.checks_fencing,
    )
